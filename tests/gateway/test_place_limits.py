"""Real hosts keep to their shares of a small target's places."""

import asyncio

from tests.gateway.deployment import call, pause, route, wait_served
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers
from tests.gateway.target_standin import echoed, not_executed
from tools.fleet import wait_until

SLOTS = 2
PLACES = 10
CALL_SECONDS = 0.15
CALLERS = 40
# Hosts know each other and their shares.
SETTLE_SECONDS = 3.0


class SmallTarget:
    """Run calls in slots, queue a few more and reject the others."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SLOTS)
        self.in_flight = 0
        self.most_in_flight = 0
        self.arrivals = 0
        self.rejected = 0

    async def serve(self, target, request, writer):
        self.arrivals += 1
        if self.in_flight >= PLACES:
            self.rejected += 1
            writer.write(Reply(503, not_executed(request)).wire())
            return True
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        async with self.slots:
            await asyncio.sleep(CALL_SECONDS)
        self.in_flight -= 1
        target.executed.append(request)
        writer.write(Reply(200, echoed(request), b'done').wire())
        await writer.drain()
        return True


def start_hosts(deployment, *names):
    deployment.put_routes(route('/desk'))
    target = deployment.add_target('desk-1', 'desk', slots=SLOTS)
    small = SmallTarget()
    target.script = small.serve
    seeds = ''
    for name in names:
        host = deployment.make_host(name, seeds=seeds)
        text = host.settings_path.read_text()
        host.settings_path.write_text(
            f'{text}\n[overload]\ntarget_places = on\n'
        )
        host.start()
        deployment.wait_ready(name)
        address, port = host.control
        seeds = f'{address}:{port}'
    for name in names:
        wait_served(deployment, name, '/desk')
    pause(SETTLE_SECONDS)
    return small, target


def test_forty_callers_do_not_fill_a_target_with_ten_places(deployment):
    """Guards against hosts that fill a queue before a report tells of it.

    Forty callers call two hosts without a pause. The target has two slots and a
    queue of eight.
    """
    small, target = start_hosts(deployment, 'a', 'b')
    small.arrivals = small.rejected = 0
    with Callers(deployment, '/desk', CALLERS) as callers:
        pause(3.0)
    assert small.rejected <= 0.01 * small.arrivals
    answers = [answer for _, answer in callers.answers]
    assert {answer.status for answer in answers} == {200, 503}
    for answer in answers:
        if answer.status == 503:
            assert float(answer.headers['retry-after']) > 0
    # None has run twice, and none of those that were rejected has run.
    ids = target.request_ids()
    assert len(ids) == len(set(ids))
    hosts = [deployment.hosts[name] for name in ('a', 'b')]
    assert all('reason=no_place' in host.log() for host in hosts)
    metrics = call(hosts[0].metrics, '/metrics').body.decode()
    name = 'jacinthfold_gateway_requests_without_place_total'
    assert f'{name}{{service="desk"}}' in metrics


def test_places_of_a_killed_host_are_used_again(deployment):
    """Guards against places that stay with a host that is gone."""
    small, _ = start_hosts(deployment, 'a', 'b')
    with Callers(deployment, '/desk', CALLERS):
        pause(1.0)
        deployment.hosts['b'].kill()
        # What it had sent ends at the target.
        pause(CALL_SECONDS * PLACES / SLOTS)
        small.most_in_flight = 0
        wait_until(
            lambda: small.most_in_flight == PLACES,
            'the places of the killed host are used',
        )
