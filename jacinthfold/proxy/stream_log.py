"""Count and log how streams begin that are new or that callers take up."""

from prometheus_client import Counter

from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import Request

# Callers make up identifiers of any length.
MAX_LOGGED_ID_CHARACTERS = 64


def fields_of(request: Request) -> dict[str, str]:
    """Return the log fields of a stream that is taken up, else none."""
    facts = request.facts
    if not facts.is_taken_up:
        return {}
    return {
        'resumes': facts.resumed_id[:MAX_LOGGED_ID_CHARACTERS],
        'last_event_id': facts.last_event_id[:MAX_LOGGED_ID_CHARACTERS],
    }


def count_stream(
    counter: Counter, request: Request, progress: Progress
) -> None:
    """Count a stream at the host to which its caller sent it."""
    if not request.route.is_stream or request.is_relayed:
        return
    counter.labels(
        request.service_name, request.facts.is_taken_up, _beginning(progress)
    ).inc()


def _beginning(progress: Progress) -> str:
    if progress.first_event_seconds is not None:
        return 'begun'
    # What follows a colon names an address or an error.
    return progress.reason.partition(':')[0] or 'caller_left'
