"""Pace requests to cold targets over all hosts of a region.

A cold target crashes when it gets much more than it tolerates, comes back
cold and crashes again. Only the sum over all hosts counts, and they hear of
each other's requests too late, so one host alone sends to a cold target.
"""

from collections.abc import Iterable

from jacinthfold.hashing import rank
from jacinthfold.placement import limits
from jacinthfold.placement.target import Target

_SECOND = 1.0


class ColdPace:
    """Decide whether this host may send to a cold target now."""

    __slots__ = ('_hosts', '_own_name')

    def __init__(self, own_name: str) -> None:
        """Take the own name; other hosts are heard of later."""
        self._own_name = own_name
        self._hosts: tuple[str, ...] = (own_name,)

    @property
    def host_count(self) -> int:
        """Return how many hosts the region has."""
        return len(self._hosts)

    def follow_hosts(self, names: Iterable[str]) -> None:
        """Take the names of all hosts of the region, this one included."""
        self._hosts = tuple(sorted({self._own_name, *names}))

    def allows(self, target: Target, per_second: float, now: float) -> bool:
        """Tell whether a request may be sent to a cold target now."""
        if now < target.paced_until or per_second <= 0:
            return False
        return rank(target.record.instance, self._hosts)[0] == self._own_name

    def note_sent(self, target: Target, per_second: float, now: float) -> None:
        """Take that a request was sent to a cold target."""
        pause = _SECOND / (per_second * limits.COLD_PACE_SHARE)
        target.paced_until = now + pause
