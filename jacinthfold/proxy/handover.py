"""Begin the next attempt of a request while the silent one is still open.

A target that is silent may go on a moment later. Its answer is given up only
when the next target has taken the request: whether one would is not known
before it has been asked, as it may be full or silent too, and many requests
that fall silent together compete for the same retries.
"""

import asyncio
from collections.abc import Collection

from jacinthfold import logs
from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.placement.decision import Choice, Reject, SendTo
from jacinthfold.proxy import request_log
from jacinthfold.proxy.admitted_placement import (
    MAX_NOT_RUN_SENDS,
    AdmittedPlacement,
)
from jacinthfold.proxy.attempts import Attempts
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.repeats import Repeats
from jacinthfold.proxy.sending import PreparedAttempt
from jacinthfold.quota.permits import CapRejection, Permit
from jacinthfold.request.messages import Request

# A stream may not be worked on at two targets for longer than 0.4 s. Targets
# turn requests away sooner, also through a host of another region.
MAX_OVERLAP_SECONDS = 0.3


class Handover:
    """Prepare the attempts that follow silent ones."""

    def __init__(
        self,
        placement: AdmittedPlacement,
        attempts: Attempts,
        repeats: Repeats,
        metrics: ProxyMetrics,
        clock: Clock,
    ) -> None:
        """Store what admits, places, limits and sends attempts."""
        self._placement = placement
        self._attempts = attempts
        self._repeats = repeats
        self._metrics = metrics
        self._clock = clock

    async def prepare(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        tried: Collection[str],
        tried_regions: Collection[str],
    ) -> bool:
        """Begin the next attempt; tell whether it takes the request over."""
        if progress.next_attempt.is_preparing:
            return False
        progress.next_attempt.is_preparing = True
        try:
            refusal = await self._prepare(
                request, response, progress, tried, tried_regions
            )
        finally:
            progress.next_attempt.is_preparing = False
        self._metrics.answers.handovers.labels(
            request.service_name, refusal or 'prepared'
        ).inc()
        return not refusal

    def discard(self, request: Request, progress: Progress) -> None:
        """End what was prepared, as the attempt before it goes on."""
        prepared = progress.take_prepared()
        if prepared is not None:
            self._withdraw(request, progress, prepared)

    async def _prepare(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        tried: Collection[str],
        tried_regions: Collection[str],
    ) -> str:
        """Begin the next attempt; return why there is none, or ''."""
        refusal = self._refusal(request, progress)
        if refusal:
            return refusal
        choice = self._placement.choose_next(
            request, progress, tried, tried_regions
        )
        if choice is None:
            return 'not_admitted'
        if isinstance(choice, Reject):
            return choice.reason
        permit = await self._placement.permit_next(request)
        if isinstance(permit, CapRejection):
            return 'no_permit'
        if not self._repeats.try_prepare(request):
            self._placement.refund(permit)
            return 'budget'
        prepared = self._begin(request, response, progress, choice, permit)
        if prepared is None:
            self._placement.refund(permit)
            return 'no_host_in_region'
        return await self._wait_taken(request, progress, prepared)

    def _refusal(self, request: Request, progress: Progress) -> str:
        if request.is_body_released:
            return 'body_released'
        if progress.runs + 1 >= request.route.max_attempts:
            return 'attempts'
        if progress.not_run_count >= MAX_NOT_RUN_SENDS:
            return 'not_run'
        if not self._repeats.may_prepare(request):
            return 'budget'
        return ''

    def _begin(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        choice: Choice,
        permit: Permit | None,
    ) -> PreparedAttempt | None:
        now = self._clock.monotonic()
        request_log.log_choice(request, choice, progress, now, is_next=True)
        if isinstance(choice, SendTo):
            self._placement.record_sent(choice, request)
        return self._attempts.prepare(
            request, response, progress, choice, permit
        )

    async def _wait_taken(
        self, request: Request, progress: Progress, prepared: PreparedAttempt
    ) -> str:
        # Calls may run twice, so that the first whole answer wins.
        is_stream = request.route.retry_policy is RetryPolicy.RESUMED
        try:
            await asyncio.wait(
                {prepared.opening},
                timeout=MAX_OVERLAP_SECONDS if is_stream else None,
            )
        except asyncio.CancelledError:
            self._withdraw(request, progress, prepared)
            raise
        outcome = prepared.opening.result() if prepared.opening.done() else None
        if outcome is None:
            progress.next_attempt.prepared = prepared
            return ''
        self._attempts.end_prepared(prepared, outcome)
        self._record_end(request, progress, prepared, outcome)
        return outcome.ending.value

    def _withdraw(
        self, request: Request, progress: Progress, prepared: PreparedAttempt
    ) -> None:
        """End a prepared attempt, as the one before it goes on."""
        self._attempts.withdraw(prepared)
        outcome = Outcome(Ending.UNKNOWN, 'answer_went_on')
        self._record_end(request, progress, prepared, outcome)

    def _record_end(
        self,
        request: Request,
        progress: Progress,
        prepared: PreparedAttempt,
        outcome: Outcome,
    ) -> None:
        if outcome.ending is Ending.NOT_RUN:
            self._placement.refund(prepared.permit)
        progress.record_prepared_end(prepared.choice, outcome)
        self._placement.record_end(request)
        logs.event(
            'handover_ended',
            request=request.facts.request_id,
            at=prepared.sending.endpoint[2],
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=progress.runs,
        )
