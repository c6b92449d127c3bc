"""Measure how much of a cap is asked for."""

import math

# Over which asking is averaged: a peak that comes within two seconds is
# followed within half of one.
AVERAGING_SECONDS = 1.0
# The largest request of late keeps a share large enough for the next of its
# kind for about this long.
LARGEST_COST_DECAY_SECONDS = 4.0


class Demand:
    """Hold the rate that is asked for and the largest request of late."""

    __slots__ = ('_at', '_largest', '_rate', 'last_request_at')

    def __init__(self, now: float) -> None:
        """Start with none."""
        self._rate = 0.0
        self._largest = 0.0
        self._at = now
        self.last_request_at = now

    def record(self, cost: float, now: float) -> None:
        """Take that so much was asked for."""
        self._decay(now)
        self._rate += cost / AVERAGING_SECONDS
        self._largest = max(self._largest, cost)
        self.last_request_at = now

    def per_second(self, now: float) -> float:
        """Return what is asked for in a second."""
        self._decay(now)
        return self._rate

    def largest_cost(self, now: float) -> float:
        """Return about the largest request of late."""
        self._decay(now)
        return self._largest

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._rate *= math.exp(-elapsed / AVERAGING_SECONDS)
        self._largest *= math.exp(-elapsed / LARGEST_COST_DECAY_SECONDS)
