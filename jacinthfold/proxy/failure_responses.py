"""Answer requests that were not served."""

from http import HTTPStatus

from jacinthfold.clock import Clock
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.delivery import send_whole
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.relay_header import (
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    outcome_header,
    quarantined_header,
)
from jacinthfold.request.messages import Headers, Request
from jacinthfold.transport.dialect import Dialect

# Callers honour a Retry-After of at most a third of their remaining time.
RETRY_AFTER_SHARE = 0.3
QUARANTINED_BODY = (
    b'error: not run: targets ended under this request again and again; '
    b'it is refused until the time given to come back\n'
)


class FailureResponses:
    """Tell callers, and hosts that relay, whether a request may have run."""

    def __init__(self, dialect: Dialect, clock: Clock) -> None:
        """Store how headers are written, and the clock of deadlines."""
        self._dialect = dialect
        self._clock = clock

    async def send(
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
