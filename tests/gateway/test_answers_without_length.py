"""Answers with neither length nor chunks, which end with their connection."""

import asyncio

import pytest

from jacinthfold.platform.dialect import PlatformDialect
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.events import EventSplitter
from jacinthfold.request.messages import BodyEnd, ResponseFacts, ResponseHead
from jacinthfold.transport.channel import Channel, connect
from jacinthfold.transport.errors import ConnectionLostError
from jacinthfold.transport.exchange import Exchange
from tests.gateway import broken_answers as answers
from tests.gateway import target_standin as standin
from tests.gateway.broken_answers import ask, events, set_scripts
from tests.gateway.deployment import route, wait_served
from tests.gateway.http_server import Reply

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
    for instance, target in deployment.targets.items():
        if instance.startswith('i'):
            target.script = standin.stream(5)
    return deployment


@pytest.fixture
def far_engines(deployment):
    """Start a host whose targets all are in another region."""
    deployment.put_routes(
        route('/chat/', 'model', 'stream', **{'max-attempts': 1}),
        route('/warm/', 'model', 'idempotent'),
        route('/desk/', 'desk', 'idempotent'),
    )
    for number in (1, 2):
        deployment.add_target(f'i-{number}', 'model', 'south-1')
        deployment.add_target(f'd-{number}', 'desk', 'south-1')
    first = deployment.start_host('north-a')
    seeds = f'{first.control[0]}:{first.control[1]}'
    deployment.start_host('south-a', 'south-1', seeds=seeds)
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


@pytest.mark.parametrize(
    'tail', [HALF, b'id: 4\r\ndata: x\r\n', b'i', b'data: \xc3']
)
def test_stream_broken_at_any_byte_of_an_event_is_seen_as_broken(engines, tail):
    """Guards against events of which only some lines or bytes arrive."""
    set_scripts(engines, answers.unmarked(3, tail))
    answer = ask(engines, '/chat/1')
    assert not answer.is_whole
    assert answer.body == events(1, 3)


@pytest.mark.parametrize('resets', [False, True])
def test_resumable_stream_goes_on_after_an_end_inside_an_event(engines, resets):
    """Guards against a stream that is given up though it may go on."""
    broken = answers.unmarked(3, HALF, resets=resets)
    script = answers.once(broken, standin.stream(5))
    set_scripts(engines, script)
    answer = ask(engines, '/review/1')
    assert answer.body == events(1, 5)


def test_stream_broken_before_its_first_event_is_tried_again(engines):
    """Guards against an empty answer where another target would serve."""
    script = answers.once(answers.unmarked(0, b'id: 1'), standin.stream(5))
    set_scripts(engines, script)
    assert ask(engines, '/review/1').body == events(1, 5)


def test_stream_that_may_run_once_fails_before_its_first_event(engines):
    """Guards against a second run, and against "not run" after the first."""
    set_scripts(engines, answers.unmarked(0, b'id: 1'))
    assert ask(engines, '/chat/1').status == 502
    assert sum(len(one.executed) for one in engines.targets.values()) == 1


def test_end_inside_an_event_counts_against_the_target(engines):
    """Guards against a target that breaks streams off and stays in use."""
    set_scripts(engines, answers.unmarked(3, HALF))
    ask(engines, '/chat/1')
    engines.wait_log('north-a', 'ending=cut')
    assert 'ended inside an event' in engines.hosts['north-a'].log()


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_splitter_finds_events_of_each_line_end(line_end):
    """Guards against whole streams that are held for broken ones."""
    whole = line_end.join((b'id: 1', b'data: a', b'', b''))
    splitter = EventSplitter()
    assert splitter.feed(whole) == whole
    assert not splitter.is_inside_event


def test_comments_and_blank_lines_are_no_part_of_an_event():
    """Guards against keep-alive lines that make a whole stream look broken."""
    splitter = EventSplitter()
    splitter.feed(b'data: a\n\n\n: keep-alive')
    assert not splitter.is_inside_event


def test_connection_that_this_host_ends_is_no_end_of_an_answer(deployment):
    """Guards against an answer that counts as whole since we gave it up."""
    target = deployment.add_target('i-1', 'model')
    target.script = answers.unmarked_body(b'first part', pause_seconds=5)

    async def read_and_abort():
        channel = await connect(target.address, 2.0)
        exchange = Exchange(channel, PlatformDialect())
        headers = [(b'Host', b'x'), (b'Attempt-Id', b'a')]
        await exchange.send(b'POST', b'/', headers, b'prompt', 'a')
        await exchange.read_head()
        asyncio.get_running_loop().call_later(0.1, channel.abort)
        await exchange.read_body(1000)

    with pytest.raises(ConnectionLostError):
        deployment.loop.run(read_and_abort())


def test_reset_after_an_orderly_end_leaves_the_answer_whole(deployment):
    """Guards against whole answers that a later reset makes look broken."""

    async def read_after_both():
        channel = Channel()
        content = b'all of it'
        channel.get_buffer(-1)[: len(content)] = content
        channel.buffer_updated(len(content))
        channel.eof_received()
        channel.connection_lost(ConnectionResetError())
        return await channel.read(), await channel.read()

    assert deployment.loop.run(read_after_both()) == (b'all of it', b'')


@pytest.mark.parametrize('version', ['1.0', '1.1'])
def test_broken_stream_looks_broken_to_callers_of_each_version(
    engines, version
):
    """Guards against a cut that callers without chunks take for the end."""
    set_scripts(engines, standin.stream(5, cut_at=3))
    answer = answers.RawAnswer(engines, '/chat/1', version)
    assert not answer.is_framed_as_complete
    assert answer.is_reset or answer.has_chunks


def test_whole_stream_reaches_a_caller_of_the_old_version(engines):
    """Guards against a reset of connections whose answer is whole."""
    answer = answers.RawAnswer(engines, '/chat/1', '1.0')
    assert answer.body == events(1, 5)
    assert not answer.is_reset


@pytest.mark.parametrize('path', ['/chat/1', '/review/1'])
def test_stream_whose_end_is_not_known_is_not_framed_as_complete(engines, path):
    """Guards against a claim that nobody made: an end between two events."""
    set_scripts(engines, answers.unmarked(3))
    answer = answers.RawAnswer(engines, path)
    assert answer.body == events(1, 3)
    assert not answer.is_framed_as_complete
    assert not answer.is_reset


@pytest.mark.parametrize('path', ['/desk/1', '/order/1'])
def test_call_whose_end_is_not_known_is_not_framed_as_complete(engines, path):
    """Guards against a length that this host adds to a body without one."""
    set_scripts(engines, answers.unmarked_body(b'all or a part'))
    answer = answers.RawAnswer(engines, path)
    assert answer.body == b'all or a part'
    assert not answer.is_framed_as_complete
    assert not answer.is_reset
    assert ask(engines, path).is_whole


@pytest.mark.parametrize('path', ['/desk/1', '/order/1'])
def test_call_that_is_reset_is_not_delivered(engines, path):
    """Guards against a part of a body that is delivered as all of it."""
    set_scripts(engines, answers.unmarked_body(b'a part', resets=True))
    assert answers.RawAnswer(engines, path).head.split()[1] == b'502'


def test_connection_whose_end_ended_an_answer_is_not_used_again(engines):
    """Guards against a request on a connection that is over."""
    set_scripts(engines, answers.unmarked(5))
    for _ in range(6):
        answer = ask(engines, '/chat/1')
        assert answer.is_whole
        assert answer.body == events(1, 5)


def test_stream_that_promised_an_end_is_left_open_if_none_is_known(engines):
    """Guards against a last chunk after a resumed part without one."""
    script = answers.once(standin.stream(5, cut_at=3), answers.unmarked(4))
    set_scripts(engines, script)
    answer = answers.RawAnswer(engines, '/review/1')
    assert answer.has_chunks
    assert b'piece 4' in answer.body
    assert not answer.is_framed_as_complete
    engines.wait_log('north-a', 'reason=end_unknown')


@pytest.mark.parametrize(
    ('first', 'path'),
    [
        (answers.unmarked(5), '/chat/1'),
        (answers.unmarked_body(b'all or a part'), '/desk/1'),
    ],
)
def test_relayed_answer_whose_end_is_not_known_is_not_framed_as_complete(
    far_engines, first, path
):
    """Guards against a relay's own framing that hides how an answer ended."""
    set_scripts(far_engines, first)
    answer = answers.RawAnswer(far_engines, path)
    assert answer.body in {events(1, 5), b'all or a part'}
    assert not answer.is_framed_as_complete
    assert not answer.is_reset
    assert b'jacinthfold-end' not in answer.head
    assert ask(far_engines, path).is_whole


@pytest.mark.parametrize('resets', [False, True])
def test_relayed_stream_that_broke_off_is_not_framed_as_complete(
    far_engines, resets
):
    """Guards against a cut that only the host beside the target sees."""
    set_scripts(far_engines, answers.unmarked(3, HALF, resets=resets))
    answer = answers.RawAnswer(far_engines, '/chat/1')
    assert answer.body.startswith(events(1, 3)[:10])
    assert HALF not in answer.body
    assert answer.is_reset or answer.has_chunks
    assert not answer.is_framed_as_complete


def test_relayed_whole_stream_still_says_that_it_is_complete(far_engines):
    """Guards against whole answers that lose their end on the way."""
    set_scripts(far_engines, standin.stream(5))
    assert answers.RawAnswer(far_engines, '/chat/1').is_framed_as_complete


def test_unreadable_header_of_an_end_counts_as_unmarked():
    """Guards against a claim of completeness by a word that is not known."""
    head = ResponseHead(200, [(b'Jacinthfold-End', b'?')], ResponseFacts())
    relay_header.take_end(head)
    assert head.body_end is BodyEnd.CONNECTION
    assert head.headers == []


def test_targets_cannot_speak_for_the_host_that_relays(far_engines):
    """Guards against a target that tells another host "not run" after a run."""
    for target in far_engines.targets.values():
        target.script = claim_not_run
        target.executed.clear()
    answer = ask(far_engines, '/desk/1')
    assert answer.status == 200
    assert 'jacinthfold-outcome' not in answer.headers
    assert sum(len(one.executed) for one in far_engines.targets.values()) == 1


async def claim_not_run(target, request, writer):
    """Answer, with the header by which hosts tell that nothing ran."""
    target.executed.append(request)
    headers = [*standin.echoed(request), ('Jacinthfold-Outcome', 'not_run')]
    writer.write(Reply(200, headers, b'done').wire())
    return True
