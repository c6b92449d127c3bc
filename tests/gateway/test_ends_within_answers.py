"""Answers that only the end of the connection ends, when a host ends them."""

import asyncio
import signal
import socket

import h11
import pytest

from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.unread_answers import UnreadAnswers
from jacinthfold.transport.channel import connect
from jacinthfold.transport.memory import Holder, MemoryBudget
from tests.gateway import broken_answers as answers
from tests.gateway import target_standin as standin
from tests.gateway.broken_answers import events, set_scripts
from tests.gateway.deployment import call, pause, route, wait_served
from tools.fleet import wait_until

TOTAL = 400
PAUSE_SECONDS = 0.02
# More than the kernel's buffers of a connection take.
LARGE_BODY = b'b' * 12000000
LARGE_EVENTS = (b'data: ' + b'e' * 60000 + b'\n\n') * 200
# Less than they take.
SMALL_BODY = b's' * 100000
RECEIVE_BYTES = 4096
UNMARKED = answers.unmarked(TOTAL, pause_seconds=PAUSE_SECONDS)
CHUNKED = standin.stream(TOTAL, pause_seconds=PAUSE_SECONDS)
ROUTES = (
    route('/desk/', 'desk', 'idempotent', **{'timeout-ms': 20000}),
    route('/chat/', 'model', 'stream', **{'timeout-ms': 20000}),
    route('/warm/', 'model', 'idempotent'),
)
LIMITS = {'idle-timeout-ms': 3000}


@pytest.fixture
def host(deployment):
    """Start a host whose callers may read nothing for three seconds."""
    return _start(deployment, 'north-1')


@pytest.fixture
def relay(deployment):
    """Start a host whose targets all are in another region."""
    return _start(deployment, 'south-1')


def _start(deployment, data_centre):
    deployment.put_routes(*ROUTES, **LIMITS)
    for number in (1, 2):
        deployment.add_target(f'i-{number}', 'model', data_centre)
        deployment.add_target(f'd-{number}', 'desk', data_centre)
    first = deployment.start_host('north-a')
    if data_centre != 'north-1':
        seeds = f'{first.control[0]}:{first.control[1]}'
        deployment.start_host('south-a', data_centre, seeds=seeds)
    # Of the last two configurations the longer idle timeout counts.
    deployment.put_routes(*ROUTES, **LIMITS)
    deployment.wait_log('north-a', f'version={deployment.version}')
    for path in ('/warm/x', '/desk/x'):
        wait_served(deployment, 'north-a', path, count=4)
    return deployment


def _end_midway(deployment, number, name='north-a'):
    """Return what ends a host after a part of an answer."""

    def end():
        _wait_executed(deployment)
        pause(10 * PAUSE_SECONDS)
        deployment.hosts[name].signal(number)
        deployment.hosts[name].process.wait()

    return end


def _wait_executed(deployment):
    wait_until(
        lambda: any(one.executed for one in deployment.targets.values()),
        'a target answers',
    )


def _looks_broken(answer):
    is_cut = answer.has_chunks and not answer.is_framed_as_complete
    return answer.is_reset or is_cut


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGABRT])
@pytest.mark.parametrize(
    ('script', 'version'),
    [(UNMARKED, '1.1'), (UNMARKED, '1.0'), (CHUNKED, '1.0'), (CHUNKED, '1.1')],
    ids=['unmarked', 'unmarked_old', 'chunked_old', 'chunked'],
)
def test_stream_looks_broken_when_its_host_is_killed(
    host, script, version, number
):
    """Guards against an orderly end that the kernel makes for a dead host."""
    set_scripts(host, script)
    answer = answers.RawAnswer(
        host, '/chat/1', version, before_reading=_end_midway(host, number)
    )
    assert answer.head.split()[1] == b'200'
    assert answer.body
    assert _looks_broken(answer)


@pytest.mark.parametrize('name', ['north-a', 'south-a'])
@pytest.mark.parametrize(
    'script', [UNMARKED, CHUNKED], ids=['unmarked', 'chunked']
)
def test_relayed_stream_looks_broken_when_a_host_is_killed(relay, script, name):
    """Guards against a relay's killed host whose part looks like all."""
    set_scripts(relay, script)
    answer = answers.RawAnswer(
        relay,
        '/chat/1',
        '1.0',
        before_reading=_end_midway(relay, signal.SIGKILL, name),
    )
    assert answer.head.split()[1] == b'200'
    assert answer.is_reset


def test_answer_looks_broken_when_its_host_holds_the_rest(host):
    """Guards against a host that is killed while its caller reads slowly."""
    set_scripts(host, answers.unmarked_body(LARGE_BODY))
    answer = answers.RawAnswer(
        host,
        '/desk/1',
        before_reading=_end_midway(host, signal.SIGKILL),
        receive_bytes=RECEIVE_BYTES,
    )
    assert len(answer.body) < len(LARGE_BODY)
    assert answer.is_reset


def test_answer_that_was_sent_is_whole_though_its_host_is_killed(host):
    """Guards against a reset that drops the end of a whole answer."""
    set_scripts(host, answers.unmarked_body(SMALL_BODY))
    metrics = host.hosts['north-a'].metrics

    def end():
        wait_until(
            lambda: b'body_end="connection"' in call(metrics, '/metrics').body,
            'the answer is sent',
        )
        host.hosts['north-a'].kill()

    answer = answers.RawAnswer(
        host, '/desk/1', before_reading=end, receive_bytes=RECEIVE_BYTES
    )
    assert answer.body == SMALL_BODY
    assert not answer.is_reset


def test_slow_caller_gets_a_whole_answer_of_a_host_that_stops(host):
    """Guards against the last bytes that are dropped at a planned stop."""
    set_scripts(host, answers.unmarked_body(LARGE_BODY))

    def stop():
        _wait_executed(host)
        host.hosts['north-a'].signal(signal.SIGTERM)
        pause(1)

    answer = answers.RawAnswer(
        host, '/desk/1', before_reading=stop, receive_bytes=RECEIVE_BYTES
    )
    assert answer.body == LARGE_BODY
    assert not answer.is_reset


@pytest.mark.parametrize(
    ('path', 'body'),
    [('/desk/1', LARGE_BODY), ('/chat/1', LARGE_EVENTS)],
    ids=['call', 'stream'],
)
def test_answer_that_stays_unread_looks_broken(host, path, body):
    """Guards against an answer that is ended for its caller and looks whole."""
    set_scripts(host, answers.unmarked_body(body))

    def wait():
        host.wait_log('north-a', 'event=unread_answer_ended')

    answer = answers.RawAnswer(
        host,
        path,
        before_reading=wait,
        receive_bytes=RECEIVE_BYTES,
        deadline_ms=20000,
    )
    assert 0 < len(answer.body) < len(body)
    assert answer.is_reset


@pytest.mark.parametrize('version', ['1.0', '1.1'])
def test_whole_answers_end_in_an_orderly_way(host, version):
    """Guards against whole answers that look broken."""
    set_scripts(host, answers.unmarked(5))
    stream = answers.RawAnswer(host, '/chat/1', version)
    set_scripts(host, answers.unmarked_body(LARGE_BODY))
    large = answers.RawAnswer(host, '/desk/1', version)
    assert stream.body == events(1, 5)
    assert large.body == LARGE_BODY
    assert not stream.is_reset
    assert not large.is_reset


async def _finish_unread(address):
    """Return whether a response counts as finished, and what is not sent."""
    channel = await connect(address, 2.0)
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b'GET / HTTP/1.0\r\n\r\n')
    while parser.next_event() is not h11.NEED_DATA:
        if parser.their_state is h11.DONE:
            break
    unread = UnreadAnswers(MemoryBudget(Holder.UNREAD, 10**7))
    response = CallerResponse(channel, parser, is_head=False, unread=unread)
    await response.start(200, [])
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            while not channel.unsent_bytes:
                await response.write(b'x' * 1000)
            await response.finish()
    unsent_bytes = channel.unsent_bytes
    channel.abort()
    return response.is_finished, unsent_bytes


def test_response_is_not_finished_while_its_host_holds_the_end(deployment):
    """Guards against an end that is lost with the process after "finished"."""
    with socket.create_server(('127.0.0.1', 0)) as caller:
        finished, unsent_bytes = deployment.loop.run(
            _finish_unread(caller.getsockname())
        )
    assert unsent_bytes
    assert not finished
