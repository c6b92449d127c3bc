"""Admit requests to targets: a bounded queue, urgent ones first."""

import threading
from collections.abc import Callable, Sequence

from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve.routing import Candidate, Policy, Prompt
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import TargetView

BULK_PRIORITY = 2
POLL_SECONDS = 0.05
HOLD_MEMORY = 0.1
FIRST_HOLD_SECONDS = 1.0

# Time kept for the answer when a request leaves the queue: the hold of one
# request that another host sent to the same place, and its own.
RESERVED_HOLDS = 2
RESERVED_SHARE = 0.6


class AdmissionError(Exception):
    """Report a request that gets no target."""

    def __init__(self, reason: str, retry_after_seconds: float) -> None:
        """Tell why, and when it is worth coming back."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


class NoTargetError(AdmissionError):
    """Report that no target serves what is asked for."""


class ShedError(AdmissionError):
    """Report a request given up because of load."""


class AbandonedError(AdmissionError):
    """Report that the caller has gone."""


class Ticket:
    """Describe a request that wants a target."""

    __slots__ = (
        'deadline',
        'excluded',
        'is_abandoned',
        'is_evicted',
        'priority',
        'prompt',
        'sequence',
        'service',
        'woken',
    )

    def __init__(
        self,
        service: str,
        priority: int,
        deadline: float,
        prompt: Prompt,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Take the service, a small number for urgent, and the deadline."""
        self.service = service
        self.priority = priority
        self.deadline = deadline
        self.prompt = prompt
        self.is_abandoned = is_abandoned
        self.is_evicted = False
        self.sequence = 0
        self.excluded: set[str] = set()
        self.woken = threading.Event()

    @property
    def order(self) -> tuple[int, int]:
        """Return the place in the queue: urgent first, then by arrival."""
        return self.priority, self.sequence


class Admission:
    """Give each request a target now, later, or a refusal at once."""

    def __init__(
        self,
        targets: TargetTable,
        policy: Policy,
        settings: Settings,
        clock: Clock,
    ) -> None:
        """Take the targets and the policy that chooses among them."""
        self._targets = targets
        self._policy = policy
        self._queue_length = settings.callers.queue_length
        self._bulk_share = settings.routing.bulk_slot_share
        self._clock = clock
        self._guard = threading.RLock()
        self._waiting: list[Ticket] = []
        self._sequence = 0
        self._hold_seconds: dict[str, float] = {}
        self.shed_counts: dict[int, int] = {}

    @property
    def waiting_count(self) -> int:
        """Return the length of the queue."""
        return len(self._waiting)

    def acquire(self, ticket: Ticket) -> TargetView:
        """Return a reserved target; raise AdmissionError."""
        with self._guard:
            if self._is_ahead_of_all(ticket):
                view = self._try_reserve(ticket)
                if view:
                    return view
            self._enqueue(ticket)
        try:
            return self._wait(ticket)
        finally:
            with self._guard:
                if ticket in self._waiting:
                    self._waiting.remove(ticket)
            self.wake()

    def release(
        self, view: TargetView, service: str, held_seconds: float
    ) -> None:
        """Give a target's place back after holding it for a time."""
        with self._guard:
            old = self._hold_seconds.get(service, FIRST_HOLD_SECONDS)
            self._hold_seconds[service] = (
                old + (held_seconds - old) * HOLD_MEMORY
            )
        self._targets.release(view)

    def wake(self) -> None:
        """Let the first of each service look for room."""
        with self._guard:
            seen = set()
            for ticket in self._waiting:
                if ticket.service not in seen:
                    seen.add(ticket.service)
                    ticket.woken.set()

    def expected_wait_seconds(self, service: str, priority: int) -> float:
        """Return how long a request would wait in the queue here."""
        with self._guard:
            ahead = sum(
                ticket.service == service and ticket.priority <= priority
                for ticket in self._waiting
            )
            candidates = self._targets.candidates(service)
        has_room = any(one.has_room for one in candidates)
        if not self._policy.minds_room or (has_room and not ahead):
            return 0
        # Places free themselves one after another, evenly on average. The
        # time between two answers that ended is no measure: with few callers
        # it is long, and a full moment then looked like a long queue.
        hold_seconds = self._hold_seconds.get(service, FIRST_HOLD_SECONDS)
        places = sum(one.capacity for one in candidates)
        return (ahead + 1) * hold_seconds / max(1, places)

    def queue_seconds(self, service: str, left_seconds: float) -> float:
        """Return how long a request may queue and still be served in time."""
        # Sent with less time left than an answer takes, a request waits in a
        # target's own queue until its deadline. Nobody then knows whether it
        # ran, and the caller loses the retry that a refusal allows.
        with self._guard:
            hold = self._hold_seconds.get(service, FIRST_HOLD_SECONDS)
        reserve = min(hold * RESERVED_HOLDS, left_seconds * RESERVED_SHARE)
        return left_seconds - reserve

    def _is_ahead_of_all(self, ticket: Ticket) -> bool:
        return not any(
            other.service == ticket.service
            and other.priority <= ticket.priority
            for other in self._waiting
        )

    def _try_reserve(self, ticket: Ticket) -> TargetView | None:
        candidates = self._targets.candidates(ticket.service)
        if not candidates:
            raise NoTargetError(f'no target serves {ticket.service} here', 2)
        # A target that has just failed this request is tried last.
        others = [one for one in candidates if one.name not in ticket.excluded]
        chosen = self._policy.choose(
            self._limit(others or candidates, ticket), ticket.prompt
        )
        if chosen is None:
            return None
        view = self._targets.find(chosen.name)
        if view is None or not view.takes_work:
            return None
        self._targets.reserve(chosen.name)
        return view

    def _limit(
        self, candidates: Sequence[Candidate], ticket: Ticket
    ) -> Sequence[Candidate]:
        # Bulk requests that fill every slot make a counter call wait for a
        # whole report to end. The last share of the slots stays free of them.
        if ticket.priority >= BULK_PRIORITY:
            for one in candidates:
                one.capacity *= self._bulk_share
        return candidates

    def _enqueue(self, ticket: Ticket) -> None:
        remaining = ticket.deadline - self._clock.monotonic()
        expected = self.expected_wait_seconds(ticket.service, ticket.priority)
        if expected > remaining:
            self._shed(ticket, 'the queue is longer than the deadline')
        if len(self._waiting) >= self._queue_length:
            worst = max(
                self._waiting, key=lambda other: other.order, default=ticket
            )
            if worst.priority <= ticket.priority:
                self._shed(ticket, 'the queue is full')
            worst.is_evicted = True
            self._waiting.remove(worst)
            worst.woken.set()
        self._sequence += 1
        ticket.sequence = self._sequence
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda other: other.order)

    def _wait(self, ticket: Ticket) -> TargetView:
        while True:
            ticket.woken.wait(POLL_SECONDS)
            ticket.woken.clear()
            if ticket.is_evicted:
                self._shed(ticket, 'more urgent requests took the queue')
            if self._clock.monotonic() >= ticket.deadline:
                self._shed(ticket, 'the deadline passed in the queue')
            if ticket.is_abandoned():
                raise AbandonedError('the caller has gone', 0)
            with self._guard:
                view = self._try_in_turn(ticket)
            if view:
                return view

    def _try_in_turn(self, ticket: Ticket) -> TargetView | None:
        for other in self._waiting:
            if other is ticket:
                return self._try_reserve(ticket)
            if other.service == ticket.service:
                return None
        return None

    def _shed(self, ticket: Ticket, reason: str) -> None:
        count = self.shed_counts.get(ticket.priority, 0)
        self.shed_counts[ticket.priority] = count + 1
        expected = self.expected_wait_seconds(ticket.service, ticket.priority)
        raise ShedError(reason, max(1, expected))
