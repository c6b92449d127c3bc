"""Assign retry times to rejected callers, one after another."""

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
