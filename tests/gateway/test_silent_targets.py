"""Targets that fall silent and go on lose no answer."""

import asyncio

import pytest

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import SystemClock
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.response_timeout import ResponseTimeout
from jacinthfold.proxy.target_outcomes import TargetOutcomes
from jacinthfold.request.silence_limits import SilenceLimits
from tests.gateway import target_standin as standin
from tests.gateway.deployment import pause, route, wait_served
from tests.gateway.silent_targets import (
    Callers,
    SilentTargets,
    wait_streaming,
    whole_events,
)
from tests.gateway.test_placement import Scene, prompt
from tools.fleet import wait_until

REVIEW = route(
    '/review/', 'model', 'stream', resumable=True, **{'timeout-ms': 15000}
)
ENGINES = ('i-1', 'i-2', 'i-3', 'i-4')
STREAMS = 24
# What the platform allows a stream at two targets.
ALLOWED_OVERLAP_SECONDS = 0.4


@pytest.fixture
def engines(deployment):
    """Start one host with four engines."""
    deployment.put_routes(
        REVIEW,
        route('/warm/', 'model', 'idempotent'),
    )
    for name in ENGINES:
        deployment.add_target(name, 'model')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/warm/x')
    return deployment


def begin_streams(deployment, silence, count=STREAMS, waits=True, **options):
    """Have callers receive streams; return them when all have begun."""
    for target in deployment.targets.values():
        target.executed.clear()
        target.script = silence.script(**options)
    callers = Callers(deployment.hosts['north-a'].callers, '/review/1', count)
    if waits:
        wait_streaming(deployment.targets.values(), count)
    return callers


def busiest(deployment):
    """Return the names of the targets, those with most requests first."""
    targets = deployment.targets
    return sorted(targets, key=lambda name: -len(targets[name].executed))


def count_whole(callers):
    """Return how many callers got their whole stream, and the others."""
    answers = callers.wait()
    others = [
        (one.status, one.is_whole, len(one.body))
        for one in answers
        if not one.is_whole or one.body != whole_events()
    ]
    return len(answers) - len(others), others


@pytest.mark.parametrize('seconds', [1.3, 2.6])
def test_silent_target_keeps_streams_that_others_turn_away(engines, seconds):
    """Guards against streams given up for targets that have no room."""
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence)
    for name in busiest(engines)[2:]:
        engines.targets[name].script = standin.refuse
    silence.begin(*busiest(engines)[:2])
    pause(seconds)
    silence.end()
    assert count_whole(callers) == (STREAMS, [])


def test_one_silent_target_keeps_streams_that_others_turn_away(engines):
    """Guards against streams given up for targets that stream and are full."""
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence)
    first, *others = busiest(engines)
    for name in others:
        engines.targets[name].script = standin.refuse
    silence.begin(first)
    pause(2.6)
    silence.end()
    assert count_whole(callers) == (STREAMS, [])
    assert 'reason=target_refused' in engines.hosts['north-a'].log()


@pytest.mark.parametrize('seconds', [1.3, 2.6])
def test_all_targets_silent_at_once_lose_no_stream(engines, seconds):
    """Guards against streams given up with nothing to take their place."""
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence)
    silence.begin(*ENGINES)
    pause(seconds)
    silence.end()
    assert count_whole(callers) == (STREAMS, [])
    targets = engines.targets.values()
    assert sum(len(one.executed) for one in targets) == STREAMS


@pytest.mark.parametrize('phase', ['events', 'inside_event', 'head'])
def test_stream_of_a_target_that_stays_silent_goes_on_elsewhere(engines, phase):
    """Guards against streams that wait for a target which never goes on."""
    silence = SilentTargets(engines)
    if phase == 'head':
        silence.begin(ENGINES[0])
        callers = begin_streams(engines, silence, count=6, waits=False)
    else:
        callers = begin_streams(
            engines, silence, count=6, halves=phase == 'inside_event'
        )
        silence.begin(busiest(engines)[0])
    whole, others = count_whole(callers)
    silence.end()
    assert (whole, others) == (6, [])


@pytest.mark.parametrize('head_seconds', [0.0, 0.7])
def test_stream_runs_at_two_targets_for_a_moment_only(engines, head_seconds):
    """Guards against work that goes on at the target that was given up."""
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence, count=6)
    first = busiest(engines)[0]
    for name in ENGINES:
        if name != first:
            engines.targets[name].script = silence.script(
                head_seconds=head_seconds
            )
    silence.begin(first)
    pause(3.6)
    silence.end()
    assert count_whole(callers) == (6, [])
    overlaps = []
    for request_id in callers.answers:
        spans = sorted(one[2:] for one in silence.spans if one[0] == request_id)
        overlaps += [
            earlier[1] - later[0]
            for earlier, later in zip(spans, spans[1:], strict=False)
        ]
    assert overlaps
    assert max(overlaps) <= ALLOWED_OVERLAP_SECONDS


def test_answer_that_goes_on_first_is_kept(engines):
    """Guards against a stream cut since another target was asked for it.

    The others accept the request and say nothing, and the first target goes on
    0.1 s later.
    """
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence, count=4)
    first = busiest(engines)[0]
    asked = []

    async def hesitate(target, request, writer):
        asked.append(request)
        silence.end()
        return await standin.say_nothing(target, request, writer)

    for name in ENGINES:
        if name != first:
            engines.targets[name].script = hesitate
    silence.begin(first)
    wait_until(lambda: asked, 'another target is asked')
    assert count_whole(callers) == (4, [])
    wait_until(
        lambda: all(one.is_left for one in asked), 'the others are free again'
    )


def test_silence_of_a_region_keeps_streams_that_another_region_refuses(
    deployment,
):
    """Guards against streams given up for a region that has no room."""
    deployment.put_routes(
        REVIEW,
        route('/warm/', 'model', 'idempotent'),
    )
    for name in ENGINES[:2]:
        deployment.add_target(name, 'model')
    deployment.add_target('i-south', 'model', 'south-1')
    first = deployment.start_host('north-a')
    seeds = f'{first.control[0]}:{first.control[1]}'
    deployment.start_host('south-a', 'south-1', seeds=seeds)
    wait_served(deployment, 'north-a', '/warm/x')
    silence = SilentTargets(deployment)
    callers = begin_streams(deployment, silence, count=8)
    deployment.targets['i-south'].script = standin.refuse
    silence.begin(*ENGINES[:2])
    pause(3.0)
    silence.end()
    assert count_whole(callers) == (8, [])


def test_relayed_streams_of_silent_targets_are_whole(deployment):
    """Guards against a relaying host that gives up before its neighbour."""
    deployment.put_routes(
        REVIEW,
        route('/warm/', 'model', 'idempotent'),
    )
    for name in ENGINES[:2]:
        deployment.add_target(name, 'model', 'south-1')
    first = deployment.start_host('south-a', 'south-1')
    seeds = f'{first.control[0]}:{first.control[1]}'
    deployment.start_host('north-a', seeds=seeds)
    wait_served(deployment, 'north-a', '/warm/x')
    silence = SilentTargets(deployment)
    callers = begin_streams(deployment, silence, count=8)
    silence.begin(*ENGINES[:2])
    pause(2.7)
    silence.end()
    assert count_whole(callers) == (8, [])


def test_calls_of_silent_targets_are_answered(engines):
    """Guards against calls given up for targets that turn them away."""
    engines.put_routes(
        REVIEW,
        route('/quote/', 'desk', 'idempotent'),
    )
    for name in ('d-1', 'd-2'):
        engines.add_target(name, 'desk')
    wait_served(engines, 'north-a', '/quote/x', count=4)
    silence = SilentTargets(engines)

    async def serve(target, request, writer):
        await silence.wait(target)
        return await standin.serve_plain(target, request, writer)

    engines.targets['d-1'].script = serve
    engines.targets['d-2'].script = standin.refuse
    silence.begin('d-1')
    callers = Callers(
        engines.hosts['north-a'].callers, '/quote/1', 4, deadline_seconds=4
    )
    pause(1.6)
    silence.end()
    answers = callers.wait()
    assert [one.status for one in answers] == [200] * 4
    assert all(one.is_whole for one in answers)


def test_silence_of_a_second_moves_no_stream(engines):
    """Guards against streams that start again elsewhere for a short silence."""
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence)
    silence.begin(busiest(engines)[0])
    pause(1.3)
    silence.end()
    assert count_whole(callers) == (STREAMS, [])
    targets = engines.targets.values()
    assert sum(len(one.executed) for one in targets) == STREAMS


@pytest.mark.parametrize(
    ('answered_ago', 'silent_seconds', 'is_failure'),
    [
        # Silent to all for as long as to this request.
        (1.3, 1.3, False),
        (1.3, 1.25, False),
        (2.1, 2.1, True),
        # It answered others meanwhile.
        (0.2, 1.3, True),
        # It never answered.
        (None, 1.3, True),
    ],
)
def test_silence_of_a_second_is_no_failure(
    answered_ago, silent_seconds, is_failure
):
    """Guards against sound targets that are set aside for a short silence."""
    scene = Scene()
    target = scene.add('i-1')
    scene.clock.advance(10)
    now = scene.clock.monotonic()
    if answered_ago is not None:
        target.activity.received_at = now - answered_ago
    request = prompt(scene, 'subject')
    timeout = ResponseTimeout(
        SilenceLimits(request.route),
        lambda: target.activity.received_at,
        scene.clock,
    )
    delivery = Delivery(request, None, None, timeout, scene.clock)
    delivery.is_given_up = True
    delivery.last_bytes_at = now - silent_seconds
    outcomes = TargetOutcomes(scene.regions, ProxyMetrics(), scene.clock)
    estimate = scene.placer.choose(request).estimate
    outcomes.record(
        request,
        estimate,
        delivery,
        now - silent_seconds,
        Outcome(Ending.CUT, 'ProxyError: silent'),
    )
    assert (target.failure_rate.failures_in_row > 0) is is_failure


def test_stream_goes_on_when_its_target_ends_during_the_handover(engines):
    """Guards against a next attempt that is dropped when it is needed.

    The next target takes 0.2 s to answer, and the silent one ends meanwhile.
    """
    silence = SilentTargets(engines)
    callers = begin_streams(engines, silence, count=3)
    first = busiest(engines)[0]
    asked = []
    whole = silence.script()

    async def hesitate(target, request, writer):
        asked.append(request)
        engines.targets[first].end()
        await asyncio.sleep(0.2)
        return await whole(target, request, writer)

    for name in ENGINES:
        if name != first:
            engines.targets[name].script = hesitate
    silence.begin(first)
    assert count_whole(callers) == (3, [])
    assert asked


def test_attempt_prepared_as_the_answer_goes_on_is_withdrawn():
    """Guards against a stream at two targets that is resumed twice later."""
    discarded = []

    async def answer():
        loop = asyncio.get_running_loop()
        chunk = loop.create_future()
        route = Scene().request(retry_policy=RetryPolicy.RESUMED).route
        limits = SilenceLimits(route)
        limits.soft_seconds = limits.gone_gap_seconds = 0.01

        async def prepare():
            # Both become known in the same turn of the event loop.
            chunk.set_result(b'event')
            return True

        timeout = ResponseTimeout(limits, lambda: -1e9, SystemClock())
        timeout.prepare_next = prepare
        timeout.discard_next = lambda: discarded.append(True)

        async def read():
            return await chunk

        try:
            return await timeout.wait(read(), has_begun=False)
        except TimeoutError:
            return b'silent'

    async def run():
        found = await answer()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return found

    assert asyncio.run(run()) == b'event'
    assert discarded == [True]
