"""Requests that wait at real hosts, and what may happen to them meanwhile."""

import signal

import pytest

from tests.gateway.deployment import (
    Connection,
    bearer,
    call,
    new_id,
    route,
    tenant,
)
from tests.gateway.http_server import Reply
from tests.gateway.target_standin import not_executed, serve_plain
from tools.fleet import wait_until

KEY = 'a-key-of-north'
# Held for an eighth of the objective, 5 s, since nothing was placed lately.
ORDERS = route('/order/', **{'target-latency-ms': 40000, 'timeout-ms': 15000})
BACKOFF_SECONDS = 2.0


async def reject_for_a_while(_target, request, writer):
    """Reject a request as not run and ask for a backoff."""
    headers = [*not_executed(request), ('Retry-After', f'{BACKOFF_SECONDS}')]
    writer.write(Reply(503, headers).wire())
    await writer.drain()
    return True


WAITING_REQUESTS = 20


@pytest.fixture
def waiting_deployment(deployment):
    """Start a host at which requests wait, with a target that rejects them."""
    deployment.put_routes(ORDERS, tenants=[tenant('north', KEY)])
    deployment.add_target('i-1', 'desk').script = reject_for_a_while
    host = deployment.make_host('north-a')
    with host.settings_path.open('a') as settings:
        settings.write(f'[overload]\nwaiting_requests = {WAITING_REQUESTS}\n')
    host.start()
    deployment.wait_ready('north-a')
    wait_until(
        lambda: 'target_known' in host.log(), 'the host knows its target'
    )
    return deployment


def send_waiting(deployment):
    """Send a request and return its connection once it waits."""
    host = deployment.hosts['north-a']
    connection = Connection(host.callers)
    request_id = new_id()
    connection.send(
        '/order/1',
        'POST',
        [bearer(KEY), ('Request-Deadline', '12000')],
        request_id=request_id,
    )
    wait_until(
        lambda: any(
            'event=request_waits ' in line and request_id in line
            for line in host.log().splitlines()
        ),
        'the request waits',
    )
    return connection


def waiting_count(deployment):
    body = call(deployment.hosts['north-a'].metrics, '/metrics').body.decode()
    return sum(
        float(line.split()[-1])
        for line in body.splitlines()
        if line.startswith('jacinthfold_gateway_requests_waiting{')
    )


def test_waiting_request_is_served_when_its_target_accepts(waiting_deployment):
    connection = send_waiting(waiting_deployment)
    assert waiting_count(waiting_deployment) == 1
    target = waiting_deployment.targets['i-1']
    target.script = serve_plain
    answer = connection.receive()
    assert answer.status == 200
    assert len(target.executed) == 1
    assert waiting_count(waiting_deployment) == 0
    waiting_deployment.wait_log('north-a', 'ending=placed')
    connection.close()


def test_caller_that_leaves_while_it_waits_leaves_the_queue(waiting_deployment):
    """Guards against requests that are sent for callers that have left."""
    connection = send_waiting(waiting_deployment)
    connection.close()
    waiting_deployment.wait_log('north-a', 'ending=left')
    assert waiting_count(waiting_deployment) == 0
    target = waiting_deployment.targets['i-1']
    target.script = serve_plain
    wait_until(
        lambda: (
            waiting_deployment.ask(
                'north-a', '/order/2', 'POST', [bearer(KEY)]
            ).status
            == 200
        ),
        'a later request is served',
    )
    assert len(target.executed) == 1


def test_key_taken_away_while_its_request_waits(waiting_deployment):
    """Guards against a revoked key whose request waits past its end."""
    connection = send_waiting(waiting_deployment)
    waiting_deployment.put_routes(ORDERS, tenants=[tenant('north', 'other')])
    answer = connection.receive()
    assert answer.status == 401
    assert not waiting_deployment.targets['i-1'].executed
    waiting_deployment.wait_log('north-a', 'ending=not_admitted')
    connection.close()


def test_stopping_host_serves_what_waits(waiting_deployment):
    """Receive SIGTERM while a request waits for a target's backoff to end."""
    connection = send_waiting(waiting_deployment)
    waiting_deployment.targets['i-1'].script = serve_plain
    host = waiting_deployment.hosts['north-a']
    host.signal(signal.SIGTERM)
    answer = connection.receive()
    assert answer.status == 200
    connection.close()
    assert host.process.wait(20) == 0


def test_stopping_host_answers_what_it_cannot_serve(waiting_deployment):
    """Guards against a host that stops without an answer to what waits.

    The target asks for a new backoff whenever it is probed, until the end of
    the grace period.
    """
    connection = send_waiting(waiting_deployment)
    host = waiting_deployment.hosts['north-a']
    host.signal(signal.SIGTERM)
    answer = connection.receive()
    assert (answer.status, answer.is_whole) == (503, True)
    assert 'retry-after' in answer.headers
    connection.close()
    assert host.process.wait(20) == 0
    assert not waiting_deployment.targets['i-1'].executed


def test_configuration_that_changes_while_a_request_waits(waiting_deployment):
    """Another target appears: the waiting request is placed there."""
    connection = send_waiting(waiting_deployment)
    waiting_deployment.add_target('i-2', 'desk')
    answer = connection.receive()
    assert (answer.status, answer.body) == (200, b'from i-2')
    connection.close()
