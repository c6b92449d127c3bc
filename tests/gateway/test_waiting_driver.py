"""Requests that wait in one process, in virtual time."""

import asyncio

import pytest

from jacinthfold.placement import limits
from jacinthfold.placement.placement_rates import HOLD_SHARE
from jacinthfold.placement.retry_schedule import HONOURED_SHARE
from jacinthfold.proxy import waiting_log
from jacinthfold.proxy.failure_responses import FailureResponses
from jacinthfold.proxy.waiting import CHECK_SECONDS, RELAYED_LIMIT_SECONDS
from tests.gateway import virtual_time
from tests.gateway.overload import Dialect, Response
from tests.gateway.test_permit_order import Attempts, SlowPermits, forwarder
from tests.gateway.test_placement import Scene

OBJECTIVE_SECONDS = 2.0
HOLD_SECONDS = OBJECTIVE_SECONDS * HOLD_SHARE


class Stage:
    """Set up one host at which requests may wait."""

    def __init__(self, limit_requests=8):
        self.scene = Scene()
        self.permits, self.attempts = SlowPermits(), Attempts()
        self.records, self.forwarder = forwarder(
            self.scene, self.permits, self.attempts
        )
        self.forwarder._failures = FailureResponses(Dialect(), self.scene.clock)
        self.waiting = self.forwarder.placement.waiting
        self.waiting.set_limit(limit_requests)

    def request(self, *, is_relayed=False, **fields):
        made = self.scene.request(
            latency_objective_seconds=OBJECTIVE_SECONDS, **fields
        )
        made.is_relayed = is_relayed
        organisations = self.records.routes.organisations
        made.organisation = organisations.find_by_name('north')
        made.facts.key_digest = b''
        return made

    async def serve(self, request):
        """Return the response and how long it took."""
        made = Response()
        began_at = self.scene.clock.monotonic()
        await self.forwarder.serve(request, made)
        return made, self.scene.clock.monotonic() - began_at

    def run(self, coroutine):
        return virtual_time.run(self.scene.clock, coroutine)


@pytest.fixture
def stage(monkeypatch):
    """Set up a host whose key checks pass."""
    made = Stage()
    gate = made.forwarder._admission.gate
    monkeypatch.setattr(gate, 'rejection', lambda _request: None)
    return made


def test_request_waits_until_a_target_appears(stage):
    async def play():
        task = asyncio.ensure_future(stage.serve(stage.request()))
        await asyncio.sleep(0.1)
        assert not stage.attempts.sent
        stage.scene.add('i-1')
        return await task

    _, seconds = stage.run(play())
    assert len(stage.attempts.sent) == 1
    assert seconds <= 0.1 + 2 * CHECK_SECONDS


def test_request_is_not_held_in_vain(stage):
    """No target appears, and no placement makes a turn likely."""
    response, seconds = stage.run(stage.serve(stage.request()))
    assert response.status == 503
    assert seconds <= HOLD_SECONDS + 2 * CHECK_SECONDS
    assert response.after_seconds > 0
    # The permit of a request that ended unserved is returned.
    assert len(stage.permits.returned) == 1


def test_relayed_request_waits_no_longer_than_the_trip(stage):
    """The relaying host has counted one trip, and its caller waits there."""
    request = stage.request(is_relayed=True)
    _, seconds = stage.run(stage.serve(request))
    longest = min(RELAYED_LIMIT_SECONDS, HOLD_SECONDS)
    assert seconds <= longest + 2 * CHECK_SECONDS


def test_nothing_waits_without_the_setting(stage):
    stage.waiting.set_limit(0)
    response, seconds = stage.run(stage.serve(stage.request()))
    assert (response.status, seconds) == (503, pytest.approx(0.0, abs=1e-3))


def test_full_queue_rejects_at_once(stage):
    stage.waiting.set_limit(2)

    async def play():
        return await asyncio.gather(
            *(stage.serve(stage.request()) for _ in range(5))
        )

    found = sorted(seconds for _, seconds in stage.run(play()))
    assert found[2] < CHECK_SECONDS < found[3]


def test_cancelled_request_leaves_the_queue(stage):
    """The caller disconnects, which cancels the task, also in its turn."""

    async def play():
        tasks = [
            asyncio.ensure_future(stage.serve(stage.request()))
            for _ in range(3)
        ]
        await asyncio.sleep(0.06)
        tasks[0].cancel()
        await asyncio.sleep(0)
        stage.scene.add('i-1')
        return await asyncio.gather(*tasks, return_exceptions=True)

    found = stage.run(play())
    assert isinstance(found[0], asyncio.CancelledError)
    assert len(stage.attempts.sent) == 2
    queue = stage.waiting._queues['model']
    assert len(queue) == stage.waiting._bounds.requests == 0


def test_retry_time_is_one_that_callers_honour(stage):
    """Requests were placed lately, and then all targets leave."""
    target = stage.scene.add('i-1')

    async def play():
        await asyncio.gather(*(stage.serve(stage.request()) for _ in range(20)))
        target.unreachable_until = stage.scene.clock.monotonic() + 60
        requests = [stage.request() for _ in range(20)]
        left = requests[0].deadline - stage.scene.clock.monotonic()
        found = await asyncio.gather(*(stage.serve(one) for one in requests))
        return left, found

    left, found = stage.run(play())
    assert all(one.status == 503 for one, _ in found)
    times = [one.after_seconds for one, _ in found]
    assert all(0 < one <= left * HONOURED_SHARE for one in times)
    assert len(set(times)) == len(times)


def test_grace_period_ends_a_wait(stage):
    """The host stops before the request would have left the queue."""

    async def play():
        task = asyncio.ensure_future(stage.serve(stage.request()))
        await asyncio.sleep(CHECK_SECONDS)
        stage.waiting.begin_drain(stage.scene.clock.monotonic() + 0.05)
        return await task

    response, seconds = stage.run(play())
    assert response.status == 503
    assert seconds < HOLD_SECONDS


def test_labels_are_bounded():
    scene = Scene()
    found = {
        waiting_log.labels(scene.request(priority=number))
        for number in range(50)
    }
    assert len(found) == waiting_log.LAST_PRIORITY_LABEL + 1


def test_latest_start_leaves_time_for_the_request_itself():
    scene = Scene()
    request = scene.request(latency_objective_seconds=OBJECTIVE_SECONDS)
    entry = scene.placer.classifier.entry(1, request)
    own_seconds = scene.placer.classifier.own_seconds(request)
    assert entry.latest_start_at == pytest.approx(
        request.received_at
        + OBJECTIVE_SECONDS * limits.OBJECTIVE_SHARE
        - own_seconds
    )
