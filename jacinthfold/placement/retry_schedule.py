"""Tell refused callers when to come back, one after another."""

from jacinthfold.clock import Clock

# Callers are not sent away for longer: limits end, and targets are added.
MAX_RETRY_AFTER_SECONDS = 5.0


class RetrySchedule:
    """Spread returns over time at the pace at which they can be served."""

    __slots__ = ('_clock', '_next_at')

    def __init__(self, clock: Clock) -> None:
        """Start with no return agreed on."""
        self._clock = clock
        self._next_at: dict[str, float] = {}

    def after_seconds(self, service: str, per_second: float) -> float:
        """Return when the next caller of a service is to come back."""
        now = self._clock.monotonic()
        last_at = max(now, self._next_at.get(service, now))
        latest_at = now + MAX_RETRY_AFTER_SECONDS
        next_at = latest_at
        if per_second > 0:
            next_at = min(latest_at, last_at + 1 / per_second)
        self._next_at[service] = next_at
        return next_at - now
