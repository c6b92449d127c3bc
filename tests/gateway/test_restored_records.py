"""Records of a host when the store comes back from a copy."""

import asyncio
import json

import pytest

from jacinthfold.catalogue.freshness import REPEAT_SECONDS
from jacinthfold.catalogue.metadata import (
    LeaseLostError,
    MetadataError,
    MetadataHistoryLostError,
    OutdatedAnswerError,
)
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.restoration import (
    MISSING_SECONDS,
    OVERRULED_SECONDS,
)
from jacinthfold.catalogue.revision import make_revision
from jacinthfold.fleet.snapshots import (
    CompressedSnapshots,
    SnapshotQuery,
    decode_snapshot,
    encode_snapshot,
)
from jacinthfold.fleet.table import HostState
from jacinthfold.fleet.watchers import Watchers
from jacinthfold.platform.store import PlatformStore
from jacinthfold.transport.http_call import CallResponse
from tests.fakes import FakeClock
from tests.gateway.test_translation import catalogue, configuration, target
from tests.gateway.test_watchers import (
    NAMES,
    exchange_heartbeats,
    host_tables,
    record,
)

EVACUATION = 'op/evacuate/z'


def at(era, counter):
    return make_revision(era, counter)


class Scene:
    """Hold a catalogue that knows era 1 up to counter 30."""

    def __init__(self):
        self.clock = FakeClock()
        self.records, self.notifications = catalogue(self.clock)
        self.records.replace(
            [
                configuration(5, at(1, 10)),
                target('stays', at(1, 11)),
                target('leaves', at(1, 12)),
                target('ends', at(1, 13)),
            ],
            at(1, 13),
        )
        self.backup = self.records.records()
        self.records.apply(
            [
                configuration(9, at(1, 24)),
                target('leaves', at(1, 25), state='draining'),
                Record('servers/ends', at(1, 26), None),
                target('comes', at(1, 27)),
                Record(EVACUATION, at(1, 28), b'{}'),
            ],
            at(1, 30),
        )
        self.notifications.clear()

    def restore(self, era=2, *written):
        """Apply the list of a store that came back at counter 13."""
        copied = [
            Record(one.key, at(era, one.revision & 0xFF), one.content)
            for one in self.backup
        ]
        self.records.replace([*copied, *written], at(era, 13))

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.records.settle()

    def content(self, instance):
        for one in self.records._records.values():
            if one.key == f'servers/{instance}':
                return json.loads(one.content)
        return None


def test_list_of_a_later_era_is_applied_at_a_lower_counter():
    """Guards against dropping all lists of a store whose counter went back."""
    scene = Scene()
    scene.restore()
    assert scene.records.revision == at(2, 13)
    assert scene.records.restoration_count == 1
    scene.records.apply([configuration(12, at(2, 14))], at(2, 14))
    assert scene.records.routes.version == 12


def test_configuration_in_force_does_not_go_back_with_the_copy():
    """Guards against an older configuration in force or in a snapshot."""
    scene = Scene()
    scene.restore()
    scene.wait(MISSING_SECONDS)
    scene.wait(OVERRULED_SECONDS)
    assert scene.records.routes.version == 9
    assert ('routes', 5) not in scene.notifications
    newcomer, _ = catalogue()
    snapshot = decode_snapshot(encode_snapshot(scene.records, 0))
    newcomer.replace(snapshot.records, snapshot.revision)
    assert newcomer.routes.version == 9
    newcomer.apply([configuration(12, at(2, 14))], at(2, 14))
    assert newcomer.routes.version == 12


def test_leaving_target_does_not_serve_again_with_the_copy():
    """Guards against a copy in which a leaving target is still ready."""
    scene = Scene()
    scene.restore()
    assert ('target', 'leaves') not in scene.notifications
    assert scene.content('leaves')['state'] == 'draining'
    # Its own word after the return counts at once.
    written = target('leaves', at(2, 14), state='ready')
    scene.records.apply([written], at(2, 14))
    assert scene.content('leaves')['state'] == 'ready'
    scene.notifications.clear()
    scene.wait(OVERRULED_SECONDS)
    assert ('target', 'leaves') not in scene.notifications


def test_target_that_is_gone_does_not_return_with_the_copy():
    """Guards against requests to a target whose record the copy still has."""
    scene = Scene()
    scene.restore()
    assert ('target', 'ends') not in scene.notifications
    scene.wait(OVERRULED_SECONDS - 0.1)
    assert scene.content('ends') is None
    # A target that nobody removed again is served by the store's word.
    scene.wait(0.2)
    assert ('target', 'ends') in scene.notifications


def test_target_removed_again_after_the_return_stays_removed():
    """Guards against using an overruled record after its removal."""
    scene = Scene()
    scene.restore()
    removal = Record('servers/ends', at(2, 14), None)
    scene.records.apply([removal], at(2, 14))
    scene.wait(MISSING_SECONDS)
    scene.wait(OVERRULED_SECONDS)
    assert ('target', 'ends') not in scene.notifications


@pytest.mark.parametrize('is_repeated', [True, False])
def test_record_missing_in_the_copy_is_no_removal(is_repeated):
    """Guards against losing a target that registered after the copy."""
    scene = Scene()
    scene.restore()
    assert ('removed', 'comes') not in scene.notifications
    scene.wait(MISSING_SECONDS - 0.1)
    assert scene.content('comes') is not None
    if is_repeated:
        scene.records.apply([target('comes', at(2, 14))], at(2, 14))
    scene.wait(0.2)
    assert (scene.content('comes') is not None) is is_repeated
    assert (('removed', 'comes') in scene.notifications) is not is_repeated


def test_evacuation_missing_in_the_copy_holds_until_the_restoration_is_over():
    """Guards against requests to an evacuated data centre."""
    scene = Scene()
    scene.restore()
    scene.wait(MISSING_SECONDS)
    assert scene.records.evacuated == {'z'}
    scene.wait(OVERRULED_SECONDS - MISSING_SECONDS)
    assert not scene.records.evacuated


def test_second_return_within_the_first_restoration():
    """Guards against forgetting what the first return overruled."""
    scene = Scene()
    scene.restore()
    scene.wait(1)
    scene.restore(era=3)
    assert scene.records.revision == at(3, 13)
    assert scene.records.routes.version == 9
    assert scene.content('leaves')['state'] == 'draining'
    assert scene.content('ends') is None
    scene.wait(MISSING_SECONDS - 0.1)
    assert scene.content('comes') is not None


def test_late_changes_of_an_earlier_era_are_not_applied():
    """Guards against a watch that hung while the store came back."""
    scene = Scene()
    scene.restore()
    scene.records.apply([configuration(11, at(1, 40))], at(1, 40))
    scene.records.replace([configuration(11, at(1, 41))], at(1, 41))
    assert scene.records.routes.version == 9
    assert scene.records.revision == at(2, 13)


def pull(behind, ahead):
    """Apply a snapshot as a host fetches it from another one."""
    since = behind.revision
    query = SnapshotQuery(
        f'/snapshot?since={since & 0xFFFF}&era={behind.era}&packed=1'
    )
    content = CompressedSnapshots(ahead).since(query.start_at(ahead.revision))
    snapshot = decode_snapshot(content)
    if snapshot.is_whole:
        behind.replace(snapshot.records, snapshot.revision)
    else:
        behind.apply(snapshot.records, snapshot.revision)


def test_host_that_does_not_watch_learns_of_the_return_from_another():
    """Guards against a partial snapshot that spans the return."""
    scene, other = Scene(), Scene()
    scene.restore()
    scene.records.apply([configuration(12, at(2, 40))], at(2, 40))
    pull(other.records, scene.records)
    assert other.records.revision == at(2, 40)
    assert other.records.routes.version == 12
    assert other.content('leaves')['state'] == 'draining'
    assert other.content('ends') is None
    assert other.content('comes') is not None
    other.wait(MISSING_SECONDS)
    assert other.content('comes') is None


def test_host_of_an_earlier_era_restores_nothing_at_another():
    """Guards against a host that was cut off and has the higher counter."""
    scene, cut_off = Scene(), Scene()
    scene.restore()
    cut_off.records.apply([target('ghost', at(1, 50))], at(1, 50))
    pull(scene.records, cut_off.records)
    assert scene.content('ghost') is None
    tables = host_tables(scene.clock, ['north-1', 'north-2', 'north-3'])
    table = tables['north-1']
    table.record_heartbeat(record('north-2'), HostState.ACTIVE, at(1, 50))
    assert table.ahead_of(scene.records.revision) == []
    table.record_heartbeat(record('north-3'), HostState.ACTIVE, at(2, 14))
    ahead = table.ahead_of(scene.records.revision)
    assert [one.record.name for one in ahead] == ['north-3']


def test_removal_known_here_wins_over_a_record_that_another_host_keeps():
    """Guards against a host that missed a removal before the return."""
    scene, other = Scene(), Scene()
    other.records.apply([target('i', at(1, 31))], at(1, 31))
    scene.records.apply([target('i', at(1, 31))], at(1, 31))
    scene.records.apply([Record('servers/i', at(1, 32), None)], at(1, 32))
    other.restore()
    pull(scene.records, other.records)
    assert scene.records.era == 2
    assert scene.content('i') is None


def test_dropped_records_leave_the_cached_snapshot():
    """Guards against handing out records that nobody repeated."""
    scene = Scene()
    snapshots = CompressedSnapshots(scene.records)
    scene.restore()

    def keys():
        found = decode_snapshot(snapshots.since(0)).records
        return {one.key for one in found}

    assert 'servers/comes' in keys()
    scene.wait(MISSING_SECONDS)
    assert 'servers/comes' not in keys()


def test_hosts_of_the_previous_version_read_and_write_snapshots():
    """Guards against a rolling upgrade that stops the exchange."""
    scene = Scene()
    document = json.loads(encode_snapshot(scene.records, 0))
    assert all(len(row) == 3 for row in document['records'])
    assert document['revision'] == 30
    plain, _ = catalogue()
    plain.apply([target('i', 7)], 7)
    document = json.loads(encode_snapshot(plain, 0))
    document.pop('era')
    snapshot = decode_snapshot(json.dumps(document).encode())
    assert snapshot.revision == 7
    assert SnapshotQuery('/snapshot?since=20').start_at(at(1, 30)) == at(1, 20)


@pytest.mark.parametrize(
    ('field', 'content'),
    [
        ('era', 'x'),
        ('era', None),
        ('era', -1),
        ('era', 1 << 20),
        ('revision', 1.5),
        ('eras', [1]),
        ('eras', ['x', 'x', 'x', 'x', 'x']),
        ('records', [[1, 2]]),
        ('records', 7),
    ],
)
def test_malformed_snapshot_of_a_peer_is_refused(field, content):
    """Guards against a peer's message that stops the exchange."""
    scene = Scene()
    document = json.loads(encode_snapshot(scene.records, 0))
    document[field] = content
    with pytest.raises(ValueError):
        decode_snapshot(json.dumps(document).encode())


def test_revision_proves_nothing_until_changes_are_repeated():
    """Guards against counting a restored copy as recent knowledge.

    A key revoked just before the return is accepted again by the copy.
    """
    scene = Scene()
    freshness = scene.records.freshness
    freshness.record_revision(scene.clock.boottime(), at(1, 30))
    scene.clock.advance(3)
    scene.restore()
    freshness.record_revision(scene.clock.boottime(), at(2, 13))
    assert freshness.age_seconds == pytest.approx(3)
    scene.clock.advance(REPEAT_SECONDS + 0.1)
    freshness.record_revision(scene.clock.boottime(), at(2, 13))
    assert freshness.age_seconds == pytest.approx(0)
    # A host that hasn't noticed the return proves nothing of this era.
    scene.clock.advance(2)
    freshness.record_revision(scene.clock.boottime(), at(1, 12))
    assert freshness.age_seconds == pytest.approx(2)


def test_watchers_are_hosts_that_know_the_era():
    """Guards against waiting for changes from hosts that passed on none."""
    clock = FakeClock()
    hosts = host_tables(clock, NAMES)
    exchange_heartbeats(hosts)
    watching = {
        name: Watchers(table).own_watches() for name, table in hosts.items()
    }
    assert sum(watching.values()) == 2
    informed = [name for name, watches in watching.items() if not watches]
    for name in informed:
        watchers = Watchers(hosts[name])
        watchers.own_era = lambda: 2
        for other in informed:
            hosts[name].record_heartbeat(
                record(other), HostState.ACTIVE, at(2, 1)
            )
        watching[name] = watchers.own_watches()
    assert sum(watching[name] for name in informed) == 2


class ScriptedClient:
    """Answer the calls of a store client in turn."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def call(self, _endpoint, _method, target, _body, _seconds):
        status, era, document = self.answers.pop(0)
        headers = [] if era is None else [(b'Store-Era', str(era).encode())]
        return CallResponse(status, headers, json.dumps(document).encode())


def store_of(*answers):
    return PlatformStore(('127.0.0.1', 1), ScriptedClient(*answers))


def page(revision, *, has_more=False):
    item = {'key': 'k', 'revision': 3, 'value': '', 'lease': 0}
    return {'items': [item], 'has-more': has_more, 'store-revision': revision}


def test_watch_that_the_store_overtook_is_refused():
    """Guards against changes that were written below the known revision."""
    changes = {'events': [], 'store-revision': 60}
    store = store_of((200, 1, page(50)), (200, 2, changes))

    async def scenario():
        _, revision = await store.list_all()
        with pytest.raises(MetadataHistoryLostError):
            await store.changes_since(revision, 1)

    asyncio.run(scenario())


def test_list_that_spans_the_return_is_refused():
    """Guards against pages of two eras in one list."""
    store = store_of((200, 1, page(50, has_more=True)), (200, 2, page(20)))
    with pytest.raises(MetadataError):
        asyncio.run(store.list_all())


def test_refused_calls_tell_the_era_and_late_answers_do_not_count():
    """Guards against an answer that was on its way during the return."""
    store = store_of((200, 1, page(50)), (503, 2, {}), (200, 1, page(51)))

    async def scenario():
        await store.list_all()
        with pytest.raises(MetadataError):
            await store.current_revision()
        assert store.era == 2
        await asyncio.wait_for(store.wait_era_above(1), 1)
        with pytest.raises(OutdatedAnswerError):
            await store.list_all()

    asyncio.run(scenario())


def test_lease_of_an_earlier_era_is_neither_renewed_nor_ended():
    """Guards against a lease number that was given out again."""
    granted = {'lease': 7, 'ttl-ms': 4000}
    store = store_of((200, 1, granted), (200, 2, page(20)))

    async def scenario():
        lease = await store.grant_lease(4)
        await store.list_all()
        with pytest.raises(LeaseLostError):
            await store.renew_lease(lease)
        with pytest.raises(LeaseLostError):
            await store.end_lease(lease)

    asyncio.run(scenario())


@pytest.mark.parametrize('era', ['', '-1', '1.5', '9' * 400, 'x', '40000'])
def test_malformed_era_is_an_error_of_the_call(era):
    """Guards against a header that stops the host or sets a wrong order."""
    store = store_of((200, era, page(50)), (200, 3, page(50)))

    async def scenario():
        if era:
            with pytest.raises(MetadataError):
                await store.list_all()
        _, revision = await store.list_all()
        assert revision == at(3, 50) or not era

    asyncio.run(scenario())


def test_store_that_names_no_era_is_followed_as_before():
    """Guards against a platform that doesn't send the header."""
    store = store_of((200, None, page(50)), (200, None, page(51)))

    async def scenario():
        assert (await store.list_all())[1] == 50
        assert await store.current_revision() == 51

    asyncio.run(scenario())
