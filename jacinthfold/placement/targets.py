"""Hold what is believed of the targets of all regions."""

from collections.abc import Iterable, Mapping

from jacinthfold import logs
from jacinthfold.catalogue.model import Service, TargetRecord
from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.kept import RecentUses
from jacinthfold.placement.law import Laws
from jacinthfold.placement.pushback import KeptPushback
from jacinthfold.placement.target import Load, Target


class TargetTable:
    """Keep the targets of all regions."""

    def __init__(self, regions: Mapping[str, str], clock: Clock) -> None:
        """Take the region of each data centre."""
        self._regions = dict(regions)
        self._clock = clock
        self._targets: dict[str, Target] = {}
        # The same by what is asked for at each choice and heartbeat, so that
        # neither filters the targets of all regions.
        self._by_life: dict[str, Target] = {}
        self._by_place: dict[tuple[str, str], list[Target]] = {}
        # Lives on which each host was last told to have a load.
        self._reported: dict[str, frozenset[str]] = {}
        # Who made the totals that are followed, by data centre.
        self._totals_from: dict[str, tuple[str, int]] = {}
        # Earlier lives of targets that started again, until they are told.
        self._ended: list[Target] = []
        self._kept_pushback = KeptPushback()
        self._services: Mapping[str, Service] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.laws = Laws()
        self.recent_uses = RecentUses()

    def follow_services(self, services: Mapping[str, Service]) -> None:
        """Take what the operator declared of services."""
        self._services = services

    def service(self, name: str) -> Service:
        """Return what was declared of a service."""
        return self._services.get(name) or Service(name)

    def find(self, instance: str) -> Target | None:
        """Return a target by its instance."""
        return self._targets.get(instance)

    def of_life(self, life: str) -> Target | None:
        """Return the target that lives a life."""
        return self._by_life.get(life)

    def of(self, service: str, region: str) -> list[Target]:
        """Return a service's targets in a region."""
        return list(self._by_place.get((service, region), ()))

    def serving(self, service: str) -> list[Target]:
        """Return a service's targets in all regions."""
        return [
            target
            for (name, _), found in self._by_place.items()
            if name == service
            for target in found
        ]

    def all(self) -> list[Target]:
        """Return every target."""
        return list(self._targets.values())

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return self._regions.get(data_centre, '')

    def put(self, record: TargetRecord) -> None:
        """Take a target that came or changed."""
        now = self._clock.monotonic()
        target = self._targets.get(record.instance)
        if target is None or _is_other_life(target, record):
            target = self._enter(record, target)
        is_staying = target.last_resort_until is None
        is_moved = _place(target.record) != _place(record)
        target.record = record
        if is_moved:
            self._index()
        target.is_removed = False
        self._note_cold(target, record.cold_seconds, now)
        if record.is_draining and is_staying:
            self._note_leaving(target, now, record.remaining_seconds)
        if not record.is_draining:
            # A record that lapsed with the store and came back.
            target.follow_record(None)

    def remove(self, instance: str) -> None:
        """Take that a target's record is gone."""
        target = self._targets.get(instance)
        if target is None:
            return
        target.is_removed = True
        if target.last_resort_until is None:
            self._note_leaving(target, self._clock.monotonic(), None)

    def evacuate(self, data_centre: str, *, is_evacuated: bool) -> None:
        """Take that a data centre's targets get nothing, or may again."""
        if is_evacuated:
            self.evacuated |= {data_centre}
            return
        self.evacuated -= {data_centre}
        now = self._clock.monotonic()
        for target in self._targets.values():
            if target.record.data_centre == data_centre:
                # Targets that stood idle may be cold; their records say so
                # only after the next heartbeat.
                service = self.service(target.record.service)
                self._note_cold(target, service.cold_seconds, now)

    def forget_gone(self) -> list[Target]:
        """Drop targets that may no longer be used; return them."""
        now = self._clock.monotonic()
        gone = [
            target
            for target in self._targets.values()
            if target.is_removed
            and target.last_resort_until is not None
            and target.last_resort_until < now
            and not target.own.requests
        ]
        for target in gone:
            self._targets.pop(target.record.instance)
            self._kept_pushback.keep(
                target.record.incarnation_id, target.pushback
            )
        if gone:
            self._index()
        gone.extend(self._ended)
        self._ended = []
        return gone

    def take_uses(
        self,
        reporter: str,
        read_tokens: Mapping[str, float],
        uses: Mapping[str, list[str]],
    ) -> None:
        """Take what lives of targets have read for another host."""
        for life, tokens in read_tokens.items():
            target = self._by_life.get(life)
            if target is not None:
                target.kept.take_counter(reporter, tokens)
        for life, names in uses.items():
            target = self._by_life.get(life)
            if target is not None:
                target.kept.note(names)

    def take_totals(
        self,
        reporter: str,
        maker: tuple[str, int],
        read_tokens: Mapping[str, float],
    ) -> None:
        """Take what lives of targets have read for many hosts."""
        # Each maker counts from its own start: between two of one the growth
        # is true, from one's to another's it means nothing.
        is_followed = self._totals_from.get(reporter) == maker
        self._totals_from[reporter] = maker
        if is_followed:
            self.take_uses(reporter, read_tokens, {})
            return
        for life, target in self._by_life.items():
            target.kept.begin_counter(reporter, read_tokens.get(life, 0.0))

    def own_read_tokens(self) -> dict[str, float]:
        """Return what lives of targets have read for this host."""
        return {
            target.record.incarnation_id: round(target.own_read_tokens)
            for target in self._targets.values()
            if target.own_read_tokens
        }

    def take_report(
        self, reporter: str, loads: Mapping[str, Load], now: float
    ) -> None:
        """Take the loads that another host has put on lives of targets."""
        known = self._reported.get(reporter, frozenset())
        for life in known.difference(loads):
            self._drop_report(life, reporter)
        for life, load in loads.items():
            target = self._by_life.get(life)
            if target is not None:
                target.reported[reporter] = (now, load)
        self._reported[reporter] = frozenset(loads)

    def forget_reports(self, reporters: Iterable[str]) -> None:
        """Drop what hosts reported, of which sums tell now."""
        for reporter in reporters:
            for life in self._reported.pop(reporter, frozenset()):
                self._drop_report(life, reporter)
            self.laws.forget(reporter)

    def own_loads(self) -> dict[str, Load]:
        """Return the loads that this host has put on lives of targets."""
        return {
            target.record.incarnation_id: target.own
            for target in self._targets.values()
            if target.own.requests
        }

    def _drop_report(self, life: str, reporter: str) -> None:
        target = self._by_life.get(life)
        if target is not None:
            target.reported.pop(reporter, None)

    def _index(self) -> None:
        self._by_life = {
            target.record.incarnation_id: target
            for target in self._targets.values()
        }
        self._by_place = {}
        for target in self._targets.values():
            region = self.region_of(target.record.data_centre)
            place = (target.record.service, region)
            self._by_place.setdefault(place, []).append(target)

    def _enter(self, record: TargetRecord, earlier: Target | None) -> Target:
        pushback = self._kept_pushback.take(
            record.incarnation_id, record.instance
        )
        if earlier is not None:
            began_at = _began_at(record, self._clock)
            pushback = earlier.pushback.of_next_life(began_at)
        target = Target(record, pushback)
        if earlier is not None:
            # Nothing else of the earlier life holds. Its pace does: the bound
            # on a cold target counts requests to the instance.
            target.paced_at = earlier.paced_at
            self._ended.append(earlier)
        self._targets[record.instance] = target
        self._index()
        logs.event(
            'target_known',
            target=record.instance,
            life=record.incarnation_id,
            starts_again=earlier is not None,
            service=record.service,
            data_centre=record.data_centre,
            cold_seconds=record.cold_seconds,
        )
        return target

    def _note_cold(self, target: Target, seconds: float, now: float) -> None:
        if seconds <= 0:
            return
        until = now + seconds + limits.COLD_MARGIN_SECONDS
        target.cold_until = max(target.cold_until, until)

    def _note_leaving(
        self, target: Target, now: float, remaining_seconds: float | None
    ) -> None:
        target.follow_record(now + limits.LAST_RESORT_SECONDS)
        logs.event(
            'target_leaving',
            target=target.record.instance,
            source='record',
            draining=target.record.is_draining,
            remaining_seconds=remaining_seconds or 0.0,
        )


def _place(record: TargetRecord) -> tuple[str, str, str]:
    return (record.incarnation_id, record.service, record.data_centre)


def _began_at(record: TargetRecord, clock: Clock) -> float:
    """Return when a life began, by the monotonic clock."""
    born_seconds = (record.started_at_ms or 0) / 1000
    return clock.monotonic() - clock.now().timestamp() + born_seconds


def _is_other_life(target: Target, record: TargetRecord) -> bool:
    # Any other start is another life, an earlier one too: the clock of a
    # target may have gone back, and records come in the store's order.
    known = target.record.started_at_ms
    return (
        None not in {known, record.started_at_ms}
        and known != record.started_at_ms
    )
