"""Decide about requests that can't be served within their objective."""

import random
from collections.abc import Collection

from jacinthfold.clock import Clock
from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.placement.estimates import Estimate, Estimator
from jacinthfold.placement.least_waits import LeastWaits
from jacinthfold.placement.regions import RemoteRegion
from jacinthfold.placement.targets import TargetTable
from jacinthfold.placement.usable import UsableTargets
from jacinthfold.request.messages import Request

# Added at random to the retry time, so that callers that were rejected
# together don't retry together.
RETRY_SPREAD_SECONDS = 0.8
MIN_RETRY_AFTER_SECONDS = 0.1
# Calls to plain services are short: a call is accepted if it is expected within
# this many latency objectives, since a late answer is worth more than none.
PLAIN_LATE_FACTOR = 4


class LatePlacement:
    """Serve late requests where that is of use, and reject the others."""

    def __init__(
        self,
        region: str,
        targets: TargetTable,
        usable: UsableTargets,
        least_waits: LeastWaits,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Use the state of targets and the recent waits at them."""
        self._region = region
        self._targets = targets
        self._usable = usable
        self._least_waits = least_waits
        self._clock = clock
        self._random = source
        self._estimator = Estimator(targets)

    def choose(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Choice:
        """Return where a late request is served, or its rejection."""
        waits = [best.lagged_seconds] if best else []
        if remote is not None:
            waits.append(remote.seconds)
        if not waits:
            return self._reject_without_target(request)
        least = min(waits)
        if self.is_accepted(request, least):
            return self._soonest(request, best, remote)
        return self.reject(request, best, remote)

    def reject(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Reject:
        """Reject a late request, given the estimates that are known."""
        least = min(one.seconds for one in (best, remote) if one)
        self._least_waits.record_late(request, self._clock.monotonic())
        half_objective = request.route.latency_objective_seconds / 2
        after_seconds = self._retry_after_seconds(least - half_objective)
        return Reject('late', after_seconds, best, remote)

    def no_place_rejection(
        self,
        request: Request,
        tried: Collection[str],
        remote: RemoteRegion | None,
    ) -> Reject | None:
        """Return a rejection if this host has no free place, else None."""
        if not request.allows(self._region):
            return None
        rejection = self._usable.no_place_rejection(
            request, tried, self._clock.monotonic()
        )
        if rejection is not None:
            # The schedule spreads the retries already.
            rejection.remote_region = remote
            rejection.after_seconds = max(
                MIN_RETRY_AFTER_SECONDS, rejection.after_seconds
            )
        return rejection

    def is_accepted(self, request: Request, seconds: float) -> bool:
        """Tell whether to serve a request that will miss its objective."""
        objective_seconds = request.route.latency_objective_seconds
        if not self._targets.service(request.service_name).is_engine:
            return seconds < objective_seconds * PLAIN_LATE_FACTOR
        # A large prompt needs most of its latency objective for its own
        # prefill: it is late on idle targets too, and would starve if rejected.
        model = self._estimator.latency_model(request.service_name)
        token_cost = model.token_cost(request.facts.prompt_tokens, 0)
        prefill_seconds = model.prefill_seconds(token_cost)
        is_large = prefill_seconds > objective_seconds / 2
        return is_large and seconds - prefill_seconds < objective_seconds / 2

    def _reject_without_target(self, request: Request) -> Reject:
        rejection = self._usable.no_target_rejection(
            request, self._clock.monotonic()
        )
        rejection.after_seconds = self._retry_after_seconds(
            rejection.after_seconds
        )
        return rejection

    def _soonest(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Choice:
        if best is None and remote is not None:
            return RelayTo(remote)
        if best is not None and remote is not None:
            is_local = best.lagged_seconds <= remote.seconds
            return SendTo(best) if is_local else RelayTo(remote)
        if best is not None:
            return SendTo(best)
        return self._reject_without_target(request)

    def _retry_after_seconds(self, wait_seconds: float) -> float:
        spread_seconds = self._random.uniform(0, RETRY_SPREAD_SECONDS)
        return max(MIN_RETRY_AFTER_SECONDS, wait_seconds) + spread_seconds
