"""Pass one request to a target or peer and its answer back, as it comes."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from enum import Enum
from typing import Protocol

import pycurl

from jacinthfold.request.numbers import MAX_STATUS
from jacinthfold.serve.client import (
    Call,
    HeaderCollector,
    prepare,
    refuse_reuse,
    turn_error,
)
from jacinthfold.serve.pump import Outlet, Pump

EVENT_END = b'\n\n'
STREAM_END = b'data: [DONE]'
STREAM_TYPE = 'text/event-stream'
NOT_RUN_HEADER = 'x-not-run'
STATE_HEADER = 'x-engine-state'
OUTCOME_HEADER = 'x-outcome'
REQUEST_ID_HEADER = 'x-request-id'
HELD_BODY_BYTES = 65536
BUFFER_BYTES = 16384
KEPT_CONNECTION_SECONDS = 20
GATEWAY_STATUSES = frozenset((502, 503, 504))


class Ending(Enum):
    """Say how an attempt ended."""

    WHOLE = 'whole'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    CALLER_GONE = 'caller_gone'


class Sink(Protocol):
    """Take an answer on behalf of a caller."""

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""

    def outlet(self) -> Outlet:
        """Return what takes the body, after the head has been sent."""


class Attempt:
    """Describe one try of a request at one address."""

    __slots__ = (
        'call',
        'first_byte_deadline',
        'is_given_up',
        'is_repeatable',
        'on_first_byte',
        'request_id',
        'silence_timeout_seconds',
        'write_timeout_seconds',
    )

    def __init__(
        self,
        call: Call,
        request_id: str,
        *,
        is_repeatable: bool,
        first_byte_deadline: float,
        silence_timeout_seconds: float,
        write_timeout_seconds: float,
        is_given_up: Callable[[], bool],
        on_first_byte: Callable[[], None] | None = None,
    ) -> None:
        """Take the call, its bounds (monotonic) and when to give it up."""
        self.on_first_byte = on_first_byte
        self.call = call
        self.request_id = request_id
        self.is_repeatable = is_repeatable
        self.first_byte_deadline = first_byte_deadline
        self.silence_timeout_seconds = silence_timeout_seconds
        self.write_timeout_seconds = write_timeout_seconds
        self.is_given_up = is_given_up


class Result:
    """Hold how an attempt ended and what it showed."""

    __slots__ = (
        'body',
        'delivered_events',
        'ending',
        'first_byte_seconds',
        'headers',
        'last_events',
        'reason',
        'status',
    )

    def __init__(self) -> None:
        """Start with nothing known."""
        self.ending = Ending.UNKNOWN
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.delivered_events = 0
        self.last_events = b''
        self.first_byte_seconds = 0.0
        self.reason = ''


class _Transfer:
    """Receive one answer; its methods run in the pump's thread."""

    def __init__(self, attempt: Attempt, curl: pycurl.Curl, pump: Pump) -> None:
        self.curl = curl
        self.outlet: Outlet | None = None
        self.done: Future[tuple[int, str]] = Future()
        self.head: Future[bool] = Future()
        self.result = Result()
        self.collector = HeaderCollector()
        self.sink_failed = False
        self.crossed = False
        # Whether the transfer ended before the whole request was sent.
        self.is_upload_cut = False
        self._attempt = attempt
        self._pump = pump
        self._stream_ended = False
        self._is_stream = False
        self._is_held = False
        self._pending = b''
        self._started_at = time.monotonic()
        self._has_news = False
        self._last_news_at = 0.0
        self._held_since = 0.0

    @property
    def lacks_end_marker(self) -> bool:
        """Tell whether a stream has ended without its end marker."""
        return self._is_stream and not self._stream_ended

    @property
    def has_end_marker(self) -> bool:
        """Tell whether a stream is complete, whatever comes after it."""
        return self._is_stream and self._stream_ended

    def on_body(self, payload: bytes) -> int | None:
        """Take a part of the body from libcurl; -1 ends the transfer."""
        self._has_news = True
        if not self.head.done():
            self._begin()
            if self.crossed:
                return -1
            if not self._is_held:
                # The request's own thread sends the head, which may wait
                # for a slow caller; libcurl repeats this part afterwards.
                return int(pycurl.WRITEFUNC_PAUSE)
        if self._is_held:
            self.result.body += payload
            return -1 if len(self.result.body) > HELD_BODY_BYTES else None
        if self._is_stream:
            payload = self._complete_events(payload)
            if not payload:
                return None
        return self._send(payload)

    def check(self, now: float) -> bool:
        """Tell whether the transfer is to go on."""
        if self._has_news:
            self._has_news = False
            self._last_news_at = now
        if self.outlet is not None and self.outlet.held_bytes:
            return self._is_read_in_time(now)
        self._held_since = 0
        if self._last_news_at:
            silence_seconds = now - self._last_news_at
            if silence_seconds > self._attempt.silence_timeout_seconds:
                self.result.reason = 'silence in the middle of the answer'
                return False
        elif now > self._attempt.first_byte_deadline:
            self.result.reason = 'no answer before the deadline'
            return False
        if self._attempt.is_given_up():
            self.result.reason = self.result.reason or 'given up'
            return False
        return True

    def on_end(self, done: 'Future[tuple[int, str]]') -> None:
        """Let the request's thread see an answer that has no body."""
        if self.head.done():
            return
        if done.result()[0] == pycurl.E_OK:
            self._begin()
        else:
            self.head.set_result(False)

    def _is_read_in_time(self, now: float) -> bool:
        # The target is not silent here: nothing is read from it while the
        # caller has not taken what came before.
        self._last_news_at = now
        self._held_since = self._held_since or now
        if now - self._held_since > self._attempt.write_timeout_seconds:
            self.sink_failed = True
            return False
        return True

    def _begin(self) -> None:
        result = self.result
        result.first_byte_seconds = time.monotonic() - self._started_at
        result.status = self.collector.status
        result.headers = self.collector.headers
        echoed = self.collector.headers.get(REQUEST_ID_HEADER)
        content_type = self.collector.headers.get('content-type', '')
        self._is_stream = content_type.startswith(STREAM_TYPE)
        # On a mismatch the connection carries another request's answer.
        self.crossed = echoed not in {None, '', self._attempt.request_id}
        self._is_held = self.crossed or _is_held(result)
        self.head.set_result(not self._is_held)

    def _complete_events(self, payload: bytes) -> bytes:
        # Half an event at a cut can't be taken back from the caller, and a
        # resumed stream could not go on after it. Only whole ones leave.
        if self._pending:
            payload = self._pending + payload
        if payload.endswith(EVENT_END):
            self._pending = b''
        else:
            end = payload.rfind(EVENT_END) + len(EVENT_END)
            if end < len(EVENT_END):
                end = 0
            self._pending = payload[end:]
            payload = payload[:end]
        self.result.delivered_events += payload.count(EVENT_END)
        self.result.last_events = payload or self.result.last_events
        if STREAM_END in payload:
            self._stream_ended = True
        return payload

    def _send(self, payload: bytes) -> int | None:
        if self.outlet is None:
            return None
        try:
            self.outlet.send(payload)
        except OSError:
            self.sink_failed = True
            return -1
        if self.outlet.held_bytes:
            self._pump.hold(self)
        return None


class Relay:
    """Make attempts; any thread may."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._pump = Pump()
        self._guard = threading.Lock()
        self._fresh_until: dict[str, float] = {}

    def send(self, attempt: Attempt, sink: Sink) -> Result:
        """Make an attempt; the result says how it ended."""
        origin = '/'.join(attempt.call.url.split('/', 3)[:3])
        curl = pycurl.Curl()
        transfer = _Transfer(attempt, curl, self._pump)
        self._set_up(curl, attempt, transfer, origin)
        transfer.done.add_done_callback(transfer.on_end)
        self._pump.add(transfer)
        has_head = transfer.head.result()
        if attempt.on_first_byte:
            attempt.on_first_byte()
        if has_head:
            self._send_head(transfer, sink)
        code, message = transfer.done.result()
        if code == pycurl.E_OK:
            sent_bytes = int(curl.getinfo(pycurl.SIZE_UPLOAD_T))
            transfer.is_upload_cut = sent_bytes < len(attempt.call.body or b'')
            _judge_answer(transfer)
        else:
            _judge_failure(curl, code, message, transfer)
        self._learn(origin, transfer.result)
        curl.close()
        return transfer.result

    def _send_head(self, transfer: _Transfer, sink: Sink) -> None:
        try:
            sink.start(transfer.result.status, transfer.result.headers)
        except OSError:
            transfer.sink_failed = True
        transfer.outlet = sink.outlet()
        self._pump.go_on(transfer)

    def _learn(self, origin: str, result: Result) -> None:
        # Kept connections to a target can all have gone silent at once.
        # After a failure new ones are used until the kept ones are too old.
        if result.ending in {Ending.UNKNOWN, Ending.CUT}:
            with self._guard:
                self._fresh_until[origin] = (
                    time.monotonic() + KEPT_CONNECTION_SECONDS
                )

    def _set_up(
        self,
        curl: pycurl.Curl,
        attempt: Attempt,
        transfer: _Transfer,
        origin: str,
    ) -> None:
        prepare(curl, attempt.call)
        curl.setopt(pycurl.BUFFERSIZE, BUFFER_BYTES)
        curl.setopt(pycurl.MAXAGE_CONN, KEPT_CONNECTION_SECONDS)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.collector)
        curl.setopt(pycurl.WRITEFUNCTION, transfer.on_body)
        if not attempt.is_repeatable:
            refuse_reuse(curl)
        elif self._fresh_until.get(origin, 0) > time.monotonic():
            curl.setopt(pycurl.FRESH_CONNECT, 1)


def _is_held(result: Result) -> bool:
    # Answers that another target may do better are looked at before the
    # caller sees a byte; all others go straight on.
    if result.headers.get(NOT_RUN_HEADER):
        return True
    return _is_no_answer(result.status)


def _is_no_answer(status: int) -> bool:
    return status in GATEWAY_STATUSES or status > MAX_STATUS


def _judge_failure(
    curl: pycurl.Curl, code: int, message: str, transfer: _Transfer
) -> None:
    result = transfer.result
    turned = turn_error(curl, pycurl.error(code, message))
    result.reason = result.reason or str(turned)
    if transfer.sink_failed:
        result.ending = Ending.CALLER_GONE
    elif transfer.crossed:
        result.reason = 'the answer was to another request'
    else:
        result.ending = _broken_ending(
            transfer, request_sent=turned.request_sent
        )


def _broken_ending(transfer: _Transfer, *, request_sent: bool) -> Ending:
    if transfer.has_end_marker:
        return Ending.WHOLE
    if transfer.outlet is not None:
        return Ending.CUT
    return Ending.UNKNOWN if request_sent else Ending.NOT_RUN


def _judge_answer(transfer: _Transfer) -> None:
    result = transfer.result
    cut_reason = _cut_reason(transfer)
    if transfer.sink_failed:
        result.ending = Ending.CALLER_GONE
    elif transfer.crossed:
        result.reason = 'the answer was to another request'
    elif cut_reason:
        result.ending = Ending.CUT
        result.reason = cut_reason
    else:
        _judge_whole(result)


def _judge_whole(result: Result) -> None:
    if result.headers.get(NOT_RUN_HEADER):
        result.ending = Ending.NOT_RUN
        result.reason = result.headers.get(STATE_HEADER, 'refused')
    elif _is_no_answer(result.status):
        result.reason = f'status {result.status}'
    else:
        result.ending = Ending.WHOLE


def _cut_reason(transfer: _Transfer) -> str:
    """Return why an answer that seems whole is not, or an empty string."""
    if transfer.lacks_end_marker:
        return 'the stream ended without its end marker'
    marks = {'content-length', 'transfer-encoding'}
    has_unmarked_end = not marks.intersection(transfer.result.headers)
    has_begun = transfer.outlet is not None
    if has_begun and has_unmarked_end and transfer.is_upload_cut:
        # A target that is killed within an upload may end in an orderly way.
        return 'ended before it had read the request'
    return ''
