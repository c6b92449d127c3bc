"""Targets that restart under the same instance name."""

import json

import pytest

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import Record
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.target import Load
from jacinthfold.platform.target_records import read_target
from jacinthfold.request.messages import RequestFacts
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue, entry

BORN = 1_790_000_000_000


def test_start_is_read_from_the_entry():
    content = json.dumps(entry(born=BORN)).encode()
    assert read_target('i', content).started_at_ms == BORN
    assert read_target('i', json.dumps(entry()).encode()).started_at_ms is None


@pytest.mark.parametrize('later', [BORN + 9000, BORN - 9000])
def test_restarted_target_begins_with_fresh_state(later):
    """Guards against state of an engine that outlives its restart.

    After a crash its load, its cached prefixes and its connections are gone:
    with the old load it would stay idle, and with the old prefixes it would be
    slower than estimated. Its clock may have gone back meanwhile.
    """
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    now = scene.clock.monotonic()
    first.own = Load(3, 50000, 50000)
    for _ in range(4):
        first.record_failure(now, is_unreachable=True)
    assert first.failure_rate.share(now) > 0.6
    assert first.is_ejected
    assert first.unreachable_until > now
    first.record_success(5.0, 0.1)
    first.cached_prefixes.record_use(['/a', '/a/b'])
    scene.targets.update_loads(
        'b', {first.record.incarnation_id: Load(2, 9000, 9000)}, now
    )
    again = scene.add('i-1', started_at_ms=later, cold_seconds=2.0)
    assert again is not first
    assert again.load(now).requests == 0
    assert (again.failure_rate.share(now), again.slowness) == (0.0, 1.0)
    assert not again.is_ejected
    assert max(again.ejected_until, again.unreachable_until) <= now
    facts = RequestFacts('id', 'api')
    facts.prefix_segments = scene.parts('a', 'b')
    assert first.cached_prefixes.cached_tokens(facts.prefixes, 500000) == 2000
    assert again.cached_prefixes.cached_tokens(facts.prefixes, 500000) == 0
    assert again.cold_until > now
    assert again.connection_key != first.connection_key
    assert scene.targets.drop_expired() == [first]


def test_load_of_the_previous_incarnation_does_not_count():
    """A request is in flight when an engine restarts, and ends later."""
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    first.own.add(Load(1, 4000, 4000))
    again = scene.add('i-1', started_at_ms=BORN + 1)
    first.own.add(Load(-1, -4000, -4000))
    assert again.own.requests == 0
    assert scene.targets.own_loads() == {}


def test_pace_of_a_cold_target_goes_on_over_its_restart():
    """A cold engine restarts within a second after its last request.

    The limit of requests per second is for the instance.
    """
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN, cold_seconds=3.0)
    scene.pace.record_sent(first, scene.clock.monotonic())
    assert first.paced_at == scene.clock.monotonic()
    again = scene.add('i-1', started_at_ms=BORN + 1, cold_seconds=3.0)
    assert again.paced_at == first.paced_at


def test_late_report_of_the_previous_incarnation_is_ignored():
    """Another host was disconnected when the engine restarted.

    Its heartbeats still report the previous incarnation.
    """
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    earlier = first.record.incarnation_id
    again = scene.add('i-1', started_at_ms=BORN + 1)
    now = scene.clock.monotonic()
    scene.targets.update_loads('b', {earlier: Load(9, 90000, 90000)}, now)
    assert again.load(now).requests == 0


def test_same_start_twice_is_the_same_incarnation():
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    assert scene.add('i-1', started_at_ms=BORN) is first
    assert scene.add('i-1', started_at_ms=None) is first


def test_two_restarts_and_a_late_record_of_the_first_incarnation():
    """A target restarts twice; another host's list still has the first."""
    made, _ = catalogue()

    def record(revision, born):
        content = json.dumps(entry(born=born)).encode()
        return Record('servers/i', revision, content)

    starts = []
    scene = Scene()
    listener = made._listeners[0]
    listener.on_target = lambda one: starts.append(one.started_at_ms)
    made.apply([record(3, BORN)], 3)
    made.apply([record(5, BORN + 1), record(7, BORN + 2)], 7)
    made.replace([record(3, BORN)], 6)
    made.apply([record(3, BORN)], 7)
    assert starts == [BORN, BORN + 1, BORN + 2]
    assert scene.targets.all() == []


def test_heartbeat_names_the_incarnation_and_tolerates_unknown_fields():
    """Hosts of two versions run together during a rollout."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=BORN)
    target.own.add(Load(1, 10, 20, 5))
    receiving_scene = Scene('b', scene.clock)
    other = receiving_scene.add('i-1', started_at_ms=BORN)
    sender, receiver = (
        _heartbeats(scene, 'a'),
        _heartbeats(receiving_scene, 'b'),
    )
    document = json.loads(sender._encoded_heartbeat())
    document['a_later_field'] = {'x': [1]}
    receiver.datagram_received(json.dumps(document).encode(), ('a', 1))
    assert other.load(scene.clock.monotonic()).urgent_tokens == 5
    again = receiving_scene.add('i-1', started_at_ms=BORN + 1)
    receiver.datagram_received(json.dumps(document).encode(), ('a', 1))
    assert again.load(scene.clock.monotonic()).requests == 0


def _heartbeats(scene, name):
    own = HostRecord(name, 1, ('north', 'n-1'), '10.0.0.1', (1, 2, 3))
    made, _ = catalogue()
    return Heartbeats(
        HostTable(own, scene.clock),
        made,
        scene.targets,
        RegionView('north', scene.clock),
        scene.placer,
        scene.clock,
    )
