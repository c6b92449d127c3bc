"""Estimate whether a waiting request's turn comes in time."""

import math
from collections.abc import Hashable

# Share of the latency objective for which a request is held when the rate of
# placements doesn't make its turn likely: callers pay for being held in vain.
HOLD_SHARE = 1 / 8
# Time constant of the rate of placements: shorter than a burst of 5 to 7 s.
RATE_WINDOW_SECONDS = 2.0
# A lower rate says nothing about capacity: too few requests came.
MIN_PER_SECOND = 1 / RATE_WINDOW_SECONDS


class PlacementRates:
    """Measure how many requests of each class a host places per second."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start without placements."""
        self._counts: dict[Hashable, tuple[float, float]] = {}

    def record_placed(self, request_class: Hashable, now: float) -> None:
        """Count a request that was placed."""
        count = self._decayed(request_class, now) + 1
        self._counts[request_class] = (now, count)

    def per_second(self, request_class: Hashable, now: float) -> float:
        """Return the recent rate, 0 when too few were placed to tell."""
        rate = self._decayed(request_class, now) / RATE_WINDOW_SECONDS
        return rate if rate >= MIN_PER_SECOND else 0.0

    def _decayed(self, request_class: Hashable, now: float) -> float:
        at, count = self._counts.get(request_class, (now, 0.0))
        return count * math.exp(-max(0.0, now - at) / RATE_WINDOW_SECONDS)


def hold_seconds(
    useful_seconds: float, cautious_seconds: float, ahead: int, rate: float
) -> float:
    """Return how long a new request may wait, 0 if it must not.

    The useful time ends at its latest start. It is held that long only if its
    turn is likely to come, the cautious time if that is possible or unknown.
    """
    if useful_seconds <= 0:
        return 0.0
    turns = useful_seconds * rate
    if rate > 0 and turns < ahead + 1:
        return 0.0
    # One standard deviation of a Poisson count below its mean.
    if turns - math.sqrt(turns) >= ahead + 1:
        return useful_seconds
    return max(0.0, min(useful_seconds, cautious_seconds))
