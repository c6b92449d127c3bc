"""Tell the time through an interface, so that tests can set it."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Give monotonic seconds and the date."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

    def boottime(self) -> float:
        """Return such seconds that run on while the machine is suspended."""

    def now(self) -> datetime:
        """Return the date and time in UTC."""


class SystemClock:
    """Read the machine's clocks."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return such seconds that run on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the date and time in UTC."""
        return datetime.now(UTC)
