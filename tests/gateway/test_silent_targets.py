"""Targets that fall silent and go on lose no answer."""

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import pause, route, wait_served
from tests.gateway.silent_targets import (
    Callers,
    SilentTargets,
    wait_streaming,
    whole_events,
)

ENGINES = ('i-1', 'i-2', 'i-3', 'i-4')
STREAMS = 24


@pytest.fixture
def engines(deployment):
    """Start one host with four engines."""
    deployment.put_routes(
        route('/review/', 'model', 'stream', resumable=True),
        route('/warm/', 'model', 'idempotent'),
    )
    for name in ENGINES:
        deployment.add_target(name, 'model')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/warm/x')
    return deployment


def begin_streams(deployment, silence, count=STREAMS, **options):
    """Have callers receive streams; return them when all have begun."""
    for target in deployment.targets.values():
        target.executed.clear()
        target.script = silence.script(**options)
    callers = Callers(deployment.hosts['north-a'].callers, '/review/1', count)
    wait_streaming(deployment.targets.values(), count)
    return callers


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
    busiest_first = sorted(
        ENGINES, key=lambda name: -len(engines.targets[name].executed)
    )
    for name in busiest_first[2:]:
        engines.targets[name].script = standin.refuse
    silence.begin(*busiest_first[:2])
    pause(seconds)
    silence.end()
    assert count_whole(callers) == (STREAMS, [])
