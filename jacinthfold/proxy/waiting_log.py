"""Log and label the requests that wait for capacity."""

from jacinthfold import logs
from jacinthfold.placement.decision import Choice, Reject
from jacinthfold.placement.waiting_queue import WaitingRequest
from jacinthfold.request.messages import Request

# Priorities from this one on share a metric label.
LAST_PRIORITY_LABEL = 3


def labels(request: Request) -> tuple[str, str]:
    """Return the metric labels of a waiting request."""
    priority = max(0, request.rank)
    if priority >= LAST_PRIORITY_LABEL:
        return request.service_name, f'{LAST_PRIORITY_LABEL}+'
    return request.service_name, str(priority)


def ending_of(choice: Choice | None) -> str:
    """Name why a request left the queue."""
    if choice is None:
        return 'not_admitted'
    return choice.reason if isinstance(choice, Reject) else 'placed'


def log_entered(
    request: Request,
    entry: WaitingRequest,
    rejection: Reject,
    ahead: int,
    per_second: float,
) -> None:
    """Log that a request waits, and what its wait was computed from."""
    logs.event(
        'request_waits',
        request=request.facts.request_id,
        service=request.service_name,
        priority=request.rank,
        size=entry.request_class.size.value,
        reason=rejection.reason,
        ahead=ahead,
        placed_per_second=per_second,
        hold_seconds=entry.leaves_at - entry.entered_at,
        useful_seconds=entry.latest_start_at - entry.entered_at,
    )


def log_left(
    request: Request, seconds: float, trials: int, ending: str
) -> None:
    """Log that a request no longer waits, and why."""
    logs.event(
        'request_waited',
        request=request.facts.request_id,
        service=request.service_name,
        priority=request.rank,
        seconds=seconds,
        trials=trials,
        ending=ending,
    )
