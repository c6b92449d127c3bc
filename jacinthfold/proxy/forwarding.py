"""Run a request's attempts until it has a final response."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.proxy import repeats, request_log, stream_log
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.admitted_placement import (
    MAX_NOT_RUN_SENDS,
    AdmittedPlacement,
)
from jacinthfold.proxy.attempts import Attempts
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.failure_responses import FailureResponses
from jacinthfold.proxy.handover import Handover
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.rejection_lines import RejectionLines
from jacinthfold.proxy.retry_rules import may_retry
from jacinthfold.proxy.time_limits import TimeLimits
from jacinthfold.proxy.waiting import Waiting
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.request.messages import Request
from jacinthfold.transport.dialect import Dialect


class Forwarder:
    """Serve requests: choose, send, retry where that is allowed, respond."""

    def __init__(
        self,
        placer: Placer,
        attempts: Attempts,
        budgets: RetryBudgets,
        quarantine: Quarantine,
        admission: Admission,
        dialect: Dialect,
        metrics: ProxyMetrics,
        clock: Clock,
    ) -> None:
        """Store what places, sends, limits and admits requests."""
        self._placer = placer
        self.placement = AdmittedPlacement(
            placer, admission, Waiting(placer.classifier, metrics, clock)
        )
        self._attempts = attempts
        self._repeats = repeats.Repeats(budgets, metrics.answers.repeats)
        self._quarantine = quarantine
        self._admission = admission
        self._metrics = metrics
        self._clock = clock
        self._rejection_lines = RejectionLines(clock)
        self._failures = FailureResponses(dialect, clock)
        self.time_limits = TimeLimits(clock)
        handover = Handover(
            self.placement, attempts, self._repeats, metrics, clock
        )
        attempts.hooks.prepare_next = handover.prepare
        attempts.hooks.discard_next = handover.discard
        # Finds where a stream began that its caller takes up again.
        self.resolve_origin: Callable[[Request], Awaitable[None]] = _skip
        # Called with a stream that was served whole, from its first event.
        self.on_stream_served: Callable[[Request], None] = _ignore_served

    async def serve(self, request: Request, response: CallerResponse) -> None:
        """Serve a request; a response that broke midway stays unfinished."""
        progress = self._admission.start_progress(request)
        limit = self.time_limits.start(request)
        try:
            async with limit.timeout:
                await self.resolve_origin(request)
                await self._run_attempts(request, response, progress)
        except TimeoutError:
            progress.reason = limit.reason
            await self._failures.send(request, response, progress)
        finally:
            self.time_limits.finish(limit)
            self._end(request, response, progress)

    def _end(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> None:
        self._admission.release_unused_permit(progress)
        prepared = progress.take_prepared()
        if prepared is not None:
            self._attempts.withdraw(prepared)
        # What is left of a request may stay in memory for a while.
        request.release_body()
        progress.failed_outcome = None
        self._log_outcome(request, response, progress)

    async def _run_attempts(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> None:
        may_continue = True
        while may_continue:
            may_continue = await self._attempt_next(request, response, progress)
        if progress.ending is not Ending.DELIVERED:
            await self._failures.send(request, response, progress)

    async def _attempt_next(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> bool:
        """Admit, place and send once; return whether to attempt again."""
        prepared = progress.take_prepared()
        if prepared is not None:
            progress.permit = prepared.permit
            return await self._try_once(
                request,
                response,
                progress,
                prepared.choice,
                self._attempts.run_prepared(prepared),
            )
        choice = await self.placement.choose(request, progress)
        if choice is None:
            progress.next_attempt.missing_reason = progress.reason
            return False
        if isinstance(choice, Reject):
            self._rejection_lines.log(request, choice)
            if choice.reason == 'no_place':
                self._metrics.places.no_place.labels(request.service_name).inc()
            resumed_by = _resumed_by(request, response)
            self._count_resumed(request, resumed_by, choice.reason)
            progress.record_placement_rejection(choice)
            progress.next_attempt.missing_reason = choice.reason
            return False
        if not self._may_send(request, progress):
            progress.next_attempt.missing_reason = 'budget'
            return False
        request_log.log_choice(
            request, choice, progress, self._clock.monotonic()
        )
        attempt = self._attempt(request, response, progress, choice)
        return await self._try_once(
            request, response, progress, choice, attempt
        )

    async def _try_once(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        choice: Choice,
        attempt: Awaitable[Outcome],
    ) -> bool:
        """Make one attempt; return whether another one may follow."""
        resumed_by = _resumed_by(request, response)
        try:
            outcome = await attempt
        finally:
            self.placement.record_end(request)
        progress.record_attempt(choice, outcome)
        self._count_resumed(request, resumed_by, outcome.ending.value)
        if outcome.ending is Ending.DELIVERED:
            self._record_served(request, response)
            return False
        request_log.log_failure(request, progress, outcome)
        is_retried = may_retry(request, progress, outcome, response)
        if not is_retried:
            progress.next_attempt.missing_reason = 'route'
        return is_retried

    def _count_resumed(
        self, request: Request, resumed_by: str, ending: str
    ) -> None:
        if resumed_by:
            self._metrics.streams.resumed.labels(
                request.service_name, resumed_by, ending
            ).inc()

    def _record_served(
        self, request: Request, response: CallerResponse
    ) -> None:
        if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._quarantine.record_served(request)
            if request.route.is_stream and not request.facts.last_event_id:
                self.on_stream_served(request)

    async def _attempt(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        choice: Choice,
    ) -> Outcome:
        if isinstance(choice, SendTo):
            self._placer.record_sent(choice, request)
            return await self._attempts.send_to_target(
                request, response, progress, choice.estimate
            )
        if isinstance(choice, RelayTo):
            return await self._attempts.relay_to_region(
                request, response, progress, choice.region
            )
        raise TypeError(f'cannot make an attempt for {choice!r}')

    def _may_send(self, request: Request, progress: Progress) -> bool:
        if progress.sends == 0:
            self._repeats.record_request(request)
            return True
        if progress.not_run_count >= MAX_NOT_RUN_SENDS:
            return False
        return self._repeats.try_repeat(request, progress)

    def _log_outcome(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> None:
        elapsed = self._clock.monotonic() - request.received_at
        self._count_outcome(request, response, elapsed)
        stream_log.count_stream(
            self._metrics.streams.beginnings, request, progress
        )
        fields = {
            'request': request.facts.request_id,
            'service': request.service_name,
            'status': response.status,
            'whole': response.is_finished,
            'sends': progress.sends,
            'seconds': elapsed,
        }
        fields |= progress.answer_end.log_fields()
        if progress.first_event_seconds is not None:
            fields['first_seconds'] = progress.first_event_seconds
        fields |= stream_log.fields_of(request)
        if response.is_finished and response.status < HTTPStatus.BAD_REQUEST:
            logs.event('request_served', **fields)
            return
        logs.warning(
            'request_not_served',
            reason=progress.reason
            or progress.answer_end.reason
            or 'caller_left',
            after_seconds=progress.after_seconds,
            not_retried=progress.next_attempt.missing_reason
            if progress.sends
            else '',
            **fields,
        )

    def _count_outcome(
        self,
        request: Request,
        response: CallerResponse,
        elapsed_seconds: float,
    ) -> None:
        ending = 'left_open'
        if response.is_finished:
            ending = f'status_{int(response.status)}'
        elif not response.has_started:
            ending = 'caller_left'
        service = request.service_name
        self._metrics.requests.labels(service, ending).inc()
        self._metrics.request_seconds.labels(service).observe(elapsed_seconds)


def _resumed_by(request: Request, response: CallerResponse) -> str:
    """Return who resumes a stream with the next attempt, '' for new ones."""
    if response.has_started:
        return 'host'
    return 'caller' if request.facts.is_taken_up else ''


async def _skip(_request: Request) -> None:
    """Find nothing about a request."""


def _ignore_served(_: Request) -> None:
    """Do nothing with a stream that was served."""
