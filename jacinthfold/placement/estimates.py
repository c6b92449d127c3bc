"""Estimate when a target would begin to answer a request."""

from jacinthfold.placement import limits
from jacinthfold.placement.targets import Target, TargetTable
from jacinthfold.proxy.messages import Request

_MS_PER_SECOND = 1000.0


class Estimate:
    """Hold when a target's first event is expected, and why."""

    __slots__ = (
        'cached_tokens',
        'keeper',
        'seconds',
        'target',
        'wait_seconds',
    )

    def __init__(
        self,
        target: Target,
        wait_seconds: float,
        own_seconds: float,
        cached_tokens: int,
    ) -> None:
        """Take the wait for others and the request's own time."""
        self.target = target
        self.wait_seconds = wait_seconds
        self.seconds = wait_seconds + own_seconds
        self.cached_tokens = cached_tokens
        # Another target from which this one is to copy the shared parts.
        self.keeper: Target | None = None

    @property
    def keeper_name(self) -> str:
        """Return the instance that is copied from, nothing without one."""
        return self.keeper.record.instance if self.keeper else ''


class Estimator:
    """Estimate for the targets that are known."""

    __slots__ = ('_targets',)

    def __init__(self, targets: TargetTable) -> None:
        """Take the targets."""
        self._targets = targets

    def estimate(
        self, request: Request, target: Target, now: float, kept_tokens: int
    ) -> Estimate:
        """Return when a target's first event is expected."""
        service = self._targets.service(request.service_name)
        wait = self.wait_seconds(target, now, is_urgent=request.route.is_urgent)
        if not service.is_engine:
            return Estimate(target, wait, target.seconds_per_call, 0)
        facts = request.facts
        cached = target.cached_tokens(facts.parts, now) or kept_tokens
        unread = max(0, facts.prompt_tokens - cached)
        own = unread / limits.READ_TOKENS_PER_MS / _MS_PER_SECOND
        own += limits.FIRST_EVENT_SECONDS
        return Estimate(target, wait, own, cached)

    def copying(
        self,
        request: Request,
        target: Target,
        now: float,
        keeper: Target,
        kept_tokens: int,
    ) -> Estimate:
        """Return the estimate of a target that may copy from a keeper."""
        plain = self.estimate(request, target, now, 0)
        if kept_tokens - plain.cached_tokens < limits.COPY_AT_LEAST_TOKENS:
            return plain
        copying = self.estimate(request, target, now, kept_tokens)
        copying.seconds += limits.COPY_SECONDS
        copying.keeper = keeper
        return copying

    def wait_seconds(
        self, target: Target, now: float, *, is_urgent: bool
    ) -> float:
        """Return how long a request waits for others at a target."""
        service = self._targets.service(target.record.service)
        load = target.load(now)
        slots = max(1, target.record.slots)
        if not service.is_engine:
            waiting = max(0, load.requests + 1 - slots)
            return waiting * target.seconds_per_call / slots
        tokens = load.unread_tokens * limits.OVERTAKEN_SHARE
        if is_urgent:
            others = load.unread_tokens - load.urgent_tokens
            tokens = load.urgent_tokens + others * limits.OTHERS_SHARE
        seconds = tokens / limits.READ_TOKENS_PER_MS / _MS_PER_SECOND
        seconds += load.requests * limits.RUNNING_SECONDS
        if load.requests >= slots:
            seconds += limits.FULL_SECONDS
        if load.held_tokens > service.memory_tokens * limits.MEMORY_SHARE:
            seconds += limits.FULL_SECONDS
        return seconds * max(1.0, min(target.slowness, 4.0))
