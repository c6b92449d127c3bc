"""Targets that turn requests away and ask for a rest."""

import time

import pytest

from jacinthfold.placement.decision import Refuse
from jacinthfold.placement.rest import TRIAL_SECONDS
from jacinthfold.placement.returns import LONGEST_SECONDS
from jacinthfold.proxy.outcome import told_outcome
from jacinthfold.request.messages import AnswerFacts, AnswerHead
from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, born_now, start
from tests.gateway.target_standin import late, serve_plain
from tests.gateway.test_placement import Scene

REST_SECONDS = 3.0
# What the platform allows from one host, from this time after the word on.
NOTICE_SECONDS = 0.5
ALLOWED = 2


class Resting:
    """Turn all requests away for a while, and keep when they came."""

    def __init__(self):
        self.arrivals = []

    async def serve(self, target, request, writer):
        """Refuse, and ask for a rest."""
        self.arrivals.append(time.monotonic())
        headers = [('Not-Executed', '1'), ('Retry-After', f'{REST_SECONDS}')]
        writer.write(Reply(503, headers).wire())
        await writer.drain()
        return True

    def most_in_a_rest(self):
        """Return the most arrivals in the rest after any refusal."""
        return max(
            (
                sum(
                    told_at + NOTICE_SECONDS < at < told_at + REST_SECONDS
                    for at in self.arrivals
                )
                for told_at in self.arrivals
            ),
            default=0,
        )


@pytest.mark.parametrize('resting_count', [1, 3, 4])
def test_target_that_asked_for_a_rest_gets_none_of_its_host(
    deployment, resting_count
):
    """Guards against a pause of our own that is shorter than the target's."""
    targets = ['i-1', 'i-2', 'i-3', 'i-4']
    start(deployment, hosts=1, targets=targets)
    resting = {name: Resting() for name in targets[:resting_count]}
    for name, one in resting.items():
        deployment.targets[name].script = one.serve
    # Those that rest would be the fastest: what may be sent there is.
    for name in targets[resting_count:]:
        deployment.targets[name].script = late(0.05, serve_plain)
    with Callers(deployment, '/d/x', count=6, pause_seconds=0.005) as callers:
        pause(4 * REST_SECONDS)
    most = max(one.most_in_a_rest() for one in resting.values())
    assert most <= ALLOWED
    served = [one for _, one in callers.answers if one.status == 200]
    assert bool(served) is (resting_count < len(targets))


def refused(seconds):
    facts = AnswerFacts()
    facts.is_not_run = True
    facts.rest_seconds = seconds
    return AnswerHead(503, [], facts)


def hear(scene, target, head, sent_at=None):
    now = scene.clock.monotonic()
    target.pushback.note_answer(head, now if sent_at is None else sent_at, now)


def send(scene):
    request = scene.request()
    choice = scene.choose(request)
    if isinstance(choice, Refuse):
        return choice
    scene.placer.note_sent(choice, request)
    return choice.estimate.target


def test_one_request_tries_a_target_after_its_rest():
    """Guards against all that come rushing at a target as its rest ends."""
    scene = Scene()
    target = scene.add('i-1')
    hear(scene, target, refused(2.0))
    assert isinstance(send(scene), Refuse)
    scene.clock.advance(2.01)
    assert send(scene) is target
    assert isinstance(send(scene), Refuse)
    scene.clock.advance(TRIAL_SECONDS)
    assert send(scene) is target
    sent_at = scene.clock.monotonic()
    scene.clock.advance(0.1)
    hear(scene, target, AnswerHead(200, [], AnswerFacts()), sent_at)
    assert send(scene) is target
    assert send(scene) is target


def test_answer_to_an_earlier_request_does_not_end_a_rest():
    """Guards against requests that the target took before it was full."""
    scene = Scene()
    target = scene.add('i-1')
    sent_at = scene.clock.monotonic()
    scene.clock.advance(0.5)
    hear(scene, target, refused(2.0))
    hear(scene, target, AnswerHead(200, [], AnswerFacts()), sent_at)
    assert isinstance(send(scene), Refuse)


def test_shorter_word_does_not_cut_a_rest_short():
    """Guards against refusals that overtake each other."""
    scene = Scene()
    target = scene.add('i-1')
    hear(scene, target, refused(3.0))
    hear(scene, target, refused(0.5))
    scene.clock.advance(2.9)
    assert isinstance(send(scene), Refuse)


def test_all_targets_resting_refuse_at_once_until_the_first_is_back():
    """Guards against callers that wait, and retries spent on nothing."""
    scene = Scene()
    for number, seconds in enumerate((4.0, 2.5, 60.0)):
        hear(scene, scene.add(f'i-{number}'), refused(seconds))
    found = [send(scene) for _ in range(20)]
    assert {one.reason for one in found} == {'targets_rest'}
    assert all(2.5 <= one.after_seconds <= 3.5 for one in found)
    assert len({one.after_seconds for one in found}) == len(found)
    scene.clock.advance(5)
    hear(scene, scene.targets.find('i-0'), refused(50.0))
    hear(scene, scene.targets.find('i-1'), refused(50.0))
    assert send(scene).after_seconds <= LONGEST_SECONDS + 1


def test_resting_region_passes_requests_to_another_one():
    """Guards against callers that another region would serve."""
    scene = Scene()
    hear(scene, scene.add('i-1'), refused(3.0))
    scene.hear(0.1)
    assert scene.choose(scene.request()).region.name == 'south'
    assert scene.placer.least_wait_seconds('model', is_urgent=True) is None


def test_request_chosen_before_the_rest_is_not_sent_into_it():
    """Guards against a request that waited for its connection meanwhile."""
    scene = Scene()
    target = scene.add('i-1')
    send(scene)
    hear(scene, target, refused(3.0))
    now = scene.clock.monotonic()
    reason = target.barrier_reason(now + 1, is_counted=False)
    assert reason == 'target_rests'
    assert not target.barrier_reason(now + 3, is_counted=False)


def test_rest_outlives_a_record_that_lapses_but_not_the_life():
    """Guards against a resting target that the store's outage makes new."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=1)
    hear(scene, target, refused(30.0))
    scene.targets.remove('i-1')
    scene.clock.advance(5)
    assert scene.targets.forget_gone() == [target]
    scene.add('i-1', started_at_ms=1)
    assert isinstance(send(scene), Refuse)
    again = scene.add('i-1', started_at_ms=born_now(scene))
    assert send(scene) is again


def test_word_of_a_life_whose_record_comes_late_holds_for_it():
    """Guards against a rest that a target loses as its record arrives."""
    scene = Scene()
    scene.add('i-1', started_at_ms=1)
    started_at_ms = born_now(scene)
    scene.clock.advance(0.5)
    hear(scene, scene.targets.find('i-1'), refused(3.0))
    scene.clock.advance(0.5)
    scene.add('i-1', started_at_ms=started_at_ms)
    assert isinstance(send(scene), Refuse)
    scene.clock.advance(3)
    assert send(scene).record.started_at_ms == started_at_ms


def test_rest_is_not_held_against_a_target():
    """Guards against targets that stay unused long after their rest."""
    outcome = told_outcome(refused(3.0), is_peer=False)
    assert outcome.is_pushback
    assert not told_outcome(refused(None), is_peer=False).is_pushback
