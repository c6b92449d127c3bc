"""Collectors of large regions: aggregation of heartbeats and failover."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.fleet.digest_message import decode_digests, encode_digests
from jacinthfold.fleet.digests import DigestView
from jacinthfold.fleet.heartbeat_message import DIGEST_MARK
from jacinthfold.fleet.table import HOST_TIMEOUT_SECONDS, HostState
from jacinthfold.placement.target import Load
from tests.gateway.beating import Fleet
from tests.gateway.test_placement import Scene

SETTLED_SECONDS = 3.0


class NoCollectors:
    """Disable collectors, as hosts of the previous version do."""

    def are_used(self):
        return False

    def select(self, data_centre):
        return []


def received_per_second(fleet, seconds):
    """Return the datagrams per second that each host receives."""
    before = {name: host.received_count for name, host in fleet.hosts.items()}
    fleet.run(seconds)
    return {
        name: (host.received_count - before[name]) / seconds
        for name, host in fleet.hosts.items()
    }


def requests(host, instance):
    """Return the requests at a target by a host's view of its load."""
    now = host.scene.clock.monotonic()
    return host.scene.targets.find(instance).load(now).requests


def test_received_datagrams_do_not_grow_with_region_size():
    """Idle regions of 30 and 90 hosts.

    When each host sent to all others, it received 2.5 datagrams a second from
    each, and decoding them took a quarter of a large fleet's processor time.
    """
    for count in (30, 90):
        fleet = Fleet(count)
        fleet.run(SETTLED_SECONDS)
        rates = received_per_second(fleet, 5.0)
        busy = {*fleet.collectors('n-1'), *fleet.collectors('n-2')}
        assert len(busy) == 4
        other_rates = [rate for name, rate in rates.items() if name not in busy]
        assert max(other_rates) < 12
        # A collector receives from its data centre and the other's collectors.
        assert max(rates.values()) < 5 * count / 2 + 25


def test_small_region_needs_no_collectors():
    fleet = Fleet(6)
    fleet.run(SETTLED_SECONDS)
    assert all(rate > 15 for rate in received_per_second(fleet, 2.0).values())


@pytest.mark.parametrize('seed', range(6))
def test_digest_sums_equal_the_sum_over_all_hosts(seed):
    """Hosts start and finish requests between two heartbeats.

    Digest sums include a host's own requests as of some heartbeats ago. The
    host must not count them a second time beside its current own load.
    """
    source = random.Random(seed)
    fleet = Fleet(16)
    for number in range(3):
        fleet.add_target(f'i-{number}')
    for _ in range(2):
        for host in fleet.hosts.values():
            for target in host.scene.targets.all():
                target.own = Load(source.randrange(6), 0, 0, 0)
        fleet.run(SETTLED_SECONDS)
    changed = source.choice(sorted(fleet.hosts))
    fleet.hosts[changed].scene.targets.find('i-0').own.requests += 3
    for instance in ('i-0', 'i-1', 'i-2'):
        total = sum(
            host.scene.targets.find(instance).own.requests
            for host in fleet.hosts.values()
        )
        own = requests(fleet.hosts[changed], instance)
        assert own == total


def test_load_of_a_host_that_falls_silent_counts_no_more():
    fleet = Fleet(20)
    fleet.add_target('i-0')
    fleet.run(SETTLED_SECONDS)
    silent = next(
        name
        for name in fleet.hosts
        if name not in {*fleet.collectors('n-1'), *fleet.collectors('n-2')}
    )
    fleet.hosts[silent].scene.targets.find('i-0').own = Load(7, 0, 0, 0)
    fleet.run(1.0)
    others = [one for name, one in fleet.hosts.items() if name != silent]
    assert {requests(one, 'i-0') for one in others} == {7}
    fleet.hosts[silent].is_running = False
    fleet.run(2.5)
    assert {requests(one, 'i-0') for one in others} == {0}


@pytest.mark.parametrize('count', [1, 2])
def test_hosts_outlive_their_collectors(count):
    """One or both collectors of a data centre lose power.

    If nothing reported the remaining hosts, all would be dropped after two
    seconds and callers sent to another region.
    """
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)
    dead = fleet.collectors('n-1')[:count]
    for name in dead:
        fleet.hosts[name].is_running = False
    living = set(fleet.running())
    for _ in range(60):
        fleet.run(0.1)
        for host in fleet.running().values():
            assert living <= host.live()
    for host in fleet.running().values():
        assert host.live() == living
        assert host.heartbeats._digest_view.includes_own()
    busy = {*fleet.collectors('n-1'), *fleet.collectors('n-2')}
    rates = received_per_second(fleet, 5.0)
    assert max(r for n, r in rates.items() if n in living - busy) < 12


def test_half_of_the_hosts_die_at_once():
    """Every second host is killed, collectors among them."""
    fleet = Fleet(40)
    fleet.run(SETTLED_SECONDS)
    killed = {*fleet.collectors('n-1'), *fleet.collectors('n-2')}
    killed |= set(sorted(fleet.hosts)[:18])
    for name in killed:
        fleet.hosts[name].is_running = False
    living = set(fleet.running())
    fleet.run(HOST_TIMEOUT_SECONDS + 1.5)
    for host in fleet.running().values():
        assert host.live() == living


def test_host_cut_off_from_its_collectors_stays_live():
    """Datagrams from one host to its collectors are lost, in one direction.

    Digests then omit the host. Unless it sends to all hosts itself, they would
    drop a host that serves.
    """
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)
    names = fleet.collectors('n-1')
    cut = next(
        name
        for name, host in fleet.hosts.items()
        if host.hosts.own.data_centre == 'n-1' and name not in names
    )
    fleet.hosts[cut].scene.add('i-0').own = Load(4, 0, 0, 0)
    for host in fleet.hosts.values():
        if host is not fleet.hosts[cut]:
            host.scene.add('i-0')
    fleet.is_lost = lambda one, other: one == cut and other in names
    fleet.run(6.0)
    others = [n for n in fleet.hosts if n != cut and n not in names]
    for name in others:
        assert cut in fleet.hosts[name].live()
        assert requests(fleet.hosts[name], 'i-0') == 4


def test_data_centres_reconnect_after_a_partition():
    """Two data centres of a region are partitioned for five seconds.

    Each drops the other's hosts meanwhile. After the partition neither knows a
    live collector of the other, and one must start to send anyway.
    """
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)

    def is_between_data_centres(one, other):
        homes = [fleet.hosts[n].hosts.own.data_centre for n in (one, other)]
        return homes[0] != homes[1]

    fleet.is_lost = is_between_data_centres
    fleet.run(5.0)
    for host in fleet.hosts.values():
        assert len(host.live()) == 15
    fleet.is_lost = lambda one, other: False
    fleet.run(2.5)
    for host in fleet.hosts.values():
        assert host.live() == set(fleet.hosts)


def test_added_host_and_others_discover_each_other():
    """A host is added to a region that uses collectors."""
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)
    added = fleet.add('new', 'n-1')
    fleet.run(1.5)
    assert added.live() == set(fleet.hosts)
    for host in fleet.hosts.values():
        assert 'new' in host.live()


def test_digest_of_a_resumed_collector_is_not_preferred():
    """A collector is suspended for four seconds and resumes without peers.

    Its first digest covers only itself. If others preferred it, every target
    would look idle.
    """
    fleet = Fleet(30)
    fleet.add_target('i-0')
    for host in fleet.hosts.values():
        host.scene.targets.find('i-0').own = Load(1, 0, 0, 0)
    fleet.run(SETTLED_SECONDS)
    suspended = fleet.hosts[fleet.collectors('n-1')[0]]
    suspended.is_running = False
    fleet.run(4.0)
    suspended.is_running = True
    others = [one for one in fleet.hosts.values() if one is not suspended]
    for _ in range(30):
        fleet.run(0.1)
        assert all(requests(one, 'i-0') >= 29 for one in others)
    assert all(requests(one, 'i-0') == 30 for one in others)


def test_leaving_host_is_not_made_active_again():
    """A leaving host notifies all at once; late digests don't undo that."""
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)
    name = fleet.collectors('n-1')[0]
    leaving = fleet.hosts[name]
    leaving.hosts.own_state = HostState.LEAVING
    leaving.heartbeats.broadcast()
    for _ in range(10):
        fleet.run(0.1)
        for host in fleet.hosts.values():
            assert name not in host.live()
    assert name not in fleet.collectors('n-1')


def test_host_without_digest_support_gets_heartbeats_directly():
    """One host of the region does not support digests."""
    fleet = Fleet(20)
    fleet.run(SETTLED_SECONDS)
    old = fleet.hosts['h003']
    known = old.heartbeats.builder.for_own_region

    def for_own_region(count, *, is_full):
        heartbeat = known(count, is_full=is_full)
        heartbeat.digests = False
        return heartbeat

    old.heartbeats.builder.for_own_region = for_own_region
    old.heartbeats._collectors = NoCollectors()
    fleet.run(SETTLED_SECONDS)
    collected = [host.heartbeats._is_collected for host in fleet.hosts.values()]
    assert not any(collected)
    assert old.live() == set(fleet.hosts)


def test_prefilled_tokens_count_once_after_collector_failover():
    """The first collector dies while hosts send prompts to a target.

    Both collectors count prefilled tokens, each from its own start. Adding the
    two counts would evict prefixes that the target still caches.
    """
    fleet = Fleet(20)
    fleet.add_target('i-0')
    fleet.run(SETTLED_SECONDS)
    first = fleet.collectors('n-1')[0]
    sender = next(name for name in fleet.hosts if name != first)
    observer = next(n for n in fleet.hosts if n not in {first, sender})
    target = fleet.hosts[sender].scene.targets.find('i-0')
    target.own_prefilled_tokens = 1000.0
    fleet.run(SETTLED_SECONDS)
    fleet.hosts[first].is_running = False
    fleet.run(SETTLED_SECONDS)
    target.own_prefilled_tokens = 3000.0
    fleet.run(SETTLED_SECONDS)
    kept = fleet.hosts[observer].scene.targets.find('i-0').cached_prefixes
    assert kept.prefilled_tokens == 3000.0


def test_totals_of_two_collectors_are_not_compared():
    """A long-running collector is replaced by one that started later.

    The difference between their counters is not a number of prefilled tokens.
    """
    scene = Scene()
    kept = scene.add('i-0').cached_prefixes
    old, new = ('h1', 1), ('h2', 1)
    for maker, total in ((old, 200.0), (old, 300.0), (new, 9000.0)):
        scene.targets.update_prefill_totals('n-1', maker, {'i-0': total})
    assert kept.prefilled_tokens == 100.0
    scene.targets.update_prefill_totals('n-1', new, {'i-0': 9050.0})
    assert kept.prefilled_tokens == 150.0


def test_uses_of_shared_prefixes_reach_the_whole_region():
    fleet = Fleet(20)
    fleet.add_target('i-0')
    fleet.run(SETTLED_SECONDS)
    sender = fleet.hosts['h000']
    now = fleet.clock.monotonic()
    sender.scene.targets.recent_uses.record_use('i-0', '/system/subject', now)
    fleet.run(1.5)
    for name, host in fleet.hosts.items():
        kept = host.scene.targets.find('i-0').cached_prefixes
        assert name == 'h000' or '/system/subject' in kept._uses


def test_latency_models_reach_the_whole_region():
    fleet = Fleet(20)
    sums = [float(number + 1) for number in range(9)]
    fleet.hosts['h001'].scene.targets.latency_models.of('model')._own = sums
    fleet.run(4.0)
    law = fleet.hosts['h000'].scene.targets.latency_models.of('model')
    assert [heard for _, heard in law._peer_sums.values()] == [sums]


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_rejected_as_digest(content):
    fleet = Fleet(2)
    host = fleet.hosts['h000']
    host.heartbeats.datagram_received(DIGEST_MARK + content, ('10.0.0.1', 1))
    with pytest.raises(ValueError):
        decode_digests(DIGEST_MARK + content)


def test_digest_of_another_region_changes_nothing():
    fleet = Fleet(14)
    fleet.run(SETTLED_SECONDS)
    view: DigestView = fleet.hosts['h000'].heartbeats._digest_view
    digest = view._current['n-1'].digest
    decoded = decode_digests(encode_digests([digest]))[0]
    decoded.region = 'south'
    decoded.data_centre = 's-1'
    view.apply(decoded)
    assert 's-1' not in view._current
    assert json.dumps(sorted(view._current)) == '["n-1", "n-2"]'
