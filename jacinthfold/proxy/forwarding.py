"""Carry a request through its attempts until it has a final answer."""

import asyncio
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.decision import Choice, PassTo, Refuse, SendTo
from jacinthfold.proxy import request_log
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.attempts import Attempts
from jacinthfold.proxy.caller_answer import CallerAnswer
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.relay_header import (
    TOLD_NOT_RUN,
    TOLD_UNKNOWN,
    told,
    told_quarantined,
)
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.request.messages import Headers, Request
from jacinthfold.transport.dialect import Dialect

# Callers heed a return time of at most a third of what they have left.
RETURN_SHARE = 0.3
QUARANTINED_TEXT = (
    b'error: not run: targets ended under this request again and again; '
    b'it is refused until the time given to come back\n'
)
# Sends of one request that may be turned down before it is refused.
TURNED_DOWN_LIMIT = 3


class Forwarder:
    """Serve requests: choose, send, repeat where that is allowed, answer."""

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
        """Take who decides, who sends, and what may be sent again."""
        self._placer = placer
        self._attempts = attempts
        self._budgets = budgets
        self._quarantine = quarantine
        self._admission = admission
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock

    async def serve(self, request: Request, answer: CallerAnswer) -> None:
        """Answer a request; leave the answer open if it broke midway."""
        progress = self._admission.begin(request)
        left = request.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await self._carry(request, answer, progress)
        except TimeoutError:
            progress.reason = 'deadline'
            await self._give_up(request, answer, progress)
        finally:
            self._admission.settle(progress)
            self._log_end(request, answer, progress)

    async def _carry(
        self, request: Request, answer: CallerAnswer, progress: Progress
    ) -> None:
        goes_on = True
        while goes_on:
            goes_on = await self._step(request, answer, progress)
        if progress.ending is not Ending.DELIVERED:
            await self._give_up(request, answer, progress)

    async def _step(
        self, request: Request, answer: CallerAnswer, progress: Progress
    ) -> bool:
        """Decide, and make one attempt; tell whether another may follow."""
        if self._admission.is_barred(request, progress):
            return False
        # Before the choice: while one request waits for its permit others
        # would choose the same cold target, each as the first in its pace.
        if not await self._admission.is_permitted(request, progress):
            return False
        choice = self._placer.choose(
            request, progress.tried, progress.tried_regions
        )
        if isinstance(choice, Refuse):
            request_log.log_refusal(request, choice)
            progress.note_refused(choice)
            return False
        if not self._may_send(request, progress):
            return False
        return await self._try_once(request, answer, progress, choice)

    async def _try_once(
        self,
        request: Request,
        answer: CallerAnswer,
        progress: Progress,
        choice: Choice,
    ) -> bool:
        """Make one attempt; tell whether another one may follow."""
        request_log.log_choice(request, choice, progress)
        outcome = await self._attempt(request, answer, progress, choice)
        progress.note(choice, outcome)
        if outcome.ending is Ending.DELIVERED:
            self._note_served(request, answer)
            return False
        request_log.log_failure(request, progress, outcome)
        return self._may_repeat(request, progress, outcome, answer)

    def _note_served(self, request: Request, answer: CallerAnswer) -> None:
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._quarantine.note_served(request)

    async def _attempt(
        self,
        request: Request,
        answer: CallerAnswer,
        progress: Progress,
        choice: Choice,
    ) -> Outcome:
        if isinstance(choice, SendTo):
            self._placer.note_sent(choice, request)
            return await self._attempts.at_target(
                request, answer, progress, choice.estimate
            )
        if isinstance(choice, PassTo):
            return await self._attempts.at_region(
                request, answer, progress, choice.region
            )
        raise TypeError(f'no attempt follows {choice!r}')

    def _may_send(self, request: Request, progress: Progress) -> bool:
        if progress.sends == 0:
            # The host that got the request from its caller counts it.
            if not request.is_relayed:
                self._budgets.note_request(request.service_name)
            return True
        if progress.turned_down >= TURNED_DOWN_LIMIT:
            return False
        return self._budgets.take(request.service_name)

    def _may_repeat(
        self,
        request: Request,
        progress: Progress,
        outcome: Outcome,
        answer: CallerAnswer,
    ) -> bool:
        if progress.is_quarantined:
            return False
        if outcome.ending is Ending.NOT_RUN:
            return not answer.has_started or (
                request.route.retry_policy is RetryPolicy.RESUMED
            )
        if progress.runs >= request.route.max_attempts:
            return False
        if answer.has_started:
            return request.route.retry_policy is RetryPolicy.RESUMED
        return request.route.retry_policy is not RetryPolicy.NEVER

    async def _give_up(
        self, request: Request, answer: CallerAnswer, progress: Progress
    ) -> None:
        """Send the final answer of a request that was not served."""
        if answer.has_started:
            return
        failed = progress.failed
        if failed is not None and failed.head is not None:
            await answer.whole(
                failed.head.status, failed.head.passed_headers(), failed.body
            )
            return
        own = self._dialect.own_headers(request.facts.request_id)
        if request.is_relayed:
            is_unknown = progress.may_have_run
            own += told(TOLD_UNKNOWN if is_unknown else TOLD_NOT_RUN)
            if progress.is_quarantined:
                own += told_quarantined()
        if progress.may_have_run:
            late = progress.reason == 'deadline'
            status = (
                HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
            )
            await answer.whole(status, own, b'')
            return
        if progress.is_quarantined:
            await self._refuse_quarantined(answer, progress, own)
            return
        left = request.deadline - self._clock.monotonic()
        after = min(progress.after_seconds, max(0.05, left * RETURN_SHARE))
        status = progress.refusal_status
        headers = list(own)
        if status is not HTTPStatus.UNAUTHORIZED:
            headers += self._dialect.retry_headers(after)
        await answer.whole(status, headers, b'')

    async def _refuse_quarantined(
        self, answer: CallerAnswer, progress: Progress, own: Headers
    ) -> None:
        # 429 and not 503: the service is well, and it is this request that
        # must stop coming. Well-made clients wait for as long as they are told.
        retry = self._dialect.retry_headers(progress.after_seconds)
        headers = [*own, *retry, (b'Content-Type', b'text/plain')]
        await answer.whole(
            HTTPStatus.TOO_MANY_REQUESTS, headers, QUARANTINED_TEXT
        )

    def _log_end(
        self, request: Request, answer: CallerAnswer, progress: Progress
    ) -> None:
        elapsed = self._clock.monotonic() - request.received_at
        self._count_end(request, answer, elapsed)
        fields = {
            'request': request.facts.request_id,
            'service': request.service_name,
            'status': answer.status,
            'whole': answer.is_finished,
            'sends': progress.sends,
            'seconds': elapsed,
        }
        if progress.first_seconds is not None:
            fields['first_seconds'] = progress.first_seconds
        if answer.is_finished and answer.status < HTTPStatus.BAD_REQUEST:
            logs.event('request_served', **fields)
            return
        logs.warning(
            'request_not_served',
            reason=progress.reason or 'caller_left',
            after_seconds=progress.after_seconds,
            **fields,
        )

    def _count_end(
        self,
        request: Request,
        answer: CallerAnswer,
        elapsed_seconds: float,
    ) -> None:
        ending = 'left_open'
        if answer.is_finished:
            ending = f'status_{int(answer.status)}'
        elif not answer.has_started:
            ending = 'caller_left'
        service = request.service_name
        self._metrics.requests.labels(service, ending).inc()
        self._metrics.request_seconds.labels(service).observe(elapsed_seconds)
