"""Promises that a request has not run, and targets that mislead about it."""

import asyncio
import tracemalloc
from collections import Counter

import pytest

from jacinthfold.transport.sent_requests import MAX_REMEMBERED, SentRequests
from tests.gateway.deployment import OVERLOAD, route, wait_served
from tests.gateway.target_standin import Reply, echoed, not_executed

PROMISES = {408, 421, 429, 503}
REQUESTS = 12


@pytest.fixture
def gateway(deployment):
    """Provide a host with a waiting room and one target."""
    deployment.put_routes(route('/order/'), route('/quote/', kind='idempotent'))
    deployment.add_target('i-1', 'desk')
    deployment.start_host('north-a', overload=OVERLOAD)
    # The retries of a service follow from its requests.
    wait_served(deployment, 'north-a', '/order/x', count=20)
    deployment.targets['i-1'].executed.clear()
    return deployment


class RejectThenRepeat:
    """Reject each request at first, and answer that first send once more.

    The second answer comes when the connection is used again, if it is used for
    the same request.
    """

    def __init__(self):
        self.sends = Counter()
        self.carried = {}

    async def __call__(self, target, request, writer):
        name = request.headers['attempt-id']
        rejection = Reply(503, not_executed(request)).wire()
        self.sends[name] += 1
        carried = self.carried.setdefault(writer, set())
        if name in carried:
            writer.write(rejection)
        carried.add(name)
        if self.sends[name] == 1:
            writer.write(rejection)
            await writer.drain()
            return True
        target.executed.append(request)
        await asyncio.sleep(0.05)
        writer.write(Reply(200, echoed(request), b'ran').wire())
        await writer.drain()
        return True


def answers_and_runs(deployment, path='/order/x'):
    """Send requests; return each answer with how often its request ran."""
    target = deployment.targets['i-1']
    found = []
    for number in range(REQUESTS):
        name = f'order-{number}'
        answer = deployment.ask(
            'north-a', path, 'POST', body=b'order', request_id=name
        )
        found.append((answer, target.request_ids().count(name)))
    return found


def test_second_answer_to_an_earlier_send_is_no_answer_to_a_later_one(gateway):
    """Guards against a rejection that is read again while the request runs."""
    script = RejectThenRepeat()
    gateway.targets['i-1'].script = script
    for answer, runs in answers_and_runs(gateway):
        assert runs <= 1
        assert not (runs and answer.status in PROMISES)
        if runs:
            assert (answer.status, answer.body) == (200, b'ran')
    assert any(one > 1 for one in script.sends.values())


@pytest.fixture(params=['north-1', 'south-1'], ids=['own', 'relayed'])
def one_target(deployment, request):
    """Provide two hosts in two regions; one has a target beside it."""
    deployment.put_routes(route('/order/'), route('/quote/', kind='idempotent'))
    deployment.add_target('i-1', 'desk', request.param)
    host = deployment.start_host('south-a', 'south-1', overload=OVERLOAD)
    seeds = ':'.join(str(part) for part in host.control)
    deployment.start_host('north-a', 'north-1', seeds=seeds, overload=OVERLOAD)
    for name in ('south-a', 'north-a'):
        wait_served(deployment, name, '/quote/x', count=5)
    deployment.targets['i-1'].executed.clear()
    return deployment


def run_and_answer(status):
    """Return a script that runs a request and answers with a status."""

    async def script(target, request, writer):
        target.executed.append(request)
        writer.write(Reply(status, echoed(request), b'ran').wire())
        await writer.drain()
        return True

    return script


@pytest.mark.parametrize('status', sorted(PROMISES - {421}))
def test_status_of_a_target_that_ran_a_request_is_no_promise(
    one_target, status
):
    """Guards against a target's 503 that the caller takes for "not run"."""
    one_target.targets['i-1'].script = run_and_answer(status)
    answer = one_target.ask(
        'north-a', '/order/x', 'POST', body=b'order', request_id='order-1'
    )
    assert one_target.targets['i-1'].request_ids() == ['order-1']
    assert answer.status == 502
    assert 'response-seal' not in answer.headers


def test_status_of_a_repeatable_request_is_passed_on(one_target):
    """A request that may run again needs no promise."""
    one_target.targets['i-1'].script = run_and_answer(503)
    answer = one_target.ask('north-a', '/quote/x', request_id='quote-1')
    assert one_target.targets['i-1'].request_ids()
    assert (answer.status, answer.body) == (503, b'ran')


async def reject_another_first(target, request, writer):
    """Write a rejection that names no request, then run this one."""
    target.executed.append(request)
    writer.write(Reply(503, [('Not-Executed', '1')]).wire())
    await asyncio.sleep(0.02)
    writer.write(Reply(200, echoed(request), b'ran').wire())
    await writer.drain()
    return True


def test_rejection_that_names_no_request_is_no_promise_on_a_used_connection(
    gateway,
):
    """Guards against a late answer to another request on a kept connection."""
    gateway.targets['i-1'].script = reject_another_first
    connections = gateway.targets['i-1'].connection_count
    answer = gateway.ask(
        'north-a', '/order/x', 'POST', body=b'order', request_id='order-1'
    )
    assert gateway.targets['i-1'].request_ids() == ['order-1']
    assert gateway.targets['i-1'].connection_count == connections
    assert answer.status == 502


def test_long_identifiers_fill_no_connection():
    """Guards against callers that size what a connection remembers."""
    sent = SentRequests()
    tracemalloc.start()
    for number in range(MAX_REMEMBERED):
        sent.add(f'{number}-' + 'x' * 9000, 5.0, 0.0)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert size_bytes < 500_000
    assert '7-' + 'x' * 9000 in sent
    assert '7' not in sent
    # Full until the deadlines of what it has carried have passed.
    assert sent.is_full
    sent.add('later', 20.0, 10.0)
    assert not sent.is_full
    assert 'later' in sent
    assert '7-' + 'x' * 9000 not in sent
