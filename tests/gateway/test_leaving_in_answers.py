"""Targets that announce in their answers that they leave."""

import time

from jacinthfold.placement import limits
from jacinthfold.placement.decision import Reject
from jacinthfold.placement.target import Load
from jacinthfold.request.messages import ResponseFacts, ResponseHead
from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, born_now, start
from tests.gateway.target_standin import echoed, late, serve_plain
from tests.gateway.test_placement import Scene

# The platform allows requests to a leaving target for this time.
LEFT_SECONDS = 3.0


class LeavingTarget:
    """Announce leaving in all answers and record arrivals."""

    def __init__(self):
        self.announced_at = None
        self.arrivals = []

    async def serve(self, target, request, writer):
        """Answer with the leaving header."""
        now = time.monotonic()
        self.announced_at = self.announced_at or now
        self.arrivals.append(now)
        target.executed.append(request)
        headers = [*echoed(request), ('Server-Leaving', '1')]
        writer.write(Reply(200, headers, target.instance.encode()).wire())
        await writer.drain()
        return True


def test_leaving_target_gets_no_requests_while_the_store_is_down(
    deployment,
):
    """Guards against hosts that only use the record, which can't change."""
    start(deployment, hosts=2, targets=['i-1', 'i-2', 'i-3'])
    leaving_target = LeavingTarget()
    deployment.targets['i-1'].script = leaving_target.serve
    # The leaving target is the fastest, so that the hosts prefer it.
    for name in ('i-2', 'i-3'):
        deployment.targets[name].script = late(0.05, serve_plain)
    deployment.store.is_down = True
    with Callers(deployment, '/d/x', count=4):
        pause(LEFT_SECONDS + 3)
        too_late = [
            at
            for at in leaving_target.arrivals
            if at > leaving_target.announced_at + 3
        ]
        deployment.store.is_down = False
        pause(3)
    after = [
        at
        for at in leaving_target.arrivals
        if at > leaving_target.announced_at + 3
    ]
    assert too_late == []
    # Its record still says ready when the store is back.
    assert after == []


def answer(*, is_leaving=True, status=200):
    facts = ResponseFacts()
    facts.is_leaving = is_leaving
    return ResponseHead(status, [], facts)


def receive(scene, target, head):
    now = scene.clock.monotonic()
    target.pushback.record_answer(head, now, now)


def test_ready_record_does_not_override_a_leaving_answer():
    """Guards against an older record or a late answer that undoes leaving."""
    scene = Scene()
    target = scene.add('i-1')
    scene.add('i-2').own = Load(9, 20000, 20000)
    receive(scene, target, answer())
    scene.add('i-1')
    receive(scene, target, answer(is_leaving=False))
    assert scene.instance(scene.request()) == 'i-2'


def test_errors_and_rejections_also_announce_leaving():
    """Guards against a leaving header that only successes are read for."""
    for status in (200, 404, 429, 500, 503):
        scene = Scene()
        target = scene.add('i-1')
        receive(scene, target, answer(status=status))
        assert target.last_resort_until is not None


def test_misdirected_answer_does_not_mark_a_target_as_leaving():
    """Guards against an address that a leaving target has taken over."""
    scene = Scene()
    target = scene.add('i-1')
    receive(scene, target, answer(status=421))
    assert target.last_resort_until is None


def test_only_target_is_used_until_its_last_resort_ends():
    """Guards against rejections of requests that it would still serve."""
    scene = Scene()
    target = scene.add('i-1')
    receive(scene, target, answer())
    request = scene.request()
    assert scene.instance(request) == 'i-1'
    scene.clock.advance(limits.LAST_RESORT_SECONDS + 0.1)
    assert isinstance(scene.choose(scene.request()), Reject)


def test_request_chosen_before_the_leaving_answer_is_not_sent_late():
    """Guards against a delay between the choice and the send."""
    scene = Scene()
    target = scene.add('i-1')
    scene.choose(scene.request())
    receive(scene, target, answer())
    now = scene.clock.monotonic()
    assert not target.rejection_reason(now + 1, is_counted=False)
    late = target.rejection_reason(now + LEFT_SECONDS, is_counted=False)
    assert late == 'target_left'


def test_leaving_outlives_a_lapsed_record_but_not_the_incarnation():
    """Guards against leaving that is forgotten in an outage of the store."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=1)
    receive(scene, target, answer())
    scene.targets.remove('i-1')
    scene.clock.advance(LEFT_SECONDS)
    assert scene.targets.drop_expired() == [target]
    assert scene.add('i-1', started_at_ms=1).last_resort_until is not None
    again = scene.add('i-1', started_at_ms=born_now(scene))
    receive(scene, target, answer())
    assert again.last_resort_until is None
