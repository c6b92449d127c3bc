"""Answers to uploads that aren't over, and statuses that are none."""

import asyncio

import pytest

from jacinthfold.platform.dialect import PlatformDialect
from jacinthfold.transport.errors import ProxyError
from jacinthfold.transport.exchange import Exchange
from tests.gateway import early_answers as early
from tests.gateway import target_standin as standin
from tests.gateway.broken_answers import PROMPT
from tests.gateway.deployment import Deployment, route, wait_served
from tests.gateway.test_broken_heads import CutChannel

UPLOAD = b'u' * 4000000
SMALL = b'prompt'
ROUTES = (
    route('/chat/', 'model', 'stream', **{'max-attempts': 1}),
    route('/warm/', 'model', 'idempotent'),
    route('/desk/', 'desk', 'idempotent'),
    route('/order/', 'desk'),
)
ODD_STATUSES = (
    *('000', '001', '099', '600', '666', '999', '1000', '20', '2', '+200'),
    *('-20', '2O0', '0x2', '2.0', '', '٢٠٠'),
)


def _start(deployment, data_centre):
    deployment.put_routes(*ROUTES, **{'max-body-bytes': 4194304})
    kinds = {'i': 'model', 'd': 'desk'}
    for number in (1, 2):
        for letter, service in kinds.items():
            _add_early(deployment, f'{letter}-{number}', service, data_centre)
    first = deployment.start_host('north-a')
    if data_centre != 'north-1':
        seeds = f'{first.control[0]}:{first.control[1]}'
        deployment.start_host('south-a', data_centre, seeds=seeds)
    for path in ('/warm/x', '/desk/x'):
        wait_served(deployment, 'north-a', path, count=4)
    return deployment


def _add_early(deployment, instance, service, data_centre):
    sound = deployment.add_target(instance, service, data_centre)
    sound.stop()
    target = early.EarlyTarget(sound.address, instance)
    target.start(deployment.loop)
    deployment.targets[instance] = target


@pytest.fixture(scope='module')
def near(tmp_path_factory):
    """Start a host beside targets that answer uploads early."""
    yield from _give(tmp_path_factory, 'north-1')


@pytest.fixture(scope='module')
def far(tmp_path_factory):
    """Start a host whose targets all are in another region."""
    yield from _give(tmp_path_factory, 'south-1')


def _give(tmp_path_factory, data_centre):
    deployment = Deployment(tmp_path_factory.mktemp('early'))
    yield _start(deployment, data_centre)
    deployment.close()


def _upload(deployment, path, framing, end_by):
    """Send a long request; return its answer and how often it was sent."""
    _wait_sound(deployment)
    targets = deployment.targets.values()
    for target in targets:
        target.is_early = True
        target.framing = framing
        target.end_by = end_by
        target.early.clear()
    answer = deployment.ask('north-a', path, 'POST', PROMPT, body=UPLOAD)
    return answer, sum(len(target.early) for target in targets)


def _wait_sound(deployment):
    """Serve until targets that failed are used again."""
    for target in deployment.targets.values():
        target.script = standin.serve_plain
        target.is_early = False
    for path in ('/warm/x', '/desk/x'):
        wait_served(deployment, 'north-a', path, count=4)


def _assert_is_no_answer(answer, sent_count):
    assert sent_count
    assert not answer.is_whole or answer.status == 502


@pytest.mark.parametrize('framing', early.FRAMINGS)
@pytest.mark.parametrize('end_by', early.ENDS)
@pytest.mark.parametrize('path', ['/chat/1', '/desk/1', '/order/1'])
def test_part_that_ends_an_upload_is_no_answer(near, path, end_by, framing):
    """Guards against a part that looks whole as its upload wasn't over."""
    answer, sent_count = _upload(near, path, framing, end_by)
    _assert_is_no_answer(answer, sent_count)


@pytest.mark.parametrize('framing', early.FRAMINGS)
@pytest.mark.parametrize('end_by', early.ENDS)
@pytest.mark.parametrize('path', ['/chat/1', '/desk/1'])
def test_relayed_part_that_ends_an_upload_is_no_answer(
    far, path, end_by, framing
):
    """Guards against the same where another host sees the break."""
    answer, sent_count = _upload(far, path, framing, end_by)
    _assert_is_no_answer(answer, sent_count)


@pytest.mark.parametrize('end_by', early.ENDS)
def test_upload_that_runs_once_is_not_told_not_run(near, end_by):
    """Guards against "not run" after a target began to answer."""
    answer, sent_count = _upload(near, '/order/1', 'connection', end_by)
    assert answer.status == 502
    assert sent_count == 1


def test_repeatable_upload_is_tried_again_whole(near):
    """Guards against a part that ends what another target would serve."""
    _wait_sound(near)
    first = near.targets['d-1']
    first.is_early, first.framing, first.end_by = True, 'connection', 'close'
    for _ in range(4):
        answer = near.ask('north-a', '/desk/1', 'POST', PROMPT, body=UPLOAD)
        assert answer.status == 200
        assert answer.body == b'from d-2'
    bodies = {len(one.body) for one in near.targets['d-2'].executed}
    assert len(UPLOAD) in bodies


def _answer_with(status_line, body=b'odd'):
    async def script(target, request, writer):
        target.executed.append(request)
        lines = [status_line, f'Content-Length: {len(body)}']
        lines += [f'{name}: {one}' for name, one in standin.echoed(request)]
        head = '\r\n'.join(lines).encode(errors='surrogateescape')
        writer.write(head + b'\r\n\r\n' + body)
        await writer.drain()
        return True

    return script


@pytest.mark.parametrize('status', [*ODD_STATUSES, '101'])
def test_status_that_is_none_is_no_response(status):
    """Guards against a number that callers take for a status."""

    async def read():
        wire = f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'.encode()
        exchange = Exchange(CutChannel(wire), PlatformDialect())
        await exchange.send(b'GET', b'/x', [(b'Host', b'h')], b'', 'a')
        return await exchange.read_head()

    with pytest.raises(ProxyError):
        asyncio.run(read())


@pytest.mark.parametrize('status', ['000', '600', '999'])
@pytest.mark.parametrize('path', ['/chat/1', '/desk/1', '/order/1'])
@pytest.mark.parametrize('place', ['near', 'far'])
def test_status_that_is_none_does_not_reach_the_caller(
    request, place, path, status
):
    """Guards against a target in trouble whose answer is passed on."""
    deployment = request.getfixturevalue(place)
    _wait_sound(deployment)
    for target in deployment.targets.values():
        target.script = _answer_with(f'HTTP/1.1 {status} X')
        target.executed.clear()
    answer = deployment.ask('north-a', path, 'POST', PROMPT, body=SMALL)
    assert any(target.executed for target in deployment.targets.values())
    assert answer.status == 502
    assert 'response-seal' not in answer.headers
