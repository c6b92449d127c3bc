"""Hold the state of the targets of all regions, as this host knows it."""

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from jacinthfold import logs
from jacinthfold.catalogue.model import Service, TargetRecord
from jacinthfold.catalogue.origin import ChangeOrigin
from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.latency_model import LatencyModels
from jacinthfold.placement.leaving_limit import LeavingLimit
from jacinthfold.placement.prefix_cache import RecentPrefixUses
from jacinthfold.placement.pushback import RetainedPushback
from jacinthfold.placement.resume_guard import ResumeGuard
from jacinthfold.placement.software_versions import SoftwareVersions
from jacinthfold.placement.target import Load, Target


class TargetTable:
    """Index the targets of all regions."""

    def __init__(
        self,
        regions: Mapping[str, str],
        clock: Clock,
        leaving_limit: LeavingLimit | None = None,
    ) -> None:
        """Use a mapping of data centres to regions."""
        self._regions = dict(regions)
        self._clock = clock
        self._targets: dict[str, Target] = {}
        # Indexes for the look-ups of each choice and heartbeat, so that neither
        # filters the targets of all regions.
        self._by_incarnation: dict[str, Target] = {}
        self._by_service: dict[tuple[str, str], list[Target]] = {}
        # Incarnations in the latest load report of each host.
        self._reported: dict[str, frozenset[str]] = {}
        # Collector and its start that the latest totals come from, by data
        # centre.
        self._totals_sources: dict[str, tuple[str, int]] = {}
        # Earlier incarnations of restarted targets, until drop_expired returns
        # them.
        self._superseded: list[Target] = []
        self._retained = RetainedPushback()
        self._services: Mapping[str, Service] = {}
        # Returns the origin of the change that is being applied.
        self.origin: Callable[[], ChangeOrigin] = ChangeOrigin
        # Returns the maximum age of the records of targets.
        self.knowledge_age: Callable[[], float] = float
        self._leaving_limit = leaving_limit or LeavingLimit()
        self.resume_guard = ResumeGuard(
            clock, self._leaving_limit.min_pause_seconds
        )
        self.evacuated: frozenset[str] = frozenset()
        # Counts changes of targets and reports, but not this host's own load.
        self.change_count = 0
        self.on_failure_event: Callable[[str, str], None] = lambda *_: None
        self.latency_models = LatencyModels()
        self.recent_uses = RecentPrefixUses()
        self.versions = SoftwareVersions(clock)

    def update_services(self, services: Mapping[str, Service]) -> None:
        """Replace the configuration of services."""
        self.change_count += 1
        self._services = services

    def service(self, name: str) -> Service:
        """Return the configuration of a service, the default if unknown."""
        return self._services.get(name) or Service(name)

    def find(self, instance: str) -> Target | None:
        """Return the target of an instance."""
        return self._targets.get(instance)

    def find_incarnation(self, incarnation_id: str) -> Target | None:
        """Return the target with an incarnation."""
        return self._by_incarnation.get(incarnation_id)

    def of(self, service: str, region: str) -> list[Target]:
        """Return a service's targets in a region."""
        return list(self._by_service.get((service, region), ()))

    def silent(self, service: str, region: str) -> set[str]:
        """Return the instances in a region that work is not moved to.

        These are the silent targets, and all targets if each of several with
        requests is silent: the others may be so too.
        """
        now = self._clock.monotonic()
        found = self._by_service.get((service, region), ())
        busy = [target for target in found if target.own.requests]
        silent = [one for one in busy if one.activity.is_silent(now)]
        if len(silent) > 1 and len(silent) == len(busy):
            silent = list(found)
        return {target.record.instance for target in silent}

    def serving(self, service: str) -> list[Target]:
        """Return a service's targets in all regions."""
        return [
            target
            for (name, _), found in self._by_service.items()
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
        """Add a target or update its record."""
        self.change_count += 1
        now = self._clock.monotonic()
        target = self._targets.get(record.instance)
        if target is None or _is_other_incarnation(target, record):
            target = self._add(record, target)
        is_key_changed = _index_key(target.record) != _index_key(record)
        _check_version(target, record)
        target.record = record
        if is_key_changed:
            self._index()
        target.is_removed = False
        self._extend_cold(target, record.cold_seconds, now)
        if not record.is_draining:
            # The record may have lapsed with the store and come back.
            target.set_record_expiry(None)
            if record.started_at_ms is None:
                # A late record can't be told from that of a restarted target.
                target.pushback.drained_until = None
        elif target.pushback.drained_until is None:
            target.record_leaving(
                self.origin(), now, record.remaining_seconds or 0.0
            )

    def remove(self, instance: str) -> None:
        """Mark a target whose record is gone as leaving."""
        self.change_count += 1
        target = self._targets.get(instance)
        if target is None:
            return
        target.is_removed = True
        if target.last_resort_until is None:
            target.record_leaving(self.origin(), self._clock.monotonic(), 0.0)

    def evacuate(self, data_centre: str, *, is_evacuated: bool) -> None:
        """Start or end the evacuation of a data centre's targets."""
        self.change_count += 1
        if is_evacuated:
            self.evacuated |= {data_centre}
            return
        self.evacuated -= {data_centre}
        now = self._clock.monotonic()
        for target in self._targets.values():
            if target.record.data_centre == data_centre:
                # Targets that were idle may be cold; their records say so only
                # after the next heartbeat.
                service = self.service(target.record.service)
                self._extend_cold(target, service.cold_seconds, now)

    def drop_expired(self) -> list[Target]:
        """Drop removed targets that may no longer be used, and return them.

        Earlier incarnations of restarted targets are returned too.
        """
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
            self._retained.add(target.record.incarnation_id, target.pushback)
        if gone:
            self._index()
        gone.extend(self._superseded)
        self._superseded = []
        return gone

    def update_cached_prefixes(
        self,
        reporter: str,
        prefilled_tokens: Mapping[str, float],
        uses: Mapping[str, list[str]],
    ) -> None:
        """Apply another host's prefill counters and recent prefix uses."""
        for incarnation_id, tokens in prefilled_tokens.items():
            target = self._by_incarnation.get(incarnation_id)
            if target is not None:
                target.cached_prefixes.update_counter(reporter, tokens)
        for incarnation_id, names in uses.items():
            target = self._by_incarnation.get(incarnation_id)
            if target is not None:
                target.cached_prefixes.record_use(names)

    def update_prefill_totals(
        self,
        reporter: str,
        source: tuple[str, int],
        prefilled_tokens: Mapping[str, float],
    ) -> None:
        """Apply the prefill counters that a collector summed for many hosts."""
        # Each collector counts from its own start, so only the difference
        # between two totals of the same one is meaningful.
        is_same_source = self._totals_sources.get(reporter) == source
        self._totals_sources[reporter] = source
        if is_same_source:
            self.update_cached_prefixes(reporter, prefilled_tokens, {})
            return
        for incarnation_id, target in self._by_incarnation.items():
            target.cached_prefixes.start_counter(
                reporter, prefilled_tokens.get(incarnation_id, 0.0)
            )

    def own_prefilled_tokens(self) -> dict[str, float]:
        """Return the tokens prefilled for this host, by incarnation."""
        return {
            target.record.incarnation_id: round(target.own_prefilled_tokens)
            for target in self._targets.values()
            if target.own_prefilled_tokens
        }

    def update_loads(
        self, reporter: str, loads: Mapping[str, Load], now: float
    ) -> None:
        """Replace another host's loads on targets, by incarnation."""
        self.change_count += 1
        previous = self._reported.get(reporter, frozenset())
        for incarnation_id in previous.difference(loads):
            self._drop_report(incarnation_id, reporter)
        for incarnation_id, load in loads.items():
            target = self._by_incarnation.get(incarnation_id)
            if target is not None:
                target.reported[reporter] = (now, load)
        self._reported[reporter] = frozenset(loads)

    def drop_reports(self, reporters: Iterable[str]) -> None:
        """Drop the reports of hosts that are now part of a collector's sums."""
        self.change_count += 1
        for reporter in reporters:
            for incarnation_id in self._reported.pop(reporter, frozenset()):
                self._drop_report(incarnation_id, reporter)
            self.latency_models.forget_host(reporter)

    def own_loads(self) -> dict[str, Load]:
        """Return the loads of this host on targets, by incarnation."""
        return {
            target.record.incarnation_id: target.own
            for target in self._targets.values()
            if target.own.requests
        }

    def _drop_report(self, incarnation_id: str, reporter: str) -> None:
        target = self._by_incarnation.get(incarnation_id)
        if target is not None:
            target.reported.pop(reporter, None)

    def _index(self) -> None:
        self._by_incarnation = {
            target.record.incarnation_id: target
            for target in self._targets.values()
        }
        self._by_service = {}
        for target in self._targets.values():
            region = self.region_of(target.record.data_centre)
            key = (target.record.service, region)
            self._by_service.setdefault(key, []).append(target)
        self.versions.update(_present_versions(self._targets.values()))

    def _add(self, record: TargetRecord, earlier: Target | None) -> Target:
        pushback = self._retained.restore(
            record.incarnation_id, record.instance
        )
        if earlier is not None:
            started_at = _started_at(record, self._clock)
            pushback = earlier.pushback.for_next_incarnation(started_at)
        target = Target(record, pushback, self._leaving_limit)
        target.knowledge_age = self.knowledge_age
        target.is_resuming = self.resume_guard.is_resuming
        target.on_failure_event = partial(_record_event, self)
        if earlier is not None:
            # Nothing else carries over. The rate limit of cold targets counts
            # requests to the instance, across incarnations.
            target.paced_at = earlier.paced_at
            self._superseded.append(earlier)
        self._targets[record.instance] = target
        self._index()
        logs.event(
            'target_known',
            target=record.instance,
            life=record.incarnation_id,
            starts_again=earlier is not None,
            service=record.service,
            software_version=record.software_version,
            data_centre=record.data_centre,
            cold_seconds=record.cold_seconds,
        )
        return target

    def _extend_cold(self, target: Target, seconds: float, now: float) -> None:
        if seconds <= 0:
            return
        until = now + seconds + limits.COLD_MARGIN_SECONDS
        target.cold_until = max(target.cold_until, until)


def _index_key(record: TargetRecord) -> tuple[str, ...]:
    return (
        record.incarnation_id,
        record.service,
        record.data_centre,
        record.software_version,
    )


def _present_versions(
    targets: Iterable[Target],
) -> dict[str, frozenset[str]]:
    """Return the software versions of the targets by service."""
    found: dict[str, set[str]] = {}
    for target in targets:
        record = target.record
        found.setdefault(record.service, set()).add(record.software_version)
    return {service: frozenset(names) for service, names in found.items()}


def _check_version(target: Target, record: TargetRecord) -> None:
    """Distrust the version of a target that has told another one."""
    known = target.record.software_version
    if known == record.software_version:
        return
    if known:
        logs.warning(
            'target_version_changed',
            target=record.instance,
            before=known,
            software_version=record.software_version,
        )
    record.software_version = ''


def _started_at(record: TargetRecord, clock: Clock) -> float:
    """Return the start of an incarnation on the monotonic clock."""
    started_at_seconds = (record.started_at_ms or 0) / 1000
    return clock.monotonic() - clock.now().timestamp() + started_at_seconds


def _is_other_incarnation(target: Target, record: TargetRecord) -> bool:
    # An earlier start counts too: the clock of a target may have gone back,
    # and records arrive in the store's order.
    known = target.record.started_at_ms
    return (
        None not in {known, record.started_at_ms}
        and known != record.started_at_ms
    )


def _record_event(table: TargetTable, target: Target, event: str) -> None:
    service = target.record.service
    if event == 'returned':
        # The targets that were left had to serve all requests and were slow.
        # Only answers lower the averages, and they would get none.
        region = table.region_of(target.record.data_centre)
        for one in table.of(service, region):
            one.forget_speed()
    table.on_failure_event(service, event)
