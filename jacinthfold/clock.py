"""Clock interface that tests can replace."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Provide monotonic time and the date."""

    def monotonic(self) -> float:
        """Return monotonic seconds from an arbitrary start."""

    def boottime(self) -> float:
        """Return monotonic seconds that include the time in suspend."""

    def now(self) -> datetime:
        """Return the date and time in UTC."""


class SystemClock:
    """Read the system clocks."""

    def monotonic(self) -> float:
        """Return monotonic seconds from an arbitrary start."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return monotonic seconds that include the time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the date and time in UTC."""
        return datetime.now(UTC)
