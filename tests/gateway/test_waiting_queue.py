"""Invariants of the queue in which requests wait for capacity."""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from jacinthfold.organisations.model import Organisation
from jacinthfold.placement.placement_rates import (
    RATE_WINDOW_SECONDS,
    PlacementRates,
    hold_seconds,
)
from jacinthfold.placement.waiting_queue import (
    RequestClass,
    Size,
    WaitingBounds,
    WaitingQueue,
    WaitingRequest,
)
from tests.gateway.test_placement import Scene

LIMIT_REQUESTS = 12
LIMIT_BYTES = 5000
ANYWHERE = frozenset()


def entry(number, size=Size.SMALL, *, priority=1, start=10.0, **fields):
    made = WaitingRequest(
        number, RequestClass(priority, size, ANYWHERE), start, 10
    )
    for name, content in fields.items():
        setattr(made, name, content)
    return made


def queue(limit_requests=LIMIT_REQUESTS):
    return WaitingQueue(WaitingBounds(limit_requests, LIMIT_BYTES))


class QueueMachine(RuleBasedStateMachine):
    """Add, try, block, place and cancel requests while time passes."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.numbers = 0
        self.bounds = WaitingBounds(LIMIT_REQUESTS, LIMIT_BYTES)
        self.queue = WaitingQueue(self.bounds)
        self.waiting = {}
        self.tried = {}
        self.blocked = set()

    @rule(
        size=st.sampled_from(Size),
        priority=st.integers(0, 2),
        seconds=st.floats(0.01, 3.0),
        hold=st.floats(0.01, 3.0),
        size_bytes=st.integers(0, 3000),
    )
    def add(self, size, priority, seconds, hold, size_bytes):
        self.numbers += 1
        made = entry(
            self.numbers,
            size,
            priority=priority,
            start=self.now + seconds,
            size_bytes=size_bytes,
        )
        if size is Size.LARGE:
            made.overdue_at = self.now + seconds / 2
        made.leaves_at = self.now + min(hold, seconds)
        held = sum(one.size_bytes for one in self.waiting.values())
        fits = len(self.waiting) < LIMIT_REQUESTS
        fits = fits and held + size_bytes <= LIMIT_BYTES
        assert self.queue.add(made, self.now) == fits
        if fits:
            self.waiting[made.number] = made

    @rule()
    def try_next(self):
        classes = {
            one.request_class
            for one in self.waiting.values()
            if not any(
                other.blocks(one.request_class) for other in self.blocked
            )
        }
        classes -= {one.request_class for one in self.tried.values()}
        found = self.queue.next_head(self.now)
        assert (found is not None) == bool(classes)
        if found is None:
            return
        assert found.number in self.waiting
        assert found.number not in self.tried
        others = [
            one
            for one in self.waiting.values()
            if one.request_class == found.request_class
        ]
        assert found is min(others, key=lambda one: one.order)
        first = min(one.priority for one in classes)
        assert found.request_class.priority == first
        self.tried[found.number] = found

    @precondition(lambda self: self.tried)
    @rule(data=st.data(), is_placed=st.booleans())
    def end_trial(self, data, is_placed):
        number = data.draw(st.sampled_from(sorted(self.tried)))
        ended = self.tried.pop(number)
        if is_placed:
            self.queue.remove(ended)
            self.waiting.pop(number)
        else:
            self.queue.block(ended)
            self.blocked.add(ended.request_class)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        self.queue.remove(self.waiting.pop(number))
        self.tried.pop(number, None)

    @rule()
    def begin_turn(self):
        self.queue.begin_turn()
        self.blocked.clear()

    @rule(seconds=st.floats(0.01, 1.0))
    def advance(self, seconds):
        self.now += seconds
        for gone in self.queue.useless(self.now):
            assert gone.leaves_at <= self.now
            assert gone.number not in self.tried
            assert self.waiting.pop(gone.number) is gone
        assert all(
            one.leaves_at > self.now or one.number in self.tried
            for one in self.waiting.values()
        )

    @rule(seconds=st.floats(0.01, 1.0))
    def limit_wait(self, seconds):
        self.queue.limit_wait(self.now + seconds)
        assert all(
            one.leaves_at <= self.now + seconds for one in self.waiting.values()
        )

    @invariant()
    def bounds_hold_and_none_is_lost(self):
        assert len(self.queue) == len(self.waiting) == self.bounds.requests
        assert self.bounds.requests <= LIMIT_REQUESTS
        held = sum(one.size_bytes for one in self.waiting.values())
        assert self.bounds.held_bytes == held <= LIMIT_BYTES


QueueMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestQueueMachine = QueueMachine.TestCase


def test_small_request_is_tried_after_a_large_one_that_is_blocked():
    """Guards against small prompts behind a large one without a target."""
    held = queue()
    large = entry(1, Size.LARGE, start=1.0, overdue_at=0.0)
    small = entry(2, start=5.0)
    assert held.add(large, 0.0)
    assert held.add(small, 0.0)
    assert held.next_head(0.5) is large
    held.block(large)
    assert held.next_head(0.5) is small
    assert held.next_head(0.5) is None


def test_large_request_goes_first_when_overdue():
    """Guards against large prompts that small ones overtake for ever."""
    held = queue()
    large = entry(1, Size.LARGE, start=9.0, overdue_at=2.0)
    held.add(large, 0.0)
    for number in range(2, 6):
        held.add(entry(number, start=3.0 + number), 0.0)
    urgent = entry(6, priority=0, start=20.0)
    held.add(urgent, 0.0)
    first = held.next_head(1.0)
    held.remove(first)
    assert first is urgent
    assert held.next_head(1.0).request_class.size is Size.SMALL
    held = queue()
    held.add(large, 0.0)
    held.add(entry(2, start=3.0), 0.0)
    assert held.next_head(2.0) is large


def test_rest_of_a_blocked_class_is_not_tried_in_the_same_turn():
    """Guards against a turn whose cost grows with the queue."""
    held = queue()
    for number in range(5):
        held.add(entry(number), 0.0)
    head = held.next_head(0.0)
    assert head.number == 0
    assert held.next_head(0.0) is None
    held.block(head)
    assert held.next_head(0.0) is None
    held.begin_turn()
    assert held.next_head(0.0) is head


def test_blocked_request_keeps_lower_priorities_back():
    """Guards against ordinary prompts that take what urgent ones wait for."""
    urgent = RequestClass(0, Size.SMALL, ANYWHERE)
    ordinary = RequestClass(1, Size.LARGE, ANYWHERE)
    assert urgent.blocks(ordinary)
    assert not ordinary.blocks(urgent)
    assert not ordinary.blocks(RequestClass(1, Size.SMALL, ANYWHERE))
    # Other regions may have capacity for those that are not bound to one.
    homes = frozenset(('north',))
    assert not RequestClass(0, Size.SMALL, homes).blocks(ordinary)


def test_request_that_would_wait_too_long_is_not_held():
    """Guards against callers that are held and then rejected."""
    # Ten placements in the useful second: the twentieth turn comes too late.
    assert hold_seconds(1.0, 0.1, 19, 10.0) == 0.0
    assert hold_seconds(1.0, 0.1, 3, 10.0) == 1.0
    # Possible but not likely, and unknown.
    assert hold_seconds(1.0, 0.1, 8, 10.0) == 0.1
    assert hold_seconds(1.0, 0.1, 0, 0.0) == 0.1
    assert hold_seconds(-0.1, 0.1, 0, 100.0) == 0.0
    assert hold_seconds(1.0, -0.1, 8, 10.0) == 0.0


def test_rate_of_placements_is_recent():
    rates = PlacementRates()
    for number in range(200):
        rates.record_placed('a', number / 20)
    assert rates.per_second('a', 10.0) == pytest.approx(20, rel=0.1)
    assert rates.per_second('b', 10.0) == 0.0
    later = 10.0 + RATE_WINDOW_SECONDS
    assert rates.per_second('a', later) == pytest.approx(20 / math.e, rel=0.1)
    assert rates.per_second('a', 10.0 + 10 * RATE_WINDOW_SECONDS) == 0.0


def test_waiting_requests_are_classed_by_their_rank():
    """Guards against questions that wait behind long prompts of their caller.

    An organisation's priority replaces that of its routes, so that only the
    rank tells its urgent requests from the others.
    """
    scene = Scene()
    urgent, ordinary = scene.request(priority=0), scene.request(priority=2)
    for request in (urgent, ordinary):
        request.organisation = Organisation('north', ())
        request.organisation.priority = 1
    classifier = scene.placer.classifier
    assert (
        classifier.class_of(urgent).priority
        < classifier.class_of(ordinary).priority
    )
