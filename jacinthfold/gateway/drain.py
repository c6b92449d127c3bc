"""Decide what a host that is about to stop still takes.

Callers hold directory answers that name it for some seconds and keep using
open connections, so it serves on; but a request that can't end before the
process does would be cut, which callers see as a lost answer.
"""

from jacinthfold.clock import Clock
from jacinthfold.request.messages import Request

# Requests sent this soon after the signal are taken whatever they are: nobody
# can have heard of the stop.
ACCEPT_ALL_SECONDS = 2.0
# An engine under load makes an output token in 4 to 9 ms; a caller's figure
# of tokens is the most that may come.
SECONDS_PER_OUTPUT_TOKEN = 0.011
SECONDS_BEFORE_OUTPUT = 1.5
# Left of the grace for the last bytes to be written.
WRITE_MARGIN_SECONDS = 0.4


class Drain:
    """Hold when this host stops."""

    def __init__(self, clock: Clock) -> None:
        """Start as a host that stays."""
        self._clock = clock
        self._started_at: float | None = None
        self.ends_at = 0.0

    def begin(self, grace_seconds: float) -> None:
        """Take that the process ends after the grace."""
        self._started_at = self._clock.monotonic()
        self.ends_at = self._started_at + grace_seconds - WRITE_MARGIN_SECONDS

    @property
    def elapsed_seconds(self) -> float:
        """Return the time since the host began to leave, 0 before."""
        if self._started_at is None:
            return 0.0
        return self._clock.monotonic() - self._started_at

    def may_accept(self, request: Request) -> bool:
        """Tell whether a request can end before this host does."""
        if self.elapsed_seconds <= ACCEPT_ALL_SECONDS:
            return True
        now = self._clock.monotonic()
        longest_seconds = request.deadline - now
        if request.route.is_stream:
            output_seconds = (
                request.facts.output_tokens * SECONDS_PER_OUTPUT_TOKEN
            )
            longest_seconds = min(
                longest_seconds, output_seconds + SECONDS_BEFORE_OUTPUT
            )
        return now + longest_seconds < self.ends_at
