"""Bound the time from a request's arrival to its first event."""

from jacinthfold.placement import limits
from jacinthfold.request.messages import Request
from jacinthfold.request.silence_limits import SilenceLimits


def first_event_limit_seconds(request: Request) -> float:
    """Return after how many seconds an expected first event is too late."""
    if request.origin is None:
        seconds = request.route.latency_objective_seconds
    else:
        # The caller has part of the stream: a late rest is of use to it, until
        # it stops waiting.
        seconds = SilenceLimits(request.route).hard_seconds
    return seconds * limits.OBJECTIVE_SHARE
