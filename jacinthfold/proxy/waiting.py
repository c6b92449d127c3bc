"""Let requests wait at this host for capacity, and try them in turns."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.decision import Choice, Reject
from jacinthfold.placement.first_event_limit import first_event_limit_seconds
from jacinthfold.placement.late_placement import MIN_RETRY_AFTER_SECONDS
from jacinthfold.placement.placement_rates import (
    HOLD_SHARE,
    PlacementRates,
    hold_seconds,
)
from jacinthfold.placement.request_classes import RequestClassifier
from jacinthfold.placement.retry_schedule import ReturnSchedule
from jacinthfold.placement.waiting_queue import (
    WaitingBounds,
    WaitingQueue,
    WaitingRequest,
)
from jacinthfold.proxy import waiting_log
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.waiting_place import Place
from jacinthfold.request.messages import Request

# Load reports and the end of a prefill free capacity without a request's end.
CHECK_SECONDS = 0.05
# The relaying host has counted one trip to this region. A relayed request waits
# no longer than that, so that its estimate is wrong by one trip at most.
RELAYED_LIMIT_SECONDS = limits.REGION_TRIP_SECONDS
# Retry-After of a draining host: another host can serve at once.
LEAVING_RETRY_SECONDS = 0.05

# Admits and places a request; the argument tells whether it is its last trial.
# None when it is not admitted.
Trial = Callable[[bool], Awaitable[Choice | None]]


class Waiting:
    """Hold the queues of all services and wake requests for their turns."""

    def __init__(
        self,
        classifier: RequestClassifier,
        metrics: ProxyMetrics,
        clock: Clock,
        limit_requests: int = 0,
    ) -> None:
        """Let at most that many requests wait; 0: none waits."""
        self._classifier = classifier
        self._metrics = metrics
        self._clock = clock
        self._bounds = WaitingBounds(limit_requests)
        self._queues: dict[str, WaitingQueue] = {}
        self._places: dict[int, Place] = {}
        self._numbers = itertools.count()
        self._rates: dict[str, PlacementRates] = {}
        self.returns = ReturnSchedule(
            clock, random.Random(), MIN_RETRY_AFTER_SECONDS
        )
        self._check_handle: asyncio.TimerHandle | None = None
        # Services whose requests ended while a request was tried.
        self._turn_wanted: set[str] = set()
        # Whether a request that starts now can end before this host stops.
        self.may_start: Callable[[Request], bool] = _always
        self._ends_at: float | None = None

    @property
    def is_enabled(self) -> bool:
        """Tell whether any request may wait."""
        return self._bounds.limit_requests > 0

    def set_limit(self, limit_requests: int) -> None:
        """Set how many requests may wait; those that wait now stay."""
        self._bounds.limit_requests = limit_requests

    def record_placed(self, request: Request) -> None:
        """Count a request that was placed, for the rate of its class."""
        if self.is_enabled:
            self._rates_of(request).record_placed(
                self._classifier.class_of(request), self._clock.monotonic()
            )

    def record_end(self, service: str) -> None:
        """Start a turn, since a request of a service has ended."""
        queue = self._queues.get(service)
        if not queue:
            return
        if queue.is_trying:
            self._turn_wanted.add(service)
            return
        queue.begin_turn()
        self._offer_next(service)

    def begin_drain(self, ends_at: float) -> None:
        """Let no request wait past the end of the grace period."""
        self._ends_at = ends_at
        for queue in self._queues.values():
            queue.limit_wait(ends_at)

    async def wait(
        self,
        request: Request,
        progress: Progress,
        rejection: Reject,
        trial: Trial,
    ) -> Choice | None:
        """Return what a request's turn gave, its rejection if none came."""
        place, reason = self._enter(request, progress, rejection)
        if place is None:
            self._metrics.wait_refusals.labels(
                request.service_name, reason
            ).inc()
            self._assign_return(request, rejection)
            return rejection
        ending = 'left'
        try:
            choice = await self._try_until_placed(place, trial)
            ending = waiting_log.ending_of(choice)
        finally:
            self._leave(place, ending)
        if isinstance(choice, Reject) and choice.reason != 'leaving':
            self._assign_return(request, choice)
        return choice

    async def _try_until_placed(
        self, place: Place, trial: Trial
    ) -> Choice | None:
        while True:
            is_last = not await place.signal
            if not self.may_start(place.request):
                return Reject('leaving', LEAVING_RETRY_SECONDS)
            place.trials += 1
            choice = await trial(is_last)
            if not isinstance(choice, Reject):
                return choice
            if is_last or choice.is_permanent:
                return choice
            place.reset()
            self._queue_of(place.request).block(place.entry)
            self._continue_turn(place.request.service_name)

    def _enter(
        self, request: Request, progress: Progress, rejection: Reject
    ) -> tuple[Place | None, str]:
        """Add a request to its queue; return why not if it can't wait."""
        if not self.is_enabled:
            return None, 'off'
        now = self._clock.monotonic()
        entry = self._classifier.entry(next(self._numbers), request)
        queue = self._queue_of(request)
        ahead = queue.count_ahead(entry)
        rate = self._rates_of(request).per_second(entry.request_class, now)
        seconds = self._hold_seconds(request, progress, entry, rejection, rate)
        if seconds <= 0:
            return None, 'no_turn_in_time'
        entry.leaves_at = now + seconds
        if not queue.add(entry, now):
            return None, 'full'
        place = Place(request, progress, entry)
        self._places[entry.number] = place
        waiting_log.log_entered(request, entry, rejection, ahead, rate)
        self._metrics.waiting.labels(*waiting_log.labels(request)).inc()
        self._schedule_check()
        return place, ''

    def _hold_seconds(
        self,
        request: Request,
        progress: Progress,
        entry: WaitingRequest,
        rejection: Reject,
        rate: float,
    ) -> float:
        now = self._clock.monotonic()
        objective_seconds = request.route.latency_objective_seconds
        cautious_seconds = (
            objective_seconds * HOLD_SHARE - progress.waited_seconds
        )
        useful_seconds = entry.latest_start_at - now
        if self._ends_at is not None:
            useful_seconds = min(useful_seconds, self._ends_at - now)
        if request.is_relayed:
            useful_seconds = min(
                useful_seconds, RELAYED_LIMIT_SECONDS, cautious_seconds
            )
        ahead = self._queue_of(request).count_ahead(entry)
        seconds = hold_seconds(useful_seconds, cautious_seconds, ahead, rate)
        if rejection.reason == 'late':
            # The time that is left shrinks as fast as the targets' backlog, so
            # that only a change of the reported load brings a turn.
            return min(seconds, cautious_seconds)
        return seconds

    def _leave(self, place: Place, ending: str) -> None:
        now = self._clock.monotonic()
        request, entry = place.request, place.entry
        self._places.pop(entry.number)
        self._queue_of(place.request).remove(entry)
        seconds = now - entry.entered_at
        place.progress.waited_seconds += seconds
        self._metrics.waiting.labels(*waiting_log.labels(request)).dec()
        self._metrics.waited_seconds.labels(
            request.service_name, ending
        ).observe(seconds)
        waiting_log.log_left(request, seconds, place.trials, ending)
        # A task that was woken runs only after this one has sent its request,
        # so that its choice counts that one.
        self._continue_turn(request.service_name)

    def _assign_return(self, request: Request, rejection: Reject) -> None:
        """Tell the caller when there will be capacity for its request."""
        if not self.is_enabled:
            return
        now = self._clock.monotonic()
        one = self._classifier.class_of(request)
        rate = self._rates_of(request).per_second(one, now)
        if not rate:
            return
        queue = self._queues.get(request.service_name)
        ahead = queue.count_of(one) if queue else 0
        remaining_seconds = request.deadline - now
        found = self.returns.assign(
            (request.service_name, one),
            rate,
            ahead / rate + _excess_seconds(request, rejection),
            remaining_seconds - self._classifier.own_seconds(request),
        )
        rejection.after_seconds = found.seconds
        rejection.is_past_deadline = found.is_past_deadline
        if found.is_past_deadline:
            rejection.after_seconds = max(found.seconds, remaining_seconds)

    def _continue_turn(self, service: str) -> None:
        if service in self._turn_wanted:
            self._turn_wanted.discard(service)
            self._queues[service].begin_turn()
        self._offer_next(service)

    def _offer_next(self, service: str) -> None:
        queue = self._queues[service]
        if not queue.is_trying:
            self._offer(queue)

    def _offer(self, queue: WaitingQueue) -> None:
        head = queue.next_head(self._clock.monotonic())
        if head is not None:
            self._places[head.number].wake(is_turn=True)

    def _schedule_check(self) -> None:
        if self._check_handle is None:
            loop = asyncio.get_running_loop()
            self._check_handle = loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        self._check_handle = None
        now = self._clock.monotonic()
        for queue in self._queues.values():
            for entry in queue.useless(now):
                self._places[entry.number].wake(is_turn=False)
            # A trial that still waits for its permit delays its class only.
            queue.begin_turn()
            self._offer(queue)
        if self._places:
            self._schedule_check()

    def _queue_of(self, request: Request) -> WaitingQueue:
        return self._queues.setdefault(
            request.service_name, WaitingQueue(self._bounds)
        )

    def _rates_of(self, request: Request) -> PlacementRates:
        return self._rates.setdefault(request.service_name, PlacementRates())


def _excess_seconds(request: Request, rejection: Reject) -> float:
    """Return how much shorter the wait at targets must become."""
    found = (rejection.local_estimate, rejection.remote_region)
    least = min((one.seconds for one in found if one), default=0.0)
    return max(0.0, least - first_event_limit_seconds(request))


def _always(_request: Request) -> bool:
    return True
