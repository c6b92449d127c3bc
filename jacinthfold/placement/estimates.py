"""Estimate when a target would begin to answer a request."""

from collections.abc import Iterable

from jacinthfold.catalogue.model import Service
from jacinthfold.placement import limits
from jacinthfold.placement.latency_model import LatencyModel, million_pairs
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.request.messages import Request


class Estimate:
    """Hold when a target's first event is expected, and why."""

    __slots__ = (
        'tokens_ahead',
        'cached_tokens',
        'is_counted',
        'copy_source',
        'pairs',
        'running_seconds',
        'seconds',
        'target',
        'tokens_to_prefill',
        'wait_seconds',
        'token_cost',
    )

    def __init__(
        self, target: Target, wait: 'Wait', own_seconds: float
    ) -> None:
        """Take the wait for others and the request's own time."""
        self.target = target
        self.tokens_ahead = wait.tokens_ahead
        self.running_seconds = wait.running_seconds
        self.wait_seconds = wait.seconds
        self.seconds = wait.seconds + own_seconds
        self.cached_tokens = 0
        self.tokens_to_prefill = 0
        # The own reading, in tokens of a short prompt, and in million pairs.
        self.token_cost = 0.0
        self.pairs = 0.0
        # Whether the request is part of what the target's limit grants.
        self.is_counted = False
        # Another target from which this one is to copy the shared parts.
        self.copy_source: Target | None = None

    @property
    def copy_source_name(self) -> str:
        """Return the instance that is copied from, nothing without one."""
        return self.copy_source.record.instance if self.copy_source else ''


class Wait:
    """Hold what a request waits for at a target."""

    __slots__ = ('tokens_ahead', 'running_seconds', 'seconds')

    def __init__(
        self,
        seconds: float,
        tokens_ahead: float = 0.0,
        running_seconds: float = 0.0,
    ) -> None:
        """Take the whole time, and the reading and the batch within it."""
        self.seconds = seconds
        self.tokens_ahead = tokens_ahead
        self.running_seconds = running_seconds


class CopySource:
    """Hold a target that shared parts may be copied from."""

    __slots__ = ('prefix_tokens', 'target')

    def __init__(self, target: Target, prefix_tokens: int) -> None:
        """Take the target and how many leading tokens it keeps."""
        self.target = target
        self.prefix_tokens = prefix_tokens


class Estimator:
    """Estimate for the targets that are known."""

    __slots__ = ('_targets',)

    def __init__(self, targets: TargetTable) -> None:
        """Take the targets."""
        self._targets = targets

    def latency_model(self, service: str) -> LatencyModel:
        """Return what was learned of a service's engines."""
        return self._targets.latency_models.of(service)

    def estimate(
        self, request: Request, target: Target, now: float
    ) -> Estimate:
        """Return when a target's first event is expected."""
        service = self._targets.service(request.service_name)
        wait = self.wait(target, now, is_urgent=request.is_urgent)
        if not service.is_engine:
            return Estimate(target, wait, target.seconds_per_call)
        cached = target.cached_prefixes.cached_tokens(
            request.facts.chain, service.memory_tokens
        )
        return self._estimate_prefill(request, target, wait, cached)

    def copy_sources(
        self, request: Request, targets: Iterable[Target]
    ) -> list['CopySource']:
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
            cached = target.cached_prefixes.cached_tokens(
                shared, service.memory_tokens
            )
            kind = (cached, target.record.data_centre)
            if cached >= limits.COPY_AT_LEAST_TOKENS and kind not in seen:
                seen.add(kind)
                found.append(CopySource(target, cached))
        return found

    def estimate_with_copy(
        self,
        request: Request,
        target: Target,
        now: float,
        copy_sources: Iterable['CopySource'],
    ) -> Estimate:
        """Return the estimate of a target that may copy shared parts."""
        plain = self.estimate(request, target, now)
        service = self._targets.service(request.service_name)
        best = plain
        for copy_source in copy_sources:
            copied = self._estimate_copy(request, plain, copy_source, service)
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
        tokens_ahead = load.pending_prefill_tokens * limits.OVERTAKEN_FACTOR
        if is_urgent:
            others = load.pending_prefill_tokens - load.urgent_tokens
            tokens_ahead = load.urgent_tokens + others * limits.OTHERS_SHARE
        running_seconds = load.requests * limits.RUNNING_SECONDS
        model = self.latency_model(service.name)
        seconds = running_seconds + model.prefill_seconds(tokens_ahead)
        seconds += model.slot_wait_seconds(load.requests, slots)
        if load.held_tokens > service.memory_tokens * limits.MEMORY_SHARE:
            seconds += limits.MEMORY_WAIT_SECONDS
        slowness = max(1.0, min(target.slowness, limits.MAX_SLOWNESS_FACTOR))
        return Wait(seconds * slowness, tokens_ahead, running_seconds)

    def _estimate_prefill(
        self, request: Request, target: Target, wait: Wait, prefix_tokens: int
    ) -> Estimate:
        model = self.latency_model(request.service_name)
        tokens_to_prefill = max(0, request.facts.prompt_tokens - prefix_tokens)
        token_cost = model.token_cost(tokens_to_prefill, prefix_tokens)
        found = Estimate(target, wait, model.first_event_seconds(token_cost))
        found.cached_tokens = prefix_tokens
        found.tokens_to_prefill = tokens_to_prefill
        found.token_cost = token_cost
        found.pairs = million_pairs(tokens_to_prefill, prefix_tokens)
        return found

    def _estimate_copy(
        self,
        request: Request,
        plain: Estimate,
        copy_source: 'CopySource',
        service: Service,
    ) -> Estimate | None:
        if copy_source.target is plain.target:
            return None
        copied = copy_source.prefix_tokens - plain.cached_tokens
        if copied < limits.COPY_AT_LEAST_TOKENS:
            return None
        wait = Wait(
            plain.wait_seconds, plain.tokens_ahead, plain.running_seconds
        )
        found = self._estimate_prefill(
            request, plain.target, wait, copy_source.prefix_tokens
        )
        seconds = copied * (service.copy_seconds_per_token or 0.0)
        home = copy_source.target.record.data_centre
        if home != plain.target.record.data_centre:
            seconds *= limits.COPY_ACROSS_FACTOR
        found.seconds += limits.COPY_SECONDS + seconds
        found.copy_source = copy_source.target
        return found
