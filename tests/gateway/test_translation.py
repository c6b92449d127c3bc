"""Decoding of the platform's records and headers, also malformed ones."""

import json
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.catalogue.host_codec import decode_host
from jacinthfold.catalogue.model import HostRecord, RetryPolicy
from jacinthfold.catalogue.record import Record, RecordKind
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.config import SettingsError
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.gateway import settings
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.targets import TargetTable
from jacinthfold.platform.dialect import MAX_BACKOFF_SECONDS, PlatformDialect
from jacinthfold.platform.documents import PlatformReader
from jacinthfold.proxy.events import EventSplitter
from jacinthfold.request.messages import Request, without_framing
from tests.fakes import FakeClock
from tests.gateway.deployment import route, service

TEMPLATE = pathlib.Path('deploy/gateway.ini')


class Listener:
    """Record the notifications of a catalogue."""

    def __init__(self):
        self.notifications = []

    def on_routes(self, table):
        self.notifications.append(('routes', table.version))

    def on_target(self, record):
        self.notifications.append(('target', record.instance))

    def on_target_removed(self, instance):
        self.notifications.append(('removed', instance))

    def on_evacuation(self, data_centre, is_evacuated):
        self.notifications.append(('evacuation', data_centre, is_evacuated))

    def on_host(self, record, name):
        self.notifications.append(('host', name, record is not None))

    def on_quarantine(self, name, content):
        self.notifications.append(('quarantine', name, content))

    def on_issuer(self, name, record):
        self.notifications.append(('issuer', name, record.content))

    def on_restored(self):
        self.notifications.append(('restored',))


def catalogue(clock=None):
    records = Catalogue(PlatformReader(), decode_host, clock or FakeClock())
    listener = Listener()
    records.subscribe(listener)
    return records, listener.notifications


def target(instance, revision, **fields):
    return Record(
        f'servers/{instance}', revision, json.dumps(entry(**fields)).encode()
    )


def entry(**fields):
    """Return the fields of a target's record."""
    return {
        'backend': 'b',
        'address': '10.0.0.1:8',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'seq': 1,
        'warmup-left-ms': 0,
        **fields,
    }


def configuration(version, revision):
    document = {
        'version': version,
        'routes': [route('/a/')],
        'backends': [service('desk')],
        'limits': {},
    }
    return Record('op/config', revision, json.dumps(document).encode())


def test_route_type_determines_the_retry_policy():
    kinds = {
        'plain': route('/a/'),
        'whole': route('/b/', kind='idempotent'),
        'stream': route('/c/', kind='stream'),
        'resumed': route('/d/', kind='stream', resumable=True),
    }
    document = {
        'version': 1,
        'routes': list(kinds.values()),
        'backends': [service('desk')],
    }
    table = PlatformReader().read_routes(json.dumps(document).encode())
    assert [one.retry_policy for one in table.routes] == [
        RetryPolicy.NEVER,
        RetryPolicy.WHOLE,
        RetryPolicy.NEVER,
        RetryPolicy.RESUMED,
    ]


def test_split_route_sends_a_request_to_the_same_service_everywhere():
    split = [
        {'backend': 'a', 'weight': 90},
        {'backend': 'b', 'weight': 10},
    ]
    entry = route('/a/')
    entry.pop('backend')
    entry['weighted-backends'] = split
    document = {'version': 1, 'routes': [entry], 'backends': []}
    table = PlatformReader().read_routes(json.dumps(document).encode())
    chosen = [table.routes[0].service_for(f'id-{n}') for n in range(2000)]
    again = [table.routes[0].service_for(f'id-{n}') for n in range(2000)]
    assert chosen == again
    assert 0.07 < chosen.count('b') / 2000 < 0.13


def test_late_change_does_not_undo_a_newer_one():
    records, notifications = catalogue()
    records.apply([target('i', 5)], 5)
    records.apply([target('i', 3, state='draining')], 3)
    assert notifications == [('target', 'i')]
    assert records.revision == 5


def test_list_removes_missing_targets():
    records, notifications = catalogue()
    records.apply([target('i', 2), target('k', 3)], 3)
    records.replace([target('k', 3)], 9)
    assert notifications[-1] == ('removed', 'i')


def test_list_that_is_older_than_what_is_known_is_ignored():
    records, notifications = catalogue()
    records.apply([target('i', 8)], 8)
    records.replace([], 5)
    assert notifications == [('target', 'i')]


def test_older_version_at_a_later_revision_is_ignored():
    records, notifications = catalogue()
    records.apply([configuration(7, 1)], 1)
    records.apply([configuration(4, 2)], 2)
    assert notifications == [('routes', 7)]


def test_unreadable_record_does_not_stop_the_others():
    records, notifications = catalogue()
    records.apply([Record('servers/x', 1, b'{not json'), target('i', 2)], 2)
    assert notifications == [('target', 'i')]


def test_keys_determine_record_kinds():
    reader = PlatformReader()
    assert reader.kind_of('servers/i')[0] is RecordKind.TARGET
    assert reader.kind_of('op/evacuate/z') == (RecordKind.EVACUATION, 'z')
    assert reader.kind_of('something/else')[0] is RecordKind.OTHER


def test_request_facts_are_read_from_headers():
    facts = PlatformDialect().read_request(
        [
            (b'Host', b'API.example:8080'),
            (b'attempt-id', b'x1'),
            (b'Request-Deadline', b'1500'),
            (b'Token-Usage', b'1460,80'),
            (b'Prompt-Prefix', b'5c:800,91:410, e4:250'),
            (b'Last-Event-Id', b'12'),
        ]
    )
    assert facts.host_name == 'api.example'
    assert facts.request_id == 'x1'
    assert facts.caller_timeout_seconds == 1.5
    assert (facts.prompt_tokens, facts.output_tokens) == (1460, 80)
    assert [part.tokens for part in facts.prefix_segments] == [800, 410, 250]
    assert facts.last_event_id == '12'


def test_target_gets_what_is_left_of_the_deadline():
    dialect = PlatformDialect()
    headers = [(b'Host', b'a'), (b'Request-Deadline', b'9000'), (b'X', b'y')]
    request = Request(b'GET', b'/', headers, b'', dialect.read_request(headers))
    sent_headers = dict(
        dialect.target_headers(
            request, instance='i-1', remaining_seconds=1.234, last_event_id=''
        )
    )
    assert sent_headers[b'Request-Deadline'] == b'1234'
    assert sent_headers[b'Target-Instance'] == b'i-1'
    assert sent_headers[b'X'] == b'y'


def test_headers_about_the_connection_are_not_passed_on():
    forwarded = without_framing(
        [
            (b'Connection', b'close, X-Mine'),
            (b'X-Mine', b'1'),
            (b'Transfer-Encoding', b'chunked'),
            (b'X-Other', b'2'),
        ]
    )
    assert forwarded == [(b'X-Other', b'2')]


@given(st.integers(1, 40), st.lists(st.integers(1, 30), max_size=40))
def test_events_stay_whole_for_any_chunking(total, sizes):
    wire = b''.join(b'id: %d\ndata: x\n\n' % n for n in range(1, total + 1))
    splitter = EventSplitter()
    passed, rest = b'', wire
    for size in sizes:
        passed += splitter.feed(rest[:size])
        rest = rest[size:]
        assert passed == b'' or passed.endswith(b'\n\n')
    assert passed + splitter.feed(rest) == wire


@given(st.integers(0, 20), st.integers(0, 20))
def test_events_that_the_caller_has_are_left_out(first, last_seen):
    splitter = EventSplitter(str(last_seen))
    wire = b''.join(b'id: %d\ndata: x\n\n' % n for n in range(first, 21))
    numbers = [
        int(line[4:])
        for line in splitter.feed(wire).splitlines()
        if line.startswith(b'id: ')
    ]
    assert numbers == [n for n in range(first, 21) if n > last_seen]


def heartbeats(name, clock):
    own = HostRecord(name, 7, ('north', 'n-1'), '127.0.0.1', (1, 2, 3))
    hosts = HostTable(own, clock)
    sender = Heartbeats(
        hosts,
        Catalogue(PlatformReader(), decode_host, clock),
        TargetTable({}, clock),
        RegionView('north', clock),
        None,
        clock,
    )
    return sender, hosts


@given(st.binary(max_size=200))
def test_any_datagram_is_tolerated(content):
    receiver, hosts = heartbeats('a', FakeClock())
    receiver.datagram_received(content, ('127.0.0.1', 1))
    assert not hosts.others()


def test_leaving_host_is_not_active_again_by_a_late_datagram():
    clock = FakeClock()
    _, hosts = heartbeats('a', clock)
    other = HostRecord('b', 1, ('north', 'n-1'), '127.0.0.2', (1, 2, 3))
    hosts.record_heartbeat(other, HostState.ACTIVE, 1)
    hosts.record_heartbeat(other, HostState.LEAVING, 1)
    hosts.record_heartbeat(other, HostState.ACTIVE, 1)
    assert not hosts.serving('north')
    again = HostRecord('b', 2, ('north', 'n-1'), '127.0.0.2', (1, 2, 3))
    hosts.record_heartbeat(again, HostState.ACTIVE, 1)
    assert [one.name for one in hosts.serving('north')] == ['b']


def test_silent_host_is_not_named():
    clock = FakeClock()
    _, hosts = heartbeats('a', clock)
    other = HostRecord('b', 1, ('north', 'n-1'), '127.0.0.2', (1, 2, 3))
    hosts.record_heartbeat(other, HostState.ACTIVE, 1)
    clock.advance(2.1)
    assert not hosts.serving('north')


def test_template_has_every_setting_that_is_needed():
    text = TEMPLATE.read_text()
    for section, options in settings.GATEWAY_OPTIONS.items():
        for key, option in options.items():
            if option.default is None:
                assert f'\n{key} = ' in text, (section, key)


@pytest.mark.parametrize(
    ('line', 'fault'),
    [
        ('callers = nowhere', 'is not an IP number and a port'),
        ('callers = 1.2.3.4:99999', 'is not an IP number and a port'),
    ],
)
def test_faulty_setting_is_named(line, fault):
    with pytest.raises(SettingsError, match=fault):
        settings.parse(f'[listen]\n{line}\n')


LIMITS = st.lists(st.binary(max_size=30).filter(lambda one: b'\n' not in one))


@pytest.mark.parametrize(
    ('contents', 'per_second'),
    [
        ([b'1.2'], 1.2),
        ([b' 40 '], 40.0),
        ([b'1.2000000000000002'], 1.2000000000000002),
        ([b'2', b'1.5'], 1.5),
        ([b'nan', b'3'], 3.0),
        ([b'0'], None),
        ([b'-1'], None),
        ([b'inf'], None),
        ([b'1e3'], None),
        ([b'9' * 400], None),
        ([b''], None),
        ([], None),
    ],
)
def test_limit_is_a_positive_number_or_unreadable(contents, per_second):
    headers = [(b'Server-Limit', content) for content in contents]
    facts = PlatformDialect().read_response(200, headers)
    assert facts.limit_per_second == per_second
    is_unreadable = per_second is None and bool(contents)
    assert bool(facts.invalid_headers) >= is_unreadable


@given(LIMITS)
def test_any_limit_is_parsed_or_reported(contents):
    headers = [(b'server-limit', content) for content in contents]
    facts = PlatformDialect().read_response(200, headers)
    assert facts.limit_per_second is not None or (
        bool(facts.invalid_headers) == bool(contents)
    )


@pytest.mark.parametrize(
    ('contents', 'is_leaving', 'is_unreadable'),
    [
        ([b'1'], True, False),
        ([b' 1 '], True, False),
        ([b'0', b'1'], True, True),
        ([b'0'], False, True),
        ([b'yes'], False, True),
        ([b'1' * 400], False, True),
        ([], False, False),
    ],
)
def test_only_1_means_leaving(contents, is_leaving, is_unreadable):
    headers = [(b'Server-Leaving', content) for content in contents]
    facts = PlatformDialect().read_response(200, headers)
    assert facts.is_leaving is is_leaving
    assert bool(facts.invalid_headers) is is_unreadable


@pytest.mark.parametrize(
    ('contents', 'expected_seconds', 'is_unreadable'),
    [
        ([b'3'], 3.0, False),
        ([b'0.25'], 0.25, False),
        ([b'2.5374448024158793'], 2.5374448024158793, False),
        ([b'1', b'2'], 2.0, False),
        ([b'31536000'], MAX_BACKOFF_SECONDS, False),
        ([b'0'], None, False),
        ([b'-1'], None, True),
        ([b'nan'], None, True),
        ([b'inf'], None, True),
        ([b'9' * 400], None, True),
        ([b'Thu, 03 Dec 2026 09:00:00 GMT'], None, True),
        ([b'Thu, 03 Dec 2026 09:00:00 GMT', b'2'], 2.0, True),
        ([], None, False),
    ],
)
def test_backoff_is_a_bounded_number(contents, expected_seconds, is_unreadable):
    headers = [(b'Retry-After', content) for content in contents]
    facts = PlatformDialect().read_response(503, headers)
    assert facts.backoff_seconds == expected_seconds
    assert bool(facts.invalid_headers) is is_unreadable
    assert PlatformDialect().read_response(429, headers).backoff_seconds is None
