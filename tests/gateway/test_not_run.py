"""Promises that a request has not run, and targets that mislead about it."""

import asyncio
from collections import Counter

import pytest

from tests.gateway.deployment import OVERLOAD, route, wait_served
from tests.gateway.target_standin import Reply, echoed

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


def not_executed(request):
    return Reply(
        503,
        [('Attempt-Id', request.headers['attempt-id']), ('Not-Executed', '1')],
    ).wire()


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
        self.sends[name] += 1
        carried = self.carried.setdefault(writer, set())
        if name in carried:
            writer.write(not_executed(request))
        carried.add(name)
        if self.sends[name] == 1:
            writer.write(not_executed(request))
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
