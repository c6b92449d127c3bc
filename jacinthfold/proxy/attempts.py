"""Make single attempts: send to a target or to another region's host."""

import asyncio

from jacinthfold.clock import Clock
from jacinthfold.placement.decision import Choice, RelayTo, SendTo
from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.proxy.attempt_hooks import AttemptHooks
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.region_sends import RegionHosts, RegionSends
from jacinthfold.proxy.sender import Sender
from jacinthfold.proxy.sending import PreparedAttempt, Sending
from jacinthfold.proxy.target_outcomes import TargetOutcomes
from jacinthfold.proxy.target_sends import TargetSends
from jacinthfold.quarantine.crash_detector import CrashDetector
from jacinthfold.quota.permits import Permit
from jacinthfold.request.messages import Request
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.pool import ConnectionPool

# Hosts of a region to which a connection is tried for one relay.
MAX_HOSTS_TRIED = 3


class Attempts:
    """Make single attempts and update the targets' statistics from them."""

    def __init__(
        self,
        pool: ConnectionPool,
        hosts: RegionHosts,
        regions: RegionView,
        dialect: Dialect,
        metrics: ProxyMetrics,
        crash_detector: CrashDetector,
        clock: Clock,
    ) -> None:
        """Store the connections and what is updated from attempts."""
        self.hooks = AttemptHooks()
        self.outcomes = TargetOutcomes(regions, metrics, clock)
        self._sender = Sender(pool, dialect, metrics)
        self._targets = TargetSends(
            dialect, crash_detector, self.outcomes, self.hooks, clock
        )
        self._regions = RegionSends(
            hosts, regions, dialect, self.outcomes, self.hooks, clock
        )

    async def send_to_target(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        estimate: Estimate,
    ) -> Outcome:
        """Send a request to a target and deliver its response."""
        sending = self._targets.build(request, response, progress, estimate)
        return await self._sender.run(sending)

    async def relay_to_region(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        region: RemoteRegion,
    ) -> Outcome:
        """Relay a request to a host of another region that can be reached."""
        outcome = Outcome(
            Ending.NOT_RUN, 'no_host_in_region', is_rejected_locally=True
        )
        tried_count = 0
        while tried_count < MAX_HOSTS_TRIED:
            tried_count += 1
            sending = self._regions.build(
                request,
                response,
                progress,
                region,
                has_permit=progress.permit is not None,
            )
            if sending is None:
                break
            outcome = await self._sender.run(sending)
            if not outcome.is_unreachable:
                break
        return outcome

    def prepare(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        choice: Choice,
        permit: Permit | None,
    ) -> PreparedAttempt | None:
        """Send a request whose attempt before is open; deliver nothing yet.

        Returns None if the chosen region has no host to relay to.
        """
        sending: Sending | None = None
        if isinstance(choice, SendTo):
            sending = self._targets.build(
                request, response, progress, choice.estimate
            )
        if isinstance(choice, RelayTo):
            sending = self._regions.build(
                request,
                response,
                progress,
                choice.region,
                has_permit=permit is not None,
            )
        if sending is None:
            return None
        sending.delivery.is_prepared = True
        opening = asyncio.get_running_loop().create_task(
            self._sender.open(sending)
        )
        return PreparedAttempt(choice, sending, opening, permit)

    async def run_prepared(self, prepared: PreparedAttempt) -> Outcome:
        """Deliver the response of a prepared attempt."""
        prepared.sending.delivery.take_over()
        return await self._sender.run(prepared.sending, prepared.opening)

    def end_prepared(self, prepared: PreparedAttempt, outcome: Outcome) -> None:
        """End a prepared attempt that has brought nothing to deliver."""
        self._sender.end(prepared.sending)
        prepared.sending.on_outcome(outcome)

    def withdraw(self, prepared: PreparedAttempt) -> None:
        """Cancel a prepared attempt that isn't needed."""
        prepared.sending.delivery.withdraw()
        prepared.opening.add_done_callback(
            lambda _: self._sender.end(prepared.sending)
        )
        prepared.opening.cancel()
