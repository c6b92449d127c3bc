"""Check key, cap and quarantine before each send of a request."""

from functools import partial
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.organisations.model import Cap
from jacinthfold.proxy import request_log
from jacinthfold.proxy.key_gate import KeyGate, KeyRejection
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.progress import Progress
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quota.permits import CapRejection, Permit, PermitClient
from jacinthfold.request.messages import Request

# The directory names hosts with a fresh view of the store; a caller that asks
# it again reaches one within this time.
STALE_RETRY_AFTER_SECONDS = 0.3
# Only a new configuration can resolve this, so an early retry is useless.
NO_REGION_RETRY_AFTER_SECONDS = 30.0


class Admission:
    """Decide whether a request may be sent now."""

    def __init__(
        self,
        gate: KeyGate,
        quarantine: Quarantine,
        permits: PermitClient,
        metrics: ProxyMetrics,
    ) -> None:
        """Store the checks for keys, quarantined requests and caps."""
        self.gate = gate
        self._quarantine = quarantine
        self._permits = permits
        self._metrics = metrics

    def start_progress(self, request: Request) -> Progress:
        """Return the progress of a request, which rechecks its key."""
        progress = Progress(request)
        progress.rejection_reason = partial(self._rejection_reason, request)
        return progress

    def is_rejected(self, request: Request, progress: Progress) -> bool:
        """Check whether a request is rejected regardless of spare capacity."""
        if request.has_residency and not request.home_regions:
            # Route and organisation share no home region. With a short
            # Retry-After, callers would retry again and again in vain.
            progress.record_admission_rejection(
                'no_region',
                HTTPStatus.SERVICE_UNAVAILABLE,
                NO_REGION_RETRY_AFTER_SECONDS,
            )
            self._metrics.rejected.labels('no_region').inc()
            return True
        rejection = self.gate.rejection(request)
        if rejection is not None:
            self._record_key_rejection(request, progress, rejection)
            return True
        # Callers retry a request that crashes targets under another identifier
        # and at any host. Checked before each send, because other hosts may
        # have reported more crashes since the last attempt.
        refusal = self._quarantine.refusal(request)
        if refusal is None:
            return False
        progress.record_quarantined(refusal.seconds)
        self._metrics.quarantined.labels(request.service_name).inc()
        request_log.log_quarantined(request, refusal)
        return True

    async def is_permitted(self, request: Request, progress: Progress) -> bool:
        """Check whether the organisation's cap permits another run."""
        organisation = request.organisation
        if organisation is None or organisation.cap is None:
            return True
        has_permit = request.has_permit and not progress.runs
        if has_permit or self._permits.is_valid(progress.permit):
            return True
        cost = _cost(request, organisation.cap)
        response = await self._permits.acquire(organisation.name, cost)
        if isinstance(response, Permit):
            progress.permit = response
            return True
        # 503 when it is unknown what the cap still allows: the organisation
        # has not exceeded its cap.
        reason, status = 'no_share', HTTPStatus.SERVICE_UNAVAILABLE
        if response.is_over_cap:
            reason, status = 'over_cap', HTTPStatus.TOO_MANY_REQUESTS
        progress.record_admission_rejection(
            reason, status, response.retry_after_seconds
        )
        self._metrics.rejected.labels(reason).inc()
        logs.event(
            'request_turned_away',
            request=request.facts.request_id,
            organisation=organisation.name,
            reason=reason,
            cost=cost,
            cap_per_second=organisation.cap.per_second,
            after_seconds=response.retry_after_seconds,
        )
        return False

    async def permit_next(
        self, request: Request
    ) -> Permit | CapRejection | None:
        """Return a permit for one more run, None if it needs none."""
        organisation = request.organisation
        if organisation is None or organisation.cap is None:
            return None
        return await self._permits.acquire(
            organisation.name, _cost(request, organisation.cap)
        )

    def refund(self, permit: Permit | None) -> None:
        """Give back a permit that no run used."""
        self._permits.refund(permit)

    def release_unused_permit(self, progress: Progress) -> None:
        """Release a permit that no run used."""
        if not progress.is_in_flight:
            self._permits.refund(progress.permit)
            progress.permit = None

    def _rejection_reason(self, request: Request) -> str:
        rejection = self.gate.rejection(request)
        return rejection.value if rejection else ''

    def _record_key_rejection(
        self, request: Request, progress: Progress, rejection: KeyRejection
    ) -> None:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if rejection is KeyRejection.REVOKED and not request.is_relayed:
            status = HTTPStatus.UNAUTHORIZED
        progress.record_admission_rejection(
            rejection.value, status, STALE_RETRY_AFTER_SECONDS
        )
        self._metrics.rejected.labels(rejection.value).inc()
        logs.event(
            'request_turned_away',
            request=request.facts.request_id,
            reason=rejection.value,
            knowledge_age_seconds=self.gate.age_seconds,
        )


def _cost(request: Request, cap: Cap) -> int:
    facts = request.facts
    return cap.cost(facts.prompt_tokens, facts.output_tokens)
