"""Estimate the time to the first event of a request at a target."""

from collections.abc import Iterable

from jacinthfold.catalogue.model import Service
from jacinthfold.placement import limits
from jacinthfold.placement.latency_model import LatencyModel, million_pairs
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.request.messages import Request


class Estimate:
    """Hold the expected time to a target's first event, and its parts."""

    __slots__ = (
        'lag_seconds',
        'tokens_ahead',
        'cached_tokens',
        'is_counted',
        'is_trial',
        'copy_source',
        'in_flight_before',
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
        """Add the wait for other requests and the request's own time."""
        self.target = target
        self.tokens_ahead = wait.tokens_ahead
        self.running_seconds = wait.running_seconds
        self.wait_seconds = wait.seconds
        self.seconds = wait.seconds + own_seconds
        # By how much answers lately came later than expected.
        self.lag_seconds = 0.0
        self.cached_tokens = 0
        self.tokens_to_prefill = 0
        # The request's own prefill: its cost in tokens of a short prompt, and
        # its attention pairs in millions.
        self.token_cost = 0.0
        self.pairs = 0.0
        # Whether the request was counted against the target's limit.
        self.is_counted = False
        # Requests in flight at the target when this one was sent; None if its
        # places are not shared.
        self.in_flight_before: int | None = None
        # Whether it is a trial of an ejected target.
        self.is_trial = False
        # Another target from which this one copies the shared prefix.
        self.copy_source: Target | None = None

    @property
    def lagged_seconds(self) -> float:
        """Return the expected time with the measured lag of answers."""
        return self.seconds + self.lag_seconds

    @property
    def copy_source_name(self) -> str:
        """Return the instance that is copied from, empty without one."""
        return self.copy_source.record.instance if self.copy_source else ''


class Wait:
    """Hold how long a request waits for others at a target."""

    __slots__ = ('tokens_ahead', 'running_seconds', 'seconds')

    def __init__(
        self,
        seconds: float,
        tokens_ahead: float = 0.0,
        running_seconds: float = 0.0,
    ) -> None:
        """Set the whole wait, and its prefill tokens and batch time."""
        self.seconds = seconds
        self.tokens_ahead = tokens_ahead
        self.running_seconds = running_seconds


class CopySource:
    """Hold a target that a shared prefix may be copied from."""

    __slots__ = ('prefix_tokens', 'target')

    def __init__(self, target: Target, prefix_tokens: int) -> None:
        """Set the target and how many leading tokens it caches."""
        self.target = target
        self.prefix_tokens = prefix_tokens


class Estimator:
    """Estimate the time to the first event at known targets."""

    __slots__ = ('_targets',)

    def __init__(self, targets: TargetTable) -> None:
        """Use the state of the targets."""
        self._targets = targets

    def latency_model(self, service: str) -> LatencyModel:
        """Return the latency model of a service's engines."""
        return self._targets.latency_models.of(service)

    def estimate(
        self, request: Request, target: Target, now: float
    ) -> Estimate:
        """Return the estimate of a target without copies."""
        service = self._targets.service(request.service_name)
        wait = self.wait(target, now, is_urgent=request.is_urgent)
        if not service.is_engine:
            return Estimate(target, wait, target.seconds_per_call)
        cached = target.cached_prefixes.cached_tokens(
            request.facts.prefixes, service.kv_cache_tokens
        )
        return self._estimate_prefill(request, target, wait, cached)

    def copy_sources(
        self, request: Request, targets: Iterable[Target]
    ) -> list['CopySource']:
        """Return targets to copy a shared prefix from, one of each kind."""
        # The time of a copy depends only on the cached tokens and the data
        # centre, and a target that caches as many needs no copy, so one of each
        # kind is enough. With 23 engines this takes 92 comparisons at most
        # where all pairs take 529.
        service = self._targets.service(request.service_name)
        shared = request.facts.shared_prefixes
        if service.copy_seconds_per_token is None or not shared:
            return []
        if shared[-1].tokens < limits.COPY_AT_LEAST_TOKENS:
            return []
        seen: set[tuple[int, str, str]] = set()
        found = []
        for target in targets:
            cached = target.cached_prefixes.cached_tokens(
                shared, service.kv_cache_tokens
            )
            key = (
                cached,
                target.record.data_centre,
                target.record.software_version,
            )
            if cached >= limits.COPY_AT_LEAST_TOKENS and key not in seen:
                seen.add(key)
                found.append(CopySource(target, cached))
        return found

    def estimate_with_copy(
        self,
        request: Request,
        target: Target,
        now: float,
        copy_sources: Iterable['CopySource'],
    ) -> Estimate:
        """Return the estimate of a target, with a copy where it is faster."""
        without_copy = self.estimate(request, target, now)
        service = self._targets.service(request.service_name)
        best = without_copy
        for copy_source in copy_sources:
            copied = self._estimate_copy(
                request, without_copy, copy_source, service
            )
            if copied is not None and copied.seconds < best.seconds:
                best = copied
        return best

    def least_prefill_seconds(self, service: str) -> float:
        """Return the time to the first event of a prompt that is cached."""
        return self.latency_model(service).first_event_seconds(0.0)

    def prefill_seconds(self, request: Request, prefix_tokens: int) -> float:
        """Return the own time of a prompt with a cached prefix."""
        model = self.latency_model(request.service_name)
        tokens_to_prefill = max(0, request.facts.prompt_tokens - prefix_tokens)
        return model.first_event_seconds(
            model.token_cost(tokens_to_prefill, prefix_tokens)
        )

    def cached_prefill_seconds(self, request: Request, target: Target) -> float:
        """Return the own time of a prompt at a target, without a wait."""
        service = self._targets.service(request.service_name)
        cached = target.cached_prefixes.cached_tokens(
            request.facts.prefixes, service.kv_cache_tokens
        )
        return self.prefill_seconds(request, cached)

    def wait_seconds(
        self, target: Target, now: float, *, is_urgent: bool
    ) -> float:
        """Return the wait for other requests at a target, in seconds."""
        return self.wait(target, now, is_urgent=is_urgent).seconds

    def wait(self, target: Target, now: float, *, is_urgent: bool) -> Wait:
        """Return the wait for other requests at a target, and its parts."""
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
        if load.held_tokens > service.kv_cache_tokens * limits.MEMORY_SHARE:
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
        without_copy: Estimate,
        copy_source: 'CopySource',
        service: Service,
    ) -> Estimate | None:
        source_version = copy_source.target.record.software_version
        if (
            copy_source.target is without_copy.target
            # Memory that another version wrote may not fit.
            or source_version != without_copy.target.record.software_version
        ):
            return None
        copied = copy_source.prefix_tokens - without_copy.cached_tokens
        if copied < limits.COPY_AT_LEAST_TOKENS:
            return None
        wait = Wait(
            without_copy.wait_seconds,
            without_copy.tokens_ahead,
            without_copy.running_seconds,
        )
        found = self._estimate_prefill(
            request, without_copy.target, wait, copy_source.prefix_tokens
        )
        seconds = copied * (service.copy_seconds_per_token or 0.0)
        source_data_centre = copy_source.target.record.data_centre
        if source_data_centre != without_copy.target.record.data_centre:
            seconds *= limits.COPY_ACROSS_FACTOR
        found.seconds += limits.COPY_SECONDS + seconds
        found.copy_source = copy_source.target
        return found
