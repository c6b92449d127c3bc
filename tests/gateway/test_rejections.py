"""Rejections are inexpensive and don't rest on knowledge that has changed."""

import random

import pytest
from loguru import logger

from jacinthfold.placement.decision import Reject, RelayTo, SendTo
from jacinthfold.placement.estimates import Estimator
from jacinthfold.placement.least_waits import MAX_AGE_SECONDS, LeastWaits
from jacinthfold.placement.target import Load
from jacinthfold.proxy.in_flight_load import InFlightLoad
from jacinthfold.proxy.rejection_lines import (
    MAX_LINES,
    WINDOW_SECONDS,
    RejectionLines,
)
from tests.gateway.test_placement import Scene

ENGINES = 36
# 100,000 tokens pending take 1.67 s, more than the latency objective.
FULL = Load(70, 100000, 100000)
OBJECTIVE_SECONDS = 0.8


def full_scene(engines=ENGINES):
    """Return a scene whose engines are full by another host's report."""
    scene = Scene()
    for number in range(engines):
        scene.add(f'i-{number}')
    report(scene, FULL)
    return scene


def report(scene, load):
    loads = {
        target.record.incarnation_id: load for target in scene.targets.all()
    }
    scene.targets.update_loads('b', loads, scene.clock.monotonic())


def request(scene, **fields):
    fields.setdefault('latency_objective_seconds', OBJECTIVE_SECONDS)
    return scene.request(**fields)


def is_late(choice):
    return isinstance(choice, Reject) and choice.reason == 'late'


def counted_waits(monkeypatch):
    """Count the targets whose wait is computed."""
    counted = []
    wait = Estimator.wait

    def count(self, target, now, *, is_urgent):
        counted.append(target)
        return wait(self, target, now, is_urgent=is_urgent)

    monkeypatch.setattr(Estimator, 'wait', count)
    return counted


def test_rejections_together_estimate_the_targets_once(monkeypatch):
    """Guards against estimating all targets for each retry.

    200 requests arrive within 50 ms at a host whose engines are all full. The
    first one and one snapshot take each target once; each other request takes
    one estimate.
    """
    scene = full_scene()
    counted = counted_waits(monkeypatch)
    for _ in range(200):
        assert is_late(scene.choose(request(scene)))
    assert len(counted) <= 200 + 3 * ENGINES


def test_served_requests_compute_no_bounds(monkeypatch):
    """Guards against a bound that makes requests without overload dearer."""
    scene = Scene()
    for number in range(ENGINES):
        scene.add(f'i-{number}')
    monkeypatch.setattr(
        LeastWaits, '_snapshot', lambda *_: pytest.fail('took a snapshot')
    )
    for _ in range(20):
        assert isinstance(scene.choose(request(scene)), SendTo)


def test_request_is_served_once_own_load_has_ended():
    """Guards against rejections by old knowledge after a place came free.

    This host's own prompts fill the only engine. One of them ends and the next
    request comes at the same moment.
    """
    scene = Scene()
    scene.add('i-1')
    loads = []
    while not is_late(choice := scene.choose(request(scene, tokens=9000))):
        sent = request(scene, tokens=9000)
        loads.append(InFlightLoad(choice.estimate, sent))
    assert is_late(scene.choose(request(scene, tokens=9000)))
    loads.pop().release()
    assert isinstance(scene.choose(request(scene, tokens=9000)), SendTo)


@pytest.mark.parametrize('change', ['report', 'target', 'age'])
def test_request_is_served_once_another_target_is_free(change):
    """Guards against rejections by reports and targets of a moment ago.

    An engine that was unreachable is usable again 10 ms later, which nothing
    but the age of what is known tells.
    """
    scene = full_scene(engines=3)
    if change == 'age':
        free = scene.add('i-unreachable')
        free.unreachable_until = scene.clock.monotonic() + 0.01
    assert is_late(scene.choose(request(scene)))
    assert is_late(scene.choose(request(scene)))
    if change == 'report':
        report(scene, Load())
    if change == 'target':
        scene.add('i-new')
    if change == 'age':
        scene.clock.advance(MAX_AGE_SECONDS + 0.01)
    assert isinstance(scene.choose(request(scene)), SendTo)


def test_region_with_capacity_still_gets_the_request():
    """Guards against rejections that skip other regions."""
    scene = full_scene(engines=3)
    assert is_late(scene.choose(request(scene)))
    scene.receive_report(0.0)
    assert isinstance(scene.choose(request(scene)), RelayTo)


@pytest.mark.parametrize('seed', range(40))
def test_early_rejections_equal_those_of_all_estimates(seed, monkeypatch):
    """Guards against a bound above an estimate.

    Engines and plain targets with random loads, cached prefixes and speeds. A
    host decides the same with and without bounds.
    """
    outcomes = []
    for is_bounded in (True, False):
        source = random.Random(seed)
        scene = Scene()
        if not is_bounded:
            monkeypatch.setattr(LeastWaits, 'late_estimate', lambda *_: None)
        for number in range(6):
            target = scene.add(f'i-{number}')
            pending = source.randrange(60000)
            target.own = Load(source.randrange(90), pending, pending)
            target.record_success(source.uniform(0.1, 2), 0.3)
            plain = scene.add(f'p-{number}', 'desk', slots=2)
            plain.own = Load(source.randrange(30))
            for name in ('a', 'b', 'c'):
                if source.random() < 0.3:
                    target.cached_prefixes.record_use([f'/{name}'])
        for _ in range(60):
            service = source.choice(('model', 'desk'))
            sent = request(
                scene,
                service=service,
                tokens=source.randrange(1, 30000),
                latency_objective_seconds=source.uniform(0.05, 2),
                priority=source.randrange(2),
            )
            if service == 'model':
                sent.facts.prefix_segments = scene.parts(
                    source.choice('abc'), 'own'
                )
            choice = scene.choose(sent)
            outcomes.append(
                choice.reason if isinstance(choice, Reject) else 'sent'
            )
    assert outcomes[:60] == outcomes[60:]
    assert {'late', 'sent'} == set(outcomes)


def test_rejections_above_a_rate_are_summed_up():
    """Guards against two log lines for each of 200 rejections per second.

    Each rejection beyond the first ones of a second is counted, and the count
    is logged with the first rejection after that second.
    """
    scene = full_scene(engines=3)
    lines = RejectionLines(scene.clock)
    logged = []
    sink = logger.add(lambda line: logged.append(line.record), level='INFO')
    try:
        for _ in range(200):
            sent = request(scene)
            lines.log(sent, scene.choose(sent))
        scene.clock.advance(WINDOW_SECONDS)
        sent = request(scene)
        lines.log(sent, scene.choose(sent))
    finally:
        logger.remove(sink)
    names = [record['message'] for record in logged]
    assert names.count('request_refused') == MAX_LINES + 1
    summary = logged[names.index('requests_refused')]['extra']
    assert summary['count'] == 200
    assert summary['left_out'] == 200 - MAX_LINES
