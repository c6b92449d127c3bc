"""Malformed records in the store, written by other programs."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.catalogue.follower import Follower
from jacinthfold.catalogue.host_codec import decode_host
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.gateway.node import supervised
from jacinthfold.placement.targets import TargetTable
from jacinthfold.platform.documents import PlatformReader
from tests.fakes import FakeClock
from tests.gateway.test_translation import (
    Listener,
    catalogue,
    configuration,
    entry,
    target,
)

NESTED = b'[' * 100000
MALFORMED_FIELDS = {
    'address is a number': {'address': 8},
    'address without port': {'address': '10.0.0.1'},
    'address with a name': {'address': 'store:80'},
    'port too large': {'address': '10.0.0.1:99999999'},
    'port of no digits': {'address': '10.0.0.1:\u0663'},
    'slots is text': {'slots': '4'},
    'slots is true': {'slots': True},
    'no slots at all': {'slots': 0},
    'slots beyond any target': {'slots': 10**40},
    'state is unknown': {'state': 'resting'},
    'state is a list': {'state': ['ready']},
    'service is a list': {'backend': ['b']},
    'data centre is null': {'zone': None},
    'cold time is negative': {'warmup-left-ms': -1},
    'cold time without end': {'warmup-left-ms': 1e300},
    'time left is text': {'remaining-ms': 'soon'},
    'start is half a number': {'born': 1.5},
    'start is null': {'born': None},
    'start is enormous': {'born': 10**30},
}
UNREADABLE_CONTENTS = [
    json.dumps(entry(**fields)).encode() for fields in MALFORMED_FIELDS.values()
] + [
    json.dumps(entry()).replace('"slots": 4', '"slots": 1e999').encode(),
    b'{"backend":"b","x":' + NESTED,
    b'\xff\xfe\x00',
    b'',
    b'null',
    b'{}',
]


@pytest.mark.parametrize(
    'content', UNREADABLE_CONTENTS, ids=range(len(UNREADABLE_CONTENTS))
)
def test_malformed_record_adds_no_target(content):
    """Skip a malformed record among those of the targets.

    Treated as a target, it would get requests that nothing answers. Raised as
    an unexpected error, it would end the task that follows the store, and all
    later changes would be missed.
    """
    records, notifications = catalogue()
    records.apply([Record('servers/x', 1, content), target('i', 2)], 2)
    assert notifications == [('target', 'i')]


@pytest.mark.parametrize('name', sorted(entry()))
def test_record_with_a_missing_field_adds_no_target(name):
    document = entry()
    document.pop(name)
    records, notifications = catalogue()
    records.apply([Record('servers/x', 1, json.dumps(document).encode())], 1)
    assert not notifications


def test_target_with_an_overwritten_record_is_removed():
    """Stop using a target whose record is overwritten with invalid bytes.

    Its previous record is no longer valid. The next record that the target
    writes itself restores it.
    """
    clock = FakeClock()
    records = Catalogue(PlatformReader(), decode_host, clock)
    targets = TargetTable({'z': 'north'}, clock)
    listener = Listener()
    listener.on_target = targets.put
    listener.on_target_removed = targets.remove
    records.subscribe(listener)
    records.apply([target('i', 1)], 1)
    records.apply([Record('servers/i', 2, b'spoiled')], 2)
    assert targets.find('i').last_resort_until is not None
    records.apply([target('i', 3, seq=2)], 3)
    assert targets.find('i').last_resort_until is None
    assert not targets.find('i').is_removed


def test_unreadable_configuration_leaves_the_one_in_force():
    records, notifications = catalogue()
    records.apply([configuration(7, 1)], 1)
    malformed = [
        b'{"version":8,"routes":7,"backends":[]}',
        b'{"version":8,"routes":[{"name":1}],"backends":[]}',
        b'{"version":8,"backends":[],"routes":[],"limits":7}',
        b'{"version":1e999,"backends":[],"routes":[]}',
        NESTED,
    ]
    for number, content in enumerate(malformed):
        records.apply([Record('op/config', 2 + number, content)], 2 + number)
    assert notifications == [('routes', 7)]
    assert records.routes.version == 7


def test_unreadable_host_record_adds_no_host():
    records, notifications = catalogue()
    malformed = [
        b'{"name":1}',
        b'{"name":"h","incarnation":"1","region":"n","data_centre":"n-1",'
        b'"address":"10.0.0.1","ports":[1,2,3]}',
        NESTED,
    ]
    for number, content in enumerate(malformed):
        records.apply([Record('hosts/h', 1 + number, content)], 1 + number)
    assert ('host', 'h', True) not in notifications


keys = st.sampled_from(
    ['servers/i', 'servers/', 'hosts/h', 'op/config', 'op/evacuate/z', 'other']
)
values = st.one_of(
    st.none(),
    st.binary(max_size=60),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    ).map(lambda document: json.dumps(document).encode()),
    st.dictionaries(
        st.sampled_from([*entry(), 'born', 'remaining-ms']),
        st.none() | st.integers() | st.floats() | st.text(max_size=9),
    ).map(lambda fields: json.dumps(entry(**fields)).encode()),
)


@given(st.lists(st.tuples(keys, st.integers(1, 40), values), max_size=12))
def test_any_record_at_any_key_is_tolerated(items):
    records, notifications = catalogue()
    for key, revision, content in items:
        records.apply([Record(key, revision, content)], revision)
    records.apply([target('sound', 50)], 50)
    assert notifications[-1] == ('target', 'sound')
    assert records.revision == 50


def test_failed_background_task_is_restarted():
    """Restart the task that follows the store after an unexpected error.

    If the task stayed dead, the host would look healthy but miss all changes.
    If the process exited, all responses in flight would be cut off.
    """

    class FailingStore:
        def __init__(self):
            self.calls = 0

        async def list_all(self):
            self.calls += 1
            if self.calls == 1:
                raise AttributeError('not foreseen')
            return [target('i', 4)], 4

        async def changes_since(self, _revision, _seconds):
            await asyncio.Event().wait()

    async def follow():
        records, notifications = catalogue()
        follower = Follower(FailingStore(), records, FakeClock())
        task = asyncio.get_running_loop().create_task(supervised(follower.run))
        while not notifications:
            await asyncio.sleep(0.01)
        task.cancel()
        return notifications

    notifications = asyncio.run(asyncio.wait_for(follow(), 30))
    assert notifications == [('target', 'i')]
