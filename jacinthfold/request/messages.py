"""Hold requests and answers while they pass through."""

from jacinthfold.catalogue.model import Route
from jacinthfold.organisations.model import Organisation

Headers = list[tuple[bytes, bytes]]

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
    """Hold one part of a prompt, which other requests may share."""

    __slots__ = ('name', 'tokens')

    def __init__(self, name: str, tokens: int) -> None:
        """Take the part's name and its length in tokens."""
        self.name = name
        self.tokens = tokens


class PromptPrefix:
    """Hold a prompt up to the end of one of its parts."""

    __slots__ = ('name', 'tokens')

    def __init__(self, name: str, tokens: int) -> None:
        """Take the names of all parts so far and their tokens together."""
        self.name = name
        self.tokens = tokens


class RequestFacts:
    """Hold what a request's headers say about it."""

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
    )

    def __init__(self, request_id: str, host_name: str) -> None:
        """Take the caller's identifier and the host name asked for."""
        self.request_id = request_id
        self.host_name = host_name
        # What the caller proves to be by; empty where callers prove nothing
        # and the host name alone says for whom they call.
        self.caller = ''
        # Of the key that the caller sent, None without a readable one.
        self.key_digest: bytes | None = None
        # How long the caller will wait; None when it does not say.
        self.caller_timeout_seconds: float | None = None
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.prefix_segments: tuple[PrefixSegment, ...] = ()
        self._prefixes: tuple[PromptPrefix, ...] | None = None
        self.last_event_id = ''

    @property
    def prefixes(self) -> tuple[PromptPrefix, ...]:
        """Return the prompt up to the end of each of its parts."""
        # A part is kept only with all parts before it, so its name alone
        # would promise too much.
        if self._prefixes is None:
            prefixes = []
            name, tokens = '', 0
            for segment in self.prefix_segments:
                name = f'{name}/{segment.name}'
                tokens += segment.tokens
                prefixes.append(PromptPrefix(name, tokens))
            self._prefixes = tuple(prefixes)
        return self._prefixes

    @property
    def shared_prefixes(self) -> tuple[PromptPrefix, ...]:
        """Return the same without the last part, which is the request's."""
        return self.prefixes[:-1]


class Request:
    """Hold a request that was read whole."""

    __slots__ = (
        'body',
        'deadline',
        'facts',
        'headers',
        'has_permit',
        'is_relayed',
        'method',
        'organisation',
        'path',
        'received_at',
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
        """Take the parts as they came."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.facts = facts
        self.path = target.split(b'?', 1)[0].decode('latin-1')
        self.received_at = 0.0
        self.deadline = 0.0
        self.route = Route('', '', '', (('', 1),))
        self.service_name = ''
        # Who calls; None on public routes and where callers have no keys.
        self.organisation: Organisation | None = None
        # A request that another entry host passed on is served here or not
        # at all: passed on again, two full regions would play ball with it.
        self.is_relayed = False
        # Whether the host that passed it on has a permit for its one run.
        self.has_permit = False

    @property
    def priority(self) -> int:
        """Return the rank by which targets serve it, 0 first."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def is_urgent(self) -> bool:
        """Tell whether targets serve it before others."""
        return self.priority == 0

    @property
    def has_residency(self) -> bool:
        """Tell whether only some regions may serve it."""
        return bool(self.route.home_regions or self._organisation_homes)

    @property
    def home_regions(self) -> frozenset[str]:
        """Return the regions that both route and organisation allow.

        Empty where neither is bound, and where no region suits both.
        """
        homes, own = self.route.home_regions, self._organisation_homes
        return homes & own if homes and own else homes or own

    def allows(self, region: str) -> bool:
        """Tell whether a region may serve it: route and organisation do."""
        return not self.has_residency or region in self.home_regions

    @property
    def _organisation_homes(self) -> frozenset[str]:
        if self.organisation is None:
            return frozenset()
        return self.organisation.home_regions


class ResponseFacts:
    """Hold what a target's headers say about its answer."""

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
        """Start with what an answer without such headers says."""
        self.request_id = ''
        # Requests that the target takes from all hosts together.
        self.limit_per_second: float | None = None
        # Whether it asks for no more requests, since it will end.
        self.is_leaving = False
        # For how long it wants nothing from this host, having turned a request
        # away.
        self.backoff_seconds: float | None = None
        # What it asks for in words that can't be read, by header.
        self.invalid_headers: dict[str, str] = {}
        self.is_not_run = False
        self.is_sealed = False
        self.idle_seconds: float | None = None
        self.cold_seconds: float | None = None


class ResponseHead:
    """Hold status and headers of an answer."""

    __slots__ = ('facts', 'headers', 'content_length', 'status')

    def __init__(
        self, status: int, headers: Headers, facts: ResponseFacts
    ) -> None:
        """Take the status, the headers as they came and what they say."""
        self.status = status
        self.headers = headers
        self.facts = facts
        self.content_length: int | None = None

    def end_to_end_headers(self) -> Headers:
        """Return the headers that concern more than one connection."""
        return without_framing(self.headers)


def without_framing(headers: Headers) -> Headers:
    """Return headers that are not about the connection or its framing."""
    named = {
        token.strip().lower()
        for name, content in headers
        if name.lower() == b'connection'
        for token in content.split(b',')
    }
    dropped = FRAMING_HEADERS | named
    return [pair for pair in headers if pair[0].lower() not in dropped]


def first_header(headers: Headers, name: bytes) -> bytes:
    """Return the content of the first header of a name, or nothing."""
    for found, content in headers:
        if found.lower() == name:
            return content
    return b''
