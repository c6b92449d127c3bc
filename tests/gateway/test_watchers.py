"""Store watchers of large regions, snapshots and traffic across regions."""

import asyncio
import hashlib
import json

import pytest

from jacinthfold.catalogue.host_codec import decode_host
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.fleet.heartbeats import REMOTE_FANOUT, Heartbeats
from jacinthfold.fleet.snapshots import (
    CALL_TIMEOUT_SECONDS,
    CompressedSnapshots,
    SnapshotFetcher,
    SnapshotQuery,
    decode_snapshot,
    encode_snapshot,
)
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.fleet.watchers import (
    MIN_HOSTS_FOR_WATCHERS,
    WATCHERS_PER_DATA_CENTRE,
    Watchers,
)
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.targets import TargetTable
from jacinthfold.platform.documents import PlatformReader
from tests.fakes import FakeClock
from tests.gateway.deployment import route
from tools.fleet import wait_until

NAMES = [f'north-{number}' for number in range(MIN_HOSTS_FOR_WATCHERS + 4)]


def record(name, region='north'):
    number = sum(name.encode()) % 250
    return HostRecord(
        name, 1, (region, f'{region}-1'), f'127.0.0.{number}', (1, 2, 3)
    )


def host_tables(clock, names):
    return {name: HostTable(record(name), clock) for name in names}


def exchange_heartbeats(hosts, lost=(), silent=()):
    """Record a heartbeat of each host that is not silent on all hosts."""
    for name in hosts:
        if name in silent:
            continue
        for table in hosts.values():
            table.record_heartbeat(
                record(name),
                HostState.ACTIVE,
                1,
                reaches_store=name not in lost,
            )


def watcher_names(hosts):
    return {
        name for name, table in hosts.items() if Watchers(table).own_watches()
    }


def test_in_a_small_region_all_hosts_watch():
    hosts = host_tables(FakeClock(), NAMES[:3])
    exchange_heartbeats(hosts)
    assert watcher_names(hosts) == set(hosts)


def test_in_a_large_region_few_hosts_watch():
    hosts = host_tables(FakeClock(), NAMES)
    exchange_heartbeats(hosts)
    assert len(watcher_names(hosts)) == WATCHERS_PER_DATA_CENTRE


@pytest.mark.parametrize('failure', ['silent', 'lost'])
def test_others_take_over_from_watchers_that_fail(failure):
    """Both watchers of a data centre die or lose the store.

    Without a takeover no host would receive changes, and a drained target
    would get requests until a watcher is back.
    """
    clock = FakeClock()
    hosts = host_tables(clock, NAMES)
    exchange_heartbeats(hosts)
    failed = watcher_names(hosts)
    clock.advance(2.1)
    exchange_heartbeats(hosts, **{failure: failed})
    left = {name: hosts[name] for name in NAMES if name not in failed}
    assert len(watcher_names(left)) == WATCHERS_PER_DATA_CENTRE


def test_host_that_hears_nobody_watches():
    clock = FakeClock()
    hosts = host_tables(clock, NAMES)
    exchange_heartbeats(hosts)
    clock.advance(2.1)
    assert watcher_names(hosts) == set(hosts)


class RecordingTransport:
    """Record the endpoints that datagrams are sent to."""

    def __init__(self):
        self.endpoints = []

    def is_closing(self):
        return False

    def sendto(self, _content, endpoint):
        self.endpoints.append(endpoint)


def test_few_hosts_of_another_region_receive_each_heartbeat():
    clock = FakeClock()
    table = HostTable(record('north-0'), clock)
    for number in range(30):
        table.record_heartbeat(
            record(f'south-{number}', 'south'), HostState.ACTIVE, 1
        )
    heartbeats = Heartbeats(
        table,
        Catalogue(PlatformReader(), decode_host, clock),
        TargetTable({}, clock),
        RegionView('north', clock),
        None,
        clock,
    )
    transport = RecordingTransport()
    heartbeats.socket.connection_made(transport)
    for _ in range(3):
        heartbeats.send_heartbeats()
    assert len(transport.endpoints) == REMOTE_FANOUT
    heartbeats.broadcast()
    assert len(transport.endpoints) == REMOTE_FANOUT + 30


def catalogue():
    return Catalogue(PlatformReader(), decode_host, FakeClock())


def test_snapshot_holds_changes_and_removals():
    ahead, behind = catalogue(), catalogue()
    for one in (ahead, behind):
        one.apply([Record('x/a', 1, b'1'), Record('x/b', 2, b'2')], 2)
    ahead.apply([Record('x/a', 3, None), Record('x/c', 4, b'3')], 4)
    snapshot = decode_snapshot(encode_snapshot(ahead, behind.revision))
    assert not snapshot.is_whole
    behind.apply(snapshot.records, snapshot.revision)
    assert {one.key for one in behind.records()} == {'x/b', 'x/c'}
    assert behind.revision == 4


def test_snapshot_after_a_reload_is_whole():
    """A host that reloaded the whole list does not know earlier removals.

    If it sent only changes, the other host would keep a removed target.
    """
    ahead, behind = catalogue(), catalogue()
    behind.apply([Record('x/a', 1, b'1')], 1)
    ahead.replace([Record('x/b', 5, b'2')], 6)
    snapshot = decode_snapshot(encode_snapshot(ahead, behind.revision))
    assert snapshot.is_whole
    behind.replace(snapshot.records, snapshot.revision)
    assert {one.key for one in behind.records()} == {'x/b'}


def test_malformed_revision_is_refused():
    assert SnapshotQuery('/snapshot?since=7').since == 7
    with pytest.raises(ValueError):
        SnapshotQuery('/snapshot?since=x')


def test_large_configuration_reaches_a_region_over_a_narrow_link():
    """Fourteen hosts fetch 1,300 new routes from one watcher at once.

    If the responses did not fit through its link of 5 Mbit/s within the call's
    timeout, all would fail and be retried, and the hosts would use the earlier
    routes for seconds.
    """
    known = large_catalogue()
    snapshots = CompressedSnapshots(known)
    sizes = [len(snapshots.since(0)) for _ in range(14)]
    link_bytes_per_second = 5e6 / 8
    assert sum(sizes) < CALL_TIMEOUT_SECONDS * link_bytes_per_second
    snapshot = decode_snapshot(snapshots.since(0))
    assert snapshot.is_whole
    assert snapshot.revision == known.revision
    assert {one.key for one in snapshot.records} == {'op/config'}


def test_snapshot_is_compressed_again_after_a_change():
    known = large_catalogue()
    snapshots = CompressedSnapshots(known)
    before = snapshots.since(0)
    assert snapshots.since(0) is before
    known.apply([Record('op/evacuate/n-1', 9, b'{}')], 9)
    changed = decode_snapshot(snapshots.since(1))
    assert [one.key for one in changed.records] == ['op/evacuate/n-1']


def test_hosts_of_previous_version_use_uncompressed_snapshots():
    known = large_catalogue()
    assert not SnapshotQuery('/snapshot?since=7').accepts_compressed
    assert decode_snapshot(encode_snapshot(known, 0)).revision == 1
    with pytest.raises(ValueError):
        decode_snapshot(b'x neither packed nor not')


def large_catalogue():
    """Return a catalogue with a configuration of 1,300 routes."""
    known = Catalogue(PlatformReader(), decode_host, FakeClock())
    document = {
        'version': 1,
        'routes': [
            {**route(f'/{hash_name(number)}/'), 'name': hash_name(-number)}
            for number in range(1300)
        ],
        'backends': [],
    }
    content = json.dumps(document).encode()
    known.apply([Record('op/config', 1, content)], 1)
    return known


def hash_name(number):
    """Return a name that compresses as badly as a real one."""
    return hashlib.blake2b(str(number).encode(), digest_size=5).hexdigest()


def test_change_reaches_hosts_that_don_t_watch(deployment):
    """A region of fourteen hosts loses its store watchers.

    A route is added before and another one after. Every live host must serve
    both within seconds, with few pending watches at the store.
    """
    deployment.put_routes(route('/a/'))
    deployment.add_target('i-1', 'desk')
    seed = deployment.start_host(NAMES[0])
    seeds = f'{seed.control[0]}:{seed.control[1]}'
    for name in NAMES[1:]:
        deployment.make_host(name, seeds=seeds).start()
    for name in NAMES:
        deployment.wait_ready(name)
    wait_until(
        lambda: (
            0 < deployment.store.waiting_watches <= WATCHERS_PER_DATA_CENTRE
        ),
        'few hosts watch',
    )
    deployment.put_routes(route('/a/'), route('/b/'))
    wait_served_everywhere(deployment, NAMES, '/b/x')
    for name in expected_watchers():
        deployment.hosts[name].kill()
    alive = [
        name for name in NAMES if deployment.hosts[name].process.poll() is None
    ]
    assert len(alive) == len(NAMES) - WATCHERS_PER_DATA_CENTRE
    deployment.put_routes(route('/a/'), route('/b/'), route('/c/'))
    wait_served_everywhere(deployment, alive, '/c/x')


def wait_served_everywhere(deployment, names, path):
    for name in names:
        wait_until(
            lambda name=name: deployment.ask(name, path).status == 200,
            f'{name} serves {path}',
        )


def expected_watchers():
    """Return the hosts that must watch, computed by the same rule."""
    hosts = host_tables(FakeClock(), NAMES)
    exchange_heartbeats(hosts)
    return watcher_names(hosts)


class HalfSilentClient:
    """Return a snapshot from one host; the other never answers."""

    def __init__(self, silent, content):
        self.silent = silent
        self.content = content
        self.cancelled = []

    async def get(self, endpoint, _path, _timeout_seconds):
        if endpoint != self.silent:
            return self.content
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.append(endpoint)


def test_silent_host_does_not_delay_the_pull_from_another():
    """Guards against changes that wait for a host that is cut off or frozen.

    It is asked first and answers nothing. Meanwhile a target that leaves would
    look ready here, for as long as the calls to silent hosts last.
    """
    ahead = catalogue()
    ahead.apply([Record('x/a', 1, b'1')], 1)
    silent, other = ('10.0.0.1', 1), ('10.0.0.2', 1)
    client = HalfSilentClient(silent, encode_snapshot(ahead, 0))
    behind = catalogue()
    fetcher = SnapshotFetcher(None, behind, client, FakeClock())
    pull = fetcher._catch_up([silent, other])
    asyncio.run(asyncio.wait_for(pull, 30))
    assert behind.revision == 1
    assert client.cancelled == [silent]
