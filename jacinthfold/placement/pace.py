"""Limit the request rate to cold targets over all hosts of a region.

A cold target crashes when it gets much more than it tolerates, restarts cold
and crashes again. The sum over all hosts counts, and their reports of requests
arrive too late, so only one host sends to a cold target.
"""

from collections.abc import Iterable

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.ranks import RegionRanks
from jacinthfold.placement.target import Target

# A host sends nothing to cold engines for this time after its start. Before the
# first heartbeats it knows few of the hosts that start together with it: of 24
# hosts ten ranked first for the same engine.
QUIET_SECONDS = 0.6
# Share of the usual rate until all hosts that started together are known. Hosts
# that start one after another each know those before them, and one in k of them
# ranks first among k: of 24 hosts four rank first for the same engine. At a
# third of the rate each sends one request per second, and an engine tolerates
# seven.
UNSETTLED_SHARE = 1 / 3
_SECOND = 1.0


class ColdTargetPacer:
    """Decide whether this host may send to a cold target now."""

    __slots__ = ('_quiet_until', 'ranks')

    def __init__(self, own_name: str, clock: Clock) -> None:
        """Start with the own name; other hosts become known later."""
        self.ranks = RegionRanks(own_name, clock)
        self._quiet_until = clock.monotonic() + QUIET_SECONDS

    @property
    def host_count(self) -> int:
        """Return the number of hosts in the region."""
        return self.ranks.host_count

    def update_hosts(self, names: Iterable[str]) -> None:
        """Replace the names of the region's hosts; the own one is implied."""
        self.ranks.update_hosts(names)

    def allows(self, target: Target, per_second: float, now: float) -> bool:
        """Tell whether a request may be sent to a cold target now."""
        if now < self._quiet_until or per_second <= 0:
            return False
        if now < target.paced_at + self._pause_seconds(per_second, now):
            return False
        return self.ranks.position(target.record.instance) == 0

    def record_sent(self, target: Target, now: float) -> None:
        """Record the time of a request to a cold target."""
        target.paced_at = now

    def _pause_seconds(self, per_second: float, now: float) -> float:
        share = limits.COLD_PACE_SHARE
        if not self.ranks.is_settled(now):
            share *= UNSETTLED_SHARE
        return _SECOND / (per_second * share)
