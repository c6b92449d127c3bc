"""Caps whose buckets hold only a few calls, asked at several hosts."""

import asyncio
from functools import partial

import pytest

from jacinthfold.catalogue.model import CallerLimits, HostRecord, RouteTable
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.organisations.model import Organisation, OrganisationTable
from jacinthfold.quota.bounds import (
    HALVES,
    PERMIT_LIFETIME_SECONDS,
    CapRate,
    Window,
)
from jacinthfold.quota.coordinator import QuotaCoordinator
from jacinthfold.quota.issuer import Issuer
from jacinthfold.quota.messages import ShareResponse, decode
from jacinthfold.quota.permits import Permit
from tests.fakes import FakeClock
from tests.gateway.test_quota import cap, window_limit
from tests.gateway.virtual_time import run

WINDOW = Window(8, 0.1, 0)
CALL_TOKENS = 200
REGION_TRIP_SECONDS = 0.055
NEAR_TRIP_SECONDS = 0.001
SETTLING_SECONDS = 5.0
HEARTBEAT_SECONDS = 0.4


class FixedIssuers:
    """Issue one half of the cap at each of two hosts."""

    def __init__(self, own, names, recovery_share, clock):
        self.own = own
        self.names = names
        self.issuers = [
            Issuer(clock.boottime(), recovery_share) for _ in range(HALVES)
        ]
        self.clock = clock

    def issuer_of(self, organisation, half):
        return self.names[half]

    def grant_share(self, name, incarnation, request):
        assert self.own == self.names[request.half]
        lease = self.issuers[request.half].grant(
            name,
            incarnation,
            request.number,
            held=request.held,
            wanted=request.wanted,
            now=self.clock.boottime(),
        )
        if lease is None:
            return None
        return ShareResponse(
            request.organisation,
            request.half,
            request.number,
            lease.share,
            lease.seconds,
        )


class Fleet:
    """Hosts of several regions with a capped organisation, in virtual time."""

    def __init__(
        self,
        hosts,
        regions,
        per_second,
    ):
        self.clock = FakeClock()
        self.granted = []
        self.results = []
        self.dead = set()
        self.lost_requests = 0
        self.records = [
            HostRecord(
                f'host-{number}',
                1,
                (f'region-{number % regions}', f'centre-{number % regions}'),
                f'address-{number}',
                (1, 2, 3),
            )
            for number in range(hosts)
        ]
        self.cap = cap(per_second)
        self.coordinators = [self._start(record) for record in self.records]

    def _start(self, record):
        table = HostTable(record, self.clock)
        table.own_state = HostState.ACTIVE
        coordinator = QuotaCoordinator(table, None, WINDOW, self.clock)
        names = [self.records[0].name, self.records[-1].name]
        share = CapRate(self.cap, WINDOW).recovery_share
        coordinator.issuers = FixedIssuers(
            record.name, names, share, self.clock
        )
        organisation = Organisation('small', [])
        organisation.cap = self.cap
        coordinator.pools.update_routes(
            RouteTable(
                1, (), {}, CallerLimits(), OrganisationTable([organisation])
            )
        )
        coordinator.outbox.send = partial(self._send, record)
        coordinator.table = table
        return coordinator

    def _send(self, sender, content, endpoint):
        for record, receiver in zip(
            self.records, self.coordinators, strict=True
        ):
            if record.address == endpoint[0]:
                break
        if self.dead & {sender.name, record.name}:
            return
        is_permit = bool(decode(content).permit_asks)
        if is_permit and self.lost_requests:
            self.lost_requests -= 1
            return
        is_near = record.region == sender.region
        delay = NEAR_TRIP_SECONDS if is_near else REGION_TRIP_SECONDS
        asyncio.get_running_loop().call_later(
            delay,
            receiver.handle_datagram,
            content,
            (sender.address, sender.relay_port),
        )

    async def _beat(self):
        while True:
            for coordinator in self.coordinators:
                for record in self.records:
                    if record.name not in self.dead:
                        coordinator.table.record_heartbeat(
                            record, HostState.ACTIVE, 1
                        )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _call(self, coordinator, asked_at):
        result = await coordinator.permits.acquire('small', CALL_TOKENS)
        is_granted = isinstance(result, Permit)
        self.results.append((asked_at, is_granted))
        if is_granted:
            self.granted.append(self.clock.boottime())

    async def _ask(self, calls_per_second, seconds):
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._beat())]
        tasks += [
            loop.create_task(one.pools.run()) for one in self.coordinators
        ]
        calls = []
        for number in range(int(seconds * calls_per_second)):
            index = number % len(self.coordinators)
            if self.records[index].name not in self.dead:
                calls.append(
                    loop.create_task(
                        self._call(
                            self.coordinators[index], self.clock.boottime()
                        )
                    )
                )
            await asyncio.sleep(1 / calls_per_second)
        await asyncio.gather(*calls)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def ask(self, calls_per_second, seconds):
        """Ask at the hosts in turn; return the results after settling."""
        began_at = self.clock.boottime()
        run(self.clock, self._ask(calls_per_second, seconds))
        return [
            is_granted
            for asked_at, is_granted in self.results
            if asked_at >= began_at + SETTLING_SECONDS
        ]

    def most_in_a_window(self):
        """Return the most tokens that ran in a window, permits used late."""
        span = WINDOW.seconds + PERMIT_LIFETIME_SECONDS
        return max(
            CALL_TOKENS * sum(start <= at < start + span for at in self.granted)
            for start in self.granted
        )


def assert_served(fleet, calls_per_second):
    results = fleet.ask(calls_per_second, 65)
    assert len(results) > 59 * calls_per_second
    assert sum(results) >= 0.99 * len(results)
    per_second = fleet.cap.per_second
    assert fleet.most_in_a_window() <= window_limit(
        per_second, per_second, WINDOW
    )


@pytest.mark.parametrize('regions', [1, 2])
@pytest.mark.parametrize('hosts', [2, 5, 24])
@pytest.mark.parametrize(
    ('per_second', 'calls_per_second'), [(600, 2.5), (400, 1.5), (400, 1.66)]
)
def test_calls_below_a_small_cap_are_served(
    per_second, calls_per_second, hosts, regions
):
    """An organisation asks for 75% to 83% of its cap at all hosts in turn.

    Its cap has no slack, and the buckets of the whole cap hold a single call.
    If the shares were divided between the pools of two regions, no pool would
    ever hold the tokens of a call.
    """
    assert_served(Fleet(hosts, regions, per_second), calls_per_second)


@pytest.mark.parametrize('regions', [1, 2])
@pytest.mark.parametrize(
    ('per_second', 'calls_per_second'), [(600, 4.5), (400, 3)]
)
def test_no_window_exceeds_a_small_cap(per_second, calls_per_second, regions):
    """An organisation asks for one and a half times its small cap.

    Larger buckets would show as a window above cap and excess.
    """
    fleet = Fleet(5, regions, per_second)
    results = fleet.ask(calls_per_second, 65)
    assert 0 < sum(results) < len(results)
    limit = window_limit(per_second, per_second, WINDOW)
    assert fleet.most_in_a_window() <= limit


def test_lost_permit_request_does_not_divide_a_small_cap():
    """A host's request to the pool is lost.

    If the host then asked a second pool, that one would take part of the cap
    for ten seconds, and neither pool would hold the tokens of a call.
    """
    fleet = Fleet(5, 2, 600)
    assert all(fleet.ask(2.5, 15))
    fleet.lost_requests = 1
    results = fleet.ask(2.5, 15)
    assert not fleet.lost_requests
    assert sum(results) >= 0.99 * len(results)
    assert sum(bool(len(one.pools)) for one in fleet.coordinators) == 1


def test_other_host_serves_a_small_cap_after_its_pool_died():
    """The host of the only pool of a small cap crashes.

    Until its share has expired and the others count it as gone, no host may
    grant a call; afterwards another host must hold the whole cap.
    """
    fleet = Fleet(5, 2, 600)
    assert all(fleet.ask(2.5, 15))
    (index,) = (
        index for index, one in enumerate(fleet.coordinators) if len(one.pools)
    )
    fleet.dead.add(fleet.records[index].name)
    results = fleet.ask(2.5, 40)
    assert len(results) >= 60
    assert sum(results) >= 0.99 * len(results)
    limit = window_limit(600, 600, WINDOW)
    assert fleet.most_in_a_window() <= limit


@pytest.mark.parametrize('per_second', [10, 50, 200])
def test_burst_of_one_call_fits_the_window(per_second):
    """A cap is so small that its window has no room for a burst of one call.

    Buckets that hold a call all the same would exceed the window, and a
    negative recovery share would hide it.
    """
    cap_rate = CapRate(cap(per_second), WINDOW)
    span_seconds = WINDOW.seconds + PERMIT_LIFETIME_SECONDS
    most = cap_rate.per_second * span_seconds + cap_rate.burst
    assert most <= window_limit(per_second, per_second, WINDOW)
    assert cap_rate.recovery_share >= 0
