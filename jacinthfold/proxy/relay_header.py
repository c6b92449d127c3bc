"""Write and read what entry hosts tell each other about a request."""

import json

from jacinthfold.catalogue.model import RetryPolicy, Route
from jacinthfold.request.messages import Headers, Request, first_header

# Both are dropped from what callers send and from what targets get.
REQUEST_HEADER = b'jacinthfold-passed'
ANSWER_HEADER = b'jacinthfold-outcome'
# Beside "not run", which hosts of the version before go by alone.
REASON_HEADER = b'jacinthfold-reason'
INTERNAL_HEADERS = frozenset((REQUEST_HEADER, ANSWER_HEADER, REASON_HEADER))


TOLD_NOT_RUN = b'not_run'
TOLD_UNKNOWN = b'unknown'


def told(outcome: bytes) -> Headers:
    """Return the header that tells an entry host how a request ended."""
    return [(ANSWER_HEADER, outcome)]


def told_quarantined() -> Headers:
    """Return the header that tells why no host is to send the request."""
    return [(REASON_HEADER, b'quarantined')]


def is_told_quarantined(headers: Headers) -> bool:
    """Tell whether another host says that no host is to send a request."""
    return bool(first_header(headers, REASON_HEADER))


def without_internal(headers: Headers) -> Headers:
    """Return headers without those that only entry hosts may set."""
    return [
        (name, content)
        for name, content in headers
        if name.lower() not in INTERNAL_HEADERS
    ]


def write(
    request: Request,
    left_seconds: float,
    elapsed_seconds: float,
    *,
    is_paid: bool = False,
) -> Headers:
    """Return the header that passes a request's route to another host.

    A paid request was permitted under its organisation's cap, for one run.
    """
    route = request.route
    # The receiver may hold an older configuration: it goes by ours.
    document = {
        'service': request.service_name,
        'stream': route.is_stream,
        'repetition': route.retry_policy.value,
        'aim_seconds': route.latency_objective_seconds,
        'gap_aim_seconds': route.gap_objective_seconds,
        'priority': route.priority,
        # The sender can't see how many targets ran the request there. With
        # one each, its own count is the whole count.
        'max_attempts': 1,
        'homes': sorted(request.home_regions),
        'left_seconds': round(left_seconds, 3),
        'elapsed_seconds': round(elapsed_seconds, 3),
    }
    if request.organisation is not None:
        # The name, never the key: the other host looks it up by itself.
        document['organisation'] = request.organisation.name
        document['paid'] = is_paid
    content = json.dumps(document, separators=(',', ':')).encode()
    return [(REQUEST_HEADER, content)]


def read(request: Request, now: float) -> str:
    """Take the route that another host wrote; raise ValueError.

    Return the name of the organisation that it let in, or nothing.
    """
    content = first_header(request.headers, REQUEST_HEADER)
    if not content:
        raise ValueError('not passed on by an entry host')
    document = json.loads(content)
    route = Route('passed', '', '', ((document['service'], 1),))
    route.is_stream = document['stream']
    route.retry_policy = RetryPolicy(document['repetition'])
    route.latency_objective_seconds = document['aim_seconds']
    route.gap_objective_seconds = document['gap_aim_seconds']
    route.priority = document['priority']
    route.max_attempts = document['max_attempts']
    route.home_regions = frozenset(document['homes'])
    route.timeout_seconds = document['left_seconds']
    request.route = route
    request.service_name = document['service']
    request.is_relayed = True
    request.received_at = now - document['elapsed_seconds']
    request.deadline = now + document['left_seconds']
    request.is_paid = bool(document.get('paid'))
    return str(document.get('organisation', ''))
