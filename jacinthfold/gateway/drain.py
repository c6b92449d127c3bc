"""Decide which requests a draining host still accepts.

Callers cache directory responses for some seconds and reuse open connections,
so a draining host keeps serving. A request that can't complete before the
process exits is rejected: cut off, it would be a lost response to its caller.
"""

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.request.messages import Request

# All requests are accepted for this long after the signal: callers can't know
# of the stop yet.
ACCEPT_ALL_SECONDS = 2.0
# An engine under load takes 4 to 9 ms for an output token. The caller's token
# count is an upper bound.
SECONDS_PER_OUTPUT_TOKEN = 0.011
SECONDS_BEFORE_OUTPUT = 1.5
# Streams that take longer than expected raise what is expected of others of
# their service; each later one takes away a part of what it doesn't confirm.
MAX_SLOWNESS = 5.0
SLOWNESS_DECAY = 0.02
SLOWNESS_MARGIN = 1.1
# Streams that may not be repeated are accepted with this much more time.
UNREPEATABLE_MARGIN = 2.0
# Services whose slowness is remembered.
MAX_SERVICES = 256
# Part of the grace period reserved for writing the last bytes.
WRITE_MARGIN_SECONDS = 0.4


class Drain:
    """Track the drain of this host before it stops."""

    def __init__(self, clock: Clock) -> None:
        """Create the state of a host that is not draining."""
        self._clock = clock
        self._started_at: float | None = None
        # Largest ratio of taken to expected seconds of late, by service.
        self._slowness: dict[str, float] = {}
        self.ends_at = 0.0

    def begin(self, grace_seconds: float) -> None:
        """Start to drain; the process exits after the grace period."""
        self._started_at = self._clock.monotonic()
        self.ends_at = self._started_at + grace_seconds - WRITE_MARGIN_SECONDS

    @property
    def elapsed_seconds(self) -> float:
        """Return the time since the drain began, 0 before it."""
        if self._started_at is None:
            return 0.0
        return self._clock.monotonic() - self._started_at

    def may_accept(self, request: Request) -> bool:
        """Return whether a request can complete before this host stops."""
        if self.elapsed_seconds <= ACCEPT_ALL_SECONDS:
            return True
        now = self._clock.monotonic()
        longest_seconds = request.deadline - now
        if request.route.is_stream:
            longest_seconds = min(
                longest_seconds, self._expected_seconds(request)
            )
        return now + longest_seconds < self.ends_at

    def may_start(self, request: Request) -> bool:
        """Return whether a request that waited here can still be served."""
        # It was accepted before its caller could know of the stop, so that the
        # time it is expected to take counts, and not the longest one.
        if self._started_at is None:
            return True
        now = self._clock.monotonic()
        seconds = self._expected_seconds(request)
        return now + min(seconds, request.deadline - now) < self.ends_at

    def record_stream(self, request: Request) -> None:
        """Record that a stream has just been served from its first event."""
        service = request.service_name
        known = self._slowness.get(service)
        if known is None and len(self._slowness) >= MAX_SERVICES:
            return
        taken_seconds = self._clock.monotonic() - request.received_at
        ratio = taken_seconds / _usual_seconds(request)
        ratio = min(MAX_SLOWNESS, max(1.0, ratio))
        if known is not None:
            ratio = max(ratio, known - (known - ratio) * SLOWNESS_DECAY)
        self._slowness[service] = ratio

    def _expected_seconds(self, request: Request) -> float:
        """Return what the slowest streams of late would take."""
        slowness = self._slowness.get(request.service_name, 1.0)
        seconds = _usual_seconds(request) * (
            1.0 + (slowness - 1.0) * SLOWNESS_MARGIN
        )
        if request.route.retry_policy is RetryPolicy.NEVER:
            # The target may get slower, and nobody may ask for it again.
            return seconds * UNREPEATABLE_MARGIN
        return seconds


def _usual_seconds(request: Request) -> float:
    return (
        request.facts.output_tokens * SECONDS_PER_OUTPUT_TOKEN
        + SECONDS_BEFORE_OUTPUT
    )
