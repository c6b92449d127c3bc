"""Bring a target's answer to the caller, whole or visibly broken."""

from collections.abc import Callable
from http import HTTPStatus

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.proxy.caller_answer import CallerAnswer
from jacinthfold.proxy.events import EventSplitter
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.patience import Patience
from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import AnswerHead, Request
from jacinthfold.transport.channel import Channel
from jacinthfold.transport.errors import ProxyError
from jacinthfold.transport.exchange import Exchange

# Plain answers are held until they are proven whole; this bounds one.
WHOLE_LIMIT_BYTES = 16777216
# A stream that may be resumed is taken away from a target that makes no
# event for this many of the longest pauses that callers accept.
SILENT_GAPS = 3.0
SILENT_GAP_AT_LEAST_SECONDS = 0.9


class Delivery:
    """Hold the way of one answer."""

    def __init__(
        self,
        request: Request,
        answer: CallerAnswer,
        progress: Progress,
        patience: Patience,
        clock: Clock,
    ) -> None:
        """Take both ends, and how long the answer is waited for."""
        self._request = request
        self._answer = answer
        self._progress = progress
        self._patience = patience
        self._clock = clock
        self.limit_bytes = WHOLE_LIMIT_BYTES
        self.first_event_at = 0.0
        # Only another entry host may tell how a request ended in our words; a
        # target that did could make an order that ran look not run.
        self.is_at_peer = False
        # Whether the other side broke the connection before the answer's end.
        self.is_broken = False
        self.channel: Channel | None = None
        self._is_withdrawn = False
        self.on_first_event: Callable[[], None] | None = None
        self.on_heard: Callable[[], None] = _nothing
        self.on_head: Callable[[AnswerHead], None] = _take_nothing
        # Says why the target may not be sent to any more.
        self.target_barrier: Callable[[], str] = str

    @property
    def barrier_reason(self) -> str:
        """Return why the request may not be sent now, nothing if it may."""
        return self._progress.barrier_reason() or self.target_barrier()

    def note_leaves(self) -> None:
        """Take that the request's first byte is about to leave."""
        self._progress.is_out = True

    def withdraw(self) -> None:
        """Take the request back from where it was sent."""
        if self.channel is not None:
            self._is_withdrawn = True
            self.channel.abort()

    async def head_of(self, exchange: Exchange) -> AnswerHead:
        """Return the head of an answer; raise TimeoutError on silence."""
        head = await self._patience.wait(
            exchange.head(), self._patience.silence_seconds
        )
        self.on_heard()
        self.on_head(head)
        return head

    async def deliver(self, exchange: Exchange, head: AnswerHead) -> Outcome:
        """Bring an answer to the caller."""
        if self._request.route.is_stream and head.status == HTTPStatus.OK:
            return await self._deliver_events(exchange, head)
        body = await self._patience.wait(
            exchange.whole(self.limit_bytes), self._patience.silence_seconds
        )
        is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if self._answer.has_started or (is_failure and self._may_repeat()):
            reason = f'status_{head.status}'
            return Outcome(Ending.FAILED, reason, head=head, body=body)
        await self._answer.whole(head.status, head.passed_headers(), body)
        if is_failure:
            return Outcome(Ending.DELIVERED, f'status_{head.status}')
        return Outcome(Ending.DELIVERED)

    def broken(self, error: ProxyError) -> Outcome:
        """Return the outcome of an attempt whose answer did not end."""
        is_gone = self.channel is not None and self.channel.is_gone
        self.is_broken = is_gone and not self._is_withdrawn
        ending = Ending.CUT if self._answer.has_started else Ending.UNKNOWN
        return Outcome(ending, f'{type(error).__name__}: {error}')

    async def _deliver_events(
        self, exchange: Exchange, head: AnswerHead
    ) -> Outcome:
        splitter = EventSplitter(self._progress.last_event_id)
        while True:
            part = await self._patience.wait(
                exchange.part(), self._pause_limit()
            )
            self.on_heard()
            if part is None:
                break
            await self._pass_on(splitter.feed(part), head)
            self._progress.last_event_id = splitter.last_event_id
        await self._pass_on(splitter.rest, head)
        if not self._answer.has_started:
            await self._answer.start(head.status, head.passed_headers())
        await self._answer.finish()
        return Outcome(Ending.DELIVERED)

    async def _pass_on(self, events: bytes, head: AnswerHead) -> None:
        if not events:
            return
        if not self.first_event_at:
            self.first_event_at = self._clock.monotonic()
            self._note_first_event()
            if self.on_first_event is not None:
                self.on_first_event()
        if not self._answer.has_started:
            await self._answer.start(head.status, head.passed_headers())
        await self._answer.write(events)

    def _note_first_event(self) -> None:
        # A stream that goes on at another target has begun before.
        if self._progress.first_seconds is None:
            elapsed = self.first_event_at - self._request.received_at
            self._progress.first_seconds = elapsed

    def _pause_limit(self) -> float | None:
        silence_seconds = self._patience.silence_seconds
        if silence_seconds is None or not self.first_event_at:
            return silence_seconds
        gap = self._request.route.gap_objective_seconds
        return max(SILENT_GAPS * gap, SILENT_GAP_AT_LEAST_SECONDS)

    def _may_repeat(self) -> bool:
        route = self._request.route
        if route.retry_policy is RetryPolicy.NEVER:
            return False
        return self._progress.runs + 1 < route.max_attempts


def _nothing() -> None:
    """Hear of nothing."""


def _take_nothing(_: AnswerHead) -> None:
    """Take an answer's head and keep nothing of it."""
