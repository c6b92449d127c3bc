"""Parse and encode the platform's HTTP headers."""

from http import HTTPStatus

from jacinthfold.organisations.credentials import bearer_digest
from jacinthfold.request.messages import (
    Headers,
    PrefixSegment,
    Request,
    RequestFacts,
    ResponseFacts,
    first_header,
    without_framing,
)
from jacinthfold.request.numbers import excerpt, parse_decimal

REQUEST_ID = b'Attempt-Id'
REQUEST_DEADLINE = b'Request-Deadline'
TARGET_INSTANCE = b'Target-Instance'
LAST_EVENT_ID = b'Last-Event-Id'
RESUMES = b'Resumes'
NOT_EXECUTED = b'Not-Executed'
RESPONSE_SEAL = b'Response-Seal'
WARMUP_REMAINING = b'Warmup-Remaining'
PROMPT_PREFIX = b'Prompt-Prefix'
TOKEN_USAGE = b'Token-Usage'
REQUEST_PRIORITY = b'Request-Priority'
KV_FETCH = b'Kv-Fetch'
RETRY_AFTER = b'Retry-After'
SERVER_LIMIT = b'Server-Limit'
SERVER_LEAVING = b'Server-Leaving'
AUTHORIZATION = b'Authorization'
TENANT = b'Tenant'

# Request headers that only this system may set. They are dropped from callers'
# requests.
SYSTEM_HEADERS = frozenset(
    (
        b'hold',
        b'pin-duration',
        b'kv-backup',
        b'kv-from',
        KV_FETCH.lower(),
        TARGET_INSTANCE.lower(),
        REQUEST_PRIORITY.lower(),
        b'expect-version',
    )
)
# If callers must identify themselves, neither header is forwarded from them.
CREDENTIAL_HEADERS = frozenset((AUTHORIZATION.lower(), TENANT.lower()))
REPLACED_HEADERS = SYSTEM_HEADERS | {
    REQUEST_DEADLINE.lower(),
    LAST_EVENT_ID.lower(),
}
# The highest value of Request-Priority; 0 is the most urgent, as in routes.
PRIORITY_LIMIT = 9
# Far above any prompt, and the sum of a million of them still fits 64 bits.
TOKENS_LIMIT = 1_000_000_000
# A higher limit, in requests a second, is taken for an error of the sender.
MAX_LIMIT_PER_SECOND = 1_000_000.0
# Longer backoffs are shortened to this; a target may request another one. So a
# wrong header value can't disable a target for good.
MAX_BACKOFF_SECONDS = 60.0
# A longer warm-up is taken for an error of the sender.
MAX_COLD_SECONDS = 3600.0
# Connections are closed after a shorter time in any case.
MAX_IDLE_SECONDS = 3600.0
_MS = 1000


class PlatformDialect:
    """Parse and encode headers for the platform's callers and targets."""

    def read_request(self, headers: Headers) -> RequestFacts:
        """Parse the headers of a request; raise ValueError."""
        host = first_header(headers, b'host').decode('latin-1')
        facts = RequestFacts(
            _header_text(headers, REQUEST_ID), host.rsplit(':', 1)[0].lower()
        )
        facts.caller = _header_text(headers, AUTHORIZATION)
        facts.key_digest = bearer_digest(_header_values(headers, AUTHORIZATION))
        deadline_ms = _header_text(headers, REQUEST_DEADLINE)
        if deadline_ms:
            facts.caller_timeout_seconds = float(deadline_ms) / _MS
        tokens = _header_text(headers, TOKEN_USAGE)
        if tokens:
            prompt, _, output = tokens.partition(',')
            facts.prompt_tokens = _parse_token_count(prompt)
            facts.output_tokens = _parse_token_count(output)
        facts.prefix_segments = _parse_prefix_segments(
            _header_text(headers, PROMPT_PREFIX)
        )
        facts.last_event_id = _header_text(headers, LAST_EVENT_ID)
        facts.resumed_id = _resumed_id(headers)
        return facts

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Parse the headers of a response."""
        facts = ResponseFacts()
        facts.request_id = _header_text(headers, REQUEST_ID)
        facts.is_not_run = bool(first_header(headers, NOT_EXECUTED.lower()))
        facts.is_sealed = bool(first_header(headers, RESPONSE_SEAL.lower()))
        facts.idle_seconds = _idle_seconds(headers)
        facts.cold_seconds = _cold_seconds(headers, facts)
        facts.is_leaving = _is_leaving(headers, facts)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            facts.backoff_seconds = _backoff_seconds(headers, facts)
        facts.limit_per_second = _limit_per_second(headers, facts)
        return facts

    def target_headers(
        self,
        request: Request,
        *,
        instance: str,
        remaining_seconds: float,
        last_event_id: str,
    ) -> Headers:
        """Return the headers to send to a target, without framing."""
        replaced = REPLACED_HEADERS
        if request.organisation is not None:
            # A host that relays may have set the name already.
            replaced |= CREDENTIAL_HEADERS
        headers = [
            (name, content)
            for name, content in without_framing(request.headers)
            if name.lower() not in replaced
        ]
        remaining_ms = max(1, int(remaining_seconds * _MS))
        headers.append((REQUEST_DEADLINE, str(remaining_ms).encode()))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id.encode()))
        if instance:
            headers.append((TARGET_INSTANCE, instance.encode()))
        if request.organisation is not None:
            headers.append((TENANT, request.organisation.name.encode()))
        if request.route.is_stream:
            rank = min(request.rank, PRIORITY_LIMIT)
            headers.append((REQUEST_PRIORITY, str(rank).encode()))
        return headers

    def without_credentials(self, headers: Headers) -> Headers:
        """Return headers without the caller's key and identity."""
        return [
            (name, content)
            for name, content in headers
            if name.lower() not in CREDENTIAL_HEADERS
        ]

    def prefix_copy_headers(self, address: tuple[str, int]) -> Headers:
        """Return headers that make a target copy prefixes from another."""
        host, port = address
        return [(KV_FETCH, f'{host}:{port}'.encode())]

    def gateway_headers(self, request_id: str) -> Headers:
        """Return headers for the responses that this host generates."""
        if not request_id:
            return []
        return [(REQUEST_ID, request_id.encode('latin-1'))]

    def retry_headers(self, after_seconds: float) -> Headers:
        """Return headers with the time to wait before a retry."""
        return [(RETRY_AFTER, f'{after_seconds:.3f}'.encode())]


def _header_text(headers: Headers, name: bytes) -> str:
    return first_header(headers, name.lower()).decode('latin-1').strip()


def _header_values(headers: Headers, name: bytes) -> list[bytes]:
    lowered = name.lower()
    return [content for found, content in headers if found.lower() == lowered]


def _resumed_id(headers: Headers) -> str:
    """Return the attempt that a caller resumes, '' if it names several."""
    values = {one.strip() for one in _header_values(headers, RESUMES)}
    return values.pop().decode('latin-1') if len(values) == 1 else ''


def _parse_prefix_segments(content: str) -> tuple[PrefixSegment, ...]:
    segments = []
    for entry in content.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            segments.append(PrefixSegment(name, _parse_token_count(tokens)))
    return tuple(segments)


def _is_leaving(headers: Headers, facts: ResponseFacts) -> bool:
    is_leaving = False
    for content in _header_values(headers, SERVER_LEAVING):
        if content.strip() == b'1':
            is_leaving = True
        else:
            _record_unreadable(facts, SERVER_LEAVING, content)
    return is_leaving


def _cold_seconds(headers: Headers, facts: ResponseFacts) -> float | None:
    content = first_header(headers, WARMUP_REMAINING.lower())
    if not content:
        return None
    cold_ms = parse_decimal(content)
    if cold_ms is None or cold_ms > MAX_COLD_SECONDS * _MS:
        _record_unreadable(facts, WARMUP_REMAINING, content)
        return None
    return cold_ms / _MS


def _backoff_seconds(headers: Headers, facts: ResponseFacts) -> float | None:
    values_seconds = []
    for content in _header_values(headers, RETRY_AFTER):
        seconds = parse_decimal(content)
        if seconds is None:
            _record_unreadable(facts, RETRY_AFTER, content)
        else:
            values_seconds.append(min(seconds, MAX_BACKOFF_SECONDS))
    return max(values_seconds, default=0.0) or None


def _limit_per_second(headers: Headers, facts: ResponseFacts) -> float | None:
    limits = []
    for content in _header_values(headers, SERVER_LIMIT):
        per_second = parse_decimal(content)
        if per_second is None or not 0 < per_second <= MAX_LIMIT_PER_SECOND:
            _record_unreadable(facts, SERVER_LIMIT, content)
        else:
            limits.append(per_second)
    return min(limits, default=None)


def _record_unreadable(
    facts: ResponseFacts, name: bytes, content: bytes
) -> None:
    facts.invalid_headers[name.decode()] = excerpt(content)


def _parse_token_count(content: str) -> int:
    # Hosts sum these and exchange the sums. A sum beyond 64 bits failed every
    # collector that received it, and a negative count attracted all requests.
    tokens = int(content or 0)
    if not 0 <= tokens <= TOKENS_LIMIT:
        raise ValueError(f'token count out of range: {content[:20]}')
    return tokens


def _idle_seconds(headers: Headers) -> float | None:
    tokens = [
        token.strip().lower()
        for token in _header_text(headers, b'Connection').split(',')
    ]
    if 'close' in tokens:
        return 0.0
    for entry in _header_text(headers, b'Keep-Alive').split(','):
        name, _, text = entry.strip().partition('=')
        seconds = parse_decimal(text.encode('latin-1'))
        if name.lower() == 'timeout' and seconds is not None:
            return min(seconds, MAX_IDLE_SECONDS)
    return None
