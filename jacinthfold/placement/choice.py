"""Choose where a request runs: a target here, another region, or nowhere."""

import random
from collections.abc import Collection

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.affinity import Affinity, rank_instances
from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.placement.estimates import Estimate, Estimator
from jacinthfold.placement.jitter import LoadJitter
from jacinthfold.placement.limit_shares import LimitShares
from jacinthfold.placement.pace import ColdTargetPacer
from jacinthfold.placement.preferred_regions import PreferredRegions
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.placement.retry_schedule import RetrySchedule
from jacinthfold.placement.target import Target
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


class Placer:
    """Choose the target or region for the requests of one region."""

    def __init__(
        self,
        region: str,
        targets: TargetTable,
        pace: ColdTargetPacer,
        regions: RegionView,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Use the state of local targets and of other regions."""
        self._region = region
        self._targets = targets
        self._pace = pace
        self._regions = regions
        self._clock = clock
        self._random = source
        self._affinity = Affinity()
        self._preferred_regions = PreferredRegions(targets)
        self._estimator = Estimator(targets)
        self._jitter = LoadJitter()
        self.limit_shares = LimitShares(pace.ranks.own_name, clock)
        self._usable = UsableTargets(
            region, targets, pace, self.limit_shares, RetrySchedule(clock)
        )

    def choose(
        self,
        request: Request,
        tried: Collection[str] = (),
        tried_regions: Collection[str] = (),
    ) -> Choice:
        """Return the target or region for a request, or a rejection."""
        best = self._best_local(request, tried)
        is_retry = bool(tried or tried_regions)
        allowed = self._latency_budget_seconds(request, is_retry=is_retry)
        trial = None if is_retry else self._trial(request, allowed)
        if trial is not None:
            return SendTo(trial)
        preferred = None if is_retry else self._preferred_remote(request, best)
        if preferred is not None:
            return RelayTo(preferred)
        remote = self._best_remote(request, tried_regions)
        if best is not None and best.seconds <= allowed:
            is_relayed = self._should_relay(request, best, remote, allowed)
            if is_relayed and remote is not None:
                return RelayTo(remote)
            return SendTo(best)
        if remote is not None and remote.seconds <= allowed:
            return RelayTo(remote)
        return self._choose_when_late(request, best, remote)

    def record_sent(self, choice: SendTo, request: Request) -> None:
        """Count a request that is sent to a target."""
        target = choice.estimate.target
        now = self._clock.monotonic()
        self._jitter.record_sent(request.service_name, now)
        estimate = choice.estimate
        estimate.is_counted = self._usable.record_sent(target, now)
        if estimate.is_trial:
            target.record_trial(now)
        target.record_sent(request.facts.prefixes, estimate.tokens_to_prefill)
        shared = request.facts.shared_prefixes
        if shared and shared[-1].tokens >= limits.COPY_AT_LEAST_TOKENS:
            uses = self._targets.recent_uses
            uses.record_use(target.record.incarnation_id, shared[-1].name, now)

    def least_wait_seconds(
        self, service: str, *, is_urgent: bool
    ) -> float | None:
        """Return the shortest local wait in seconds, None without targets."""
        now = self._clock.monotonic()
        waits = [
            self._estimator.wait_seconds(target, now, is_urgent=is_urgent)
            for target in self._usable.find(
                service, (), now, is_urgent=is_urgent
            )
            # Other regions would send requests to targets that fail.
            if not target.is_ejected
        ]
        return min(waits, default=None)

    def _best_local(
        self, request: Request, tried: Collection[str]
    ) -> Estimate | None:
        if not request.allows(self._region):
            return None
        now = self._clock.monotonic()
        usable = self._usable.find(
            request.service_name, tried, now, is_urgent=request.is_urgent
        )
        if not usable:
            return None
        ordered = self._by_affinity(request, usable)
        copy_sources = self._estimator.copy_sources(request, ordered)
        estimates = []
        for position, target in enumerate(ordered):
            estimate = self._estimator.estimate_with_copy(
                request, target, now, copy_sources
            )
            # Most requests stay with the preferred target of their prefix, so
            # that the other targets are estimated only for the remaining ones.
            if (
                position < limits.PREFERRED_TARGETS
                and self._stays_with_preferred(request, estimate, now)
            ):
                return estimate
            estimates.append(estimate)
        jitter = self._jitter_seconds(request, estimates, now)
        return min(estimates, key=lambda one: self._cost(one, jitter, now))

    def _trial(
        self, request: Request, allowed_seconds: float
    ) -> Estimate | None:
        """Return the estimate of a target that a request may try, if any."""
        if not request.allows(self._region):
            return None
        now = self._clock.monotonic()
        target = self._usable.find_trial(
            request.service_name,
            now,
            is_urgent=request.is_urgent,
            is_repeatable=request.is_repeatable,
        )
        if target is None:
            return None
        estimate = self._estimator.estimate(request, target, now)
        estimate.is_trial = True
        return estimate if estimate.seconds <= allowed_seconds else None

    def _should_relay(
        self,
        request: Request,
        best: Estimate,
        remote: RemoteRegion | None,
        allowed_seconds: float,
    ) -> bool:
        """Tell whether to relay a request although it is in time here."""
        # Otherwise large prompts that any region may serve would fill the
        # targets that requests bound to this region need.
        if remote is None:
            return False
        # All usable targets here are ejected, and each request would fail.
        if best.target.is_ejected and remote.seconds <= allowed_seconds:
            return True
        if remote.seconds >= best.seconds:
            return False
        if best.wait_seconds <= limits.OFFLOAD_WAIT_SECONDS:
            return False
        # Targets of plain services reject calls long before these are late,
        # since their queues are short; another region could serve them.
        if not self._targets.service(request.service_name).is_engine:
            return True
        if request.has_residency:
            return False
        model = self._estimator.latency_model(request.service_name)
        return (
            model.prefill_seconds(best.token_cost)
            >= limits.LARGE_PREFILL_SECONDS
        )

    def _preferred_remote(
        self, request: Request, best: Estimate | None
    ) -> RemoteRegion | None:
        """Return the region whose target caches the shared prefix, if any."""
        shared = request.facts.shared_prefixes
        if request.is_relayed or not shared:
            return None
        tokens = shared[-1].tokens
        if tokens < limits.COPY_AT_LEAST_TOKENS:
            return None
        if best is not None and best.cached_tokens >= tokens:
            return None
        now = self._clock.monotonic()
        preferred = self._preferred_regions.ranked(request, now)
        if not preferred or preferred[0] == self._region:
            return None
        found = self._regions.estimate_cached(preferred[0], request, tokens)
        limit = (
            request.route.latency_objective_seconds
            * limits.PREFERRED_OBJECTIVE_SHARE
        )
        if found is None or found.seconds > limit - (now - request.received_at):
            return None
        return found

    def _by_affinity(
        self, request: Request, usable: list[Target]
    ) -> list[Target]:
        """Return targets, the preferred one of the shared prefix first."""
        shared = self._affinity.shared_segments(
            request.route.name, request.facts.prefix_segments, len(usable)
        )
        if not shared:
            return usable
        targets = {target.record.instance: target for target in usable}
        return [targets[name] for name in rank_instances(shared, targets)]

    def _stays_with_preferred(
        self, request: Request, estimate: Estimate, now: float
    ) -> bool:
        """Tell whether a request stays with a preferred target."""
        share = estimate.target.failure_rate.share(now)
        is_failing = share > limits.PREFERRED_FAILING_SHARE
        if is_failing or not request.facts.prefix_segments:
            return False
        elapsed = now - request.received_at
        objective_seconds = request.route.latency_objective_seconds
        slowness = max(1.0, estimate.target.slowness)
        return (
            estimate.seconds * slowness
            < objective_seconds * limits.PREFERRED_OBJECTIVE_SHARE - elapsed
        )

    def _jitter_seconds(
        self, request: Request, estimates: list[Estimate], now: float
    ) -> float:
        name = request.service_name
        first = estimates[0]
        if self._targets.service(name).is_engine:
            busy_seconds = self._estimator.latency_model(name).prefill_seconds(
                first.token_cost
            )
        else:
            slots = max(1, first.target.record.slots)
            busy_seconds = first.target.seconds_per_call / slots
        return self._jitter.jitter_seconds(
            name, busy_seconds / len(estimates), self._pace.host_count, now
        )

    def _cost(
        self, estimate: Estimate, jitter_seconds: float, now: float
    ) -> float:
        target = estimate.target
        # Failures weigh more than delay: most can't be made up for by a retry.
        risk = target.failure_rate.share(now) ** 2
        jitter = self._random.uniform(0, jitter_seconds)
        return estimate.seconds * max(1.0, target.slowness) + risk + jitter

    def _latency_budget_seconds(
        self, request: Request, *, is_retry: bool
    ) -> float:
        now = self._clock.monotonic()
        if is_retry:
            # A stream that breaks after its latency objective has passed is
            # still resumed until its deadline: it has been delivered in part.
            return request.deadline - now
        elapsed = now - request.received_at
        return (
            request.route.latency_objective_seconds * limits.OBJECTIVE_SHARE
            - elapsed
        )

    def _best_remote(
        self, request: Request, tried_regions: Collection[str]
    ) -> RemoteRegion | None:
        if request.is_relayed:
            return None
        return self._regions.best(request, tried_regions)

    def _choose_when_late(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Choice:
        waits = [one.seconds for one in (best, remote) if one]
        if not waits:
            return self._reject_without_target(request)
        least = min(waits)
        if self._is_accepted_late(request, least):
            return self._soonest(request, best, remote)
        half_objective = request.route.latency_objective_seconds / 2
        after_seconds = self._retry_after_seconds(least - half_objective)
        return Reject('late', after_seconds, best, remote)

    def _reject_without_target(self, request: Request) -> Reject:
        rejection = self._usable.no_target_rejection(
            request.service_name, self._clock.monotonic()
        )
        rejection.after_seconds = self._retry_after_seconds(
            rejection.after_seconds
        )
        return rejection

    def _is_accepted_late(self, request: Request, seconds: float) -> bool:
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

    def _soonest(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Choice:
        if best is None and remote is not None:
            return RelayTo(remote)
        if best is not None and remote is not None:
            is_local = best.seconds <= remote.seconds
            return SendTo(best) if is_local else RelayTo(remote)
        if best is not None:
            return SendTo(best)
        return self._reject_without_target(request)

    def _retry_after_seconds(self, wait_seconds: float) -> float:
        spread_seconds = self._random.uniform(0, RETRY_SPREAD_SECONDS)
        return max(MIN_RETRY_AFTER_SECONDS, wait_seconds) + spread_seconds
