"""Targets that reject requests and request a backoff."""

import time

import pytest

from jacinthfold.placement.backoff import PROBE_SECONDS
from jacinthfold.placement.decision import Reject
from jacinthfold.placement.retry_schedule import MAX_RETRY_AFTER_SECONDS
from jacinthfold.proxy.outcome import outcome_from_head
from jacinthfold.request.messages import ResponseFacts, ResponseHead
from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, born_now, start
from tests.gateway.target_standin import late, not_executed, serve_plain
from tests.gateway.test_placement import Scene

BACKOFF_SECONDS = 3.0
# Requests that the platform allows one host in a backoff, not counting those
# that arrive within this time after the rejection.
NOTICE_SECONDS = 0.5
ALLOWED = 2


class BackoffTarget:
    """Reject all requests and record their arrivals."""

    def __init__(self):
        self.arrivals = []

    async def serve(self, target, request, writer):
        """Reject a request and request a backoff."""
        self.arrivals.append(time.monotonic())
        headers = [
            *not_executed(request),
            ('Retry-After', f'{BACKOFF_SECONDS}'),
        ]
        writer.write(Reply(503, headers).wire())
        await writer.drain()
        return True

    def most_in_a_backoff(self):
        """Return the most arrivals in the backoff after any rejection."""
        return max(
            (
                sum(
                    rejected_at + NOTICE_SECONDS
                    < at
                    < rejected_at + BACKOFF_SECONDS
                    for at in self.arrivals
                )
                for rejected_at in self.arrivals
            ),
            default=0,
        )


@pytest.mark.parametrize('backoff_count', [1, 3, 4])
def test_host_sends_nothing_during_a_backoff(deployment, backoff_count):
    """Guards against a backoff that is shorter than the target requests."""
    targets = ['i-1', 'i-2', 'i-3', 'i-4']
    start(deployment, hosts=1, targets=targets)
    backing_off = {name: BackoffTarget() for name in targets[:backoff_count]}
    for name, one in backing_off.items():
        deployment.targets[name].script = one.serve
    # The targets that reject are the fastest, so that the host prefers them.
    for name in targets[backoff_count:]:
        deployment.targets[name].script = late(0.05, serve_plain)
    with Callers(deployment, '/d/x', count=6, pause_seconds=0.005) as callers:
        pause(4 * BACKOFF_SECONDS)
    most = max(one.most_in_a_backoff() for one in backing_off.values())
    assert most <= ALLOWED
    served = [one for _, one in callers.answers if one.status == 200]
    assert bool(served) is (backoff_count < len(targets))


def rejected(seconds):
    facts = ResponseFacts()
    facts.is_not_run = True
    facts.backoff_seconds = seconds
    return ResponseHead(503, [], facts)


def receive(scene, target, head, sent_at=None):
    now = scene.clock.monotonic()
    target.pushback.record_answer(
        head, now if sent_at is None else sent_at, now
    )


def send(scene):
    request = scene.request()
    choice = scene.choose(request)
    if isinstance(choice, Reject):
        return choice
    scene.placer.record_sent(choice, request)
    return choice.estimate.target


def test_one_request_probes_a_target_after_its_backoff():
    """Guards against a burst of requests when a backoff ends."""
    scene = Scene()
    target = scene.add('i-1')
    receive(scene, target, rejected(2.0))
    assert isinstance(send(scene), Reject)
    scene.clock.advance(2.01)
    assert send(scene) is target
    assert isinstance(send(scene), Reject)
    scene.clock.advance(PROBE_SECONDS)
    assert send(scene) is target
    sent_at = scene.clock.monotonic()
    scene.clock.advance(0.1)
    receive(scene, target, ResponseHead(200, [], ResponseFacts()), sent_at)
    assert send(scene) is target
    assert send(scene) is target


def test_answer_to_an_earlier_request_does_not_end_a_backoff():
    """Guards against late answers to requests from before the backoff."""
    scene = Scene()
    target = scene.add('i-1')
    sent_at = scene.clock.monotonic()
    scene.clock.advance(0.5)
    receive(scene, target, rejected(2.0))
    receive(scene, target, ResponseHead(200, [], ResponseFacts()), sent_at)
    assert isinstance(send(scene), Reject)


def test_shorter_backoff_does_not_replace_a_longer_one():
    """Guards against rejections that overtake each other."""
    scene = Scene()
    target = scene.add('i-1')
    receive(scene, target, rejected(3.0))
    receive(scene, target, rejected(0.5))
    scene.clock.advance(2.9)
    assert isinstance(send(scene), Reject)


def test_all_targets_in_backoff_reject_at_once():
    """Guards against callers that wait, and retries that can't succeed."""
    scene = Scene()
    for number, seconds in enumerate((4.0, 2.5, 60.0)):
        receive(scene, scene.add(f'i-{number}'), rejected(seconds))
    found = [send(scene) for _ in range(20)]
    assert {one.reason for one in found} == {'targets_rest'}
    assert all(2.5 <= one.after_seconds <= 3.5 for one in found)
    assert len({one.after_seconds for one in found}) == len(found)
    scene.clock.advance(5)
    receive(scene, scene.targets.find('i-0'), rejected(50.0))
    receive(scene, scene.targets.find('i-1'), rejected(50.0))
    assert send(scene).after_seconds <= MAX_RETRY_AFTER_SECONDS + 1


def test_region_in_backoff_relays_requests():
    """Guards against rejections of callers that another region can serve."""
    scene = Scene()
    receive(scene, scene.add('i-1'), rejected(3.0))
    scene.receive_report(0.1)
    assert scene.choose(scene.request()).region.name == 'south'
    assert scene.placer.least_wait_seconds('model', is_urgent=True) is None


def test_request_chosen_before_a_backoff_is_not_sent():
    """Guards against a request that waits for a connection meanwhile."""
    scene = Scene()
    target = scene.add('i-1')
    send(scene)
    receive(scene, target, rejected(3.0))
    now = scene.clock.monotonic()
    reason = target.rejection_reason(now + 1, is_counted=False)
    assert reason == 'target_rests'
    assert not target.rejection_reason(now + 3, is_counted=False)


def test_backoff_outlives_a_lapsed_record_but_not_the_incarnation():
    """Guards against a backoff that is lost in an outage of the store."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=1)
    receive(scene, target, rejected(30.0))
    scene.targets.remove('i-1')
    scene.clock.advance(5)
    assert scene.targets.drop_expired() == [target]
    scene.add('i-1', started_at_ms=1)
    assert isinstance(send(scene), Reject)
    again = scene.add('i-1', started_at_ms=born_now(scene))
    assert send(scene) is again


def test_backoff_applies_to_an_incarnation_with_a_late_record():
    """Guards against a backoff that is lost when the record arrives."""
    scene = Scene()
    scene.add('i-1', started_at_ms=1)
    started_at_ms = born_now(scene)
    scene.clock.advance(0.5)
    receive(scene, scene.targets.find('i-1'), rejected(3.0))
    scene.clock.advance(0.5)
    scene.add('i-1', started_at_ms=started_at_ms)
    assert isinstance(send(scene), Reject)
    scene.clock.advance(3)
    assert send(scene).record.started_at_ms == started_at_ms


def test_backoff_is_not_counted_as_a_failure():
    """Guards against targets that stay ejected long after their backoff."""
    outcome = outcome_from_head(rejected(3.0), is_peer=False)
    assert outcome.is_pushback
    assert not outcome_from_head(rejected(None), is_peer=False).is_pushback
