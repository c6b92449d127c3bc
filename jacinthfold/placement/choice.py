"""Choose where a request runs: a target here, another region, or nowhere."""

import random
from collections.abc import Collection
from typing import Protocol

from jacinthfold.clock import Clock
from jacinthfold.placement import limits, water_filling
from jacinthfold.placement.affinity import Affinity, rank_instances
from jacinthfold.placement.answer_lag import AnswerLag
from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.placement.estimates import Estimate, Estimator
from jacinthfold.placement.first_event_limit import first_event_limit_seconds
from jacinthfold.placement.jitter import LoadJitter
from jacinthfold.placement.late_placement import LatePlacement
from jacinthfold.placement.least_waits import LeastWaits
from jacinthfold.placement.limit_shares import LimitShares
from jacinthfold.placement.overload_options import OverloadOptions
from jacinthfold.placement.pace import ColdTargetPacer
from jacinthfold.placement.preferred_regions import PreferredRegions
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.placement.request_classes import RequestClassifier
from jacinthfold.placement.stream_regions import stream_regions
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.placement.usable import NO_TARGET_SECONDS, UsableTargets
from jacinthfold.request.messages import Request


class LagListener(Protocol):
    """Receive by how much the answers of a service come late."""

    def __call__(
        self, service: str, seconds: float, *, is_urgent: bool
    ) -> None:
        """Handle the lag of a service's answers."""


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
        overload: OverloadOptions | None = None,
    ) -> None:
        """Use the state of local targets and of other regions."""
        self._overload = overload or OverloadOptions()
        self._region = region
        self._targets = targets
        self._pace = pace
        self._regions = regions
        self._clock = clock
        self._random = source
        self._affinity = Affinity()
        self._preferred_regions = PreferredRegions(targets)
        self._estimator = Estimator(targets)
        self.classifier = RequestClassifier(region, targets)
        self._jitter = LoadJitter()
        self._answer_lag = AnswerLag(clock)
        # Receives each change of the lag of a service's answers.
        self.on_answer_lag: LagListener = _ignore_lag
        self.limit_shares = LimitShares(pace.ranks.own_name, clock)
        self._usable = UsableTargets(
            region,
            targets,
            pace,
            self.limit_shares,
            clock,
            has_places=self._overload.target_places,
        )
        self._least_waits = LeastWaits(
            region, targets, self._usable, self._estimator
        )
        self._late = LatePlacement(
            region, targets, self._usable, self._least_waits, clock, source
        )
        self.place_shares = self._usable.place_shares

    def choose(
        self,
        request: Request,
        tried: Collection[str] = (),
        tried_regions: Collection[str] = (),
        *,
        is_waiting: bool = False,
    ) -> Choice:
        """Return the target or region for a request, or a rejection.

        A request that waits takes no retry time with its rejection.
        """
        if tried or tried_regions:
            best = self._best_local(request, tried)
            return self._choose_in_time(
                request,
                best,
                tried,
                tried_regions,
                is_retry=True,
                is_waiting=is_waiting,
            )
        trial = self._trial(request)
        if trial is not None:
            return SendTo(trial)
        rejection = self._reject_early(request)
        if rejection is not None:
            return rejection
        best = self._best_local(request, tried)
        if best is not None:
            best.lag_seconds = self._own_lag_seconds(request)
        preferred = self._preferred_remote(request, best)
        if preferred is not None:
            return RelayTo(preferred)
        return self._choose_in_time(
            request, best, (), (), is_retry=False, is_waiting=is_waiting
        )

    def choose_next(
        self,
        request: Request,
        tried: Collection[str],
        tried_regions: Collection[str],
    ) -> Choice:
        """Return where a request goes on that a silent target still holds."""
        silent = self._targets.silent(request.service_name, self._region)
        return self.choose(
            request, {*tried, *silent}, tried_regions, is_waiting=True
        )

    def record_sent(self, choice: SendTo, request: Request) -> None:
        """Count a request that is sent to a target."""
        target = choice.estimate.target
        now = self._clock.monotonic()
        self._jitter.record_sent(request.service_name, now)
        estimate = choice.estimate
        estimate.is_counted = self._usable.record_sent(target, now)
        if self._usable.has_places(request.service_name):
            estimate.in_flight_before = target.load(now).requests
            self.place_shares.record_call(request, now)
        if estimate.is_trial:
            target.record_trial(now)
        target.record_sent(request.facts.prefixes, estimate.tokens_to_prefill)
        shared = request.facts.shared_prefixes
        if shared and shared[-1].tokens >= limits.COPY_AT_LEAST_TOKENS:
            uses = self._targets.recent_uses
            uses.record_use(target.record.incarnation_id, shared[-1].name, now)

    def record_first_event(
        self, request: Request, estimate: Estimate, seconds: float
    ) -> None:
        """Record the time to the first event of an answer."""
        self._answer_lag.record(
            request.service_name,
            estimate.seconds,
            seconds,
            is_urgent=request.is_urgent,
        )
        self.on_answer_lag(
            request.service_name,
            self._own_lag_seconds(request),
            is_urgent=request.is_urgent,
        )

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
        if not waits:
            return None
        return min(waits) + self.lag_seconds(service, is_urgent=is_urgent)

    def lag_seconds(self, service: str, *, is_urgent: bool) -> float:
        """Return by how much answers come late, 0 if it isn't measured."""
        if not self._overload.answer_lag:
            return 0.0
        return self._answer_lag.seconds(service, is_urgent=is_urgent)

    def _choose_in_time(
        self,
        request: Request,
        best: Estimate | None,
        tried: Collection[str],
        tried_regions: Collection[str],
        *,
        is_retry: bool,
        is_waiting: bool = False,
    ) -> Choice:
        allowed = self._latency_budget_seconds(request, is_retry=is_retry)
        remote = self._best_remote(request, tried_regions)
        if best is not None and best.lagged_seconds <= allowed:
            is_relayed = self._should_relay(request, best, remote, allowed)
            if is_relayed and remote is not None:
                return RelayTo(remote)
            return SendTo(best)
        if remote is not None and remote.seconds <= allowed:
            return RelayTo(remote)
        if is_waiting and best is None and remote is None:
            return self._usable.version_rejection(request) or Reject(
                'no_target', NO_TARGET_SECONDS
            )
        choice = self._late.choose(request, best, remote)
        if best is None and isinstance(choice, Reject):
            return (
                self._late.no_place_rejection(request, tried, remote) or choice
            )
        return choice

    def _reject_early(self, request: Request) -> Reject | None:
        """Return the rejection of a request that is late at any target."""
        if not request.allows(self._region):
            return None
        # The bounds hold for all targets together.
        if request.origin is not None and self._targets.versions.is_mixed(
            request.service_name
        ):
            return None
        best = self._least_waits.late_estimate(
            request, self._clock.monotonic(), self._may_serve_here
        )
        if best is None:
            return None
        remote = self._best_remote(request, ())
        if remote is not None and self._may_serve(request, remote.seconds):
            return None
        if self._preferred_remote(request, None) is not None:
            return None
        # Rejected prompts count among the recent ones of their route too.
        self._affinity.shared_segments(
            request.route.name,
            request.facts.prefix_segments,
            self._least_waits.target_count(request),
        )
        return self._late.reject(request, best, remote)

    def _own_lag_seconds(self, request: Request) -> float:
        return self.lag_seconds(
            request.service_name, is_urgent=request.is_urgent
        )

    def _may_serve_here(self, request: Request, seconds: float) -> bool:
        """Tell whether a target of this region may serve a request."""
        lag_seconds = self._own_lag_seconds(request)
        return self._may_serve(request, seconds + lag_seconds)

    def _may_serve(self, request: Request, seconds: float) -> bool:
        """Tell whether a request may be served with an expected time."""
        return seconds <= self._latency_budget_seconds(
            request, is_retry=False
        ) or self._late.is_accepted(request, seconds)

    def _best_local(
        self, request: Request, tried: Collection[str]
    ) -> Estimate | None:
        if not request.allows(self._region):
            return None
        now = self._clock.monotonic()
        usable = self._usable.find(
            request.service_name,
            tried,
            now,
            is_urgent=request.is_urgent,
            objective_seconds=request.route.latency_objective_seconds,
            origin=request.origin,
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
        if self._overload.water_filling:
            costs = [self._cost(one, 0.0, now) for one in estimates]
            work_seconds = jitter * len(estimates)
            chosen = water_filling.choose(costs, work_seconds, self._random)
            return estimates[chosen]
        return min(estimates, key=lambda one: self._cost(one, jitter, now))

    def _trial(self, request: Request) -> Estimate | None:
        """Return the estimate of a target that a request may try, if any."""
        if not request.allows(self._region):
            return None
        now = self._clock.monotonic()
        target = self._usable.find_trial(request, now)
        if target is None:
            return None
        estimate = self._estimator.estimate(request, target, now)
        estimate.is_trial = True
        allowed = self._latency_budget_seconds(request, is_retry=False)
        return estimate if estimate.seconds <= allowed else None

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
        slowness = target.slowness
        if not self._targets.service(target.record.service).is_engine:
            slowness = target.call_slowness(now)
        return estimate.seconds * max(1.0, slowness) + risk + jitter

    def _latency_budget_seconds(
        self, request: Request, *, is_retry: bool
    ) -> float:
        now = self._clock.monotonic()
        # Of the attempts before a relay, the other region has no record.
        is_resumed = request.is_relayed and request.origin is not None
        if is_retry or is_resumed:
            # A stream that breaks after its latency objective has passed is
            # still resumed until its deadline: it has been delivered in part.
            return request.deadline - now
        ends_at = request.received_at + first_event_limit_seconds(request)
        if request.origin is not None:
            ends_at = min(ends_at, request.deadline)
        return ends_at - now

    def _best_remote(
        self, request: Request, tried_regions: Collection[str]
    ) -> RemoteRegion | None:
        if request.is_relayed:
            return None
        if request.origin is None:
            return self._regions.best(request, tried_regions)
        within = stream_regions(request, self._targets)
        return self._regions.best(request, tried_regions, within)


def _ignore_lag(service: str, seconds: float, *, is_urgent: bool) -> None:
    """Do nothing with the lag of answers."""
