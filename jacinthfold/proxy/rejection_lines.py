"""Log rejections one by one, and sum them up above a rate.

Load pattern: 200 rejections per second and host. Each is told by its line
`request_not_served`, with reason and Retry-After; the line `request_refused`
beside it has the estimates, which are alike for requests that come together.
"""

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.placement.decision import Reject
from jacinthfold.proxy import request_log
from jacinthfold.request.messages import Request

# Lines with estimates per reason and window.
MAX_LINES = 20
WINDOW_SECONDS = 1.0


class _Window:
    """Count the rejections for one reason within a second."""

    __slots__ = ('count', 'started_at')

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.count = 0


class RejectionLines:
    """Log the estimates behind rejections, at most so many per second."""

    __slots__ = ('_clock', '_windows')

    def __init__(self, clock: Clock) -> None:
        """Start without rejections."""
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def log(self, request: Request, rejection: Reject) -> None:
        """Log a rejection, or count it for the summary of its reason."""
        self._end_windows()
        window = self._windows.get(rejection.reason)
        if window is None:
            window = _Window(self._clock.monotonic())
            self._windows[rejection.reason] = window
        window.count += 1
        if window.count <= MAX_LINES:
            request_log.log_placement_rejection(request, rejection)

    def _end_windows(self) -> None:
        now = self._clock.monotonic()
        ended = [
            reason
            for reason, window in self._windows.items()
            if now - window.started_at >= WINDOW_SECONDS
        ]
        for reason in ended:
            window = self._windows.pop(reason)
            left_out = window.count - MAX_LINES
            if left_out > 0:
                logs.event(
                    'requests_refused',
                    reason=reason,
                    count=window.count,
                    left_out=left_out,
                    seconds=now - window.started_at,
                )
