"""Leases, claims and written records when the store comes back from a copy."""

import asyncio
import base64
import json
import random

import pytest

from jacinthfold.catalogue.follower import (
    RENEWAL_INTERVAL_SECONDS,
    Registration,
)
from jacinthfold.catalogue.metadata import (
    Lease,
    LeaseLostError,
    MetadataConflictError,
)
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.revision import counter_of, make_revision
from jacinthfold.fleet.table import HostTable
from jacinthfold.quarantine.fingerprint_key import FingerprintKeyCreator
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.quota.issuers import LEASE_SECONDS, SHARD_COUNT, Issuers
from tests.fakes import FakeClock
from tests.gateway.deployment import route, wait_served
from tests.gateway.test_suspects import (
    SharedStore,
    partitioned_hosts,
    record_crash_at,
)
from tests.gateway.test_watchers import record
from tests.gateway.virtual_time import run
from tools.fleet import wait_until

# Hosts that are listed again within this time are back as targets are.
LISTED_SECONDS = 2.0


def leases_by_host(store):
    found = {}
    for key, item in store.items.items():
        if key.startswith('hosts/'):
            content = json.loads(base64.b64decode(item['value']))
            found[content['name']] = item['lease']
    return found


def test_hosts_are_listed_again_under_leases_of_their_own(deployment):
    """Guards against renewing or ending a lease that is another host's now.

    The store has lost all leases and gives out their numbers again.
    """
    store = deployment.store
    store.era = 1
    deployment.add_target('i-1', 'desk')
    deployment.put_routes(route('/a/'))
    backup = store.backup()
    for name in ('a', 'b', 'c'):
        deployment.start_host(name)
    wait_until(lambda: len(leases_by_host(store)) == 3, 'hosts are listed')
    numbers = set(store.leases)
    store.restore(backup)
    # Other clients get the numbers first.
    store.leases.update(dict.fromkeys(numbers, 60000))
    wait_until(
        lambda: len(leases_by_host(store)) == 3,
        'hosts are listed again',
        RENEWAL_INTERVAL_SECONDS + LISTED_SECONDS,
    )
    leases = leases_by_host(store)
    assert len(set(leases.values())) == 3
    assert set(leases.values()) <= set(store.leases)
    assert not numbers & set(leases.values())
    # A host that leaves takes no other with it.
    deployment.hosts['a'].process.terminate()
    wait_until(
        lambda: set(leases_by_host(store)) == {'b', 'c'}, 'one host has left'
    )
    assert {*numbers, leases['b'], leases['c']} <= set(store.leases)
    wait_served(deployment, 'b', '/a/')


class LeaseStore:
    """Count the writes of hosts that register."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.write_times = []
        self.listed = set()
        self.granted = 0

    async def grant_lease(self, _seconds):
        self.write_times.append(self.clock.monotonic())
        self.granted += 1
        return Lease(self.granted, self.era)

    async def renew_lease(self, lease):
        if lease.era != self.era:
            raise LeaseLostError('gone')

    async def write_host(self, name, _content, _lease):
        self.write_times.append(self.clock.monotonic())
        self.listed.add(name)


@pytest.mark.parametrize(
    ('hosts', 'writes_per_second'), [(8, 400), (63, 1200), (300, 3200)]
)
def test_all_hosts_are_listed_again_within_the_rates_of_the_store(
    hosts, writes_per_second
):
    """Guards against hosts that all write in the moment of the return."""
    clock = FakeClock()
    store = LeaseStore(clock)
    names = [f'h-{number}' for number in range(hosts)]

    async def scenario():
        tasks = [
            asyncio.create_task(Registration(store, record(name)).run())
            for name in names
        ]
        await asyncio.sleep(3)
        store.era += 1
        store.listed.clear()
        store.write_times.clear()
        await asyncio.sleep(LISTED_SECONDS)
        for task in tasks:
            task.cancel()

    random.seed(1)
    run(clock, scenario())
    assert store.listed == set(names)
    assert len(store.write_times) == 2 * hosts
    most = max(
        sum(at <= other < at + 0.1 for other in store.write_times)
        for at in store.write_times
    )
    assert most <= writes_per_second / 10


class ClaimStore:
    """Hold the issuers' records, leases and era; check all conditions."""

    def __init__(self):
        self.era = 1
        self.counter = 0
        self.claims = {}
        self.leases = set()
        self.clock = None

    async def grant_lease(self, _seconds):
        number = len(self.leases) + 1
        self.leases.add(number)
        return Lease(number, self.era)

    async def renew_lease(self, lease):
        if lease.era != self.era or lease.number not in self.leases:
            raise LeaseLostError('gone')

    async def claim(self, name, content, *, after, lease):
        await self.renew_lease(lease)
        known = self.claims.get(name)
        is_held = known is not None and known.content is not None
        if counter_of(after) != (counter_of(known.revision) if is_held else 0):
            raise MetadataConflictError(name)
        self.counter += 1
        revision = make_revision(self.era, self.counter)
        self.claims[name] = Record(name, revision, content)
        return revision

    def restore(self, claims, counter):
        self.era += 1
        self.counter = counter
        self.leases = set()
        self.claims = {
            name: Record(
                name,
                make_revision(self.era, counter_of(one.revision)),
                one.content,
            )
            for name, one in claims.items()
        }

    def expire(self):
        """Remove the claims of the copy, whose leases nobody renews.

        The other claims that hosts know are removed with them.
        """
        for number in range(SHARD_COUNT):
            name = f'{number:02}'
            one = self.claims.get(name)
            if one is None or json.loads(one.content)['era'] < self.era:
                self.counter += 1
                revision = make_revision(self.era, self.counter)
                self.claims[name] = Record(name, revision, None)


class Pools:
    has_caps = True


class IssuerScene:
    """Hold two hosts that claim shards of one store."""

    def __init__(self):
        self.clock = FakeClock()
        self.store = ClaimStore()
        self.issuers = {}
        for name in ('north-1', 'north-2'):
            hosts = HostTable(record(name), self.clock)
            for other in ('north-1', 'north-2'):
                hosts.register(record(other), other)
            self.issuers[name] = Issuers(hosts, self.store, Pools(), self.clock)

    def step(self, *names):
        for name in names or self.issuers:
            try:
                asyncio.run(self.issuers[name]._step())
            except LeaseLostError:
                self.issuers[name]._drop_lease()
            except MetadataConflictError:
                pass

    def publish(self, *names):
        """Give hosts the records of the store."""
        for name in names or self.issuers:
            issuers = self.issuers[name]
            for shard in issuers._shards:
                found = self.store.claims.get(shard)
                if found is not None:
                    issuers.apply_record(shard, found)

    def run(self, seconds, *names):
        for _ in range(int(seconds / 0.2)):
            self.clock.advance(0.2)
            self.step(*names)
            self.publish(*names)

    def issued(self):
        return {
            name: set(
                shard
                for shard in one.issued_shards()
                if one._is_leased(self.clock.boottime())
            )
            for name, one in self.issuers.items()
        }


def test_issuers_stop_and_no_shard_has_two_after_the_return():
    """Guards against two issuers that lease the same shares of a cap.

    The copy has the first claims only. The second host has lost the records of
    its claims and doesn't notice at once.
    """
    scene = IssuerScene()
    scene.run(1.0)
    backup, counter = dict(scene.store.claims), scene.store.counter
    scene.run(8.0)
    before = scene.issued()
    assert sum(len(shards) for shards in before.values()) == 16
    scene.store.restore(backup, counter)
    # The first host notices at once, the second one when its lease has ended.
    scene.step('north-1')
    assert not scene.issued()['north-1']
    scene.publish('north-1')
    for _ in range(14):
        scene.run(0.2, 'north-1')
        issued = scene.issued()
        assert not issued['north-1'] & issued['north-2']
        assert not issued['north-1'], 'claimed before all leases have ended'
    scene.store.expire()
    scene.run(8.0)
    issued = scene.issued()
    assert not issued['north-1'] & issued['north-2']
    assert sum(len(shards) for shards in issued.values()) == 16


def test_condition_on_a_revision_of_an_earlier_era_is_not_used():
    """Guards against a claim whose condition holds for another record."""
    scene = IssuerScene()
    scene.run(8.0)
    name, known = next(
        entry
        for entry in scene.store.claims.items()
        if json.loads(entry[1].content)['host'] == 'north-2'
    )
    scene.store.restore({name: known}, 1)
    scene.run(LEASE_SECONDS + 0.4, 'north-2')
    # The record that this host knows is of the earlier era.
    issuers = scene.issuers['north-2']
    issuers.apply_record(name, known)
    assert not issuers._may_claim(name)
    copied = make_revision(scene.store.era, counter_of(known.revision))
    issuers.apply_record(name, Record(name, copied, known.content))
    assert issuers._may_claim(name)


def test_crashes_that_the_store_lost_are_written_again():
    """Guards against a request that is allowed again after the return.

    All hosts may be replaced before its next crash.
    """
    store = SharedStore()
    host = partitioned_hosts(store, 1)[0]
    for incarnation_id in ('i-1', 'i-2'):
        record_crash_at(host, incarnation_id)

    async def write():
        while host.writer.waiting_count:
            await host.writer._write_batch()

    asyncio.run(write())
    before = dict(store.records)
    assert len(before) == 2
    store.records.clear()
    host.write_again()
    asyncio.run(write())
    assert store.records == before


class KeyStore:
    """Hold the record of the key."""

    def __init__(self):
        self.contents = {}

    async def create_quarantine(self, name, content):
        if name in self.contents:
            raise MetadataConflictError(name)
        self.contents[name] = content


def test_fingerprint_key_that_the_store_lost_is_written_again():
    """Guards against hosts that count crashes under different keys."""
    store, fingerprints = KeyStore(), Fingerprints()
    creator = FingerprintKeyCreator(store, fingerprints)

    async def scenario():
        task = asyncio.create_task(creator.run())
        while not store.contents:
            await asyncio.sleep(0.01)
        first = store.contents['key']
        fingerprints.set_key(first)
        await asyncio.sleep(1)
        store.contents.clear()
        creator.write_again()
        while not store.contents:
            await asyncio.sleep(0.01)
        task.cancel()
        assert store.contents['key'] == first

    asyncio.run(asyncio.wait_for(scenario(), 10))
