"""Heartbeats between entry hosts: their size and version compatibility."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.fleet.heartbeat_message import compress_heartbeat, decode
from jacinthfold.fleet.heartbeats import MAX_DATAGRAM_BYTES, Heartbeats
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.placement.target import Load
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue
from tests.gateway.test_watchers import hash_name


def host(name):
    number = sum(name.encode()) % 250
    return HostRecord(
        name, 1, ('north', 'n-1'), f'10.1.0.{number}', (8144, 8146, 9464)
    )


class Peer:
    """Hold the heartbeats of one host and the datagrams it sends."""

    def __init__(self, name):
        self.scene = Scene(name)
        self.hosts = HostTable(host(name), self.scene.clock)
        host_catalogue, _ = catalogue()
        self.heartbeats = Heartbeats(
            self.hosts,
            host_catalogue,
            self.scene.targets,
            self.scene.regions,
            self.scene.placer,
            self.scene.clock,
        )
        self.sent = []
        self.heartbeats.send = lambda content, endpoint: self.sent.append(
            content
        )

    def next_datagrams(self):
        self.sent.clear()
        self.heartbeats.send_heartbeats()
        return self.sent


def loaded(peer):
    for number in range(20):
        target = peer.scene.add(f'i-{hash_name(number)}')
        target.own = Load(number % 5 + 1, 300 * number, 9000 * number, 0)
        target.own_prefilled_tokens = 10000.0 * number
    return peer


def test_large_heartbeat_keeps_what_limits_depend_on():
    """Guards against hosts that stop hearing each other under long prompts.

    Each of them then takes the whole limit of a target for its own.
    """
    peer = loaded(Peer('north-a'))
    peer.hosts.register(host('north-b'), 'north-b')
    now = peer.scene.clock.monotonic()
    limited = peer.scene.targets.find(f'i-{hash_name(1)}')
    limited.pushback.limit.record_answer(8.0, now, now)
    for number in range(3000):
        peer.scene.targets.recent_uses.record_use(
            f'i-{hash_name(1)}', f'{number:064x}', now
        )
    (content,) = peer.next_datagrams()
    assert len(content) < MAX_DATAGRAM_BYTES
    heard = decode(content)
    assert heard.limits
    assert heard.loads
    assert not heard.uses
    assert peer.heartbeats.reduced_count == 1


def test_heartbeat_of_a_loaded_host_compresses_to_under_half():
    """Heartbeats of loaded hosts are nearly all the traffic between the data
    centres of a region."""
    content = loaded(Peer('a')).heartbeats._encoded_heartbeat()
    assert len(content) > 900
    assert len(compress_heartbeat(content)) < 0.45 * len(content)
    assert decode(compress_heartbeat(content)) == decode(content)


def test_host_of_previous_version_gets_uncompressed_heartbeats():
    """A host of the previous version does not report support for compressed
    heartbeats, and omits all new fields."""
    new = loaded(Peer('a'))
    document = json.loads(Peer('b').heartbeats._encoded_heartbeat())
    for name in ('packs', 'read_tokens', 'uses', 'laws'):
        document.pop(name)
    new.heartbeats.datagram_received(json.dumps(document).encode(), ('b', 1))
    assert new.hosts.others()[0].state is HostState.STARTING
    assert json.loads(new.next_datagrams()[0])['host']['name'] == 'a'


def test_hosts_that_know_each_other_send_compressed():
    one, other = loaded(Peer('a')), Peer('b')
    one.heartbeats.datagram_received(
        other.heartbeats._encoded_heartbeat(), ('b', 1)
    )
    content = one.next_datagrams()[0]
    assert decode(content).host.name == 'a'
    assert not content.startswith(b'{')
    other.heartbeats.datagram_received(content, ('a', 1))
    assert other.hosts.others()[0].supports_compression


def test_first_heartbeats_go_to_the_seeds():
    peer = Peer('a')
    peer.heartbeats.seeds = (('10.9.0.1', 1), (host('a').address, 1))
    assert len(peer.next_datagrams()) == 1


@given(st.binary(max_size=400))
def test_any_bytes_are_a_heartbeat_or_a_value_error(content):
    for given_bytes in (content, b'\x01' + content):
        with pytest.raises(ValueError):
            decode(given_bytes)
