"""Answers with neither length nor chunks, which end with their connection."""

import pytest

from tests.gateway import broken_answers as answers
from tests.gateway.broken_answers import ask, events, set_scripts
from tests.gateway.deployment import route, wait_served

HALF = b'id: 4\ndata: pie'


@pytest.fixture
def engines(deployment):
    """Start one host with two engines and two plain targets."""
    deployment.put_routes(
        route('/chat/', 'model', 'stream', **{'max-attempts': 1}),
        route('/review/', 'model', 'stream', resumable=True),
        route('/warm/', 'model', 'idempotent'),
        route('/desk/', 'desk', 'idempotent'),
        route('/order/', 'desk'),
    )
    for number in (1, 2):
        deployment.add_target(f'i-{number}', 'model')
        deployment.add_target(f'd-{number}', 'desk')
    deployment.start_host('north-a')
    for path in ('/warm/x', '/desk/x'):
        wait_served(deployment, 'north-a', path, count=4)
    return deployment


@pytest.mark.parametrize('resets', [False, True])
def test_stream_broken_inside_an_event_is_not_framed_as_complete(
    engines, resets
):
    """Guards against half a stream that its caller takes for a whole one."""
    set_scripts(engines, answers.unmarked(3, HALF, resets=resets))
    answer = ask(engines, '/chat/1')
    assert not answer.is_whole
    assert answer.body == events(1, 3)
