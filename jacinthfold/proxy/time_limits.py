"""End requests at their deadlines, or before this host stops."""

import asyncio

from jacinthfold.clock import Clock
from jacinthfold.request.messages import Request

# Reasons of requests that were ended.
DEADLINE = 'deadline'
HOST_STOPS = 'host_stops'
# What it takes to write the last responses before the process ends.
RESPONSE_MARGIN_SECONDS = 0.2


class TimeLimit:
    """Limit the time of one request."""

    __slots__ = ('reason', 'timeout')

    def __init__(self, timeout: asyncio.Timeout) -> None:
        """Store the timeout, to be entered while the request is served."""
        self.timeout = timeout
        # Why the request ends when its time is over.
        self.reason = DEADLINE


class TimeLimits:
    """Limit the time of all requests that are being served."""

    def __init__(self, clock: Clock) -> None:
        """Start without an end of this host."""
        self._clock = clock
        self._running: set[TimeLimit] = set()
        self._ends_at = float('inf')

    def start(self, request: Request) -> TimeLimit:
        """Return the limit of a request that begins to be served."""
        until = min(request.deadline, self._ends_at)
        limit = TimeLimit(asyncio.timeout_at(self._loop_time(until)))
        if self._ends_at < request.deadline:
            limit.reason = HOST_STOPS
        self._running.add(limit)
        return limit

    def finish(self, limit: TimeLimit) -> None:
        """Drop the limit of a request that is over."""
        self._running.discard(limit)

    def begin_drain(self, ends_at: float) -> None:
        """Let no request take longer than this host runs."""
        self._ends_at = ends_at - RESPONSE_MARGIN_SECONDS
        until = self._loop_time(self._ends_at)
        for limit in self._running:
            before = limit.timeout.when()
            if before is None or until < before:
                limit.reason = HOST_STOPS
                limit.timeout.reschedule(until)

    def _loop_time(self, at: float) -> float:
        """Return the event loop's time for one of the clock."""
        remaining_seconds = max(0.0, at - self._clock.monotonic())
        return asyncio.get_running_loop().time() + remaining_seconds
