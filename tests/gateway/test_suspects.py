"""Which requests are refused, decided by merged crash reports."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.catalogue.metadata import MetadataError
from jacinthfold.catalogue.record import UnreadableRecordError
from jacinthfold.fleet.heartbeat_message import Heartbeat, decode, encode
from jacinthfold.fleet.table import HostState
from jacinthfold.placement.target import Load
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine import crashes
from jacinthfold.quarantine.crashes import (
    QUEUED_WEIGHT,
    RUNNING_WEIGHT,
    Crash,
    SuspectReport,
)
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quarantine.suspects import (
    EXPIRY_CHECK_SECONDS,
    MAX_CHANGED_REPORTS,
    MAX_REPEATED_REPORTS,
    MAX_SUSPECTS,
    REFUSAL_SECONDS,
    REPORT_PERIOD_SECONDS,
    Suspects,
)
from tests.fakes import FakeClock
from tests.gateway.beating import Fleet

SETTLED_SECONDS = 3.0


class HostSuspects:
    """Suspects of one host, with a clock that the test advances."""

    def __init__(self, clock=None):
        self.clock = clock or FakeClock()
        self.suspects = Suspects(self.clock)
        self.withdrawn = []
        self.suspects.on_refused = self.withdrawn.append

    def record_crash(
        self, name, incarnation_id, weight=RUNNING_WEIGHT, *, had_no_output=True
    ):
        self.suspects.record_crash(
            name,
            self.new_crash(incarnation_id, weight, had_no_output=had_no_output),
        )

    def new_crash(
        self, incarnation_id, weight=RUNNING_WEIGHT, *, had_no_output=True
    ):
        at_ms = round(self.clock.now().timestamp() * 1000)
        return Crash(incarnation_id, weight, had_no_output, at_ms)

    def record_crashes(self, name, *incarnation_ids, **fields):
        for incarnation_id in incarnation_ids:
            self.clock.advance(1.0)
            self.record_crash(name, incarnation_id, **fields)

    def is_refused(self, name):
        return self.suspects.refused_seconds(name) is not None

    def reports(self):
        return self.suspects.reports_to_send(is_near=False, is_full=True)


def test_third_crash_refuses_a_request():
    host = HostSuspects()
    host.record_crashes('q', 'i-1', 'i-2')
    assert not host.is_refused('q')
    host.record_crashes('q', 'i-3')
    assert host.is_refused('q')
    assert not host.is_refused('another')


def test_crash_observed_by_many_hosts_counts_once():
    """Three hosts observe the same crash with the same request."""
    clock = FakeClock()
    hosts = [HostSuspects(clock) for _ in range(3)]
    for host in hosts:
        host.record_crash('q', 'i-1')
    for host in hosts:
        for other in hosts:
            host.suspects.merge_reports(other.reports(), is_near=True)
    assert not any(host.is_refused('q') for host in hosts)
    assert len(hosts[0].suspects.get('q').crashes) == 1


@given(st.data())
def test_reports_merge_in_any_order_and_repeated(data):
    """Three hosts saw one crash each; reports are repeated and reordered."""
    clock = FakeClock()
    hosts = [HostSuspects(clock) for _ in range(3)]
    for number, host in enumerate(hosts):
        host.record_crash('q', f'i-{number}')
    reports = [report for host in hosts for report in host.reports()]
    for host in hosts:
        for report in data.draw(st.permutations(reports + reports)):
            host.suspects.merge_reports([report], is_near=True)
        assert host.is_refused('q')


def test_request_queued_at_three_crashes_is_not_refused():
    """It was queued at three targets that another request crashed."""
    host = HostSuspects()
    host.record_crashes(
        'queued', 'i-1', 'i-2', 'i-3', weight=QUEUED_WEIGHT, had_no_output=False
    )
    assert not host.is_refused('queued')
    host.record_crashes(
        'queued', 'i-4', 'i-5', 'i-6', weight=QUEUED_WEIGHT, had_no_output=False
    )
    assert host.is_refused('queued')


def test_popular_request_that_is_served_is_never_refused():
    """Many callers send it; it is present at each crash and served between.

    Counting crashes alone would refuse a popular request. Late reports of
    crashes before it was served change nothing.
    """
    host, other = HostSuspects(), HostSuspects()
    for number in range(12):
        host.record_crashes('popular', f'i-{number}')
        late = host.reports()
        host.clock.advance(0.5)
        host.suspects.record_served('popular')
        host.suspects.merge_reports(late, is_near=False)
        other.suspects.merge_reports([*host.reports(), *late], is_near=True)
    assert not host.is_refused('popular')
    assert not other.is_refused('popular')
    assert not host.suspects.get('popular').crashes


def test_stream_that_runs_beside_the_culprit_is_not_refused():
    """A long stream is resumed at another engine after each crash.

    The culprit follows it, so that both are present at the same three crashes.
    The stream had events each time, the culprit had just started.
    """
    host = HostSuspects()
    for incarnation_id in ('i-1', 'i-2', 'i-3'):
        host.record_crashes('culprit', incarnation_id)
        host.record_crash('stream', incarnation_id, had_no_output=False)
    assert host.is_refused('culprit')
    assert not host.is_refused('stream')
    assert host.withdrawn == ['culprit']
    host.record_crashes('stream', 'i-4', 'i-5', 'i-6', had_no_output=False)
    assert host.is_refused('stream')


def test_refusal_expires_and_one_more_crash_renews_it():
    """A new version of the engine may handle the request.

    After ten minutes it is allowed again. If it crashes one more target, it is
    refused at once and not after three.
    """
    host = HostSuspects()
    host.record_crashes('q', 'i-1', 'i-2', 'i-3')
    host.clock.advance(REFUSAL_SECONDS + 1)
    host.suspects.expire_if_due()
    assert not host.is_refused('q')
    host.record_crashes('q', 'i-4')
    assert host.is_refused('q')


def test_flood_of_other_bodies_does_not_displace_a_suspect():
    """A caller sends ten thousand bodies, each present at one crash.

    The table stays bounded, and a request with two crashes is still known at
    its third one.
    """
    host = HostSuspects()
    host.record_crashes('q', 'i-1', 'i-2')
    for number in range(10_000):
        host.record_crash(f'made-up-{number}', 'i-2')
    assert len(host.suspects) <= 2 * MAX_SUSPECTS
    host.clock.advance(EXPIRY_CHECK_SECONDS + 1)
    host.suspects.expire_if_due()
    assert len(host.suspects) <= MAX_SUSPECTS
    host.record_crashes('q', 'i-3')
    assert host.is_refused('q')


def test_reports_are_bounded_and_include_the_heaviest():
    """Three thousand different requests have each crashed three targets."""
    host = HostSuspects()
    for incarnation_id in ('i-1', 'i-2', 'i-3'):
        for number in range(3000):
            host.record_crash(f'q-{number}', f'{incarnation_id}-{number}')
    host.record_crashes('worst', 'i-1', 'i-2', 'i-3', 'i-4')
    reports = host.reports()
    assert len(reports) <= MAX_CHANGED_REPORTS + MAX_REPEATED_REPORTS
    assert reports[0].fingerprint == 'worst'
    assert len(encode(heartbeat(reports))) < 30_000
    assert host.is_refused('q-2999')


def test_suspects_are_forgotten():
    host = HostSuspects()
    host.record_crashes('once', 'i-1')
    host.record_crashes('refused', 'i-1', 'i-2', 'i-3')
    for _ in range(3):
        host.clock.advance(crashes.SINGLE_CRASH_RETENTION_SECONDS)
        host.suspects.expire_if_due()
    assert host.suspects.get('once') is None
    assert host.suspects.get('refused') is not None
    host.clock.advance(crashes.RETENTION_SECONDS)
    host.suspects.expire_if_due()
    assert not host.suspects


def heartbeat(reports=()):
    document = {
        'name': 'a',
        'incarnation': 1,
        'region': 'north',
        'data_centre': 'n-1',
        'address': '10.0.0.1',
        'ports': (1, 2, 3),
    }
    message = decode(
        msgspec.json.encode(
            {
                'host': document,
                'state': 'active',
                'revision': 1,
                'store': True,
                'loads': {},
                'rooms': {},
            }
        )
    )
    message.suspects = list(reports)
    return message


class PreviousHeartbeat(msgspec.Struct):
    """Heartbeat as decoded by a host of the previous version."""

    host: dict
    state: HostState
    revision: int


def test_hosts_of_the_previous_version_ignore_reports():
    """Hosts of both versions decode the heartbeats of both."""
    assert heartbeat().suspects == []
    content = encode(heartbeat([SuspectReport('q', 0, [])]))
    read = msgspec.json.decode(content, type=PreviousHeartbeat)
    assert read.revision == 1
    assert isinstance(decode(content), Heartbeat)


def hosts_refusing(fleet, name):
    return {
        host
        for host, one in fleet.running().items()
        if one.heartbeats.builder.suspects.refused_seconds(name) is not None
    }


def record_crash_in_fleet(fleet, host, name, incarnation_id):
    suspects = fleet.hosts[host].heartbeats.builder.suspects
    at_ms = round(fleet.clock.now().timestamp() * 1000)
    suspects.record_crash(
        name,
        Crash(incarnation_id, RUNNING_WEIGHT, had_no_output=True, at_ms=at_ms),
    )


@pytest.mark.parametrize(('count', 'lost'), [(8, 0.03), (65, 0.03), (90, 0.1)])
def test_all_hosts_of_a_region_learn_of_crashes_seen_by_three(count, lost):
    """Three hosts observe a crash each; datagrams are lost, the store is down.

    A host without the reports would still send the request. All hosts refuse it
    within the two seconds of reporting, with and without collectors.
    """
    fleet = Fleet(count)
    source = random.Random(2)
    fleet.is_lost = lambda sender, receiver: source.random() < lost
    fleet.run(SETTLED_SECONDS)
    for number, host in enumerate(('h001', 'h002', 'h005')):
        record_crash_in_fleet(fleet, host, 'q', f'i-{number}')
    fleet.run(REPORT_PERIOD_SECONDS)
    assert hosts_refusing(fleet, 'q') == set(fleet.hosts)


def test_hosts_that_observed_the_crashes_may_all_be_replaced():
    """The three hosts that observed the crashes are killed in turn.

    Neighbours repeat their reports to a host that starts later, although
    nothing has changed for long and the store is down.
    """
    fleet = Fleet(8)
    fleet.run(SETTLED_SECONDS)
    for number, host in enumerate(('h001', 'h002', 'h005')):
        record_crash_in_fleet(fleet, host, 'q', f'i-{number}')
        fleet.run(0.6)
        fleet.hosts[host].is_running = False
    fleet.run(10.0)
    fleet.add('h900', 'n-1')
    fleet.run(SETTLED_SECONDS)
    assert hosts_refusing(fleet, 'q') == set(fleet.running())


def test_frozen_host_learns_of_crashes_afterwards():
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)
    fleet.hosts['h007'].is_running = False
    for number in range(3):
        record_crash_in_fleet(fleet, 'h001', 'q', f'i-{number}')
    fleet.run(10.0)
    fleet.hosts['h007'].is_running = True
    fleet.run(SETTLED_SECONDS)
    assert 'h007' in hosts_refusing(fleet, 'q')


def test_reports_do_not_change_the_load_of_a_target():
    """Reports on requests don't change the state of targets."""
    fleet = Fleet(4)
    fleet.add_target('i-1')
    before = fleet.hosts['h000'].scene.targets.find('i-1')
    before.own = Load(1, 5, 5)
    record_crash_in_fleet(fleet, 'h001', 'q', 'i-1')
    fleet.run(1.0)
    assert before.failure_rate.failures_in_row == 0
    assert before.failure_rate.share(fleet.clock.monotonic()) == 0


class SharedStore:
    """Store that forwards each write to all hosts that reach it."""

    def __init__(self):
        self.records = {}
        self.is_down = False
        self.listeners = []

    async def grant_lease(self, _seconds):
        if self.is_down:
            raise MetadataError('down')
        return 1

    async def write_quarantine(self, contents, _lease):
        if self.is_down:
            raise MetadataError('down')
        self.records.update(contents)
        for listener in self.listeners:
            for name, content in contents.items():
                listener.apply_record(name, content)


def partitioned_hosts(store, count):
    """Return hosts that reach the store but not each other."""
    clock = FakeClock()
    hosts = [
        Quarantine(TargetTable({}, clock), store, clock) for _ in range(count)
    ]
    for host in hosts:
        host.apply_record('key', b'a key')
        store.listeners.append(host)
    return hosts


def record_crash_at(host, incarnation_id):
    at_ms = round(host._clock.now().timestamp() * 1000)
    crash = Crash(
        incarnation_id, RUNNING_WEIGHT, had_no_output=True, at_ms=at_ms
    )
    host.suspects.record_crash('q', crash)


async def write_waiting(hosts):
    """Run the writers until no record waits."""
    tasks = [asyncio.create_task(host.writer.run()) for host in hosts]
    async with asyncio.timeout(20):
        while any(host.writer.waiting_count for host in hosts):
            await asyncio.sleep(0.01)
    for task in tasks:
        task.cancel()


def refusals(hosts):
    return [host.suspects.refused_seconds('q') is not None for host in hosts]


def test_partitioned_regions_learn_from_the_store():
    """Each region reaches the store, and no region another one.

    One region observed two crashes and another one the third.
    """
    store = SharedStore()
    hosts = partitioned_hosts(store, 3)
    record_crash_at(hosts[0], 'i-1')
    record_crash_at(hosts[0], 'i-2')

    async def crash_in_both_regions():
        await write_waiting(hosts)
        assert refusals(hosts) == [False, False, False]
        record_crash_at(hosts[1], 'i-3')
        await write_waiting(hosts)

    asyncio.run(crash_in_both_regions())
    assert refusals(hosts) == [True, True, True]


def test_records_are_written_after_a_store_outage():
    store = SharedStore()
    hosts = partitioned_hosts(store, 2)
    store.is_down = True
    for incarnation_id in ('i-1', 'i-2', 'i-3'):
        record_crash_at(hosts[0], incarnation_id)

    async def restore_store():
        work = asyncio.create_task(write_waiting(hosts))
        await asyncio.sleep(0.1)
        assert store.records == {}
        store.is_down = False
        await work

    asyncio.run(restore_store())
    assert refusals(hosts) == [True, True]


def test_expired_records_are_still_known():
    """Leases may expire during a store outage, and records with them."""
    store = SharedStore()
    (host,) = partitioned_hosts(store, 1)
    for incarnation_id in ('i-1', 'i-2', 'i-3'):
        record_crash_at(host, incarnation_id)
    asyncio.run(write_waiting([host]))
    for name in store.records:
        host.apply_record(name, None)
    assert refusals([host]) == [True]


@pytest.mark.parametrize('content', [b'', b'{', b'[1]', b'"x"', b'[' * 9000])
def test_unreadable_records_change_nothing(content):
    (host,) = partitioned_hosts(SharedStore(), 1)
    for name in ('q/i-1', 'q'):
        with pytest.raises(UnreadableRecordError):
            host.apply_record(name, content)
    assert not host.suspects
