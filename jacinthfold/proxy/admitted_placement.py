"""Admit and place a request, which may wait for capacity."""

from collections.abc import Collection
from functools import partial

from jacinthfold.placement.choice import Placer
from jacinthfold.placement.decision import Choice, Reject, SendTo
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.waiting import Waiting
from jacinthfold.quota.permits import CapRejection, Permit
from jacinthfold.request.messages import Request

# Sends of one request that may end as not run before the request is rejected.
MAX_NOT_RUN_SENDS = 3


class AdmittedPlacement:
    """Check key and cap of a request and choose where it runs."""

    def __init__(
        self, placer: Placer, admission: Admission, waiting: Waiting
    ) -> None:
        """Store what places, admits and delays requests."""
        self._placer = placer
        self._admission = admission
        self.waiting = waiting

    async def choose(
        self, request: Request, progress: Progress
    ) -> Choice | None:
        """Return where a request runs, None if it isn't admitted."""
        choice = await self._choose_now(request, progress)
        # A host before this one holds the silent answer of a moved request.
        may_wait = not request.is_moved
        if isinstance(choice, Reject) and may_wait:
            if self._may_wait(choice, progress):
                choice = await self._wait(request, progress, choice)
        if choice is not None and not isinstance(choice, Reject):
            self.waiting.record_placed(request)
        return choice

    def choose_next(
        self,
        request: Request,
        progress: Progress,
        tried: Collection[str],
        tried_regions: Collection[str],
    ) -> Choice | None:
        """Return where a request that is in flight could go on instead."""
        if self._admission.is_rejected(request, progress):
            return None
        return self._placer.choose_next(request, tried, tried_regions)

    async def permit_next(
        self, request: Request
    ) -> Permit | CapRejection | None:
        """Return a permit for one more run, None if it needs none."""
        return await self._admission.permit_next(request)

    def refund(self, permit: Permit | None) -> None:
        """Give back a permit that no run used."""
        self._admission.refund(permit)

    def record_sent(self, choice: SendTo, request: Request) -> None:
        """Count a request that is sent to a target."""
        self._placer.record_sent(choice, request)

    def record_end(self, request: Request) -> None:
        """Let waiting requests be tried, since an attempt has ended."""
        self.waiting.record_end(request.service_name)

    async def _choose_now(
        self, request: Request, progress: Progress
    ) -> Choice | None:
        if self._admission.is_rejected(request, progress):
            return None
        # The permit comes before the choice: while one request waited for its
        # permit, others would choose the same cold target, each as if it were
        # the first to be sent there.
        if not await self._admission.is_permitted(request, progress):
            return None
        if request.is_moved:
            # The host before holds its silent answer until this one has begun.
            return self._placer.choose_next(request, progress.tried, ())
        return self._placer.choose(
            request, progress.tried, progress.tried_regions
        )

    def _may_wait(self, rejection: Reject, progress: Progress) -> bool:
        """Tell whether a request has not run and may still be sent."""
        return (
            self.waiting.is_enabled
            and not rejection.is_permanent
            and not progress.may_have_run
            and progress.not_run_count < MAX_NOT_RUN_SENDS
        )

    async def _wait(
        self,
        request: Request,
        progress: Progress,
        rejection: Reject,
    ) -> Choice | None:
        # Targets that rejected the request as full may take it later. Its
        # permit would expire while it waits, and its cap would lose the cost.
        progress.tried.clear()
        self._admission.release_unused_permit(progress)
        return await self.waiting.wait(
            request,
            progress,
            rejection,
            partial(self._try_waiting, request, progress),
        )

    async def _try_waiting(
        self, request: Request, progress: Progress, is_last: bool
    ) -> Choice | None:
        """Admit and place a waiting request again, as a new one."""
        if self._admission.is_rejected(request, progress):
            return None
        # Without capacity no permit is asked for: each turn would cost messages
        # to the pool.
        choice = self._placer.choose(
            request, (), progress.tried_regions, is_waiting=not is_last
        )
        if isinstance(choice, Reject):
            return choice
        if not await self._admission.is_permitted(request, progress):
            return None
        choice = self._placer.choose(
            request, (), progress.tried_regions, is_waiting=not is_last
        )
        if isinstance(choice, Reject):
            self._admission.release_unused_permit(progress)
        return choice
