"""Write and read the headers that entry hosts send each other."""

import json
from typing import Annotated
from urllib.parse import quote, unquote

import msgspec

from jacinthfold import logs
from jacinthfold.catalogue.model import RetryPolicy, Route
from jacinthfold.request.messages import (
    BodyEnd,
    Headers,
    Request,
    ResponseHead,
    first_header,
)
from jacinthfold.request.numbers import excerpt
from jacinthfold.request.stream_origin import StreamOrigin

# Internal headers are dropped from callers' requests and are never sent to
# targets.
REQUEST_HEADER = b'jacinthfold-passed'
OUTCOME_HEADER = b'jacinthfold-outcome'
# Sent beside the outcome "not_run". Hosts of the previous version read only the
# outcome.
REASON_HEADER = b'jacinthfold-reason'
# The software version at which the stream of a response began.
VERSION_HEADER = b'jacinthfold-version'
# Sent with a response whose target did not mark the end of its body. Hosts of
# the previous version ignore it.
END_HEADER = b'jacinthfold-end'
UNMARKED_END = b'unmarked'
INTERNAL_HEADERS = frozenset(
    (
        REQUEST_HEADER,
        OUTCOME_HEADER,
        REASON_HEADER,
        VERSION_HEADER,
        END_HEADER,
    )
)


# Longer than any route allows; a higher value is an error of the sender.
MAX_RELAYED_SECONDS = 86400.0
MAX_RELAYED_ATTEMPTS = 100
MAX_RELAYED_PRIORITY = 1_000_000
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_RELAYED_SECONDS)]
_Attempts = Annotated[int, msgspec.Meta(ge=1, le=MAX_RELAYED_ATTEMPTS)]


class _RelayedRoute(msgspec.Struct):
    service: str
    stream: bool
    repetition: RetryPolicy
    aim_seconds: _Seconds
    gap_aim_seconds: _Seconds
    priority: int
    max_attempts: _Attempts
    homes: frozenset[str]
    # Slightly negative if the deadline passed on the way.
    left_seconds: Annotated[
        float, msgspec.Meta(ge=-MAX_RELAYED_SECONDS, le=MAX_RELAYED_SECONDS)
    ]
    elapsed_seconds: _Seconds
    organisation: str = ''
    paid: bool = False
    # The attempt and the software version that began the stream.
    begun: tuple[str, str] | None = None


_route_decoder = msgspec.json.Decoder(_RelayedRoute)

OUTCOME_NOT_RUN = b'not_run'
OUTCOME_UNKNOWN = b'unknown'


def outcome_header(outcome: bytes) -> Headers:
    """Return the header that reports an outcome to another entry host."""
    return [(OUTCOME_HEADER, outcome)]


def quarantined_header() -> Headers:
    """Return the header that tells other hosts not to send the request."""
    return [(REASON_HEADER, b'quarantined')]


def is_marked_quarantined(headers: Headers) -> bool:
    """Check whether another host reports the request as quarantined."""
    return bool(first_header(headers, REASON_HEADER))


def without_internal(headers: Headers) -> Headers:
    """Return the headers without those that only entry hosts may set."""
    return [
        (name, content)
        for name, content in headers
        if name.lower() not in INTERNAL_HEADERS
    ]


def route_header(
    request: Request,
    remaining_seconds: float,
    elapsed_seconds: float,
    *,
    has_permit: bool = False,
) -> Headers:
    """Return the header that carries a request's route to another host.

    has_permit means that the organisation's cap permitted one run.
    """
    route = request.route
    # The receiver may have an older configuration, so it uses this one.
    document = {
        'service': request.service_name,
        'stream': route.is_stream,
        'repetition': route.retry_policy.value,
        'aim_seconds': route.latency_objective_seconds,
        'gap_aim_seconds': route.gap_objective_seconds,
        'priority': route.priority,
        # The sender can't see how many targets ran the request there. With one
        # attempt per relay, its own count covers all attempts.
        'max_attempts': 1,
        'homes': sorted(request.home_regions),
        'left_seconds': round(remaining_seconds, 3),
        'elapsed_seconds': round(elapsed_seconds, 3),
    }
    if request.organisation is not None:
        # The name, never the key: the other host looks the name up itself.
        document['organisation'] = request.organisation.name
        document['paid'] = has_permit
    origin = request.origin
    if origin is not None and origin.software_version is not None:
        document['begun'] = (origin.attempt_id, origin.software_version)
    content = json.dumps(document, separators=(',', ':')).encode()
    return [(REQUEST_HEADER, content)]


def version_header(origin: StreamOrigin | None) -> Headers:
    """Return the header that tells a peer where a stream began."""
    if origin is None or origin.software_version is None:
        return []
    # Versions may have characters that headers can't.
    return [(VERSION_HEADER, quote(origin.software_version, safe='').encode())]


def take_version(head: ResponseHead) -> str | None:
    """Remove a peer's version header from a response and return its value.

    Hosts of the previous version send none.
    """
    content = first_header(head.headers, VERSION_HEADER)
    head.headers = [
        pair for pair in head.headers if pair[0].lower() != VERSION_HEADER
    ]
    return unquote(content.decode('latin-1')) or None


def end_header(head: ResponseHead) -> Headers:
    """Return the header that tells a peer that nothing marked the end."""
    if head.body_end is not BodyEnd.CONNECTION:
        return []
    return [(END_HEADER, UNMARKED_END)]


def take_end(head: ResponseHead) -> None:
    """Remove a peer's header of an unmarked end and apply it to the head."""
    content = first_header(head.headers, END_HEADER)
    if not content:
        return
    head.headers = [
        pair for pair in head.headers if pair[0].lower() != END_HEADER
    ]
    head.body_end = BodyEnd.CONNECTION
    if content != UNMARKED_END:
        logs.warning(
            'peer_header_unreadable',
            header=END_HEADER.decode(),
            content=excerpt(content),
        )


def apply_route(request: Request, now: float) -> str:
    """Apply the route that another host wrote; raise ValueError.

    Return the name of the organisation that it admitted, or an empty string.
    """
    content = first_header(request.headers, REQUEST_HEADER)
    if not content:
        raise ValueError('not relayed by an entry host')
    document = _decode_route(content)
    remaining_seconds = max(0.0, document.left_seconds)
    route = Route('passed', '', '', ((document.service, 1),))
    route.is_stream = document.stream
    route.retry_policy = document.repetition
    route.latency_objective_seconds = document.aim_seconds
    route.gap_objective_seconds = document.gap_aim_seconds
    route.priority = min(max(0, document.priority), MAX_RELAYED_PRIORITY)
    route.max_attempts = document.max_attempts
    route.home_regions = document.homes
    route.timeout_seconds = remaining_seconds
    request.route = route
    request.service_name = document.service
    request.is_relayed = True
    request.received_at = now - document.elapsed_seconds
    request.deadline = now + remaining_seconds
    request.has_permit = document.paid
    if document.begun is not None:
        request.origin = StreamOrigin(*document.begun)
    return document.organisation


def _decode_route(content: bytes) -> _RelayedRoute:
    try:
        return _route_decoder.decode(content)
    except (ValueError, RecursionError) as error:
        raise ValueError(
            f'{REQUEST_HEADER.decode()} is unreadable: {error}'
        ) from error
