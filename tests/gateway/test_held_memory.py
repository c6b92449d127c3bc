"""What callers and targets make a host hold."""

import asyncio
import socket
import threading
import time
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.transport.body_buffer import BodyBuffer
from jacinthfold.transport.errors import MemoryScarceError
from jacinthfold.transport.memory import Holder, MemoryBudget
from tests.gateway import target_standin as standin
from tests.gateway.deployment import (
    HOST_NAME,
    Connection,
    Deployment,
    ask,
    new_id,
    route,
    wait_served,
)
from tools.fleet import wait_until

BODY = b'b' * 2000000
LIMIT_BYTES = 4194304
# Room for three such bodies.
SETTINGS = '[memory]\nlimit_mb = 64\n'
EVENT_BYTES = 60000
ROUTES = (
    route('/order/', **{'timeout-ms': 8000}),
    route('/lookup/', 'pair', 'idempotent', **{'timeout-ms': 8000}),
    route('/stream/', 'streams', 'stream', **{'timeout-ms': 20000}),
    route('/small/', 'other'),
)
CONFIGURATION = {
    'services': ('desk', 'other', 'pair', 'streams'),
    'max-body-bytes': LIMIT_BYTES,
    'idle-timeout-ms': 3000,
}


@pytest.fixture(scope='module')
def made(tmp_path_factory):
    deployment = Deployment(tmp_path_factory.mktemp('held'))
    # Of the last two configurations the longer idle timeout counts.
    deployment.put_routes(*ROUTES, **CONFIGURATION)
    deployment.add_target('i-1', 'desk', slots=64)
    deployment.add_target('i-2', 'other')
    deployment.add_target('i-3', 'streams', slots=64)
    deployment.add_target('i-4', 'pair', slots=64)
    deployment.add_target('i-5', 'pair', slots=64)
    deployment.start_host('north-a', overload=SETTINGS)
    deployment.put_routes(*ROUTES, **CONFIGURATION)
    for path in ('/order/x', '/small/x'):
        wait_served(deployment, 'north-a', path)
    yield deployment
    deployment.close()


def metric(deployment, name):
    """Return the lines of a metric with their values."""
    text = ask(deployment.hosts['north-a'].metrics, '/metrics').body.decode()
    lines = [one for one in text.splitlines() if one.startswith(name)]
    return {line.split('"')[1]: float(line.rsplit(' ', 1)[1]) for line in lines}


def assert_nothing_held(deployment):
    wait_until(
        lambda: (
            not any(
                metric(deployment, 'jacinthfold_gateway_memory_held').values()
            )
        ),
        'all memory is given back',
    )


def hold(seconds):
    """Return a script that answers after some seconds."""

    async def script(target, request, writer):
        await asyncio.sleep(seconds)
        return await standin.serve_plain(target, request, writer)

    return script


class Upload:
    """Send a part of a body and wait."""

    def __init__(self, deployment, declared_bytes, sent=b'', path='/order/x'):
        self.socket = socket.create_connection(
            deployment.hosts['north-a'].callers
        )
        self.socket.settimeout(5)
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            f'Attempt-Id: {new_id()}\r\n'
            f'Content-Length: {declared_bytes}\r\n\r\n'
        )
        self.socket.sendall(head.encode() + sent)

    def status(self):
        return self.socket.recv(65536).split()[1]

    def close(self):
        self.socket.close()


def test_declared_length_over_the_limit_is_refused_at_its_head(made):
    """Guards against a body that is read though it can't be served."""
    upload = Upload(made, LIMIT_BYTES + 1)
    assert upload.status() == b'413'
    upload.close()
    assert_nothing_held(made)


def test_bodies_being_sent_leave_room_for_small_requests(made):
    """Guards against callers that fill a host with what they never finish."""
    made.targets['i-1'].script = standin.serve_plain
    made.targets['i-1'].executed.clear()
    uploads = [Upload(made, len(BODY), BODY[:9000]) for _ in range(12)]
    refused = [one for one in uploads if _is_answered(one)]
    assert 6 <= len(refused) < 12
    for one in refused:
        answer = one.socket.recv(65536)
        assert answer.split()[1] == b'503'
        assert b'retry-after' in answer.lower()
    assert made.ask('north-a', '/small/x').status == 200
    assert made.ask('north-a', '/order/x', 'POST', body=b'x').status == 200
    for one in uploads:
        one.close()
    assert_nothing_held(made)
    assert len(made.targets['i-1'].executed) == 1


def _is_answered(upload):
    upload.socket.settimeout(1.0)
    try:
        return bool(upload.socket.recv(1, socket.MSG_PEEK))
    except TimeoutError:
        return False


def test_large_bodies_are_let_go_once_they_are_sent(made):
    """Guards against refusals of bodies that nothing needs to keep."""
    target = made.targets['i-1']
    target.script = hold(3.0)
    answers, threads = [], []

    def call():
        answers.append(
            made.ask('north-a', '/order/x', 'POST', body=BODY, seconds=10)
        )

    for _ in range(12):
        arrived = target.arrived
        threads.append(threading.Thread(target=call))
        threads[-1].start()
        wait_until(lambda: target.arrived > arrived, 'the body is sent')
    for thread in threads:
        thread.join()
    assert [one.status for one in answers] == [200] * 12
    assert_nothing_held(made)


@pytest.mark.parametrize(
    ('script', 'status'), [(standin.refuse, 503), (standin.cut_after_run, 502)]
)
def test_request_without_its_body_is_not_sent_again(made, script, status):
    """Guards against a second try with an empty body, and a false promise."""
    targets = [made.targets[name] for name in ('i-4', 'i-5')]
    for target in targets:
        target.script = script
    arrived = sum(target.arrived for target in targets)
    keepers = [Upload(made, len(BODY), BODY[:9000]) for _ in range(2)]
    wait_until(
        lambda: (
            metric(made, 'jacinthfold_gateway_memory_held')['requests']
            == 2 * len(BODY)
        ),
        'two bodies have room',
    )
    answer = made.ask('north-a', '/lookup/x', 'POST', body=BODY)
    sent = sum(target.arrived for target in targets) - arrived
    assert (answer.status, sent) == (status, 1)
    for one in keepers:
        one.close()
    assert_nothing_held(made)


def endless_events(total):
    """Return a script that streams as fast as the host reads."""

    async def script(target, request, writer):
        writer.write(standin.stream_head(request))
        for number in range(1, total + 1):
            if request.is_left:
                target.left.append(request.headers['attempt-id'])
                return False
            event = b'id: %d\ndata: %s\n\n' % (number, b'x' * EVENT_BYTES)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            try:
                await writer.drain()
            except ConnectionError:
                target.left.append(request.headers['attempt-id'])
                return False
        writer.write(b'0\r\n\r\n')
        return True

    return script


def read_slowly(connection, seconds):
    """Return what a caller reads that takes its time."""
    content = b''
    until = time.monotonic() + seconds
    while not content.endswith(b'0\r\n\r\n'):
        piece = connection.socket.recv(40000)
        if not piece:
            break
        content += piece
        if time.monotonic() < until:
            time.sleep(0.02)
    return content


def test_answers_that_nobody_reads_end_and_others_go_on(made):
    """Guards against callers that make a host hold what they don't read."""
    target = made.targets['i-3']
    target.script = endless_events(400)
    target.left.clear()
    unread = []
    for _ in range(40):
        connection = Connection(made.hosts['north-a'].callers)
        connection.send('/stream/x', 'POST', [], b'x', new_id())
        unread.append(connection)
    target.script = endless_events(150)
    reader = Connection(made.hosts['north-a'].callers)
    reader.send('/stream/x', 'POST', [], b'x', new_id())
    content = read_slowly(reader, 3.0)
    assert content.endswith(b'0\r\n\r\n')
    assert content.count(b'data: ') == 150
    assert made.ask('north-a', '/small/x').status == 200
    wait_until(lambda: len(target.left) == 40, 'targets are let go')
    ended = metric(made, 'jacinthfold_gateway_unread_answers_ended_total')
    assert set(ended) == {'stalled', 'no_memory'}
    assert sum(ended.values()) == 40
    for connection in [*unread, reader]:
        connection.close()
    assert_nothing_held(made)


STEPS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(0, 90000)), max_size=80
)


@given(STEPS)
def test_budget_counts_each_byte_once(steps):
    """Guards against bytes that are given back twice, or never."""
    budget = MemoryBudget(Holder.REQUESTS, 200000)
    held = [budget.reserve() for _ in range(6)]
    for index, size_bytes in steps:
        reservation, before = held[index], held[index].size_bytes
        try:
            if size_bytes % 3:
                reservation.resize(size_bytes)
            elif size_bytes % 2:
                reservation.grow(size_bytes)
            else:
                reservation.close()
        except MemoryScarceError:
            assert reservation.size_bytes == before
        assert budget.held_bytes == sum(one.size_bytes for one in held)
        assert budget.held_bytes <= budget.limit_bytes
    for reservation in held:
        reservation.close()
        reservation.close()
    assert (budget.held_bytes, budget.large_bytes) == (0, 0)


def test_tiny_chunks_cost_no_object_each():
    """Guards against answers that hold many times their bytes."""
    tracemalloc.start()
    with MemoryBudget(Holder.ANSWERS, 400000).reserve() as memory:
        buffer = BodyBuffer(memory, 400000)
        for number in range(100000):
            buffer.add(number.to_bytes(4)[2:])
        held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 2 * 200000
