"""Bound the time to the first event from below, for inexpensive rejections.

Load pattern: callers retry at a host that has no capacity for them, 200
requests per second with half a core. Estimating 36 targets for each of them
costs more than all other work of a rejection. Their waits are computed once for
requests that arrive together; no estimate of a request can be below its bound,
which takes a prefix look-up at the few targets with short waits.
"""

from collections.abc import Callable

from jacinthfold.placement import limits
from jacinthfold.placement.estimates import Estimate, Estimator
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.placement.usable import UsableTargets
from jacinthfold.request.messages import Request

# A wait may fall this long before requests are decided by it; what this host
# knows to have fallen counts at once.
MAX_AGE_SECONDS = 0.05
# Bounds are computed for this long after a late request. Without rejections
# they would only add to the cost of requests that are served.
ARMED_SECONDS = 1.0


class WaitSnapshot:
    """Hold the waits at the usable targets of a service, shortest first."""

    __slots__ = ('taken_at', 'version', 'waits')

    def __init__(
        self,
        waits: list[tuple[float, Target]],
        version: tuple[int, int],
        taken_at: float,
    ) -> None:
        """Store waits, and what they were computed from and when."""
        self.waits = waits
        self.version = version
        self.taken_at = taken_at


class LeastWaits:
    """Compute lower bounds from waits that are at most 50 ms old."""

    __slots__ = (
        '_armed_until',
        '_estimator',
        '_region',
        '_snapshots',
        '_targets',
        '_usable',
    )

    def __init__(
        self,
        region: str,
        targets: TargetTable,
        usable: UsableTargets,
        estimator: Estimator,
    ) -> None:
        """Use the targets of a region and their estimates."""
        self._region = region
        self._targets = targets
        self._usable = usable
        self._estimator = estimator
        self._snapshots: dict[tuple[str, bool], WaitSnapshot] = {}
        self._armed_until: dict[tuple[str, bool], float] = {}

    def late_estimate(
        self,
        request: Request,
        now: float,
        may_serve: Callable[[Request, float], bool],
    ) -> Estimate | None:
        """Return the least estimate of a request that is late everywhere.

        None if a target may be in time, or if that isn't known inexpensively.
        """
        if self._armed_until.get(_key(request), 0.0) < now:
            return None
        snapshot = self._snapshot(request, now)
        if not snapshot.waits:
            return None
        least, target = self._least_seconds(request, snapshot, may_serve)
        if may_serve(request, least):
            return None
        # The wait may have fallen within the age of the snapshot.
        found = self._estimator.estimate(request, target, now)
        return None if may_serve(request, found.seconds) else found

    def record_late(self, request: Request, now: float) -> None:
        """Record a late request, so that bounds are computed for others."""
        self._armed_until[_key(request)] = now + ARMED_SECONDS

    def target_count(self, request: Request) -> int:
        """Return the number of targets in the latest snapshot."""
        return len(self._snapshots[_key(request)].waits)

    def _snapshot(self, request: Request, now: float) -> WaitSnapshot:
        """Return the waits that a request meets, at most 50 ms old."""
        service, is_urgent = request.service_name, request.is_urgent
        version = self._version(service)
        found = self._snapshots.get(_key(request))
        if (
            found is not None
            and found.version == version
            and now - found.taken_at <= MAX_AGE_SECONDS
        ):
            return found
        usable = self._usable.find(service, (), now, is_urgent=is_urgent)
        waits = [
            (
                self._estimator.wait_seconds(target, now, is_urgent=is_urgent),
                target,
            )
            for target in usable
        ]
        waits.sort(key=_wait_seconds)
        taken = WaitSnapshot(waits, version, now)
        self._snapshots[_key(request)] = taken
        return taken

    def _least_seconds(
        self,
        request: Request,
        snapshot: WaitSnapshot,
        may_serve: Callable[[Request, float], bool],
    ) -> tuple[float, Target]:
        """Return a bound that no estimate is below, and its target."""
        if not self._targets.service(request.service_name).is_engine:
            return min(
                (
                    (wait + target.seconds_per_call, target)
                    for wait, target in snapshot.waits
                ),
                key=_wait_seconds,
            )
        least = self._estimator.least_prefill_seconds(request.service_name)
        first_wait, best_target = snapshot.waits[0]
        if not may_serve(request, first_wait + least):
            # Late even where the whole prompt is cached.
            return first_wait + least, best_target
        copied_seconds = self._copied_seconds(request, snapshot)
        best = float('inf')
        for wait, target in snapshot.waits:
            if wait + least >= best or not may_serve(request, wait + least):
                break
            own = self._estimator.cached_prefill_seconds(request, target)
            seconds = wait + min(own, copied_seconds)
            if seconds < best:
                best, best_target = seconds, target
        return best, best_target

    def _copied_seconds(
        self, request: Request, snapshot: WaitSnapshot
    ) -> float:
        """Return the least own time with a copied prefix, if any."""
        targets = [target for _, target in snapshot.waits]
        return min(
            (
                limits.COPY_SECONDS
                + self._estimator.prefill_seconds(request, one.prefix_tokens)
                for one in self._estimator.copy_sources(request, targets)
            ),
            default=float('inf'),
        )

    def _version(self, service: str) -> tuple[int, int]:
        """Return a value that changes when a wait may have fallen."""
        targets = self._targets.of(service, self._region)
        freed = sum([target.freed_count for target in targets])
        return (self._targets.change_count, freed)


def _key(request: Request) -> tuple[str, bool]:
    return (request.service_name, request.is_urgent)


def _wait_seconds(entry: tuple[float, Target]) -> float:
    return entry[0]
