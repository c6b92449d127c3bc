"""Pace requests to cold targets over all hosts of a region.

A cold target crashes when it gets much more than it tolerates, comes back
cold and crashes again. Only the sum over all hosts counts, and they hear of
each other's requests too late, so one host alone sends to a cold target.
"""

from collections.abc import Iterable

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.ranks import RegionRanks
from jacinthfold.placement.target import Target

# A host sends nothing to cold engines for so long after its start: until the
# first heartbeats have come it knows few of those that start beside it, and of
# 24 hosts ten took the same engine for their own.
QUIET_SECONDS = 0.6
# Of the usual pace, until every host that started beside it has been heard.
# Hosts that start one after another each know those before them, and one in k
# of them is first among k: of 24 hosts four take the same engine for their own,
# and at a third of the pace each sends one request in a second, where an engine
# stands seven.
UNSETTLED_SHARE = 1 / 3
_SECOND = 1.0


class ColdTargetPacer:
    """Decide whether this host may send to a cold target now."""

    __slots__ = ('_quiet_until', 'ranks')

    def __init__(self, own_name: str, clock: Clock) -> None:
        """Take the own name; other hosts are heard of later."""
        self.ranks = RegionRanks(own_name, clock)
        self._quiet_until = clock.monotonic() + QUIET_SECONDS

    @property
    def host_count(self) -> int:
        """Return how many hosts the region has."""
        return self.ranks.host_count

    def update_hosts(self, names: Iterable[str]) -> None:
        """Take the names of all hosts of the region, this one included."""
        self.ranks.update_hosts(names)

    def allows(self, target: Target, per_second: float, now: float) -> bool:
        """Tell whether a request may be sent to a cold target now."""
        if now < self._quiet_until or per_second <= 0:
            return False
        if now < target.paced_at + self._pause_seconds(per_second, now):
            return False
        return self.ranks.position(target.record.instance) == 0

    def record_sent(self, target: Target, now: float) -> None:
        """Take that a request was sent to a cold target."""
        target.paced_at = now

    def _pause_seconds(self, per_second: float, now: float) -> float:
        share = limits.COLD_PACE_SHARE
        if not self.ranks.is_settled(now):
            share *= UNSETTLED_SHARE
        return _SECOND / (per_second * share)
