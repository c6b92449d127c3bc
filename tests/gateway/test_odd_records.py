"""Records and messages whose values no host or target would write."""

import asyncio
import base64
import json
import socket

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthfold.catalogue import version_record
from jacinthfold.catalogue.bounded_types import is_endpoint
from jacinthfold.catalogue.host_codec import (
    decode_host,
    document_from_host,
    host_from_document,
)
from jacinthfold.catalogue.record import UnreadableRecordError
from jacinthfold.clock import SystemClock
from jacinthfold.fleet import heartbeat_message
from jacinthfold.fleet.datagram_socket import DatagramSocket
from jacinthfold.fleet.digest_message import Digest, encode_digests
from jacinthfold.quarantine.crashes import SuspectReport
from jacinthfold.quarantine.store_writer import read_record
from jacinthfold.streams import origin_record
from tests.gateway.deployment import (
    LOOPBACK,
    call,
    pause,
    route,
    wait_served,
)
from tools.fleet import wait_until

HOSTS = (('north-a', 'north-1'), ('north-b', 'north-1'), ('south-a', 'south-1'))
SOUND = {
    'name': 'odd',
    'incarnation': 1_770_000_000_000_000_000,
    'region': 'north',
    'data_centre': 'north-1',
    'address': LOOPBACK,
    'ports': [7001, 7002, 7003],
}
ODD_FIELDS = {
    'ports above the range': {'ports': [99999, 99999, 99999]},
    'port of zero': {'ports': [7001, 0, 7003]},
    'negative ports': {'ports': [-1, -1, -1]},
    'ports of 40 digits': {'ports': [10**39, 10**39, 10**39]},
    'ports that are texts': {'ports': ['7001', '7002', '7003']},
    'address that is a name': {'address': 'store'},
    'address with a NUL': {'address': '127.0.0.1\0'},
    'address of version 6': {'address': '::1'},
    'address of many zones': {'address': '1' * 5000},
    'empty name': {'name': ''},
    'name with a line end': {'name': 'a\nlevel=error'},
    'name of 1 MB': {'name': 'x' * 1_000_000},
    'region with a NUL': {'region': 'n\0'},
    'data centre of 5 kB': {'data_centre': 'x' * 5000},
    'negative incarnation': {'incarnation': -1},
    'incarnation of 40 digits': {'incarnation': 10**39},
}


def host_content(fields):
    return json.dumps({**SOUND, **fields}).encode()


@pytest.mark.parametrize('name', ODD_FIELDS)
def test_host_with_a_value_out_of_range_is_unreadable(name):
    """Guards against an endpoint for which a datagram socket closes itself."""
    assert decode_host(host_content({})).name == 'odd'
    content = host_content(ODD_FIELDS[name])
    with pytest.raises(UnreadableRecordError):
        decode_host(content)
    heartbeat = {'state': 'active', 'revision': 1, 'store': True}
    heartbeat |= {'loads': {}, 'rooms': {}, 'host': json.loads(content)}
    with pytest.raises(ValueError, match='host|IPv4|printable'):
        host_from_document(
            heartbeat_message.decode(json.dumps(heartbeat).encode()).host
        )


@pytest.mark.parametrize(
    'crash',
    [
        ['i-1', 2, True, 10**39],
        ['i-1', 10**39, True, 1],
        ['i-1', -5, True, 1],
        ['i' * 100_000, 2, True, 1],
    ],
    ids=['time', 'weight', 'negative weight', 'target'],
)
def test_crash_with_a_value_out_of_range_is_unreadable(crash):
    """Guards against a crash that no digest of a data centre can carry."""
    with pytest.raises(UnreadableRecordError):
        read_record('ab/i-1', json.dumps(crash).encode())


def test_any_crash_that_is_read_can_be_passed_on():
    """Guards against a record at which collectors fail on every round."""
    for at_ms in (0, 2**63 - 1, 10**13, 10**39):
        try:
            report = read_record(
                'ab/i-1', json.dumps(['i-1', 2, True, at_ms]).encode()
            )
        except UnreadableRecordError:
            continue
        encode_digests(
            [Digest('r', 'd', 'c', 1, LOOPBACK, 0, 1, 0, [], suspects=[report])]
        )
        assert msgspec.json.encode(report)
        assert isinstance(report, SuspectReport)


ANY_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**39, 2**63, 2**64, 65535, 65536])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda children: st.lists(children, max_size=3),
    max_leaves=5,
)
HOST_VALUES = st.fixed_dictionaries(
    {},
    optional={
        name: ANY_VALUE | st.just(content) for name, content in SOUND.items()
    }
    | {'ports': st.lists(st.integers(-1, 70000), min_size=3, max_size=3)},
)


@settings(max_examples=300, deadline=None)
@given(HOST_VALUES)
def test_any_host_that_is_read_can_be_sent_to_and_passed_on(fields):
    """Guards against a value that decodes and fails later."""
    try:
        record = decode_host(host_content(fields))
    except UnreadableRecordError:
        return
    assert is_endpoint(record.address, record.relay_port)
    document = document_from_host(record)
    assert msgspec.msgpack.encode(document)
    assert decode_host(msgspec.json.encode(document)).name == record.name


@settings(max_examples=300, deadline=None)
@given(st.lists(ANY_VALUE, max_size=5), ANY_VALUE)
def test_any_other_record_that_is_read_can_be_passed_on(values, value):
    """Guards against a value of a crash, version or stream that fails later."""
    for decode, document in (
        (lambda content: read_record('a/i', content), values),
        (lambda content: read_record('a', content), value),
        (version_record.decode, {'service': value, 'versions': values}),
    ):
        try:
            found = decode(json.dumps(document).encode())
        except UnreadableRecordError:
            continue
        assert msgspec.msgpack.encode(found)
    try:
        notices = origin_record.decode(msgspec.msgpack.encode([values]))
    except (ValueError, OverflowError):
        return
    assert origin_record.encode(notices)


def stored(deployment, key):
    """Return the document that the store holds under a key."""
    item = deployment.store.items.get(key)
    return item and json.loads(base64.b64decode(item['value']))


@pytest.fixture
def fleet(deployment):
    """Start three hosts in two data centres that hear each other."""
    deployment.put_routes(route('/warm/', 'desk', 'idempotent'))
    deployment.add_target('d-1', 'desk')
    deployment.add_target('d-2', 'desk', 'south-1')
    seeds = ''
    for name, data_centre in HOSTS:
        host = deployment.start_host(name, data_centre, seeds=seeds)
        seeds = seeds or f'{host.control[0]}:{host.control[1]}'
    for name, _ in HOSTS:
        wait_served(deployment, name, '/warm/x')
        wait_until(lambda name=name: is_in_touch(deployment, name), 'it hears')
    return deployment


def state_of(deployment, name):
    return json.loads(call(deployment.hosts[name].control, '/state').body)


def is_in_touch(deployment, name):
    """Tell whether a host has lately heard both others, as active ones."""
    heard = {
        one['name']
        for one in state_of(deployment, name)['hosts']
        if one['silent_seconds'] < 1.9 and one['state'] == 'active'
    }
    return len(heard & {one for one, _ in HOSTS}) == len(HOSTS) - 1


@pytest.mark.parametrize(
    'name', ['ports above the range', 'negative ports', 'address with a NUL']
)
def test_hosts_stay_in_touch_beside_an_odd_record(fleet, name):
    """Guards against a record that closes the heartbeats' socket for good."""
    fleet.store.put('hosts/odd', {**SOUND, **ODD_FIELDS[name]})
    # Longer than any heartbeat of before counts.
    pause(3.0)
    assert all(is_in_touch(fleet, one) for one, _ in HOSTS)
    version = fleet.put_routes(
        route('/warm/', 'desk', 'idempotent'), route('/new/', 'desk')
    )
    wait_until(
        lambda: all(
            state_of(fleet, one)['version'] == version for one, _ in HOSTS
        ),
        'the configuration is in force',
        timeout_seconds=4,
    )
    for one, _ in HOSTS:
        assert 'event=duty_failed' not in fleet.hosts[one].log()


@pytest.mark.parametrize(
    'fields',
    [
        {'address': '127.0.0.9'},
        {'ports': [99999, 99999, 99999]},
        {'incarnation': 5},
        {'incarnation': 2**62, 'address': '127.0.0.9'},
    ],
    ids=['address', 'ports', 'older', 'newer'],
)
def test_host_whose_record_was_overwritten_stays_in_touch(fleet, fields):
    """Guards against another writer's record in the place of a host's own."""
    own = stored(fleet, 'hosts/north-a')
    fleet.store.put('hosts/north-a', {**own, **fields})
    pause(2.0)
    assert all(is_in_touch(fleet, one) for one, _ in HOSTS)
    if fields.get('incarnation', 0) < 2**62:
        wait_until(
            lambda: stored(fleet, 'hosts/north-a') == own,
            'the host writes its record again',
        )


def test_closed_socket_is_opened_again():
    """Guards against a host that neither hears nor tells anything again."""

    async def play():
        received = []
        opened = DatagramSocket(
            (LOOPBACK, free_port()),
            lambda content, _: received.append(content),
            SystemClock(),
        )
        await opened.open()
        keeping = asyncio.ensure_future(opened.keep_open())
        own = opened._endpoint
        # A failure that isn't of the operating system.
        opened._transport.sendto(b'x', (LOOPBACK, 99999))
        assert not opened.is_open
        opened.send(b'lost', own)
        while not opened.is_open:
            await asyncio.sleep(0.02)
        for endpoint in ((LOOPBACK, 99999), ('127.0.0.1\0', 1), ('x', -1)):
            opened.send(b'dropped', endpoint)
        opened.send(b'hello', own)
        while not received:
            await asyncio.sleep(0.02)
        keeping.cancel()
        opened.close()
        return received, opened.dropped_count, opened.opened_count

    assert asyncio.run(asyncio.wait_for(play(), 5)) == ([b'hello'], 3, 2)


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as found:
        found.bind((LOOPBACK, 0))
        return found.getsockname()[1]
