"""Choose where a request runs: a target here, another region, or nowhere."""

import random
from collections.abc import Collection

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.affinity import Affinity, in_order
from jacinthfold.placement.decision import Choice, PassTo, Refuse, SendTo
from jacinthfold.placement.estimates import Estimate, Estimator
from jacinthfold.placement.herd import Herd
from jacinthfold.placement.keeping import KeeperRegions
from jacinthfold.placement.limit_shares import LimitShares
from jacinthfold.placement.pace import ColdPace
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.placement.returns import ReturnSchedule
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.placement.usable import UsableTargets
from jacinthfold.request.messages import Request

# Returns are spread over this time, so that callers that were refused
# together don't come back together.
RETURN_SPREAD_SECONDS = 0.8
RETURN_AT_LEAST_SECONDS = 0.1
# Plain calls are short: one that is late by a few aims is still worth more
# served than sent away.
PLAIN_LATE_AIMS = 4


class Placer:
    """Choose for requests of one region."""

    def __init__(
        self,
        region: str,
        targets: TargetTable,
        pace: ColdPace,
        regions: RegionView,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Take what is known of targets here and of other regions."""
        self._region = region
        self._targets = targets
        self._pace = pace
        self._regions = regions
        self._clock = clock
        self._random = source
        self._affinity = Affinity()
        self._keepers = KeeperRegions(targets)
        self._estimator = Estimator(targets)
        self._herd = Herd()
        self.limit_shares = LimitShares(pace.ranks.own_name, clock)
        self._usable = UsableTargets(
            region, targets, pace, self.limit_shares, ReturnSchedule(clock)
        )

    def choose(
        self,
        request: Request,
        tried: Collection[str] = (),
        tried_regions: Collection[str] = (),
    ) -> Choice:
        """Return where a request is to run."""
        best = self._best_here(request, tried)
        is_repeat = bool(tried or tried_regions)
        allowed = self._seconds_allowed(request, is_repeat=is_repeat)
        keeping = None if is_repeat else self._keeping_elsewhere(request, best)
        if keeping is not None:
            return PassTo(keeping)
        remote = self._best_elsewhere(request, tried_regions)
        if best is not None and best.seconds <= allowed:
            if self._leaves_room(request, best, remote) and remote is not None:
                return PassTo(remote)
            return SendTo(best)
        if remote is not None and remote.seconds <= allowed:
            return PassTo(remote)
        return self._late_choice(request, best, remote)

    def note_sent(self, choice: SendTo, request: Request) -> None:
        """Take that a request leaves for a target."""
        target = choice.estimate.target
        now = self._clock.monotonic()
        self._herd.note_sent(request.service_name, now)
        estimate = choice.estimate
        estimate.is_counted = self._usable.note_sent(target, now)
        target.note_sent(request.facts.chain, estimate.unread_tokens)
        shared = request.facts.shared_chain
        if shared and shared[-1].tokens >= limits.COPY_AT_LEAST_TOKENS:
            uses = self._targets.recent_uses
            uses.note(target.record.incarnation_id, shared[-1].name, now)

    def least_wait_seconds(
        self, service: str, *, is_urgent: bool
    ) -> float | None:
        """Return the least wait for a service here, None with no target."""
        now = self._clock.monotonic()
        waits = [
            self._estimator.wait_seconds(target, now, is_urgent=is_urgent)
            for target in self._usable.find(
                service, (), now, is_urgent=is_urgent
            )
        ]
        return min(waits, default=None)

    def _best_here(
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
        ordered = self._ordered(request, usable)
        keepers = self._estimator.keepers(request, ordered)
        estimates = []
        for place, target in enumerate(ordered):
            estimate = self._estimator.copying(request, target, now, keepers)
            # Most requests stay with their parts' target: the other targets
            # are estimated for the rest alone.
            if place < limits.KEEPERS and self._is_kept(request, estimate, now):
                return estimate
            estimates.append(estimate)
        spread = self._spread_seconds(request, estimates, now)
        return min(estimates, key=lambda one: self._cost(one, spread))

    def _leaves_room(
        self,
        request: Request,
        best: Estimate,
        remote: RemoteRegion | None,
    ) -> bool:
        """Tell whether a request had better leave this region's targets."""
        # Large prompts that any region may serve fill the targets that those
        # bound to this one need, as long as they are in time here themselves.
        if remote is None or remote.seconds >= best.seconds:
            return False
        if best.wait_seconds <= limits.LEAVE_WAIT_SECONDS:
            return False
        # Plain services turn calls away long before they are late: their
        # queues are short, and what another region could serve is lost.
        if not self._targets.service(request.service_name).is_engine:
            return True
        if request.is_bound:
            return False
        law = self._estimator.law(request.service_name)
        return law.reading_seconds(best.work) >= limits.LARGE_SECONDS

    def _keeping_elsewhere(
        self, request: Request, best: Estimate | None
    ) -> RemoteRegion | None:
        """Return the region whose target keeps the shared parts, if any."""
        shared = request.facts.shared_chain
        if request.is_relayed or not shared:
            return None
        tokens = shared[-1].tokens
        if tokens < limits.COPY_AT_LEAST_TOKENS:
            return None
        if best is not None and best.cached_tokens >= tokens:
            return None
        now = self._clock.monotonic()
        keepers = self._keepers.regions(request, now)
        if not keepers or keepers[0] == self._region:
            return None
        found = self._regions.at(keepers[0], request, tokens)
        limit = request.route.latency_objective_seconds * limits.KEEP_SHARE
        if found is None or found.seconds > limit - (now - request.received_at):
            return None
        return found

    def _ordered(self, request: Request, usable: list[Target]) -> list[Target]:
        """Return targets, the shared parts' own one first."""
        shared = self._affinity.shared_parts(
            request.route.name, request.facts.parts, len(usable)
        )
        if not shared:
            return usable
        targets = {target.record.instance: target for target in usable}
        return [targets[name] for name in in_order(shared, targets)]

    def _is_kept(
        self, request: Request, estimate: Estimate, now: float
    ) -> bool:
        """Tell whether a request stays with the target of its shared parts."""
        is_failing = estimate.target.failing_share > limits.KEEPER_FAILING_SHARE
        if is_failing or not request.facts.parts:
            return False
        elapsed = now - request.received_at
        aim = request.route.latency_objective_seconds
        slowness = max(1.0, estimate.target.slowness)
        return estimate.seconds * slowness < aim * limits.KEEP_SHARE - elapsed

    def _spread_seconds(
        self, request: Request, estimates: list[Estimate], now: float
    ) -> float:
        name = request.service_name
        some = estimates[0]
        if self._targets.service(name).is_engine:
            busy = self._estimator.law(name).reading_seconds(some.work)
        else:
            slots = max(1, some.target.record.slots)
            busy = some.target.seconds_per_call / slots
        return self._herd.spread_seconds(
            name, busy / len(estimates), self._pace.host_count, now
        )

    def _cost(self, estimate: Estimate, spread_seconds: float) -> float:
        target = estimate.target
        # A target that fails part of its requests is worth less than one
        # that is merely late: most failures can't be made good.
        risk = target.failing_share**2
        jitter = self._random.uniform(0, spread_seconds)
        return estimate.seconds * max(1.0, target.slowness) + risk + jitter

    def _seconds_allowed(self, request: Request, *, is_repeat: bool) -> float:
        now = self._clock.monotonic()
        if is_repeat:
            # A stream that is cut after its aim has passed is still owed its
            # end: held to the aim, it would be given up half delivered.
            return request.deadline - now
        elapsed = now - request.received_at
        return (
            request.route.latency_objective_seconds * limits.AIM_SHARE - elapsed
        )

    def _best_elsewhere(
        self, request: Request, tried_regions: Collection[str]
    ) -> RemoteRegion | None:
        if request.is_relayed:
            return None
        return self._regions.best(request, tried_regions)

    def _late_choice(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Choice:
        waits = [one.seconds for one in (best, remote) if one]
        if not waits:
            return self._nothing_usable(request)
        least = min(waits)
        if self._is_worth_waiting(request, least):
            return self._nearest(request, best, remote)
        half_aim = request.route.latency_objective_seconds / 2
        after_seconds = self._return_seconds(least - half_aim)
        return Refuse('late', after_seconds, best, remote)

    def _nothing_usable(self, request: Request) -> Refuse:
        refusal = self._usable.absence(
            request.service_name, self._clock.monotonic()
        )
        refusal.after_seconds = self._return_seconds(refusal.after_seconds)
        return refusal

    def _is_worth_waiting(self, request: Request, seconds: float) -> bool:
        """Tell whether a request is served although it will be late."""
        aim = request.route.latency_objective_seconds
        if not self._targets.service(request.service_name).is_engine:
            return seconds < aim * PLAIN_LATE_AIMS
        # A large prompt takes most of its aim by itself: however empty the
        # targets, it is late, and refusing it would starve it.
        law = self._estimator.law(request.service_name)
        work = law.work(request.facts.prompt_tokens, 0)
        read_seconds = law.reading_seconds(work)
        is_large = read_seconds > aim / 2
        return is_large and seconds - read_seconds < aim / 2

    def _nearest(
        self,
        request: Request,
        best: Estimate | None,
        remote: RemoteRegion | None,
    ) -> Choice:
        if best is None and remote is not None:
            return PassTo(remote)
        if best is not None and remote is not None:
            is_here = best.seconds <= remote.seconds
            return SendTo(best) if is_here else PassTo(remote)
        if best is not None:
            return SendTo(best)
        return self._nothing_usable(request)

    def _return_seconds(self, wait_seconds: float) -> float:
        spread = self._random.uniform(0, RETURN_SPREAD_SECONDS)
        return max(RETURN_AT_LEAST_SECONDS, wait_seconds) + spread
