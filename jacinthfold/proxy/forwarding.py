"""Run a request's attempts until it has a final response."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.proxy import request_log
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.admitted_placement import (
    MAX_NOT_RUN_SENDS,
    AdmittedPlacement,
)
from jacinthfold.proxy.attempts import Attempts
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.delivery import send_whole
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.rejection_lines import RejectionLines
from jacinthfold.proxy.relay_header import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    outcome_header,
    quarantined_header,
)
from jacinthfold.proxy.waiting import Waiting
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.request.messages import Headers, Request
from jacinthfold.transport.dialect import Dialect

# Callers honour a Retry-After of at most a third of their remaining time.
RETRY_AFTER_SHARE = 0.3
QUARANTINED_BODY = (
    b'error: not run: targets ended under this request again and again; '
    b'it is refused until the time given to come back\n'
)


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
        self._budgets = budgets
        self._quarantine = quarantine
        self._admission = admission
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._rejection_lines = RejectionLines(clock)
        # Finds where a stream began that its caller takes up again.
        self.resolve_origin: Callable[[Request], Awaitable[None]] = _skip

    async def serve(self, request: Request, response: CallerResponse) -> None:
        """Serve a request; a response that broke midway stays unfinished."""
        progress = self._admission.start_progress(request)
        remaining_seconds = request.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining_seconds)):
                await self.resolve_origin(request)
                await self._run_attempts(request, response, progress)
        except TimeoutError:
            progress.reason = 'deadline'
            await self._send_failure(request, response, progress)
        finally:
            self._admission.release_unused_permit(progress)
            self._log_outcome(request, response, progress)

    async def _run_attempts(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> None:
        may_continue = True
        while may_continue:
            may_continue = await self._attempt_next(request, response, progress)
        if progress.ending is not Ending.DELIVERED:
            await self._send_failure(request, response, progress)

    async def _attempt_next(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> bool:
        """Admit, place and send once; return whether to attempt again."""
        choice = await self.placement.choose(request, progress)
        if choice is None:
            progress.not_retried = progress.reason
            return False
        if isinstance(choice, Reject):
            self._rejection_lines.log(request, choice)
            if choice.reason == 'no_place':
                self._metrics.places.no_place.labels(request.service_name).inc()
            if choice.is_permanent:
                resumed_by = _resumed_by(request, response)
                self._count_resumed(request, resumed_by, choice.reason)
            progress.record_placement_rejection(choice)
            progress.not_retried = choice.reason
            return False
        if not self._may_send(request, progress):
            progress.not_retried = 'budget'
            return False
        return await self._try_once(request, response, progress, choice)

    async def _try_once(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        choice: Choice,
    ) -> bool:
        """Make one attempt; return whether another one may follow."""
        now = self._clock.monotonic()
        request_log.log_choice(request, choice, progress, now)
        resumed_by = _resumed_by(request, response)
        try:
            outcome = await self._attempt(request, response, progress, choice)
        finally:
            self.placement.record_end(request)
        progress.record_attempt(choice, outcome)
        self._count_resumed(request, resumed_by, outcome.ending.value)
        if outcome.ending is Ending.DELIVERED:
            self._record_served(request, response)
            return False
        request_log.log_failure(request, progress, outcome)
        may_retry = self._may_retry(request, progress, outcome, response)
        if not may_retry:
            progress.not_retried = 'route'
        return may_retry

    def _count_resumed(
        self, request: Request, resumed_by: str, ending: str
    ) -> None:
        if resumed_by:
            self._metrics.resumed_streams.labels(
                request.service_name, resumed_by, ending
            ).inc()

    def _record_served(
        self, request: Request, response: CallerResponse
    ) -> None:
        if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._quarantine.record_served(request)

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
            # A relayed request counts at the host that its caller sent it to.
            if not request.is_relayed:
                self._budgets.record_request(request.service_name)
            return True
        if progress.not_run_count >= MAX_NOT_RUN_SENDS:
            return False
        return self._budgets.try_spend(request.service_name)

    def _may_retry(
        self,
        request: Request,
        progress: Progress,
        outcome: Outcome,
        response: CallerResponse,
    ) -> bool:
        if progress.is_quarantined:
            return False
        if outcome.ending is Ending.NOT_RUN:
            return not response.has_started or (
                request.route.retry_policy is RetryPolicy.RESUMED
            )
        if progress.runs >= request.route.max_attempts:
            return False
        if response.has_started:
            return request.route.retry_policy is RetryPolicy.RESUMED
        return request.route.retry_policy is not RetryPolicy.NEVER

    async def _send_failure(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> None:
        """Send the final response to a request that was not served."""
        if response.has_started:
            return
        failed = progress.failed_outcome
        if failed is not None and failed.head is not None:
            await send_whole(request, response, failed.head, failed.body)
            return
        base_headers = self._dialect.gateway_headers(request.facts.request_id)
        if request.is_relayed:
            is_unknown = progress.may_have_run
            base_headers += outcome_header(
                OUTCOME_UNKNOWN if is_unknown else OUTCOME_NOT_RUN
            )
            if progress.is_quarantined:
                base_headers += quarantined_header()
        if progress.may_have_run:
            is_late = progress.reason == 'deadline'
            status = (
                HTTPStatus.GATEWAY_TIMEOUT
                if is_late
                else HTTPStatus.BAD_GATEWAY
            )
            await response.send(status, base_headers, b'')
            return
        if progress.is_quarantined:
            await self._reject_quarantined(response, progress, base_headers)
            return
        remaining_seconds = request.deadline - self._clock.monotonic()
        retry_after_seconds = min(
            progress.after_seconds,
            max(0.05, remaining_seconds * RETRY_AFTER_SHARE),
        )
        if progress.is_past_deadline:
            retry_after_seconds = progress.after_seconds
        status = progress.refusal_status
        headers = list(base_headers)
        if status is not HTTPStatus.UNAUTHORIZED:
            headers += self._dialect.retry_headers(retry_after_seconds)
        await response.send(status, headers, b'')

    async def _reject_quarantined(
        self,
        response: CallerResponse,
        progress: Progress,
        base_headers: Headers,
    ) -> None:
        # 429 instead of 503: the service is healthy, and only this request must
        # not be retried. Well-behaved clients honour Retry-After.
        retry = self._dialect.retry_headers(progress.after_seconds)
        headers = [*base_headers, *retry, (b'Content-Type', b'text/plain')]
        await response.send(
            HTTPStatus.TOO_MANY_REQUESTS, headers, QUARANTINED_BODY
        )

    def _log_outcome(
        self, request: Request, response: CallerResponse, progress: Progress
    ) -> None:
        elapsed = self._clock.monotonic() - request.received_at
        self._count_outcome(request, response, elapsed)
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
        if response.is_finished and response.status < HTTPStatus.BAD_REQUEST:
            logs.event('request_served', **fields)
            return
        logs.warning(
            'request_not_served',
            reason=progress.reason
            or progress.answer_end.reason
            or 'caller_left',
            after_seconds=progress.after_seconds,
            not_retried=progress.not_retried if progress.sends else '',
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
    facts = request.facts
    return 'caller' if facts.last_event_id or facts.resumed_id else ''


async def _skip(_request: Request) -> None:
    """Find nothing about a request."""
