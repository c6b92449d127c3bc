"""Model requests and responses while the gateway handles them."""

from enum import Enum
from http import HTTPStatus

from jacinthfold.catalogue.model import RetryPolicy, Route
from jacinthfold.hashing import bounded_name
from jacinthfold.organisations.model import Organisation
from jacinthfold.request.stream_origin import StreamOrigin
from jacinthfold.transport.memory import Reservation

Headers = list[tuple[bytes, bytes]]
# Priorities of routes that are told apart within one priority of organisations;
# targets know ten ranks.
PRIORITIES_PER_ORGANISATION = 3

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
FRAMING_HEADERS = HOP_BY_HOP_HEADERS | {b'content-length', b'expect'}


class PrefixSegment:
    """Hold one segment of a prompt, which other requests may share."""

    __slots__ = ('name', 'tokens')

    def __init__(self, name: str, tokens: int) -> None:
        """Store the segment's name and its length in tokens."""
        self.name = name
        self.tokens = tokens


class PromptPrefix:
    """Hold the prefix of a prompt up to the end of one of its segments."""

    __slots__ = ('name', 'tokens')

    def __init__(self, name: str, tokens: int) -> None:
        """Store the joined names of the segments and their total tokens."""
        self.name = name
        self.tokens = tokens


class RequestFacts:
    """Hold what a request's headers declare."""

    __slots__ = (
        '_prefixes',
        'caller',
        'host_name',
        'key_digest',
        'last_event_id',
        'output_tokens',
        'prefix_segments',
        'caller_timeout_seconds',
        'prompt_tokens',
        'request_id',
        'resumed_id',
    )

    def __init__(self, request_id: str, host_name: str) -> None:
        """Store the caller's request identifier and the requested host."""
        self.request_id = request_id
        self.host_name = host_name
        # The caller's credentials, or its organisation once identified; empty
        # where callers send none and only the host name tells them apart.
        self.caller = ''
        # Digest of the caller's API key, None without a readable one.
        self.key_digest: bytes | None = None
        # How long the caller will wait; None if it does not say.
        self.caller_timeout_seconds: float | None = None
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.prefix_segments: tuple[PrefixSegment, ...] = ()
        self._prefixes: tuple[PromptPrefix, ...] | None = None
        self.last_event_id = ''
        # The attempt that brought the first event of the stream that the caller
        # takes up again; empty if it begins one.
        self.resumed_id = ''

    @property
    def is_taken_up(self) -> bool:
        """Check whether the caller goes on with a stream that broke."""
        return bool(self.last_event_id or self.resumed_id)

    @property
    def prefixes(self) -> tuple[PromptPrefix, ...]:
        """Return the prefixes of the prompt, one for each segment."""
        # A segment is cached only together with all segments before it, so a
        # prefix is identified by the names of all its segments.
        if self._prefixes is None:
            prefixes = []
            name, tokens = '', 0
            for segment in self.prefix_segments:
                name = bounded_name(f'{name}/{segment.name}')
                tokens += segment.tokens
                prefixes.append(PromptPrefix(name, tokens))
            self._prefixes = tuple(prefixes)
        return self._prefixes

    @property
    def shared_prefixes(self) -> tuple[PromptPrefix, ...]:
        """Return the prefixes without the last, which is the whole prompt."""
        return self.prefixes[:-1]


class Request:
    """Hold a request that was read completely."""

    __slots__ = (
        'body',
        'deadline',
        'facts',
        'fingerprint',
        'headers',
        'has_permit',
        'is_body_released',
        'is_demand_counted',
        'is_relayed',
        'memory',
        'method',
        'organisation',
        'origin',
        'path',
        'received_at',
        'retry_at',
        'route',
        'service_name',
        'target',
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        facts: RequestFacts,
    ) -> None:
        """Store the parts of the request as they were received."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.facts = facts
        # Kept where it is needed after the body; None before that.
        self.fingerprint: str | None = None
        # What the body uses of the memory for bodies.
        self.memory: Reservation | None = None
        # Without its body it can't be sent again.
        self.is_body_released = False
        self.path = target.split(b'?', 1)[0].decode('latin-1')
        self.received_at = 0.0
        self.deadline = 0.0
        self.route = Route('', '', '', (('', 1),))
        self.service_name = ''
        # The caller's organisation; None on public routes and where callers
        # have no keys.
        self.organisation: Organisation | None = None
        # A request relayed by another entry host is served here or not at all:
        # relayed again, it would bounce between two full regions.
        self.is_relayed = False
        # Whether the relaying host has a permit for its one run.
        self.has_permit = False
        # Whether it was counted in the demand for places, however often it is
        # placed.
        self.is_demand_counted = False
        # Where its stream began; None until its caller has received an event.
        self.origin: StreamOrigin | None = None
        # When its caller is to retry for a place; 0 if it got no such time.
        self.retry_at = 0.0

    @property
    def priority(self) -> int:
        """Return the priority by which targets serve it, 0 first."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def is_repeatable(self) -> bool:
        """Check whether it may run more than once."""
        return self.route.retry_policy is not RetryPolicy.NEVER

    def release_body(self) -> None:
        """Let go of the body, as the request will not be sent again."""
        self.is_body_released = True
        self.body = b''
        # Another body would have another fingerprint.
        self.fingerprint = self.fingerprint or ''
        if self.memory is not None:
            self.memory.close()

    def may_run_at(self, software_version: str) -> bool:
        """Check whether targets of a software version may serve it."""
        return self.origin is None or self.origin.admits(software_version)

    @property
    def is_moved(self) -> bool:
        """Check whether another host sends it on in the middle of a stream."""
        return self.is_relayed and bool(self.facts.last_event_id)

    @property
    def is_urgent(self) -> bool:
        """Check whether few requests go before it at a target."""
        return self.rank < PRIORITIES_PER_ORGANISATION + 1 and not (
            self.route.priority
        )

    @property
    def rank(self) -> int:
        """Return the rank among all requests at a target, 0 first."""
        # By its organisation alone, a short question would wait at the engines
        # behind every long prompt of organisations with the same priority.
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        within = min(self.route.priority, PRIORITIES_PER_ORGANISATION - 1)
        return organisation.priority * PRIORITIES_PER_ORGANISATION + within

    @property
    def has_residency(self) -> bool:
        """Check whether only some regions may serve it."""
        return bool(self.route.home_regions or self._organisation_homes)

    @property
    def home_regions(self) -> frozenset[str]:
        """Return the regions that both route and organisation allow.

        Empty where neither restricts them, and where no region suits both.
        """
        homes, own = self.route.home_regions, self._organisation_homes
        return homes & own if homes and own else homes or own

    def allows(self, region: str) -> bool:
        """Check whether route and organisation let a region serve it."""
        return not self.has_residency or region in self.home_regions

    @property
    def _organisation_homes(self) -> frozenset[str]:
        if self.organisation is None:
            return frozenset()
        return self.organisation.home_regions


class ResponseFacts:
    """Hold what a target's response headers declare."""

    __slots__ = (
        'cold_seconds',
        'idle_seconds',
        'is_leaving',
        'is_not_run',
        'is_sealed',
        'limit_per_second',
        'request_id',
        'backoff_seconds',
        'invalid_headers',
    )

    def __init__(self) -> None:
        """Start with the values of a response without such headers."""
        self.request_id = ''
        # Requests that the target accepts per second from all hosts together.
        self.limit_per_second: float | None = None
        # Whether it asks for no more requests, since it is shutting down.
        self.is_leaving = False
        # How long it asks this host to send nothing, after it rejected a
        # request.
        self.backoff_seconds: float | None = None
        # The values that could not be parsed, by header.
        self.invalid_headers: dict[str, str] = {}
        self.is_not_run = False
        self.is_sealed = False
        self.idle_seconds: float | None = None
        self.cold_seconds: float | None = None


class BodyEnd(Enum):
    """Name what marks the end of a response body (RFC 9112, section 6.3)."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


class ResponseHead:
    """Hold the status and headers of a response."""

    __slots__ = (
        'body_end',
        'content_length',
        'facts',
        'headers',
        'is_attributed',
        'status',
    )

    def __init__(
        self, status: int, headers: Headers, facts: ResponseFacts
    ) -> None:
        """Store the status, the headers as received and their meaning."""
        self.status = status
        self.headers = headers
        self.facts = facts
        self.content_length: int | None = None
        self.body_end = BodyEnd.LENGTH
        # Whether it can't be the late answer to another request.
        self.is_attributed = True

    def end_to_end_headers(self) -> Headers:
        """Return the headers to forward (RFC 9110, section 7.6.1)."""
        return without_framing(self.headers)


def body_end_of(method: bytes, status: int, headers: Headers) -> BodyEnd:
    """Return what marks the end of a response's body."""
    has_no_body = status in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
    if method == b'HEAD' or has_no_body:
        return BodyEnd.LENGTH
    if first_header(headers, b'transfer-encoding'):
        return BodyEnd.CHUNKS
    if first_header(headers, b'content-length'):
        return BodyEnd.LENGTH
    return BodyEnd.CONNECTION


def without_framing(headers: Headers) -> Headers:
    """Return the headers that concern neither the connection nor framing."""
    named = {
        token.strip().lower()
        for name, content in headers
        if name.lower() == b'connection'
        for token in content.split(b',')
    }
    dropped = FRAMING_HEADERS | named
    return [pair for pair in headers if pair[0].lower() not in dropped]


def first_header(headers: Headers, name: bytes) -> bytes:
    """Return the value of the first header with a lower-case name, or b''."""
    for found, content in headers:
        if found.lower() == name:
            return content
    return b''
