"""Targets whose answers never end."""

import asyncio
import threading
from pathlib import Path

import pytest

from jacinthfold.proxy.events import MAX_EVENT_BYTES, EventSplitter
from jacinthfold.transport.body_buffer import BodyBuffer
from jacinthfold.transport.errors import (
    MalformedResponseError,
    MemoryScarceError,
)
from jacinthfold.transport.memory import (
    LARGE_SHARE,
    SMALL_BYTES,
    Holder,
    MemoryBudget,
)
from tests.gateway.deployment import Deployment, route, wait_served
from tests.gateway.target_standin import serve_plain

CALLERS = 24
BLOCK = b'x' * 65536
# The smallest hosts have 160 MB.
MAX_RESIDENT_KB = 130_000
HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n'
FORMS = {
    'head': (b'HTTP/1.1 200 OK\r\nX-Endless: ', b''),
    'informational': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'length': (HEAD + b'Content-Length: 900000000\r\n\r\n', b''),
    'connection': (HEAD + b'\r\n', b''),
    'event': (HEAD + b'Content-Type: text/event-stream\r\n\r\ndata: ', b''),
    'rejection': (
        b'HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n'
        b'Content-Length: 900000000\r\n\r\n',
        b'',
    ),
}


def endless(form):
    """Return a script that writes until the host closes."""
    head, block = FORMS[form]

    async def script(target, request, writer):
        target.executed.append(request)
        name = request.headers['attempt-id'].encode()
        writer.write(head % name if b'%s' in head else head)
        while not request.is_left:
            writer.write(block * 100 or BLOCK)
            await writer.drain()
            await asyncio.sleep(0)
        target.left.append(name.decode())
        return False

    return script


@pytest.fixture(scope='module')
def endless_deployment(tmp_path_factory):
    made = Deployment(tmp_path_factory.mktemp('endless'))
    made.put_routes(
        route('/order/'),
        route('/ask/', kind='stream', **{'priority': 0}),
        route('/sound/', 'other'),
        services=('desk', 'other'),
    )
    made.add_target('i-1', 'desk', slots=64)
    made.add_target('i-2', 'other')
    made.start_host('north-a')
    wait_served(made, 'north-a', '/sound/x')
    yield made
    made.close()


def resident_kb(host):
    """Return the most memory that a host's process has used."""
    status = Path(f'/proc/{host.process.pid}/status').read_text()
    (line,) = [one for one in status.splitlines() if one.startswith('VmHWM')]
    return int(line.split()[1])


@pytest.mark.parametrize('form', FORMS)
def test_answers_without_end_cost_bounded_memory(endless_deployment, form):
    """Guards against a host that ends, and its callers with it.

    Many targets send bytes that are no answer until the host closes.
    """
    made, statuses = endless_deployment, []
    target = made.targets['i-1']
    target.script = endless(form)
    target.executed.clear()
    target.left.clear()
    path = '/ask/x' if form == 'event' else '/order/x'

    def call(number):
        answer = made.ask(
            'north-a', path, 'POST', body=b'b', request_id=f'{form}-{number}'
        )
        statuses.append((answer.status, answer.is_whole))

    callers = [
        threading.Thread(target=call, args=[number])
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    assert made.ask('north-a', '/sound/y').status == 200
    for caller in callers:
        caller.join()
    assert len(statuses) == CALLERS
    assert not any(status == 200 and whole for status, whole in statuses)
    target.script = serve_plain
    assert made.ask('north-a', '/sound/z').status == 200
    assert resident_kb(made.hosts['north-a']) < MAX_RESIDENT_KB


def test_small_answers_are_held_beside_large_ones():
    """Guards against sound answers that fail for a few endless ones."""
    budget = MemoryBudget(Holder.ANSWERS, 10 * SMALL_BYTES)
    large_bytes = int(10 * SMALL_BYTES * LARGE_SHARE)
    with budget.reserve() as large_memory, budget.reserve() as small_memory:
        large = BodyBuffer(large_memory, 20 * SMALL_BYTES)
        large.add(b'x' * large_bytes)
        small = BodyBuffer(small_memory, 20 * SMALL_BYTES)
        small.add(b'y' * SMALL_BYTES)
        for buffer in (small, large):
            with pytest.raises(MemoryScarceError):
                buffer.add(b'z')
        with pytest.raises(MalformedResponseError):
            large.add(b'x' * 20 * SMALL_BYTES)
    assert (budget.held_bytes, budget.large_bytes) == (0, 0)


def test_event_without_end_is_malformed():
    splitter = EventSplitter()
    splitter.feed(b'data: ' + b'x' * (MAX_EVENT_BYTES - 6))
    with pytest.raises(MalformedResponseError):
        splitter.feed(b'x')
