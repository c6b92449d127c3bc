"""Revoked keys: the maximum age of a host's copy of the store."""

import asyncio
import random
import signal

import pytest

from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.freshness_prover import FreshnessProver
from jacinthfold.catalogue.metadata import MetadataError
from jacinthfold.fleet.directory import Directory
from jacinthfold.organisations.credentials import digest_of
from jacinthfold.organisations.model import Organisation
from jacinthfold.proxy.key_gate import KeyGate, KeyRejection
from jacinthfold.request.messages import Request, RequestFacts
from tests.fakes import FakeClock
from tests.gateway import virtual_time
from tests.gateway.beating import Fleet
from tests.gateway.deployment import (
    Connection,
    bearer,
    pause,
    route,
    tenant,
    wait_served,
)
from tests.gateway.test_organisations import KEY, OTHER, document, record
from tests.gateway.test_translation import catalogue
from tools.fleet import wait_until

BOUND_SECONDS = 5.0


def test_proof_age_counts_from_the_request():
    """The store's response took two seconds to arrive."""
    clock = FakeClock()
    freshness = Freshness(clock)
    freshness.advance(7)
    requested_at = clock.boottime()
    clock.advance(2)
    freshness.record_revision(requested_at, 7)
    assert freshness.age_seconds == 2


def test_store_that_is_ahead_proves_nothing_until_that_is_known():
    """A read returns revision 9, whose change has not arrived yet.

    That change may be the revocation of a key.
    """
    clock = FakeClock()
    freshness = Freshness(clock)
    freshness.advance(7)
    freshness.record_revision(clock.boottime(), 9)
    assert freshness.age_seconds == float('inf')
    assert freshness.is_behind
    clock.advance(1)
    freshness.advance(8)
    assert freshness.age_seconds == float('inf')
    freshness.advance(9)
    assert freshness.age_seconds == 1
    assert not freshness.is_behind


def test_older_proof_does_not_replace_a_newer_one():
    clock = FakeClock()
    freshness = Freshness(clock)
    freshness.advance(7)
    freshness.record_revision(clock.boottime(), 7)
    freshness.record_revision(clock.boottime() - 3, 7)
    assert freshness.age_seconds == 0


def fleet_exchanging_proofs(count, data_centres=('n-1', 'n-2')):
    """Return hosts that exchange proofs, none of which has one yet."""
    fleet = Fleet(count, data_centres)
    for host in fleet.hosts.values():
        host.heartbeats.freshness_exchange.is_enabled = True
        freshness_of(host).advance(1)
    fleet.run(3)
    return fleet


def freshness_of(host):
    return host.heartbeats.builder._catalogue.freshness


@pytest.mark.parametrize('count', [4, 20, 60])
def test_proof_of_one_host_reaches_its_data_centre(count):
    """One host reads the store, which rejects all other hosts.

    With and without collectors, its proof must reach each host of its data
    centre within two seconds, and its age must never shrink on the way.
    """
    fleet = fleet_exchanging_proofs(count, ('n-1',))
    reader = next(iter(fleet.hosts.values()))
    read_at = fleet.clock.boottime()
    freshness_of(reader).record_revision(read_at, 1)
    fleet.run(2)
    age_seconds = fleet.clock.boottime() - read_at
    for host in fleet.hosts.values():
        assert freshness_of(host).age_seconds < age_seconds + 2
        assert freshness_of(host).proof.as_of <= read_at


def test_proof_age_includes_delivery_delay():
    """Datagrams wait in the receive buffer of a suspended host.

    If the age counted from when they are read, an old proof would seem new and
    a key revoked meanwhile would be accepted beyond the bound.
    """
    fleet = fleet_exchanging_proofs(4, ('n-1',))
    reader, other = list(fleet.hosts.values())[:2]
    read_at = fleet.clock.boottime()
    freshness_of(reader).record_revision(read_at, 1)
    held = []
    deliver = other.heartbeats.datagram_received
    other.heartbeats.datagram_received = lambda content, addr: held.append(
        (content, addr)
    )
    fleet.run(1)
    other.heartbeats.datagram_received = deliver
    fleet.clock.advance(4)
    for content, addr in held:
        deliver(content, addr)
    assert freshness_of(other).proof.as_of <= read_at


def test_negative_age_of_a_neighbour_makes_no_proof_newer():
    """Guards against a malformed heartbeat that makes old records look new."""
    fleet = fleet_exchanging_proofs(2, ('n-1',))
    sender, receiver = fleet.hosts.values()
    exchange = sender.heartbeats.freshness_exchange
    exchange._own_report = lambda: (-60000, 1)
    fleet.run(2)
    assert 0 <= freshness_of(receiver).age_seconds < 1


def test_receipt_of_an_earlier_incarnation_is_ignored():
    """A host restarts, and a neighbour still acknowledges older messages."""
    fleet = fleet_exchanging_proofs(2, ('n-1',))
    one, two = fleet.hosts.values()
    freshness_of(one).record_revision(fleet.clock.boottime(), 1)
    fleet.run(1)
    freshness_exchange = two.heartbeats.freshness_exchange
    before = freshness_of(two).proof.as_of
    freshness_exchange._incarnation += 1
    freshness_of(one).record_revision(fleet.clock.boottime(), 1)
    fleet.run(0.1)
    assert freshness_of(two).proof.as_of == before


def gate_with_age(age_seconds):
    """Return a key gate whose records have an age, with one organisation."""
    host_catalogue, _ = catalogue()
    host_catalogue.apply([record(document(tenant('north', KEY)), 1)], 1)
    clock = host_catalogue.freshness._clock
    host_catalogue.freshness.record_revision(clock.boottime(), 1)
    clock.advance(age_seconds)
    return KeyGate(host_catalogue, BOUND_SECONDS), host_catalogue


def request_with(key):
    request = Request(b'GET', b'/', [], b'', RequestFacts('1', 'api'))
    request.facts.key_digest = digest_of(key.encode())
    request.organisation = Organisation('north', ())
    return request


@pytest.mark.parametrize(
    ('age_seconds', 'expected'),
    [
        (0, None),
        (4.5, None),
        (4.7, KeyRejection.STALE),
        (60, KeyRejection.STALE),
    ],
)
def test_request_is_not_sent_past_the_bound(age_seconds, expected):
    """A host accepts a request and is suspended before sending it."""
    gate, _ = gate_with_age(age_seconds)
    assert gate.rejection(request_with(KEY)) is expected


def test_request_whose_key_is_revoked_while_waiting_is_not_sent():
    gate, host_catalogue = gate_with_age(0)
    assert gate.rejection(request_with(KEY)) is None
    host_catalogue.apply(
        [record(document(tenant('north', OTHER), version=6), 2)], 2
    )
    assert gate.rejection(request_with(KEY)) is KeyRejection.REVOKED


def test_request_whose_key_changes_organisation_is_not_sent():
    gate, host_catalogue = gate_with_age(0)
    moved = document(tenant('north'), tenant('south', KEY), version=6)
    host_catalogue.apply([record(moved, 2)], 2)
    assert gate.rejection(request_with(KEY)) is KeyRejection.REVOKED


def test_relayed_request_needs_its_organisation_here():
    """Another host admitted it, but here the organisation has no keys left."""
    gate, host_catalogue = gate_with_age(0)
    request = request_with(KEY)
    request.is_relayed = True
    assert gate.rejection(request) is None
    host_catalogue.apply(
        [record(document(tenant('x', OTHER), version=6), 2)], 2
    )
    assert gate.rejection(request) is KeyRejection.REVOKED


def start_hosts_with_keys(deployment, *names):
    deployment.put_routes(
        route('/order/'),
        route('/open/', public=True),
        tenants=[tenant('north', KEY)],
    )
    deployment.add_target('i-1', 'desk')
    for name in names:
        deployment.start_host(name, revocation_ms=5000)
    wait_served(deployment, names[0], '/open/x')


def ask_with_key(deployment, name):
    return deployment.ask(name, '/order/x', headers=[bearer(KEY)])


def test_host_without_the_store_serves_no_key_past_the_bound(deployment):
    """The store becomes unreachable, and a key is revoked meanwhile.

    The host accepts keys until the bound. Then it answers 503 with Retry-After
    at once for all keys, still serving public routes. Once the store is back it
    denies the revoked key.
    """
    start_hosts_with_keys(deployment, 'north-a')
    assert ask_with_key(deployment, 'north-a').status == 200
    deployment.store.is_down = True
    pause(5.5)
    deployment.targets['i-1'].executed.clear()
    answer = ask_with_key(deployment, 'north-a')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert not deployment.targets['i-1'].executed
    assert deployment.ask('north-a', '/open/x').status == 200
    deployment.put_routes(route('/order/'), tenants=[tenant('north', OTHER)])
    deployment.store.is_down = False
    wait_until(
        lambda: ask_with_key(deployment, 'north-a').status == 401,
        'the key is denied',
    )
    assert len(deployment.targets['i-1'].executed) <= 1


def test_idle_store_is_queried_and_keys_stay_valid(deployment):
    """The store has no changes for longer than the bound."""
    start_hosts_with_keys(deployment, 'north-a')
    pause(6.5)
    assert ask_with_key(deployment, 'north-a').status == 200


def test_suspended_host_runs_nothing_with_a_revoked_key(deployment):
    """A key is revoked while a host is suspended and the store unreachable.

    When the host resumes after five seconds, a request with that key waits on
    a connection that was open before. The host can't know of the revocation.
    """
    start_hosts_with_keys(deployment, 'north-a')
    host = deployment.hosts['north-a']
    connection = Connection(host.callers)
    connection.send('/order/1', headers=[bearer(KEY)], request_id='before')
    assert connection.receive().status == 200
    deployment.store.is_down = True
    host.signal(signal.SIGSTOP)
    deployment.put_routes(route('/order/'), tenants=[tenant('north', OTHER)])
    pause(5.5)
    deployment.targets['i-1'].executed.clear()
    connection.send('/order/2', headers=[bearer(KEY)], request_id='after')
    host.signal(signal.SIGCONT)
    assert connection.receive().status == 503
    connection.close()
    assert not deployment.targets['i-1'].executed


def test_host_that_starts_without_the_store_serves_no_key(deployment):
    """A host starts while the store is down, with a neighbour's snapshot.

    The snapshot is older than the outage, and a key may have been revoked
    since. Without a recent proof the new host must accept no key, though it
    has all of them.
    """
    start_hosts_with_keys(deployment, 'north-a')
    first = deployment.hosts['north-a']
    deployment.store.is_down = True
    pause(5.5)
    seeds = f'{first.control[0]}:{first.control[1]}'
    deployment.start_host('north-b', seeds=seeds, revocation_ms=5000)
    deployment.targets['i-1'].executed.clear()
    assert ask_with_key(deployment, 'north-b').status == 503
    assert deployment.ask('north-b', '/open/x').status == 200
    assert len(deployment.targets['i-1'].executed) == 1


def test_directory_names_hosts_that_reach_the_store():
    fleet = Fleet(4, ('n-1',))
    fleet.run(2)
    hosts = list(fleet.hosts.values())
    hosts[1].heartbeats.builder.reaches_store = lambda: False
    fleet.run(1)
    host_catalogue, _ = catalogue(fleet.clock)
    directory = Directory(hosts[0].hosts, host_catalogue, random.Random(1))
    names = [one.hosts.own.name for one in hosts]

    def named():
        found = directory.resolve('api.example', 'north', 'n-1')
        return {one.name for one in found}

    assert named() == {names[0], names[2], names[3]}
    for host in hosts:
        host.heartbeats.builder.reaches_store = lambda: False
    directory.own_reaches_store = lambda: False
    fleet.run(1)
    assert named() == set(names)


class CountingStore:
    """Answer calls for the revision after a while, or refuse them."""

    def __init__(self, revision, *, is_away=False):
        self.revision = revision
        self.is_away = is_away
        self.calls = 0

    async def current_revision(self):
        self.calls += 1
        await asyncio.sleep(0.1)
        if self.is_away:
            raise MetadataError('away')
        return self.revision


@pytest.mark.parametrize(
    ('store', 'is_proven', 'max_calls'),
    [
        (CountingStore(7), True, 2),
        (CountingStore(8), False, 2),
        (CountingStore(7, is_away=True), False, 3),
    ],
)
def test_many_that_wait_for_a_proof_share_few_calls(
    store, is_proven, max_calls
):
    """Guards against a call to the store for each stream after a crash."""
    clock = FakeClock()
    freshness = Freshness(clock)
    freshness.advance(7)
    prover = FreshnessProver(store, freshness, clock)

    async def prove_many():
        as_of = clock.boottime()
        return await asyncio.gather(*(prover.prove(as_of) for _ in range(50)))

    assert set(virtual_time.run(clock, prove_many())) == {is_proven}
    assert 1 <= store.calls <= max_calls


def test_call_sent_before_the_moment_proves_nothing():
    """Guards against an answer of the store that is older than the stream."""
    clock = FakeClock()
    freshness = Freshness(clock)
    freshness.advance(7)
    store = CountingStore(7)
    prover = FreshnessProver(store, freshness, clock)

    async def prove_twice():
        first = asyncio.ensure_future(prover.prove(clock.boottime()))
        await asyncio.sleep(0.05)
        as_of = clock.boottime()
        assert await prover.prove(as_of)
        assert freshness.proof.as_of >= as_of
        return await first

    assert virtual_time.run(clock, prove_twice())
    assert store.calls == 2
