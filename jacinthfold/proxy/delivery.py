"""Deliver a target's response to the caller, complete or visibly truncated."""

from collections.abc import Callable
from http import HTTPStatus

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.events import EventSplitter
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import AnswerEnd, Progress
from jacinthfold.proxy.response_timeout import ResponseTimeout
from jacinthfold.request.messages import (
    BodyEnd,
    Request,
    ResponseHead,
    first_header,
)
from jacinthfold.transport.channel import Channel
from jacinthfold.transport.errors import ConnectionLostError, ProxyError
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.memory import SMALL_BYTES

# Responses other than streams are buffered until they are complete.
MAX_BUFFERED_BODY_BYTES = 16777216
EVENT_STREAM_TYPE = b'text/event-stream'
# Callers take these for a promise that the request has not run and never will.
PROMISE_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class Delivery:
    """Deliver the response of one attempt."""

    def __init__(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        timeout: ResponseTimeout,
        clock: Clock,
    ) -> None:
        """Store the request, its response and the timeout of the attempt."""
        self._request = request
        self._response = response
        self._progress = progress
        self._timeout = timeout
        self._clock = clock
        self._answer_end = AnswerEnd()
        # Whether it was given up since it was silent.
        self.is_given_up = False
        # Whether the attempt before it is still open when it begins.
        self.is_prepared = False
        self.limit_bytes = MAX_BUFFERED_BODY_BYTES
        self.first_event_at = 0.0
        # When the request was sent or bytes of its response last arrived.
        self.last_bytes_at = 0.0
        # Only entry hosts may report an outcome by the internal header: from a
        # target, it could make a request that ran look as if it had not.
        self.is_peer = False
        # Whether the peer closed the connection before the response ended.
        self.is_broken = False
        # Whether the target marked the end of a whole answer.
        self.is_complete = False
        # Version of the target's software, as a peer told it.
        self.peer_version: str | None = None
        # Records where a stream begins, before its caller gets an event.
        self.on_begin: Callable[[], None] = _ignore_activity
        self.channel: Channel | None = None
        self._is_withdrawn = False
        self._has_head = False
        self.on_first_event: Callable[[], None] | None = None
        # Called with the end of an answer that isn't a stream.
        self.on_whole: Callable[[], None] = _ignore_activity
        self.on_activity: Callable[[], None] = _ignore_activity
        self.on_head: Callable[[ResponseHead], None] = _ignore_head
        # Returns why nothing may be sent to the target now, or ''.
        self.target_rejection: Callable[[], str] = str

    @property
    def rejection_reason(self) -> str:
        """Return why the request may not be sent now, or an empty string."""
        return self._progress.rejection_reason() or self.target_rejection()

    @property
    def phase(self) -> str:
        """Return how far the response has come."""
        if self.first_event_at:
            return 'events'
        return 'body' if self._has_head else 'head'

    @property
    def sender_silent_seconds(self) -> float:
        """Return for how long the sender has sent no bytes at all."""
        return self._timeout.sender_silent_seconds()

    @property
    def silent_seconds(self) -> float:
        """Return for how long this response has brought no bytes."""
        return self._clock.monotonic() - self.last_bytes_at

    @property
    def body_end(self) -> BodyEnd | None:
        """Return what marks the end of the response, None before its head."""
        return self._answer_end.body_end

    @property
    def limit_seconds(self) -> float:
        """Return the silence after which the request is to move on."""
        return self._timeout.limit_seconds(has_begun=self.first_event_at > 0)

    def mark_in_flight(self) -> None:
        """Record that the request's first byte is about to be sent."""
        self.last_bytes_at = self._clock.monotonic()
        if not self.is_prepared:
            self.take_over()

    def take_over(self) -> None:
        """Make this the attempt that the caller's response comes from."""
        self._progress.is_in_flight = True
        self._progress.answer_end = self._answer_end

    def record_end(self) -> None:
        """Record how the connection ended, after the attempt."""
        channel = self.channel
        self._answer_end.is_orderly = (
            channel is not None and channel.has_orderly_end
        )

    def withdraw(self) -> None:
        """Abort the connection to cancel the request at its target."""
        if self.channel is not None:
            self._is_withdrawn = True
            self.channel.abort()

    async def read_head(self, exchange: Exchange) -> ResponseHead:
        """Return the head of the response; raise TimeoutError on silence."""
        head = await self._timeout.wait(exchange.read_head(), has_begun=False)
        self._has_head = True
        self._record_activity()
        self.on_head(head)
        if self.is_peer:
            self.peer_version = relay_header.take_version(head)
            relay_header.take_end(head)
        else:
            # A relay would take a target's words for those of its host.
            head.headers = relay_header.without_internal(head.headers)
        self._answer_end.body_end = head.body_end
        return head

    async def deliver(self, exchange: Exchange, head: ResponseHead) -> Outcome:
        """Deliver the response to the caller."""
        if self._request.route.is_stream and head.status == HTTPStatus.OK:
            return await self._deliver_events(exchange, head)
        body = await self._timeout.wait(
            exchange.read_body(self.limit_bytes, self._response.answer_memory),
            has_begun=False,
        )
        self.is_complete = head.body_end is not BodyEnd.CONNECTION
        self.on_whole()
        if self._is_false_promise(head):
            return Outcome(Ending.UNKNOWN, f'status_{head.status}')
        is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if self._response.has_started or (is_failure and self._may_retry()):
            reason = f'status_{head.status}'
            return Outcome(Ending.FAILED, reason, head=head, body=body)
        await send_whole(self._request, self._response, head, body)
        if is_failure:
            return Outcome(Ending.DELIVERED, f'status_{head.status}')
        return Outcome(Ending.DELIVERED)

    def broken_outcome(self, error: ProxyError) -> Outcome:
        """Return the outcome of an attempt whose response is incomplete."""
        is_peer_closed = (
            self.channel is not None and self.channel.is_peer_closed
        )
        self.is_broken = is_peer_closed and not self._is_withdrawn
        ending = Ending.CUT if self._response.has_started else Ending.UNKNOWN
        return Outcome(ending, f'{type(error).__name__}: {error}')

    async def _deliver_events(
        self, exchange: Exchange, head: ResponseHead
    ) -> Outcome:
        splitter = EventSplitter(self._progress.last_event_id)
        while True:
            chunk = await self._timeout.wait(
                exchange.read_chunk(), has_begun=self.first_event_at > 0
            )
            self._record_activity()
            if chunk is None:
                break
            await self._forward_events(splitter.feed(chunk), head)
            self._reserve(len(splitter.incomplete))
            self._progress.last_event_id = splitter.last_event_id
        self._answer_end.partial_event_bytes = len(splitter.incomplete)
        if splitter.is_inside_event and _has_events(head):
            raise ConnectionLostError('the stream ended inside an event')
        await self._forward_events(splitter.incomplete, head)
        if not self._response.has_started:
            await self._start_response(head)
        if self._response.promises_end and head.body_end is BodyEnd.CONNECTION:
            # The caller's framing can't say that the end is unknown.
            self._answer_end.is_left_open = True
        else:
            await self._response.finish()
        self.is_complete = head.body_end is not BodyEnd.CONNECTION
        # A target may end as it begins; its probe tells.
        self.is_broken = not self.is_complete and not self.first_event_at
        return Outcome(Ending.DELIVERED)

    def _reserve(self, incomplete_bytes: int) -> None:
        """Reserve the bytes of a large event; raise MemoryScarceError."""
        memory = self._response.answer_memory
        if memory.size_bytes or incomplete_bytes > SMALL_BYTES:
            memory.resize(incomplete_bytes)

    async def _forward_events(self, events: bytes, head: ResponseHead) -> None:
        if not events:
            return
        if not self.first_event_at:
            self.on_begin()
            self.first_event_at = self._clock.monotonic()
            self._record_first_event()
            if self.on_first_event is not None:
                self.on_first_event()
        if not self._response.has_started:
            await self._start_response(head)
        await self._response.write(events)

    async def _start_response(self, head: ResponseHead) -> None:
        headers = head.end_to_end_headers()
        if self._request.is_relayed:
            headers += relay_header.version_header(self._request.origin)
            headers += relay_header.end_header(head)
        self._response.promises_end = head.body_end is not BodyEnd.CONNECTION
        await self._response.start(
            head.status, headers, marks_end=_marks_end(self._request, head)
        )

    def _record_first_event(self) -> None:
        # A stream that was resumed at another target has begun before.
        if self._progress.first_event_seconds is None:
            elapsed = self.first_event_at - self._request.received_at
            self._progress.first_event_seconds = elapsed

    def _record_activity(self) -> None:
        self.last_bytes_at = self._clock.monotonic()
        self.on_activity()

    def _is_false_promise(self, head: ResponseHead) -> bool:
        # Only the header that says so tells that the request has not run.
        return (
            head.status in PROMISE_STATUSES and not self._request.is_repeatable
        )

    def _may_retry(self) -> bool:
        route = self._request.route
        if route.retry_policy is RetryPolicy.NEVER:
            return False
        return self._progress.runs + 1 < route.max_attempts


async def send_whole(
    request: Request, response: CallerResponse, head: ResponseHead, body: bytes
) -> None:
    """Send a buffered response with the framing that its target allows."""
    headers = head.end_to_end_headers()
    if request.is_relayed:
        headers += relay_header.end_header(head)
    await response.send(
        head.status, headers, body, marks_end=_marks_end(request, head)
    )


def _marks_end(request: Request, head: ResponseHead) -> bool:
    # Between hosts the framing tells whole from broken, and a header the rest.
    return request.is_relayed or head.body_end is not BodyEnd.CONNECTION


def _has_events(head: ResponseHead) -> bool:
    content_type = first_header(head.headers, b'content-type')
    return not content_type or content_type.startswith(EVENT_STREAM_TYPE)


def _ignore_activity() -> None:
    """Do nothing when bytes arrive."""


def _ignore_head(_: ResponseHead) -> None:
    """Do nothing with the head of a response."""
