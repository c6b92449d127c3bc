"""Share a target's limit among the hosts of its region.

A target names how many requests a second it takes from all hosts together,
often fewer than there are hosts. Split evenly, 65 hosts would grant one
request in 50 s each, and a host that has no caller at that moment wastes it.
So as few hosts as can each use a whole part of the limit hold it, by rank, and
the others send nothing to that target.
"""

from collections.abc import Iterable

from jacinthfold.clock import Clock
from jacinthfold.placement.ranks import RegionRanks
from jacinthfold.placement.request_limit import RequestLimit
from jacinthfold.placement.target import Target

# Share of a limit that is granted: hosts may disagree for a moment on who
# holds which part.
GRANTED_FRACTION = 0.9
# The least part that one host holds, where the limit is not smaller itself.
MIN_SHARE_PER_SECOND = 1.0
# Requests that a host may save up, and seconds of its part beside them.
BURST_REQUESTS = 2.0
BURST_SECONDS = 0.25
# Of what is saved, left for urgent requests.
URGENT_RESERVE_REQUESTS = 1.0


class LimitShares:
    """Grant this host's part of what targets take."""

    __slots__ = ('_ranks',)

    def __init__(self, own_name: str, clock: Clock) -> None:
        """Take the own name; other hosts are heard of later."""
        self._ranks = RegionRanks(own_name, clock)

    def update_hosts(self, names: Iterable[str]) -> None:
        """Take the names of the region's hosts that take requests."""
        self._ranks.update_hosts(names)

    def allows(self, target: Target, now: float, *, is_urgent: bool) -> bool:
        """Tell whether a target's limit has room for a request now."""
        limit = target.pushback.limit
        if limit.per_second is None:
            return True
        self._refill(limit, target.record.instance, now)
        reserved = 0.0 if is_urgent else URGENT_RESERVE_REQUESTS
        return limit.bucket_requests >= 1 + reserved

    def record_sent(self, target: Target, now: float) -> bool:
        """Take one request from a limit; tell whether there is one."""
        limit = target.pushback.limit
        if limit.per_second is None:
            return False
        self._refill(limit, target.record.instance, now)
        limit.bucket_requests -= 1
        return True

    def mean_per_second(self, limits: Iterable[RequestLimit]) -> float:
        """Return what one host may send by some limits, on average."""
        granted = sum(limit.per_second or 0.0 for limit in limits)
        return granted * GRANTED_FRACTION / self._ranks.host_count

    def _refill(self, limit: RequestLimit, instance: str, now: float) -> None:
        share = self._share_per_second(limit, instance, now)
        # A host that has just come to hold a part starts with nothing saved:
        # what the one before had saved may be on its way.
        gained = min(limit.share_per_second, share) * (now - limit.refilled_at)
        capacity = BURST_REQUESTS + BURST_SECONDS * share
        refilled = limit.bucket_requests + gained
        limit.bucket_requests = min(capacity, refilled) if share else 0.0
        limit.share_per_second = share
        limit.refilled_at = now

    def _share_per_second(
        self, limit: RequestLimit, instance: str, now: float
    ) -> float:
        if limit.per_second is None or not self._ranks.is_settled(now):
            return 0.0
        granted = limit.per_second * GRANTED_FRACTION
        hosts = self._ranks.host_count
        limit.holders = min(hosts, max(1, int(granted / MIN_SHARE_PER_SECOND)))
        shift = limit.rotation_at(now) * limit.holders
        rank = (self._ranks.position(instance) - shift) % hosts
        return granted / limit.holders if rank < limit.holders else 0.0
