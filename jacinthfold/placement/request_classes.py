"""Describe requests for the queue in which they wait."""

from jacinthfold.placement import limits
from jacinthfold.placement.first_event_limit import first_event_limit_seconds
from jacinthfold.placement.targets import TargetTable
from jacinthfold.placement.waiting_queue import (
    RequestClass,
    Size,
    WaitingRequest,
)
from jacinthfold.request.messages import Request

# Prompts of 2,400 tokens and of 12,000 compete for the same engines.
LARGE_PROMPT_TOKENS = 4000
# Share of the latency objective after which a large prompt goes first within
# its priority.
OVERDUE_SHARE = 1 / 4


class RequestClassifier:
    """Tell the classes of requests and how long they run by themselves."""

    __slots__ = ('_region', '_targets')

    def __init__(self, region: str, targets: TargetTable) -> None:
        """Use the services and the targets of the own region."""
        self._region = region
        self._targets = targets

    def class_of(self, request: Request) -> RequestClass:
        """Return the class of the requests that are placed alike."""
        version = ''
        name = request.service_name
        if request.origin is not None and self._targets.versions.is_mixed(name):
            version = request.origin.software_version or ''
        return RequestClass(
            request.rank, self._size(request), request.home_regions, version
        )

    def own_seconds(self, request: Request) -> float:
        """Return the time to the first event at an idle target, uncached."""
        name = request.service_name
        if self._targets.service(name).is_engine:
            model = self._targets.latency_models.of(name)
            cost = model.token_cost(request.facts.prompt_tokens, 0)
            return model.first_event_seconds(cost)
        return min(
            (
                target.seconds_per_call
                for target in self._targets.of(name, self._region)
            ),
            default=limits.CALL_SECONDS,
        )

    def entry(self, number: int, request: Request) -> WaitingRequest:
        """Return a request's entry, with its latest useful start."""
        in_time_until = min(
            request.received_at + first_event_limit_seconds(request),
            request.deadline,
        )
        entry = WaitingRequest(
            number,
            self.class_of(request),
            in_time_until - self.own_seconds(request),
            _size_bytes(request),
        )
        if entry.request_class.size is Size.LARGE:
            objective_seconds = request.route.latency_objective_seconds
            entry.overdue_at = (
                request.received_at + objective_seconds * OVERDUE_SHARE
            )
        return entry

    def _size(self, request: Request) -> Size:
        if not self._targets.service(request.service_name).is_engine:
            return Size.CALL
        is_large = request.facts.prompt_tokens >= LARGE_PROMPT_TOKENS
        return Size.LARGE if is_large else Size.SMALL


def _size_bytes(request: Request) -> int:
    heads = sum(len(name) + len(content) for name, content in request.headers)
    return len(request.body) + heads
