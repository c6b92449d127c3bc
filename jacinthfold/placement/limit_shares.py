"""Share a target's rate limit among the hosts of its region.

A target sets a limit for all hosts together, often with fewer requests per
second than there are hosts. Split evenly, 65 hosts would grant one request in
50 s each, and hosts without a caller at that moment would waste theirs. So the
limit is held by the first hosts in rank, as few as get a usable share each, and
the others send nothing to that target.
"""

from collections.abc import Iterable

from jacinthfold.clock import Clock
from jacinthfold.placement.ranks import RegionRanks
from jacinthfold.placement.request_limit import RequestLimit
from jacinthfold.placement.target import Target

# Fraction of a limit that is granted: hosts may disagree briefly on which of
# them hold it.
GRANTED_FRACTION = 0.9
# Smallest share of one host, unless the limit itself is smaller.
MIN_SHARE_PER_SECOND = 1.0
# Capacity of a host's token bucket: requests, plus seconds of its share.
BURST_REQUESTS = 2.0
BURST_SECONDS = 0.25
# Requests in the bucket that are reserved for urgent ones.
URGENT_RESERVE_REQUESTS = 1.0


class LimitShares:
    """Grant requests from this host's shares of targets' limits."""

    __slots__ = ('_ranks',)

    def __init__(self, own_name: str, clock: Clock) -> None:
        """Start with the own name; other hosts become known later."""
        self._ranks = RegionRanks(own_name, clock)

    def update_hosts(self, names: Iterable[str]) -> None:
        """Replace the names of the region's hosts that accept requests."""
        self._ranks.update_hosts(names)

    def allows(self, target: Target, now: float, *, is_urgent: bool) -> bool:
        """Tell whether a target's limit allows a request now."""
        limit = target.pushback.limit
        if limit.per_second is None:
            return True
        self._refill(limit, target.record.instance, now)
        reserved = 0.0 if is_urgent else URGENT_RESERVE_REQUESTS
        return limit.bucket_requests >= 1 + reserved

    def record_sent(self, target: Target, now: float) -> bool:
        """Spend one request of a limit; return False without a limit."""
        limit = target.pushback.limit
        if limit.per_second is None:
            return False
        self._refill(limit, target.record.instance, now)
        limit.bucket_requests -= 1
        return True

    def mean_per_second(self, limits: Iterable[RequestLimit]) -> float:
        """Return the average requests per second that limits allow a host."""
        granted = sum(limit.per_second or 0.0 for limit in limits)
        return granted * GRANTED_FRACTION / self._ranks.host_count

    def _refill(self, limit: RequestLimit, instance: str, now: float) -> None:
        share = self._share_per_second(limit, instance, now)
        # A new holder starts with an empty bucket: the requests of the previous
        # holder's bucket may still be in transit.
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
