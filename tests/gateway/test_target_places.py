"""Hosts keep to their shares of the places of plain targets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.fleet.table import HOST_TIMEOUT_SECONDS, HostState, HostTable
from jacinthfold.placement.concurrency_limit import ConcurrencyLimit
from jacinthfold.placement.decision import Reject, RelayTo, SendTo
from jacinthfold.placement.overload_options import OverloadOptions
from jacinthfold.placement.pace import ColdTargetPacer
from jacinthfold.placement.place_shares import (
    STARTING_PLACES,
    PlaceShares,
    useful_places,
)
from jacinthfold.placement.ranks import SETTLED_SECONDS
from jacinthfold.placement.target import Load
from jacinthfold.proxy import in_flight_load
from jacinthfold.proxy.in_flight_load import InFlightLoad
from jacinthfold.proxy.outcome import Ending, Outcome
from tests.fakes import FakeClock
from tests.gateway.place_regions_replay import RegionsReplay
from tests.gateway.place_replay import CALL_SECONDS, QUEUE, SLOTS, PlaceReplay
from tests.gateway.test_placement import Scene

PLACES = SLOTS + QUEUE
# Requirement: at most this share of arrivals is rejected as full.
MAX_FULL_SHARE = 0.01
# Requirement: at least this share of calls is served in time where the sum of
# all regions has capacity.
MIN_IN_TIME_SHARE = 0.98


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(('hosts', 'targets'), [(21, 3), (21, 1), (30, 2)])
def test_targets_reject_little_at_110_percent(hosts, targets, seed):
    """Guards against hosts that fill a queue before a report tells of it."""
    replay = PlaceReplay(seed, hosts, targets)
    replay.settle()
    replay.run(12.0, 1.1)
    assert replay.full <= MAX_FULL_SHARE * replay.arrivals


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(('hosts', 'targets'), [(21, 3), (30, 1)])
def test_targets_reject_little_when_load_steps_up(hosts, targets, seed):
    """Guards against lending by reports from before the step."""
    replay = PlaceReplay(seed, hosts, targets)
    replay.settle()
    replay.run(12.0, 0.5)
    replay.run(6.0, 2.8)
    assert replay.full <= MAX_FULL_SHARE * replay.arrivals


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(
    ('sizes', 'loads'),
    [
        ({'north': (21, 3), 'south': (21, 2)}, {'north': 1.1, 'south': 0.3}),
        ({'north': (21, 3), 'south': (21, 2)}, {'north': 1.1, 'south': 0.8}),
        ({'north': (30, 2), 'south': (30, 1)}, {'north': 1.1, 'south': 0.3}),
        ({'north': (21, 1), 'south': (21, 3)}, {'north': 2.0, 'south': 0.2}),
    ],
)
def test_calls_are_served_in_time_where_another_region_has_capacity(
    sizes, loads, seed
):
    """Guards against calls lost in a full region while another is idle."""
    replay = RegionsReplay(seed, sizes)
    replay.run(10.0, loads)
    assert replay.in_time >= MIN_IN_TIME_SHARE * replay.calls
    assert replay.full <= MAX_FULL_SHARE * replay.arrivals


def test_busy_host_uses_the_places_of_idle_ones():
    """Guards against calls that are lost though most places are unused."""
    weights = [8] + [1] * 20
    replay = PlaceReplay(1, 21, 2, weights=weights)
    replay.settle()
    replay.run(12.0, 0.6)
    replay.drain()
    assert replay.counts.in_time >= MIN_IN_TIME_SHARE * replay.counts.calls


def test_restart_of_all_hosts_at_the_peak_fills_no_target():
    """Guards against hosts that think that they are alone after a start.

    None of them has heard from another; all know the store's records.
    """
    replay = PlaceReplay(1, 30, 2)
    for scene in replay.scenes.values():
        scene.placer.place_shares.update_hosts([])
    replay.run(SETTLED_SECONDS, 2.8)
    assert replay.full == 0


@given(st.integers(1, 60), st.integers(1, 200))
def test_shares_add_up_to_all_places(hosts, places):
    """Guards against a place that two hosts use, or none."""
    clock = FakeClock()
    names = [f'h{number}' for number in range(hosts)]
    found = [shares_of(name, names, clock) for name in names]
    clock.advance(SETTLED_SECONDS)
    now = clock.monotonic()
    assert sum(one.share('i-1', places, now) for one in found) == places


def test_starting_host_keeps_to_its_share():
    clock = FakeClock()
    shares = shares_of('a', ['a', 'b'], clock)
    assert shares.share('i-1', PLACES, clock.monotonic()) == STARTING_PLACES
    clock.advance(SETTLED_SECONDS)
    assert shares.share('i-1', PLACES, clock.monotonic()) == PLACES // 2


def test_places_of_a_dead_host_are_used_again():
    """Guards against places that stay with a host that is gone."""
    clock = FakeClock()
    table = HostTable(record_of('a'), clock)
    table.own_state = HostState.ACTIVE
    shares = shares_of('a', ['a', 'b', 'c'], clock)
    clock.advance(SETTLED_SECONDS)
    heard_at = clock.monotonic()
    dies_at = heard_at + 1.0
    for _ in range(20):
        table.record_heartbeat(record_of('b'), HostState.ACTIVE, 1)
        if clock.monotonic() < dies_at:
            table.record_heartbeat(record_of('c'), HostState.ACTIVE, 1)
            heard_at = clock.monotonic()
        clock.advance(0.2)
        shares.update_hosts(one.name for one in table.serving('north'))
        is_gone = clock.monotonic() - heard_at >= HOST_TIMEOUT_SECONDS
        expected = PLACES // 2 if is_gone else PLACES // 3
        assert shares.share('i-1', PLACES, clock.monotonic()) == expected
    assert is_gone


def test_host_that_hears_nobody_keeps_to_its_share():
    """Guards against a cut-off host that takes all places.

    The datagrams to it are lost, or it was frozen; the others still use their
    shares.
    """
    clock = FakeClock()
    names = [f'h{number}' for number in range(21)]
    shares = shares_of('h0', names, clock)
    clock.advance(SETTLED_SECONDS)
    before = shares.share('i-1', PLACES, clock.monotonic())
    shares.update_hosts(['h0'])
    assert shares.share('i-1', PLACES, clock.monotonic()) == before <= 2


def test_cut_off_host_is_lent_nothing():
    """Guards against lending by reports that no longer arrive."""
    scene = place_scene(hosts=21)
    for _ in range(200):
        scene.clock.advance(0.01)
        now = scene.clock.monotonic()
        scene.placer.place_shares.record_call(scene.request(0, 'desk'), now)
    scene.placer.place_shares.update_hosts(['a'])
    assert scene_capacity(scene) <= 2


def test_busy_host_is_lent_places_while_few_are_used():
    scene = place_scene(hosts=21)
    for _ in range(200):
        scene.clock.advance(0.02)
        now = scene.clock.monotonic()
        scene.placer.place_shares.record_call(scene.request(0, 'desk'), now)
    assert scene_capacity(scene) == PLACES // 3


def test_nothing_is_lent_after_a_full_answer():
    """Guards against a host that goes on filling a full queue.

    The reports of the load that fills it arrive later than the answers.
    """
    scene = place_scene(hosts=21)
    for _ in range(200):
        scene.clock.advance(0.02)
        now = scene.clock.monotonic()
        scene.placer.place_shares.record_call(scene.request(0, 'desk'), now)
    target = scene.targets.find('i-1')
    target.concurrency_limit.record_full(PLACES, SLOTS, now, 0.3)
    assert scene_capacity(scene) <= 2


def test_call_without_place_goes_to_another_region():
    scene = place_scene(hosts=21)
    fill(scene)
    scene.receive_report(0.0)
    assert isinstance(scene.choose(scene.request(0, 'desk')), RelayTo)


def test_call_without_place_is_told_when_one_is_free():
    """Guards against callers that all retry before a place can be free.

    Each place is free again after the 30 calls in flight before it, which
    take 0.45 s in 6 slots.
    """
    scene = place_scene(hosts=21)
    fill(scene)
    scene.targets.update_loads('sum', {'i-1': Load(PLACES - 1)}, now_of(scene))
    after = []
    for _ in range(4):
        choice = scene.choose(scene.request(0, 'desk'))
        assert isinstance(choice, Reject)
        assert choice.reason == 'no_place'
        after.append(choice.after_seconds)
    own = scene.targets.find('i-1').own.requests
    drain_seconds = PLACES * CALL_SECONDS / SLOTS
    assert after[0] == pytest.approx(drain_seconds / max(own, 30 / 21), rel=0.1)
    assert after == sorted(set(after))


def test_call_that_is_placed_repeatedly_takes_one_retry_time():
    """Guards against a waiting request that delays all other retries."""
    scene = place_scene(hosts=21)
    fill(scene)
    request = scene.request(0, 'desk')
    first = scene.choose(request).after_seconds
    for _ in range(20):
        scene.choose(request)
    other = scene.choose(scene.request(0, 'desk')).after_seconds
    assert other == pytest.approx(2 * first, rel=0.01)


def test_region_without_free_place_is_not_reported():
    """Guards against calls relayed to a host that has no place for them."""
    scene = place_scene(hosts=21)
    assert scene.placer.least_wait_seconds('desk', is_urgent=False) == 0.0
    fill(scene)
    assert scene.placer.least_wait_seconds('desk', is_urgent=False) is None


def test_engines_have_no_shared_places():
    """Guards against shares of engines, whose load is not their requests."""
    scene = Scene('a', overload=OverloadOptions(target_places=True))
    scene.placer.place_shares.update_hosts(f'h{one}' for one in range(100))
    scene.clock.advance(SETTLED_SECONDS)
    scene.add('e-1').own = Load(40)
    assert scene.instance(scene.request(10)) == 'e-1'


def test_without_the_option_nothing_is_shared():
    scene = Scene('a')
    scene.pace.update_hosts([f'h{number}' for number in range(21)])
    scene.add('i-1', 'desk', slots=SLOTS).own = Load(PLACES - 10)
    request = scene.request(0, 'desk', latency_objective_seconds=0.62)
    choice = scene.choose(request)
    scene.placer.record_sent(choice, request)
    assert choice.estimate.in_flight_before is None


def test_place_is_free_when_its_call_ends():
    freed = []
    scene = place_scene(hosts=21)
    request = scene.request(0, 'desk')
    choice = scene.choose(request)
    load = InFlightLoad(choice.estimate, request)
    load.on_released = freed.append
    load.release()
    assert freed == [scene.targets.find('i-1')]


def test_full_answers_lower_the_limit_and_accepted_calls_raise_it():
    """Guards against a limit that one answer or an old report decides."""
    limit = ConcurrencyLimit('i-1')
    assert limit.places(SLOTS) == 30
    limit.record_full(3, SLOTS, 10.0, 0.3)
    lowered = limit.places(SLOTS)
    assert 20 < lowered < 30
    limit.record_full(3, SLOTS, 10.1, 0.3)
    assert limit.places(SLOTS) == lowered
    for number in range(100):
        limit.record_full(3, SLOTS, 11.0 + number, 0.3)
    assert limit.places(SLOTS) == SLOTS
    limit.record_accepted(SLOTS - 1, SLOTS, 0.3)
    for _ in range(500):
        limit.record_accepted(limit.places(SLOTS), SLOTS, 0.3)
    assert SLOTS < limit.places(SLOTS) < SLOTS + 4
    for _ in range(20000):
        limit.record_accepted(10000, SLOTS, 0.3)
    assert limit.places(SLOTS) == 16 * SLOTS


@pytest.mark.parametrize(('room', 'load'), [(18, 1.1), (12, 2.0)])
def test_limit_falls_to_what_a_smaller_target_accepts(room, load):
    """Guards against shares of places that a target does not have."""
    replay = PlaceReplay(1, 21, 1, room=room)
    replay.settle()
    replay.run(20.0, load)
    arrivals, full = replay.arrivals, replay.full
    replay.run(20.0, load)
    assert replay.full - full <= MAX_FULL_SHARE * (replay.arrivals - arrivals)


def test_only_full_answers_lower_the_limit():
    scene = place_scene(hosts=1)
    request = scene.request(0, 'desk')
    choice = scene.choose(request)
    scene.placer.record_sent(choice, request)
    for outcome in (
        Outcome(Ending.NOT_RUN, 'target_refused_503', is_pushback=True),
        Outcome(Ending.NOT_RUN, 'unreachable: refused'),
        Outcome(Ending.FAILED, 'status_503'),
    ):
        assert not in_flight_load.learn_places(choice.estimate, outcome, 9.0)
    full = Outcome(Ending.NOT_RUN, 'target_refused_503')
    assert in_flight_load.learn_places(choice.estimate, full, 9.0)
    assert scene.targets.find('i-1').concurrency_limit.places(SLOTS) < PLACES


def test_places_that_are_late_are_not_used():
    """Guards against calls that wait longer in a queue than they may take."""
    target = place_scene(hosts=1).targets.find('i-1')
    assert useful_places(target, 0.62) == 30
    assert useful_places(target, 0.3) == 20
    assert useful_places(target, 0.01) == SLOTS
    target.seconds_per_call = 10.0
    assert useful_places(target, 0.62) == SLOTS


def test_time_in_the_queue_does_not_count_as_time_per_call():
    """Guards against queues that make the targets look slower than they are."""
    scene = place_scene(hosts=1)
    request = scene.request(0, 'desk')
    choice = scene.choose(request)
    now = now_of(scene)
    in_flight = {'i-1': Load(PLACES - 1)}
    assert in_flight_load.call_seconds(choice.estimate, 0.45, now) == 0.45
    scene.targets.update_loads('sum', in_flight, now)
    scene.placer.record_sent(choice, request)
    scene.targets.update_loads('sum', {}, now)
    found = in_flight_load.call_seconds(choice.estimate, 0.45, now)
    assert found == pytest.approx(CALL_SECONDS)


def test_queue_that_is_reported_late_does_not_count_as_time_per_call():
    """Guards against a step that makes the targets look five times slower."""
    scene = place_scene(hosts=1)
    request = scene.request(0, 'desk')
    choice = scene.choose(request)
    scene.placer.record_sent(choice, request)
    in_flight = {'i-1': Load(PLACES - 1)}
    scene.targets.update_loads('sum', in_flight, now_of(scene))
    found = in_flight_load.call_seconds(choice.estimate, 0.45, now_of(scene))
    assert found == pytest.approx(CALL_SECONDS)


def place_scene(hosts):
    names = ['a', *(f'h{number}' for number in range(1, hosts))]
    scene = Scene('a', overload=OverloadOptions(target_places=True))
    scene.pace.update_hosts(names)
    scene.placer.place_shares.update_hosts(names)
    target = scene.add('i-1', 'desk', slots=SLOTS)
    target.seconds_per_call = CALL_SECONDS
    scene.clock.advance(SETTLED_SECONDS)
    return scene


def fill(scene):
    """Use all of the host's own places."""
    target = scene.targets.find('i-1')
    shares = scene.placer.place_shares
    target.own = Load(shares.share('i-1', PLACES, now_of(scene)))
    others = PLACES - target.own.requests
    scene.targets.update_loads('sum', {'i-1': Load(others)}, now_of(scene))


def scene_capacity(scene):
    """Return how many calls the host sends before it has no place."""
    target = scene.targets.find('i-1')
    while isinstance(scene.choose(scene.request(0, 'desk')), SendTo):
        target.own.requests += 1
    return target.own.requests


def now_of(scene):
    return scene.clock.monotonic()


def shares_of(name, names, clock):
    known = ColdTargetPacer(name, clock).ranks
    known.update_hosts(names)
    shares = PlaceShares(known, clock, is_enabled=True)
    shares.update_hosts(names)
    return shares


def record_of(name):
    return HostRecord(name, 1, ('north', 'n-1'), '127.0.0.1', (1, 2, 3))
