"""Targets that say in their answers that they leave."""

import time

from jacinthfold.placement import limits
from jacinthfold.placement.decision import Refuse
from jacinthfold.placement.target import Load
from jacinthfold.request.messages import AnswerFacts, AnswerHead
from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, born_now, start
from tests.gateway.target_standin import echoed, late, serve_plain
from tests.gateway.test_placement import Scene

# The platform's bound on requests to a target after its word.
LEFT_SECONDS = 3.0


class Leaver:
    """Say in all answers that the target leaves, and keep arrivals."""

    def __init__(self):
        self.told_at = None
        self.arrivals = []

    async def serve(self, target, request, writer):
        """Answer with the word."""
        now = time.monotonic()
        self.told_at = self.told_at or now
        self.arrivals.append(now)
        target.executed.append(request)
        headers = [*echoed(request), ('Server-Leaving', '1')]
        writer.write(Reply(200, headers, target.instance.encode()).wire())
        await writer.drain()
        return True


def test_target_that_said_it_leaves_gets_no_more_while_the_store_is_away(
    deployment,
):
    """Guards against hosts that go by the record alone, which can't change."""
    start(deployment, hosts=2, targets=['i-1', 'i-2', 'i-3'])
    leaver = Leaver()
    deployment.targets['i-1'].script = leaver.serve
    # The target that leaves is the fastest: what may be sent there is.
    for name in ('i-2', 'i-3'):
        deployment.targets[name].script = late(0.05, serve_plain)
    deployment.store.is_down = True
    with Callers(deployment, '/d/x', count=4):
        pause(LEFT_SECONDS + 3)
        too_late = [at for at in leaver.arrivals if at > leaver.told_at + 3]
        deployment.store.is_down = False
        pause(3)
    after = [at for at in leaver.arrivals if at > leaver.told_at + 3]
    assert too_late == []
    # Its record still says ready once the store is back.
    assert after == []


def answer(*, is_leaving=True, status=200):
    facts = AnswerFacts()
    facts.is_leaving = is_leaving
    return AnswerHead(status, [], facts)


def hear(scene, target, head):
    now = scene.clock.monotonic()
    target.pushback.note_answer(head, now, now)


def test_record_that_still_says_ready_proves_nothing():
    """Guards against a word that an older record or another answer undoes."""
    scene = Scene()
    target = scene.add('i-1')
    scene.add('i-2').own = Load(9, 20000, 20000)
    hear(scene, target, answer())
    scene.add('i-1')
    hear(scene, target, answer(is_leaving=False))
    assert scene.instance(scene.request()) == 'i-2'


def test_errors_and_refusals_say_it_too():
    """Guards against words that only successes are read for."""
    for status in (200, 404, 429, 500, 503):
        scene = Scene()
        target = scene.add('i-1')
        hear(scene, target, answer(status=status))
        assert target.last_resort_until is not None


def test_answer_of_another_target_at_the_address_is_not_its_word():
    """Guards against an address that is used again by one that leaves."""
    scene = Scene()
    target = scene.add('i-1')
    hear(scene, target, answer(status=421))
    assert target.last_resort_until is None


def test_only_target_is_used_until_it_must_not_be():
    """Guards against callers that a target would still have served."""
    scene = Scene()
    target = scene.add('i-1')
    hear(scene, target, answer())
    request = scene.request()
    assert scene.instance(request) == 'i-1'
    scene.clock.advance(limits.LAST_RESORT_SECONDS + 0.1)
    assert isinstance(scene.choose(scene.request()), Refuse)


def test_request_chosen_before_the_word_is_not_sent_late():
    """Guards against a host that was held up between choice and send."""
    scene = Scene()
    target = scene.add('i-1')
    scene.choose(scene.request())
    hear(scene, target, answer())
    now = scene.clock.monotonic()
    assert not target.barrier_reason(now + 1, is_counted=False)
    late = target.barrier_reason(now + LEFT_SECONDS, is_counted=False)
    assert late == 'target_left'


def test_word_outlives_a_record_that_lapses_but_not_the_life():
    """Guards against a leaving target that the store's outage makes new."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=1)
    hear(scene, target, answer())
    scene.targets.remove('i-1')
    scene.clock.advance(LEFT_SECONDS)
    assert scene.targets.forget_gone() == [target]
    assert scene.add('i-1', started_at_ms=1).last_resort_until is not None
    again = scene.add('i-1', started_at_ms=born_now(scene))
    hear(scene, target, answer())
    assert again.last_resort_until is None
