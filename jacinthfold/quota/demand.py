"""Measure the demand for an organisation's cap."""

import math

# Time constant of the average. When a peak builds up over two seconds, the
# average follows within half a second.
AVERAGING_SECONDS = 1.0
# Time constant of the largest recent cost: for about this long the share stays
# large enough for another request of that size.
LARGEST_COST_DECAY_SECONDS = 4.0


class Demand:
    """Requested rate and the largest recent cost, both decaying."""

    __slots__ = ('_at', '_largest', '_rate', 'last_request_at')

    def __init__(self, now: float) -> None:
        """Start with no demand."""
        self._rate = 0.0
        self._largest = 0.0
        self._at = now
        self.last_request_at = now

    def record(self, cost: float, now: float) -> None:
        """Record a request and its cost."""
        self._decay(now)
        self._rate += cost / AVERAGING_SECONDS
        self._largest = max(self._largest, cost)
        self.last_request_at = now

    def per_second(self, now: float) -> float:
        """Return the requested cost per second."""
        self._decay(now)
        return self._rate

    def largest_cost(self, now: float) -> float:
        """Return the decayed cost of the largest recent request."""
        self._decay(now)
        return self._largest

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._rate *= math.exp(-elapsed / AVERAGING_SECONDS)
        self._largest *= math.exp(-elapsed / LARGEST_COST_DECAY_SECONDS)
