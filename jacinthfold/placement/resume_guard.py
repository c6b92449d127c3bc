"""Detect that this host was frozen or suspended.

Requests that were placed before, or that waited in a connection, would be sent
before the host reads what changed meanwhile.
"""

from jacinthfold.clock import Clock

# After a shorter pause than this, a request still reaches its target within 5 s
# of the target's leaving.
MIN_PAUSE_SECONDS = 3.0
# Heartbeats, pending watches and a query of the store bring a new proof within
# this time. A host without one by then is cut off.
RESUME_SECONDS = 1.5


class ResumeGuard:
    """Tell whether this host has just resumed from a pause."""

    __slots__ = ('_clock', '_min_pause_seconds', '_resumed_at', '_ticked_at')

    def __init__(
        self, clock: Clock, min_pause_seconds: float = MIN_PAUSE_SECONDS
    ) -> None:
        """Start without a pause; none is detected before the first tick."""
        self._clock = clock
        self._min_pause_seconds = min_pause_seconds
        self._ticked_at = float('inf')
        self._resumed_at = float('-inf')

    def tick(self) -> None:
        """Record that this host runs; call it several times a second."""
        if self._is_overdue():
            self._resumed_at = self._clock.boottime()
        self._ticked_at = self._clock.boottime()

    def is_resuming(self) -> bool:
        """Return whether a pause ended so recently that news may be missing."""
        if self._is_overdue():
            return True
        return self._clock.boottime() - self._resumed_at < RESUME_SECONDS

    def _is_overdue(self) -> bool:
        pause_seconds = self._clock.boottime() - self._ticked_at
        return pause_seconds > self._min_pause_seconds
