"""Estimate when a target would begin to answer a request."""

from collections.abc import Iterable

from jacinthfold.catalogue.model import Service
from jacinthfold.placement import limits
from jacinthfold.placement.law import ReadingLaw, pairs_of
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.request.messages import Request


class Estimate:
    """Hold when a target's first event is expected, and why."""

    __slots__ = (
        'ahead',
        'cached_tokens',
        'is_counted',
        'keeper',
        'pairs',
        'running_seconds',
        'seconds',
        'target',
        'unread_tokens',
        'wait_seconds',
        'work',
    )

    def __init__(
        self, target: Target, wait: 'Wait', own_seconds: float
    ) -> None:
        """Take the wait for others and the request's own time."""
        self.target = target
        self.ahead = wait.ahead
        self.running_seconds = wait.running_seconds
        self.wait_seconds = wait.seconds
        self.seconds = wait.seconds + own_seconds
        self.cached_tokens = 0
        self.unread_tokens = 0
        # The own reading, in tokens of a short prompt, and in million pairs.
        self.work = 0.0
        self.pairs = 0.0
        # Whether the request is part of what the target's limit grants.
        self.is_counted = False
        # Another target from which this one is to copy the shared parts.
        self.keeper: Target | None = None

    @property
    def keeper_name(self) -> str:
        """Return the instance that is copied from, nothing without one."""
        return self.keeper.record.instance if self.keeper else ''


class Wait:
    """Hold what a request waits for at a target."""

    __slots__ = ('ahead', 'running_seconds', 'seconds')

    def __init__(
        self, seconds: float, ahead: float = 0.0, running_seconds: float = 0.0
    ) -> None:
        """Take the whole time, and the reading and the batch within it."""
        self.seconds = seconds
        self.ahead = ahead
        self.running_seconds = running_seconds


class Keeper:
    """Hold a target that shared parts may be copied from."""

    __slots__ = ('kept_tokens', 'target')

    def __init__(self, target: Target, kept_tokens: int) -> None:
        """Take the target and how many leading tokens it keeps."""
        self.target = target
        self.kept_tokens = kept_tokens


class Estimator:
    """Estimate for the targets that are known."""

    __slots__ = ('_targets',)

    def __init__(self, targets: TargetTable) -> None:
        """Take the targets."""
        self._targets = targets

    def law(self, service: str) -> ReadingLaw:
        """Return what was learned of a service's engines."""
        return self._targets.laws.of(service)

    def estimate(
        self, request: Request, target: Target, now: float
    ) -> Estimate:
        """Return when a target's first event is expected."""
        service = self._targets.service(request.service_name)
        wait = self.wait(target, now, is_urgent=request.is_urgent)
        if not service.is_engine:
            return Estimate(target, wait, target.seconds_per_call)
        kept = target.kept.tokens(request.facts.chain, service.kv_cache_tokens)
        return self._reading(request, target, wait, kept)

    def keepers(
        self, request: Request, targets: Iterable[Target]
    ) -> list['Keeper']:
        """Return targets to copy shared parts from, the fewest that matter."""
        # How long a copy takes depends on what is kept and on the data centre
        # alone, and who keeps as much needs no copy: of those that are alike
        # one is enough. With 23 engines a choice took 529 comparisons, and
        # takes 92 at most this way.
        service = self._targets.service(request.service_name)
        shared = request.facts.shared_chain
        if service.copy_seconds_per_token is None or not shared:
            return []
        if shared[-1].tokens < limits.COPY_AT_LEAST_TOKENS:
            return []
        seen: set[tuple[int, str]] = set()
        found = []
        for target in targets:
            kept = target.kept.tokens(shared, service.kv_cache_tokens)
            kind = (kept, target.record.data_centre)
            if kept >= limits.COPY_AT_LEAST_TOKENS and kind not in seen:
                seen.add(kind)
                found.append(Keeper(target, kept))
        return found

    def copying(
        self,
        request: Request,
        target: Target,
        now: float,
        keepers: Iterable['Keeper'],
    ) -> Estimate:
        """Return the estimate of a target that may copy shared parts."""
        plain = self.estimate(request, target, now)
        service = self._targets.service(request.service_name)
        best = plain
        for keeper in keepers:
            copied = self._copying(request, plain, keeper, service)
            if copied is not None and copied.seconds < best.seconds:
                best = copied
        return best

    def wait_seconds(
        self, target: Target, now: float, *, is_urgent: bool
    ) -> float:
        """Return how long a request waits for others at a target."""
        return self.wait(target, now, is_urgent=is_urgent).seconds

    def wait(self, target: Target, now: float, *, is_urgent: bool) -> Wait:
        """Return what a request waits for at a target."""
        service = self._targets.service(target.record.service)
        load = target.load(now)
        slots = max(1, target.record.slots)
        if not service.is_engine:
            waiting = max(0, load.requests + 1 - slots)
            return Wait(waiting * target.seconds_per_call / slots)
        ahead = load.unread_tokens * limits.OVERTAKEN_SHARE
        if is_urgent:
            others = load.unread_tokens - load.urgent_tokens
            ahead = load.urgent_tokens + others * limits.OTHERS_SHARE
        running_seconds = load.requests * limits.RUNNING_SECONDS
        law = self.law(service.name)
        seconds = running_seconds + law.reading_seconds(ahead)
        seconds += law.slot_seconds(load.requests, slots)
        if load.held_tokens > service.kv_cache_tokens * limits.MEMORY_SHARE:
            seconds += limits.FULL_SECONDS
        slowness = max(1.0, min(target.slowness, limits.SLOWNESS_COUNTED))
        return Wait(seconds * slowness, ahead, running_seconds)

    def _reading(
        self, request: Request, target: Target, wait: Wait, kept_tokens: int
    ) -> Estimate:
        law = self.law(request.service_name)
        unread = max(0, request.facts.prompt_tokens - kept_tokens)
        work = law.work(unread, kept_tokens)
        found = Estimate(target, wait, law.first_event_seconds(work))
        found.cached_tokens = kept_tokens
        found.unread_tokens = unread
        found.work = work
        found.pairs = pairs_of(unread, kept_tokens)
        return found

    def _copying(
        self,
        request: Request,
        plain: Estimate,
        keeper: 'Keeper',
        service: Service,
    ) -> Estimate | None:
        if keeper.target is plain.target:
            return None
        copied = keeper.kept_tokens - plain.cached_tokens
        if copied < limits.COPY_AT_LEAST_TOKENS:
            return None
        wait = Wait(plain.wait_seconds, plain.ahead, plain.running_seconds)
        found = self._reading(request, plain.target, wait, keeper.kept_tokens)
        seconds = copied * (service.copy_seconds_per_token or 0.0)
        home = keeper.target.record.data_centre
        if home != plain.target.record.data_centre:
            seconds *= limits.COPY_ACROSS_FACTOR
        found.seconds += limits.COPY_SECONDS + seconds
        found.keeper = keeper.target
        return found
