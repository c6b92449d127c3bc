"""Hold what is believed of each target."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from jacinthfold import logs
from jacinthfold.catalogue.model import Service, TargetRecord
from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.proxy.messages import PromptPart

SPEED_WEIGHT = 0.2
FAILURE_WEIGHT = 0.25


class Load:
    """Hold requests, unread prompt tokens and memory in use."""

    __slots__ = ('held_tokens', 'requests', 'unread_tokens', 'urgent_tokens')

    def __init__(
        self,
        requests: int = 0,
        unread_tokens: int = 0,
        held_tokens: int = 0,
        urgent_tokens: int = 0,
    ) -> None:
        """Take the figures; urgent tokens are a part of the unread ones."""
        self.requests = requests
        self.unread_tokens = unread_tokens
        self.held_tokens = held_tokens
        self.urgent_tokens = urgent_tokens

    def add(self, other: 'Load') -> None:
        """Add another host's load."""
        self.requests += other.requests
        self.unread_tokens += other.unread_tokens
        self.held_tokens += other.held_tokens
        self.urgent_tokens += other.urgent_tokens


class Target:
    """Hold one life of a target and what this host saw of it."""

    __slots__ = (
        'cached',
        'cold_until',
        'ejected_until',
        'failing_share',
        'failures',
        'heard_at',
        'is_removed',
        'last_resort_until',
        'own',
        'paced_until',
        'record',
        'reported',
        'seconds_per_call',
        'slowness',
        'unreachable_until',
    )

    def __init__(self, record: TargetRecord) -> None:
        """Take what the target tells of itself."""
        self.record = record
        self.own = Load()
        self.reported: dict[str, tuple[float, Load]] = {}
        self.cold_until = 0.0
        self.paced_until = 0.0
        self.ejected_until = 0.0
        self.unreachable_until = 0.0
        # When any answer of the target last brought something here.
        self.heard_at = float('-inf')
        self.failures = 0
        self.failing_share = 0.0
        self.slowness = 1.0
        self.seconds_per_call = limits.CALL_SECONDS
        # None while the target stays; else until when it may be used if
        # nothing else is left.
        self.last_resort_until: float | None = None
        self.is_removed = False
        self.cached: OrderedDict[str, float] = OrderedDict()

    @property
    def place(self) -> tuple[str, int, str]:
        """Return address, port and life, under which connections are kept."""
        return (*self.record.address, self.record.life)

    def load(self, now: float) -> Load:
        """Return the load of this host and of all that reported lately."""
        total = Load()
        total.add(self.own)
        for heard_at, load in self.reported.values():
            if now - heard_at < limits.REPORT_SECONDS:
                total.add(load)
        return total

    def cached_tokens(self, parts: Iterable[PromptPart], now: float) -> int:
        """Return how many leading tokens the target probably keeps."""
        tokens = 0
        for name, part in chains(parts):
            seen_at = self.cached.get(name)
            if seen_at is None or now - seen_at > limits.CACHED_SECONDS:
                break
            tokens += part.tokens
        return tokens

    def remember(self, parts: Iterable[PromptPart], now: float) -> None:
        """Note that the target has read a prompt."""
        for name, _ in chains(parts):
            self.cached[name] = now
            self.cached.move_to_end(name)
        while len(self.cached) > limits.CACHED_CHAINS:
            self.cached.popitem(last=False)

    def note_success(self, seconds: float, expected_seconds: float) -> None:
        """Take how long an answer took against what was expected."""
        self.failures = 0
        self.failing_share *= 1 - FAILURE_WEIGHT
        ratio = min(8.0, max(0.25, seconds / max(expected_seconds, 0.005)))
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness)

    def note_failure(self, now: float, *, is_unreachable: bool) -> None:
        """Take that the target failed a request."""
        self.failures += 1
        self.failing_share += FAILURE_WEIGHT * (1 - self.failing_share)
        if is_unreachable or self.failures >= limits.FAILURES_TO_EJECT:
            doublings = min(self.failures - 1, 3)
            seconds = min(
                limits.EJECT_SECONDS * 2**doublings,
                limits.EJECT_LIMIT_SECONDS,
            )
            self._set_aside(now, seconds, is_unreachable=is_unreachable)

    def _set_aside(
        self, now: float, seconds: float, *, is_unreachable: bool
    ) -> None:
        was_aside = self.ejected_until > now
        self.ejected_until = now + seconds
        if is_unreachable:
            self.unreachable_until = now + seconds
        if not was_aside:
            logs.warning(
                'target_set_aside',
                target=self.record.instance,
                failures=self.failures,
                seconds=seconds,
                unreachable=is_unreachable,
            )


class TargetTable:
    """Keep the targets of all regions."""

    def __init__(self, regions: Mapping[str, str], clock: Clock) -> None:
        """Take the region of each data centre."""
        self._regions = dict(regions)
        self._clock = clock
        self._targets: dict[str, Target] = {}
        # Earlier lives of targets that started again, until they are told.
        self._ended: list[Target] = []
        self._services: Mapping[str, Service] = {}
        self.evacuated: frozenset[str] = frozenset()

    def follow_services(self, services: Mapping[str, Service]) -> None:
        """Take what the operator declared of services."""
        self._services = services

    def service(self, name: str) -> Service:
        """Return what was declared of a service."""
        return self._services.get(name) or Service(name)

    def find(self, instance: str) -> Target | None:
        """Return a target by its instance."""
        return self._targets.get(instance)

    def of(self, service: str, region: str) -> list[Target]:
        """Return a service's targets in a region."""
        return [
            target
            for target in self._targets.values()
            if target.record.service == service
            and self.region_of(target.record.data_centre) == region
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
        target.record = record
        target.is_removed = False
        self._note_cold(target, record.cold_seconds, now)
        if record.is_draining and is_staying:
            self._note_leaving(target, now, record.remaining_seconds)
        if not record.is_draining:
            # A record that lapsed with the store and came back.
            target.last_resort_until = None

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
        gone.extend(self._ended)
        self._ended = []
        return gone

    def take_report(
        self, reporter: str, loads: Mapping[str, Load], now: float
    ) -> None:
        """Take the loads that another host has put on lives of targets."""
        for target in self._targets.values():
            load = loads.get(target.record.life)
            if load is None:
                target.reported.pop(reporter, None)
            else:
                target.reported[reporter] = (now, load)

    def own_loads(self) -> dict[str, Load]:
        """Return the loads that this host has put on lives of targets."""
        return {
            target.record.life: target.own
            for target in self._targets.values()
            if target.own.requests
        }

    def _enter(self, record: TargetRecord, earlier: Target | None) -> Target:
        target = Target(record)
        if earlier is not None:
            # Nothing else of the earlier life holds. Its pace does: the bound
            # on a cold target counts requests to the instance.
            target.paced_until = earlier.paced_until
            self._ended.append(earlier)
        self._targets[record.instance] = target
        logs.event(
            'target_known',
            target=record.instance,
            life=record.life,
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
        target.last_resort_until = now + limits.LAST_RESORT_SECONDS
        logs.event(
            'target_leaving',
            target=target.record.instance,
            draining=target.record.is_draining,
            remaining_seconds=remaining_seconds or 0.0,
        )


def _is_other_life(target: Target, record: TargetRecord) -> bool:
    # Any other start is another life, an earlier one too: the clock of a
    # target may have gone back, and records come in the store's order.
    known = target.record.born_ms
    return None not in {known, record.born_ms} and known != record.born_ms


def chains(parts: Iterable[PromptPart]) -> list[tuple[str, PromptPart]]:
    """Return each part with the name of the prompt up to its end."""
    # A part is kept only with all parts before it, so its name alone would
    # promise too much.
    named = []
    name = ''
    for part in parts:
        name = f'{name}/{part.name}'
        named.append((name, part))
    return named
