"""Targets that start again as the same instance."""

import json

import pytest

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.records import Record
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.target import Load
from jacinthfold.platform.entries import read_target
from jacinthfold.request.messages import RequestFacts
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue, entry

BORN = 1_790_000_000_000


def test_start_is_read_from_the_entry():
    content = json.dumps(entry(born=BORN)).encode()
    assert read_target('i', content).started_at_ms == BORN
    assert read_target('i', json.dumps(entry()).encode()).started_at_ms is None


@pytest.mark.parametrize('later', [BORN + 9000, BORN - 9000])
def test_target_that_starts_again_is_known_for_nothing(later):
    """An engine crashes and starts again as the same instance.

    It holds nothing of before: believed to be loaded it would stand idle,
    believed to keep a prompt it would read it unexpectedly, and a connection
    of before brings nothing. Its clock may have gone back meanwhile.
    """
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    now = scene.clock.monotonic()
    first.own = Load(3, 50000, 50000)
    first.failing_share = 0.8
    first.ejected_until = now + 4
    first.note_success(5.0, 0.1)
    first.kept.note(['/a', '/a/b'])
    scene.targets.take_report(
        'b', {first.record.incarnation_id: Load(2, 9000, 9000)}, now
    )
    again = scene.add('i-1', started_at_ms=later, cold_seconds=2.0)
    assert again is not first
    assert again.load(now).requests == 0
    assert (again.failing_share, again.slowness) == (0.0, 1.0)
    assert again.ejected_until <= now
    facts = RequestFacts('id', 'api')
    facts.parts = scene.parts('a', 'b')
    assert first.kept.tokens(facts.chain, 500000) == 2000
    assert again.kept.tokens(facts.chain, 500000) == 0
    assert again.cold_until > now
    assert again.place != first.place
    assert scene.targets.forget_gone() == [first]


def test_requests_at_the_earlier_life_don_t_weigh_on_the_next():
    """A request is out at an engine as it starts again, and ends after that."""
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    first.own.add(Load(1, 4000, 4000))
    again = scene.add('i-1', started_at_ms=BORN + 1)
    first.own.add(Load(-1, -4000, -4000))
    assert again.own.requests == 0
    assert scene.targets.own_loads() == {}


def test_pace_of_a_cold_target_goes_on_over_its_restart():
    """A cold engine starts again within a second of its last request.

    The bound on what it gets in a second is for the instance.
    """
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN, cold_seconds=3.0)
    scene.pace.note_sent(first, scene.clock.monotonic())
    assert first.paced_at == scene.clock.monotonic()
    again = scene.add('i-1', started_at_ms=BORN + 1, cold_seconds=3.0)
    assert again.paced_at == first.paced_at


def test_late_report_of_the_earlier_life_changes_nothing():
    """Another host was cut off as the engine started again.

    Its heartbeats still speak of the life before.
    """
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    earlier = first.record.incarnation_id
    again = scene.add('i-1', started_at_ms=BORN + 1)
    now = scene.clock.monotonic()
    scene.targets.take_report('b', {earlier: Load(9, 90000, 90000)}, now)
    assert again.load(now).requests == 0


def test_same_start_twice_is_the_same_life():
    scene = Scene()
    first = scene.add('i-1', started_at_ms=BORN)
    assert scene.add('i-1', started_at_ms=BORN) is first
    assert scene.add('i-1', started_at_ms=None) is first


def test_twice_in_a_row_and_a_late_record_of_the_first_life():
    """A target starts again twice; a neighbour's list still has the first."""
    made, _ = catalogue()

    def record(revision, born):
        content = json.dumps(entry(born=born)).encode()
        return Record('servers/i', revision, content)

    lives = []
    scene = Scene()
    listener = made._listeners[0]
    listener.on_target = lambda one: lives.append(one.started_at_ms)
    made.apply([record(3, BORN)], 3)
    made.apply([record(5, BORN + 1), record(7, BORN + 2)], 7)
    made.replace([record(3, BORN)], 6)
    made.apply([record(3, BORN)], 7)
    assert lives == [BORN, BORN + 1, BORN + 2]
    assert scene.targets.all() == []


def test_heartbeat_names_the_life_and_bears_fields_it_does_not_know():
    """Hosts of two versions run beside each other while one is rolled out."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=BORN)
    target.own.add(Load(1, 10, 20, 5))
    heard = Scene('b', scene.clock)
    other = heard.add('i-1', started_at_ms=BORN)
    sender, receiver = _heartbeats(scene, 'a'), _heartbeats(heard, 'b')
    document = json.loads(sender._encoded_heartbeat())
    document['a_later_field'] = {'x': [1]}
    receiver.datagram_received(json.dumps(document).encode(), ('a', 1))
    assert other.load(scene.clock.monotonic()).urgent_tokens == 5
    again = heard.add('i-1', started_at_ms=BORN + 1)
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
