"""Check what is decided, with clock, chance and observations passed in."""

import random
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthfold.clock import SystemClock
from jacinthfold.serve.admission import (
    Admission,
    NoTargetError,
    ShedError,
    Ticket,
)
from jacinthfold.serve.deployment import (
    Deployment,
    Organisation,
    Region,
    Target,
)
from jacinthfold.serve.limits import Limiter
from jacinthfold.serve.members import (
    Heartbeat,
    Member,
    MemberState,
    MemberTable,
)
from jacinthfold.serve.retries import STARTING_TOKENS, RetryBudget
from jacinthfold.serve.routing import (
    Candidate,
    Prompt,
    WeightedPolicy,
    make_policy,
)
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import ReportState, TargetReport
from tests import fakes

PREFIX = b'p' * 4096


def candidate(name, load=0, **fields):
    values = {'slots': 8, 'capacity': 8, 'first_token_seconds': 0.03, **fields}
    return Candidate(name, load=load, **values)


def policy(extra=''):
    return WeightedPolicy(fakes.settings(extra=extra), random.Random(1))


def targets(clock, count=2, extra='[routing]\nramp_seconds = 0\n'):
    table = TargetTable('erie', fakes.settings(extra=extra), clock)
    things = {
        f't{number}': Target(
            f't{number}', 'http://127.0.0.1:1', 'erie', 'erie-1', ('m',)
        )
        for number in range(count)
    }
    table.follow(Deployment(1, {'target': things}))
    table.merge(
        [
            TargetReport(name, 1, ReportState.ACTIVE, slots=2, models=('m',))
            for name in things
        ]
    )
    return table


def test_shared_prefix_goes_to_one_target_on_every_host():
    ones = [candidate(f't{number}') for number in range(5)]
    chosen = {policy().choose(ones, Prompt(PREFIX)).name for _ in range(5)}
    assert len(chosen) == 1


def test_hot_prefix_does_not_bury_its_target():
    ones = [
        candidate(f't{number}', slots=64, capacity=64) for number in range(4)
    ]
    decider = policy('[routing]\naffinity_load_bound = 1.5\n')
    for count in range(1, 100):
        decider.choose(ones, Prompt(PREFIX)).load += 1
        assert max(one.load for one in ones) <= 1.5 * count / 4 + 2


def test_long_prompt_that_is_being_read_is_avoided():
    ones = [candidate('a', pending_bytes=64000), candidate('b', load=2)]
    assert policy().choose(ones, Prompt(b'short')).name == 'b'


def test_slow_target_is_avoided_and_tried_again_later():
    clock = fakes.FakeClock()
    table = targets(clock, 3)
    for view, seconds in zip(table.views(), (0.03, 0.03, 2.0), strict=True):
        for _ in range(10):
            table.note_first_token(view, seconds)
    latency = {
        one.name: one.first_token_seconds for one in table.candidates('m')
    }
    assert latency['t2'] > 10 * latency['t0']
    clock.seconds += 120
    table.merge(
        [
            TargetReport(f't{n}', 9, ReportState.ACTIVE, slots=2, models=('m',))
            for n in range(3)
        ]
    )
    latency = {
        one.name: one.first_token_seconds for one in table.candidates('m')
    }
    assert latency['t2'] == latency['t0']


def test_failing_target_is_left_out_but_never_the_last_ones():
    clock = fakes.FakeClock()
    table = targets(clock)
    for _ in range(3):
        table.note_failure(table.find('t0'))
    assert [one.name for one in table.candidates('m')] == ['t1']
    for _ in range(3):
        table.note_failure(table.find('t1'))
    assert len(table.candidates('m')) == 2


def test_returning_target_takes_load_step_by_step():
    clock = fakes.FakeClock()
    table = targets(clock, 1, '[routing]\nramp_seconds = 10\n')
    capacities = []
    for _ in range(3):
        capacities.append(table.candidates('m')[0].capacity)
        clock.seconds += 5
        table.merge(
            [
                TargetReport(
                    't0',
                    int(clock.seconds),
                    ReportState.ACTIVE,
                    slots=16,
                    models=('m',),
                )
            ]
        )
    assert capacities[0] < capacities[1] < capacities[2] == 16


def test_target_that_refuses_for_lack_of_room_gets_less():
    table = targets(fakes.FakeClock(), 1)
    view = table.find('t0')
    table.merge(
        [TargetReport('t0', 2, ReportState.ACTIVE, slots=10, models=('m',))]
    )
    table.note_full(view)
    assert table.candidates('m')[0].capacity == pytest.approx(7)
    for _ in range(20):
        table.note_first_token(view, 0.03)
    assert table.candidates('m')[0].capacity == 10


def test_own_requests_of_a_lagging_report_are_not_counted_twice():
    table = targets(fakes.FakeClock(), 1)
    view = table.find('t0')
    for _ in range(3):
        table.reserve('t0')
    for _ in range(3):
        table.release(view)
    report = TargetReport(
        't0', 5, ReportState.ACTIVE, running=3, slots=8, models=('m',)
    )
    table.merge([report])
    assert view.load == 0


def admission(table, queue_length=4):
    made = fakes.settings(extra=f'[callers]\nqueue_length = {queue_length}\n')
    clock = SystemClock()
    return Admission(table, make_policy(made, random.Random(1)), made, clock)


def ticket(priority=1, seconds=5.0):
    deadline = SystemClock().monotonic() + seconds
    return Ticket('m', priority, deadline, Prompt(), lambda: False)


class Waiter:
    """Wait for a place in a thread and keep how it went."""

    def __init__(self, gate, priority, order):
        self.outcome = None
        self._gate, self._ticket, self._order = gate, ticket(priority), order
        self._priority = priority
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        try:
            self.outcome = self._gate.acquire(self._ticket)
        except ShedError as error:
            self.outcome = error
        self._order.append(self._priority)


def wait_for_length(gate, count):
    while gate.waiting_count != count:
        threading.Event().wait(0.001)


def test_urgent_requests_leave_the_queue_first():
    table = targets(SystemClock(), 1)
    gate = admission(table)
    held = [gate.acquire(ticket()) for _ in range(2)]
    order = []
    waiters = []
    for number, priority in enumerate((2, 1, 0)):
        waiters.append(Waiter(gate, priority, order))
        wait_for_length(gate, number + 1)
    for done in range(1, 4):
        gate.release(held.pop(), 'm', 0.1)
        while len(order) < done:
            threading.Event().wait(0.001)
        held.append(waiters[3 - done].outcome)
    for waiter in waiters:
        waiter.thread.join()
    assert order == [0, 1, 2]


def test_full_queue_sheds_the_least_important_at_once():
    table = targets(SystemClock(), 1)
    gate = admission(table, queue_length=1)
    for _ in range(2):
        gate.acquire(ticket())
    bulk = Waiter(gate, 2, [])
    wait_for_length(gate, 1)
    with pytest.raises(ShedError) as refused:
        gate.acquire(ticket(priority=2))
    assert refused.value.retry_after_seconds >= 1
    urgent = Waiter(gate, 0, [])
    bulk.thread.join()
    assert isinstance(bulk.outcome, ShedError)
    gate.release(table.find('t0'), 'm', 0.1)
    urgent.thread.join()
    assert not isinstance(urgent.outcome, ShedError)


def test_queue_longer_than_the_deadline_refuses_at_once():
    table = targets(SystemClock(), 1)
    gate = admission(table)
    for _ in range(2):
        gate.acquire(ticket())
    with pytest.raises(ShedError, match='longer than the deadline'):
        gate.acquire(ticket(seconds=0.01))


def test_request_does_not_leave_the_queue_too_late_to_be_answered():
    """A place frees itself shortly before the deadline of a waiting request.

    Sent then, it would still be in the target's queue when its time ends, and
    the caller would hear "unknown" where "not run" was true a moment before.
    """
    gate = admission(targets(SystemClock(), 1))
    assert gate.queue_seconds('m', 2.0) == pytest.approx(0.8)
    view = gate.acquire(ticket())
    for _ in range(60):
        gate.release(view, 'm', 0.1)
    assert gate.queue_seconds('m', 2.0) == pytest.approx(1.8, abs=0.01)


def test_service_without_targets_is_refused_at_once():
    with pytest.raises(NoTargetError):
        admission(targets(SystemClock(), 0)).acquire(ticket())


def test_retries_stay_a_share_of_the_requests():
    budget = RetryBudget(0.1)
    allowed = 0
    for _ in range(1000):
        budget.earn('free')
        allowed += budget.spend('free')
    assert allowed <= STARTING_TOKENS + 1000 * 0.1


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.integers(1, 6),
    st.integers(1, 3),
    st.integers(1, 3),
    st.data(),
)
def test_parts_of_a_limit_never_sum_to_more_than_it(
    hosts, centres, regions, data
):
    """However membership views differ between sides, no limit grows.

    Views are equal inside a data centre, as a cut runs between them; each
    side sees only itself.
    """
    names = [f'r{number}' for number in range(regions)]
    deployment = Deployment(1, {'region': {
        name: Region(name, tuple(f'{name}-{n}' for n in range(centres)))
        for name in names
    }})  # fmt: skip
    name = data.draw(st.text('abc', min_size=1, max_size=4))
    organisation = Organisation(
        name, 'r0', tuple(names), ('k',), limit_requests_per_second=10
    )
    total = 0.0
    for region in names:
        for centre in deployment.regions[region].data_centres:
            total += sum(
                shares(region, centre, hosts, deployment, organisation)
            )
    assert total <= 1.0001


def shares(region, centre, hosts, deployment, organisation):
    clock = fakes.FakeClock()
    made = fakes.settings()
    members = [
        Member(
            f'{centre}/{n}', n + 1, (region, centre), '127.0.0.1', (1, 2, 3, 4)
        )
        for n in range(hosts)
    ]
    for own in members:
        table = MemberTable(own, made, clock)
        table.beat(MemberState.ACTIVE, 1, {})
        beats = [
            Heartbeat(one.incarnation, 1, MemberState.ACTIVE) for one in members
        ]
        table.merge(members, beats)
        yield Limiter(table, made, clock).share(deployment, organisation)
