"""Decide whether requests may be sent again, and record each repeat."""

from enum import Enum

from jacinthfold import logs
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.repeat_metrics import RepeatMetrics
from jacinthfold.request.messages import Request

# Why the next attempt of a silent request begins.
HANDOVER = 'handover'


class Charge(Enum):
    """Name what a repeat is charged to."""

    BUDGET = 'budget'
    # Nothing of the request has left this host before.
    UNSENT = 'unsent'
    # The budget allows no repeat now.
    REFUSED = 'refused'


class Repeats:
    """Charge the repeats of requests to the retry budgets."""

    def __init__(self, budgets: RetryBudgets, metrics: RepeatMetrics) -> None:
        """Store the budgets and what counts their repeats."""
        self._budgets = budgets
        self._metrics = metrics
        self._services: set[str] = set()
        metrics.follow(budgets)

    def record_request(self, request: Request) -> None:
        """Count a request that is sent for the first time."""
        # A relayed request counts at the host that its caller sent it to.
        if not request.is_relayed:
            self._budgets.record_request(request.service_name)

    def may_prepare(self, request: Request) -> bool:
        """Tell whether the budget allows a repeat, without charging one."""
        return self._budgets.can_spend(request.service_name)

    def try_prepare(self, request: Request) -> bool:
        """Charge the attempt that follows a silent one."""
        return self._try_spend(request, HANDOVER)

    def try_repeat(self, request: Request, progress: Progress) -> bool:
        """Charge the attempt that follows one that has ended."""
        reason = progress.ending.value if progress.ending else HANDOVER
        if progress.next_attempt.is_retry:
            return self._try_spend(request, reason)
        self._record(request, reason, Charge.UNSENT)
        return True

    def _try_spend(self, request: Request, reason: str) -> bool:
        is_allowed = self._budgets.try_spend(request.service_name)
        charge = Charge.BUDGET if is_allowed else Charge.REFUSED
        self._record(request, reason, charge)
        return is_allowed

    def _record(self, request: Request, reason: str, charge: Charge) -> None:
        service = request.service_name
        if service not in self._services:
            self._services.add(service)
            self._metrics.follow_service(self._budgets, service)
        self._metrics.repeats.labels(service, reason, charge.value).inc()
        logs.event(
            'request_repeated',
            request=request.facts.request_id,
            service=service,
            reason=reason,
            charge=charge.value,
            budget_left=self._budgets.left(service),
            budget_hosts=self._budgets.sharing_hosts,
        )
