"""Select the targets of a region that may be sent a request now."""

from collections.abc import Collection

from jacinthfold.clock import Clock
from jacinthfold.placement.decision import Reject
from jacinthfold.placement.limit_shares import LimitShares
from jacinthfold.placement.pace import ColdTargetPacer
from jacinthfold.placement.place_shares import (
    PlaceShares,
    report_age_seconds,
    useful_places,
)
from jacinthfold.placement.retry_schedule import (
    MAX_RETRY_AFTER_SECONDS,
    RetrySchedule,
)
from jacinthfold.placement.stream_regions import stream_regions
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.placement.trials import TrialTurns
from jacinthfold.request.messages import Request
from jacinthfold.request.stream_origin import StreamOrigin

# Retry time when no target is usable: cold targets accept the next request
# after 0.3 s.
NO_TARGET_SECONDS = 0.3
# Retry time of a stream whose software version is unknown or has no target. A
# target that crashed starts again as the same version after some seconds.
NO_VERSION_SECONDS = 1.0


class UsableTargets:
    """Find the targets of a region that may be sent a request."""

    __slots__ = (
        '_limit_shares',
        '_objectives',
        '_pace',
        '_region',
        '_retry_schedule',
        '_targets',
        'place_shares',
        '_turns',
    )

    def __init__(
        self,
        region: str,
        targets: TargetTable,
        pace: ColdTargetPacer,
        limit_shares: LimitShares,
        clock: Clock,
        *,
        has_places: bool = False,
    ) -> None:
        """Use the targets and the limiters of requests to them."""
        self._region = region
        self._targets = targets
        self._pace = pace
        self._limit_shares = limit_shares
        self._retry_schedule = RetrySchedule(clock)
        # Latency objective of the latest call, by plain service.
        self._objectives: dict[str, float] = {}
        self.place_shares = PlaceShares(
            pace.ranks, clock, is_enabled=has_places
        )
        self._turns = TrialTurns(pace.ranks)

    def find(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        *,
        is_urgent: bool,
        objective_seconds: float | None = None,
        origin: StreamOrigin | None = None,
    ) -> list[Target]:
        """Return a service's usable targets of the best available state.

        Healthy targets come first, then ejected ones, then leaving ones. Plain
        targets without a free place for this host are left out, and those of
        other software versions than the one that a stream began at.
        """
        found = self._find_admitted(
            service, tried, now, is_urgent=is_urgent, origin=origin
        )
        if not self.has_places(service):
            return found
        if objective_seconds is not None:
            self._objectives[service] = objective_seconds
        objective = self._objective_seconds(service)
        return self.place_shares.select(found, objective, now)

    def has_places(self, service: str) -> bool:
        """Tell whether the places of a service's targets are shared."""
        if not self.place_shares.is_enabled:
            return False
        return not self._targets.service(service).is_engine

    def find_trial(self, request: Request, now: float) -> Target | None:
        """Return the ejected target that a request may try now, if any."""
        service = request.service_name
        is_urgent = request.is_urgent
        is_repeatable = request.is_repeatable
        self._turns.record_request(service, now, is_repeatable=is_repeatable)
        targets = self._of_origin(service, request.origin)
        ejected = [one for one in targets if one.is_ejected]
        if not ejected:
            return None
        allowed = [
            target
            for target in ejected
            if target.record.data_centre not in self._targets.evacuated
            and target.last_resort_until is None
            and (target.cold_until <= now or self._allows_cold(target, now))
            and self._is_admitted(target, now, is_urgent=is_urgent)
        ]
        return self._turns.find(allowed, now, is_repeatable=is_repeatable)

    def record_sent(self, target: Target, now: float) -> bool:
        """Count a request that is sent; tell whether a limit counts it."""
        if target.cold_until > now:
            self._pace.record_sent(target, now)
        target.pushback.backoff.record_sent(now)
        return self._limit_shares.record_sent(target, now)

    def no_place_rejection(
        self, request: Request, tried: Collection[str], now: float
    ) -> Reject | None:
        """Return a rejection if only places are missing, else None."""
        service = request.service_name
        if not self.has_places(service):
            return None
        full = self._find_admitted(
            service,
            tried,
            now,
            is_urgent=request.is_urgent,
            origin=request.origin,
        )
        if not full:
            return None
        self.place_shares.record_call(request, now)
        objective = self._objective_seconds(service)
        per_second = sum(
            self.place_shares.turnover_per_second(target, objective, now)
            for target in full
        )
        if request.retry_at <= now:
            # A request that is placed repeatedly takes one time only.
            request.retry_at = now + self._retry_schedule.after_seconds(
                service, per_second
            )
        rejection = Reject('no_place', request.retry_at - now)
        rejection.inputs = _place_inputs(full, objective, per_second, now)
        return rejection

    def version_rejection(self, request: Request) -> Reject | None:
        """Return the rejection of a stream that can go on nowhere."""
        if request.origin is None:
            return None
        reason = 'version_unknown'
        if request.origin.software_version is not None:
            if stream_regions(request, self._targets):
                return None
            reason = 'version_gone'
        rejection = Reject(reason, NO_VERSION_SECONDS)
        rejection.is_permanent = True
        return rejection

    def no_target_rejection(self, request: Request, now: float) -> Reject:
        """Return a rejection with the reason why no target is usable."""
        service = request.service_name
        rejection = self.version_rejection(request)
        if rejection is not None:
            return rejection
        pushbacks = [
            target.pushback
            for target in self._of_origin(service, request.origin)
            if target.last_resort_until is None
        ]
        limits = [one.limit for one in pushbacks if one.limit.per_second]
        if limits:
            per_second = self._limit_shares.mean_per_second(limits)
            after_seconds = self._retry_schedule.after_seconds(
                service, per_second
            )
            return Reject('target_limits', after_seconds)
        backoffs = [
            one.backoff.until for one in pushbacks if one.backoff.until > now
        ]
        if backoffs:
            after_seconds = min(MAX_RETRY_AFTER_SECONDS, min(backoffs) - now)
            return Reject('targets_rest', after_seconds)
        return Reject('no_target', NO_TARGET_SECONDS)

    def _objective_seconds(self, service: str) -> float:
        return self._objectives.get(service, float('inf'))

    def _find_admitted(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        *,
        is_urgent: bool,
        origin: StreamOrigin | None = None,
    ) -> list[Target]:
        evacuated = self._targets.evacuated
        candidates = [
            target
            for target in self._of_origin(service, origin)
            if target.record.data_centre not in evacuated
            and target.record.instance not in tried
            # Nothing listens there, so that the target looks idle and would
            # attract requests that another region could serve.
            and target.unreachable_until <= now
            and (target.cold_until <= now or self._allows_cold(target, now))
            and self._is_admitted(target, now, is_urgent=is_urgent)
        ]
        staying = [one for one in candidates if one.last_resort_until is None]
        healthy = [one for one in staying if not one.is_ejected]
        if healthy:
            return healthy
        return staying or [
            one
            for one in candidates
            if one.last_resort_until is not None and one.last_resort_until > now
        ]

    def _of_origin(
        self, service: str, origin: StreamOrigin | None
    ) -> list[Target]:
        """Return a service's targets here at which a stream may go on."""
        found = self._targets.of(service, self._region)
        if origin is None:
            return found
        return [
            target
            for target in found
            if origin.admits(target.record.software_version)
        ]

    def _is_admitted(
        self, target: Target, now: float, *, is_urgent: bool
    ) -> bool:
        """Tell whether a target's backoff and limit admit a request."""
        if not target.pushback.backoff.allows(now):
            return False
        if target.pushback.limit.per_second is None:
            return True
        return self._limit_shares.allows(target, now, is_urgent=is_urgent)

    def _allows_cold(self, target: Target, now: float) -> bool:
        service = self._targets.service(target.record.service)
        if service.cold_requests_per_second <= 0:
            return True
        return self._pace.allows(target, service.cold_requests_per_second, now)


def _place_inputs(
    targets: list[Target],
    objective_seconds: float,
    per_second: float,
    now: float,
) -> dict[str, float]:
    return {
        'targets': len(targets),
        'places': sum(useful_places(one, objective_seconds) for one in targets),
        'own_in_flight': sum(one.own.requests for one in targets),
        'in_flight': sum(one.load(now).requests for one in targets),
        'report_age_seconds': max(
            report_age_seconds(one, now) for one in targets
        ),
        'places_per_second': per_second,
    }
