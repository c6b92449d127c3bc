"""Look at key, cap and quarantine before each send of a request."""

from functools import partial
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.proxy import request_log
from jacinthfold.proxy.key_gate import Barrier, KeyGate
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.progress import Progress
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quota.permits import Permit, PermitClient
from jacinthfold.request.messages import Request

# Hosts that know the store's state are named by the directory; a caller that
# asks it again has one within this.
STALE_RETURN_SECONDS = 0.3
# Only a new configuration can change it.
NO_REGION_RETURN_SECONDS = 30.0


class Admission:
    """Decide whether a request may be sent now."""

    def __init__(
        self,
        gate: KeyGate,
        quarantine: Quarantine,
        permits: PermitClient,
        metrics: ProxyMetrics,
    ) -> None:
        """Take who knows keys, bad requests and caps."""
        self.gate = gate
        self._quarantine = quarantine
        self._permits = permits
        self._metrics = metrics

    def begin(self, request: Request) -> Progress:
        """Return the progress of a request that may not outlive its key."""
        progress = Progress(request)
        progress.barrier_reason = partial(self._barrier_reason, request)
        return progress

    def is_barred(self, request: Request, progress: Progress) -> bool:
        """Tell whether a request is refused whatever room there is."""
        if request.is_bound and not request.home_regions:
            # Route and organisation have no home in common. Told to return
            # soon, callers would ask again and again for nothing.
            progress.note_turned_away(
                'no_region',
                HTTPStatus.SERVICE_UNAVAILABLE,
                NO_REGION_RETURN_SECONDS,
            )
            self._metrics.turned_away.labels('no_region').inc()
            return True
        barrier = self.gate.barrier(request)
        if barrier is not None:
            self._note_barrier(request, progress, barrier)
            return True
        # One that ends targets comes again under another identifier, at any
        # host. Before each send: since the last attempt other hosts may have
        # seen more of them end.
        refusal = self._quarantine.refusal(request)
        if refusal is None:
            return False
        progress.note_quarantined(refusal.seconds)
        self._metrics.quarantined.labels(request.service_name).inc()
        request_log.log_quarantined(request, refusal)
        return True

    async def is_permitted(self, request: Request, progress: Progress) -> bool:
        """Tell whether the organisation's cap has room for another run."""
        organisation = request.organisation
        if organisation is None or organisation.cap is None:
            return True
        is_paid = request.is_paid and not progress.runs
        if is_paid or self._permits.is_valid(progress.permit):
            return True
        facts = request.facts
        cost = organisation.cap.cost(facts.prompt_tokens, facts.output_tokens)
        answer = await self._permits.acquire(organisation.name, cost)
        if isinstance(answer, Permit):
            progress.permit = answer
            return True
        # 503 where nobody can tell what the cap still allows: the
        # organisation has not asked for too much.
        reason, status = 'no_share', HTTPStatus.SERVICE_UNAVAILABLE
        if answer.is_over_cap:
            reason, status = 'over_cap', HTTPStatus.TOO_MANY_REQUESTS
        progress.note_turned_away(reason, status, answer.retry_after_seconds)
        self._metrics.turned_away.labels(reason).inc()
        logs.event(
            'request_turned_away',
            request=request.facts.request_id,
            organisation=organisation.name,
            reason=reason,
            cost=cost,
            cap_per_second=organisation.cap.per_second,
            after_seconds=answer.retry_after_seconds,
        )
        return False

    def settle(self, progress: Progress) -> None:
        """Return a permit that no run used."""
        if not progress.is_out:
            self._permits.refund(progress.permit)

    def _barrier_reason(self, request: Request) -> str:
        barrier = self.gate.barrier(request)
        return barrier.value if barrier else ''

    def _note_barrier(
        self, request: Request, progress: Progress, barrier: Barrier
    ) -> None:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if barrier is Barrier.REVOKED and not request.is_relayed:
            status = HTTPStatus.UNAUTHORIZED
        progress.note_turned_away(barrier.value, status, STALE_RETURN_SECONDS)
        self._metrics.turned_away.labels(barrier.value).inc()
        logs.event(
            'request_turned_away',
            request=request.facts.request_id,
            reason=barrier.value,
            knowledge_age_seconds=self.gate.age_seconds,
        )
