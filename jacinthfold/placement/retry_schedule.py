"""Assign retry times to rejected callers, one after another."""

import random
from collections.abc import Hashable

from jacinthfold.clock import Clock

# Longest retry time: limits may end, and targets may be added.
MAX_RETRY_AFTER_SECONDS = 5.0


class RetrySchedule:
    """Spread retries over time at the rate at which they can be served."""

    __slots__ = ('_clock', '_next_at')

    def __init__(self, clock: Clock) -> None:
        """Start without assigned retry times."""
        self._clock = clock
        self._next_at: dict[str, float] = {}

    def after_seconds(self, service: str, per_second: float) -> float:
        """Return in how many seconds a service's next caller is to retry."""
        now = self._clock.monotonic()
        last_at = max(now, self._next_at.get(service, now))
        latest_at = now + MAX_RETRY_AFTER_SECONDS
        next_at = latest_at
        if per_second > 0:
            next_at = min(latest_at, last_at + 1 / per_second)
        self._next_at[service] = next_at
        return next_at - now


# Callers honour a Retry-After of at most a third of their remaining time.
HONOURED_SHARE = 1 / 3
# Return times at the bound are spread over this share of it.
BOUND_SPREAD_SHARE = 0.3


class ReturnTime:
    """Hold when a rejected caller is to return."""

    __slots__ = ('is_past_deadline', 'seconds')

    def __init__(self, seconds: float, *, is_past_deadline: bool) -> None:
        """Set the seconds and whether no return before the deadline helps."""
        self.seconds = seconds
        self.is_past_deadline = is_past_deadline


class ReturnSchedule:
    """Tell rejected callers when a host will have capacity for them.

    Load pattern: a step of 2.5 times. Callers that are told a time without
    regard to the others return together and are rejected four to five times.
    """

    __slots__ = ('_clock', '_min_seconds', '_next_at', '_random')

    def __init__(
        self, clock: Clock, source: random.Random, min_seconds: float
    ) -> None:
        """Start without assigned times; none is shorter than the minimum."""
        self._clock = clock
        self._random = source
        self._min_seconds = min_seconds
        self._next_at: dict[Hashable, float] = {}

    def assign(
        self,
        request_class: Hashable,
        per_second: float,
        ahead_seconds: float,
        remaining_seconds: float,
    ) -> ReturnTime:
        """Assign the next time at which a class has capacity again.

        The time ahead is that of the queue and of the targets' own load.
        """
        now = self._clock.monotonic()
        first_at = now + max(self._min_seconds, ahead_seconds)
        next_at = max(first_at, self._next_at.get(request_class, 0.0))
        # Half an interval on average, so that returns don't arrive in step.
        next_at += self._random.uniform(0.5, 1.5) / per_second
        seconds = next_at - now
        if ahead_seconds >= remaining_seconds:
            # Not reserved: the caller will not come.
            spread = self._random.uniform(0, BOUND_SPREAD_SHARE)
            return ReturnTime(
                max(self._min_seconds, remaining_seconds) * (1 + spread),
                is_past_deadline=True,
            )
        longest = max(self._min_seconds, remaining_seconds * HONOURED_SHARE)
        # The caller returns by then in any case. Reserved further ahead, the
        # schedule would stay full for as long after a burst.
        self._next_at[request_class] = min(next_at, now + longest)
        if seconds > longest:
            spread = self._random.uniform(0, BOUND_SPREAD_SHARE)
            seconds = max(self._min_seconds, longest * (1 - spread))
        return ReturnTime(seconds, is_past_deadline=False)
