"""Translate the platform's headers."""

import re
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

REQUEST_ID = b'Attempt-Id'
DEADLINE = b'Request-Deadline'
INSTANCE = b'Target-Instance'
LAST_EVENT_ID = b'Last-Event-Id'
NOT_RUN = b'Not-Executed'
SEAL = b'Response-Seal'
COLD = b'Warmup-Remaining'
PROMPT_PARTS = b'Prompt-Prefix'
TOKENS = b'Token-Usage'
PRIORITY = b'Request-Priority'
COPY_FROM = b'Kv-Fetch'
RETRY_AFTER = b'Retry-After'
LIMIT = b'Server-Limit'
LEAVING = b'Server-Leaving'
CREDENTIALS = b'Authorization'
ORGANISATION = b'Tenant'

# Headers of a request that only this system may set: what a caller sends
# under these names is dropped.
SYSTEM_HEADERS = frozenset(
    (
        b'hold',
        b'pin-duration',
        b'kv-backup',
        b'kv-from',
        COPY_FROM.lower(),
        INSTANCE.lower(),
        PRIORITY.lower(),
        b'expect-version',
    )
)
# Where callers have keys, neither comes from them to a target.
CREDENTIAL_HEADERS = frozenset((CREDENTIALS.lower(), ORGANISATION.lower()))
REPLACED_HEADERS = SYSTEM_HEADERS | {DEADLINE.lower(), LAST_EVENT_ID.lower()}
# Urgency 0 is first, 9 last; routes rank from 0.
PRIORITY_LIMIT = 9
# Far above any prompt; a million of them still fit 64 bits.
TOKENS_LIMIT = 1_000_000_000
# Requests a second beyond which a limit is a mistake of its writer.
MOST_PER_SECOND = 1_000_000.0
# Longer rests are asked for again after this: a mistaken word must not take a
# target away for good.
MOST_REST_SECONDS = 60.0
# Characters of an unreadable number that are logged.
SHOWN_CHARACTERS = 20
_MS = 1000
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,30})?')


class PlatformDialect:
    """Read and write the headers of the platform's callers and targets."""

    def read_request(self, headers: Headers) -> RequestFacts:
        """Return what a request's headers say; raise ValueError."""
        host = first_header(headers, b'host').decode('latin-1')
        facts = RequestFacts(
            _text(headers, REQUEST_ID), host.rsplit(':', 1)[0].lower()
        )
        facts.caller = _text(headers, CREDENTIALS)
        facts.key_digest = bearer_digest(_all(headers, CREDENTIALS))
        deadline_ms = _text(headers, DEADLINE)
        if deadline_ms:
            facts.caller_timeout_seconds = float(deadline_ms) / _MS
        tokens = _text(headers, TOKENS)
        if tokens:
            prompt, _, output = tokens.partition(',')
            facts.prompt_tokens = _tokens(prompt)
            facts.output_tokens = _tokens(output)
        facts.prefix_segments = _parts(_text(headers, PROMPT_PARTS))
        facts.last_event_id = _text(headers, LAST_EVENT_ID)
        return facts

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Return what an answer's headers say."""
        facts = ResponseFacts()
        facts.request_id = _text(headers, REQUEST_ID)
        facts.is_not_run = bool(first_header(headers, NOT_RUN.lower()))
        facts.is_sealed = bool(first_header(headers, SEAL.lower()))
        facts.idle_seconds = _idle_seconds(headers)
        cold_ms = _text(headers, COLD)
        facts.cold_seconds = float(cold_ms) / _MS if cold_ms else None
        facts.is_leaving = _is_leaving(headers, facts)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            facts.backoff_seconds = _rest_seconds(headers, facts)
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
        """Return headers for a target, without framing."""
        headers = [
            (name, content)
            for name, content in without_framing(request.headers)
            if name.lower() not in REPLACED_HEADERS
        ]
        left_ms = max(1, int(remaining_seconds * _MS))
        headers.append((DEADLINE, str(left_ms).encode()))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id.encode()))
        if instance:
            headers.append((INSTANCE, instance.encode()))
        if request.organisation is not None:
            headers.append((ORGANISATION, request.organisation.name.encode()))
        if request.route.is_stream:
            rank = min(request.priority, PRIORITY_LIMIT)
            headers.append((PRIORITY, str(rank).encode()))
        return headers

    def without_credentials(self, headers: Headers) -> Headers:
        """Return headers that neither hold a key nor say who calls."""
        return [
            (name, content)
            for name, content in headers
            if name.lower() not in CREDENTIAL_HEADERS
        ]

    def prefix_copy_headers(self, address: tuple[str, int]) -> Headers:
        """Return headers that have a target copy what another has read."""
        host, port = address
        return [(COPY_FROM, f'{host}:{port}'.encode())]

    def gateway_headers(self, request_id: str) -> Headers:
        """Return headers that every answer of our own carries."""
        if not request_id:
            return []
        return [(REQUEST_ID, request_id.encode('latin-1'))]

    def retry_headers(self, after_seconds: float) -> Headers:
        """Return headers that say when to come back."""
        return [(RETRY_AFTER, f'{after_seconds:.3f}'.encode())]


def _text(headers: Headers, name: bytes) -> str:
    return first_header(headers, name.lower()).decode('latin-1').strip()


def _all(headers: Headers, name: bytes) -> list[bytes]:
    lowered = name.lower()
    return [content for found, content in headers if found.lower() == lowered]


def _parts(content: str) -> tuple[PrefixSegment, ...]:
    parts = []
    for entry in content.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            parts.append(PrefixSegment(name, _tokens(tokens)))
    return tuple(parts)


def _is_leaving(headers: Headers, facts: ResponseFacts) -> bool:
    told = False
    for content in _all(headers, LEAVING):
        if content.strip() == b'1':
            told = True
        else:
            _note_unreadable(facts, LEAVING, content)
    return told


def _rest_seconds(headers: Headers, facts: ResponseFacts) -> float | None:
    named = []
    for content in _all(headers, RETRY_AFTER):
        seconds = _number(content)
        if seconds is None:
            _note_unreadable(facts, RETRY_AFTER, content)
        else:
            named.append(min(seconds, MOST_REST_SECONDS))
    return max(named, default=0.0) or None


def _limit_per_second(headers: Headers, facts: ResponseFacts) -> float | None:
    named = []
    for content in _all(headers, LIMIT):
        per_second = _number(content)
        if per_second is None or not 0 < per_second <= MOST_PER_SECOND:
            _note_unreadable(facts, LIMIT, content)
        else:
            named.append(per_second)
    return min(named, default=None)


def _number(content: bytes) -> float | None:
    text = content.decode('latin-1').strip()
    if not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def _note_unreadable(facts: ResponseFacts, name: bytes, content: bytes) -> None:
    shown = content[:SHOWN_CHARACTERS].decode('latin-1')
    facts.invalid_headers[name.decode()] = shown


def _tokens(content: str) -> int:
    # Hosts add these up and tell each other the sums: a figure beyond 64 bits
    # failed every collector that heard of it, a negative one drew all requests.
    tokens = int(content or 0)
    if not 0 <= tokens <= TOKENS_LIMIT:
        raise ValueError(f'{content[:20]} tokens')
    return tokens


def _idle_seconds(headers: Headers) -> float | None:
    tokens = [
        token.strip().lower()
        for token in _text(headers, b'Connection').split(',')
    ]
    if 'close' in tokens:
        return 0.0
    for entry in _text(headers, b'Keep-Alive').split(','):
        name, _, seconds = entry.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdigit():
            return float(seconds)
    return None
