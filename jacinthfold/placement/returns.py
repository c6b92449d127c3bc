"""Tell refused callers when to come back, one after another."""

from jacinthfold.clock import Clock

# Callers are not sent away for longer: limits end, and targets are added.
LONGEST_SECONDS = 5.0


class ReturnSchedule:
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
        longest_at = now + LONGEST_SECONDS
        found = longest_at
        if per_second > 0:
            found = min(longest_at, last_at + 1 / per_second)
        self._next_at[service] = found
        return found - now
