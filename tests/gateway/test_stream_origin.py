"""Where a stream may go on, without processes."""

import asyncio

import msgspec
import pytest

from jacinthfold.catalogue.model import HostRecord, RetryPolicy
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.placement import limits
from jacinthfold.placement.decision import Reject, RelayTo, SendTo
from jacinthfold.placement.estimates import CopySource
from jacinthfold.placement.regions import RemoteRegion
from jacinthfold.placement.request_classes import RequestClassifier
from jacinthfold.placement.software_versions import (
    MIN_RETENTION_SECONDS,
    SoftwareVersions,
)
from jacinthfold.placement.target import Load
from jacinthfold.platform.dialect import PlatformDialect
from jacinthfold.platform.target_records import read_target
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.region_sends import RegionSends
from jacinthfold.request.messages import (
    Request,
    RequestFacts,
    ResponseFacts,
    ResponseHead,
)
from jacinthfold.request.stream_origin import StreamOrigin
from jacinthfold.streams import messages, table
from jacinthfold.streams.exchange import OriginExchange
from jacinthfold.streams.holders import HOLDERS, LARGE_FLEET_HOLDERS, Holders
from jacinthfold.streams.origins import StreamOrigins
from jacinthfold.streams.stored_origins import StoredOrigins
from tests.fakes import FakeClock
from tests.gateway.test_placement import Scene, prompt

V1 = StreamOrigin('first', 'v1')


def begun(scene, origin=V1):
    """Return a prompt whose stream has begun at a version."""
    request = prompt(scene, 'subject')
    request.origin = origin
    return request


def add_both(scene, **fields):
    """Add a target of each of two versions."""
    scene.add('i-1', software_version='v1', **fields)
    return scene.add('i-2', software_version='v2', **fields)


def target_names(choices):
    return {one.estimate.target.record.instance for one in choices}


def test_choice_stays_with_the_version():
    """Guards against the better target, if it is of another version."""
    scene = Scene()
    for name in ('i-1', 'i-2'):
        scene.add(name, software_version='v1')
    (preferred,) = target_names([scene.choose(begun(scene))])
    scene.add(preferred, software_version='v2')
    scene.targets.find(preferred).record.software_version = 'v2'
    choices = [scene.choose(begun(scene)) for _ in range(10)]
    assert target_names(choices) == {'i-1', 'i-2'} - {preferred}


def test_trial_stays_with_the_version():
    """Guards against an ejected target that is tried with a begun stream."""
    scene = Scene()
    other = add_both(scene)
    now = scene.clock.monotonic()
    for _ in range(8):
        other.record_failure(now, is_unreachable=False, sent_at=now)
    assert other.is_ejected
    for _ in range(40):
        scene.clock.advance(0.2)
        choice = scene.choose(begun(scene))
        assert isinstance(choice, SendTo)
        assert target_names([choice]) == {'i-1'}


def test_last_resort_stays_with_the_version():
    """Guards against a healthy target that goes before a leaving one."""
    scene = Scene()
    add_both(scene)
    scene.targets.remove('i-1')
    assert target_names([scene.choose(begun(scene))]) == {'i-1'}


@pytest.mark.parametrize(
    ('origin', 'reason'),
    [
        (StreamOrigin('first', 'v3'), 'version_gone'),
        (StreamOrigin('first', None), 'version_unknown'),
    ],
)
def test_stream_without_a_target_is_rejected_for_good(origin, reason):
    """Guards against a wait for capacity that can't help."""
    scene = Scene()
    add_both(scene)
    scene.receive_report(0.0)
    choice = scene.choose(begun(scene, origin))
    assert isinstance(choice, Reject)
    assert (choice.reason, choice.is_permanent) == (reason, True)
    waiting = scene.placer.choose(begun(scene, origin), is_waiting=True)
    assert isinstance(waiting, Reject)
    assert waiting.is_permanent


def test_busy_version_is_no_reason_to_reject_for_good():
    scene = Scene()
    add_both(scene, cold_seconds=3.0)
    scene.targets.find('i-1').unreachable_until = float('inf')
    choice = scene.choose(begun(scene))
    assert isinstance(choice, Reject)
    assert not choice.is_permanent


def test_stream_is_relayed_only_to_regions_with_its_version():
    """Guards against a region that serves the stream at another version."""
    scene = Scene()
    scene.add('i-2', software_version='v2')
    scene.add('i-3', data_centre='s-1', software_version='v2')
    scene.receive_report(0.0)
    assert isinstance(scene.choose(begun(scene)), Reject)
    scene.add('i-4', data_centre='s-1', software_version='v1')
    choice = scene.choose(begun(scene))
    assert isinstance(choice, RelayTo)
    assert choice.region.name == 'south'


def test_prefix_is_not_copied_between_versions():
    """Guards against memory that another version wrote."""
    scene = Scene()
    other = add_both(scene)
    request = prompt(scene, 'subject')
    shared = request.facts.shared_prefixes
    other.cached_prefixes.record_use([one.name for one in shared])
    now = scene.clock.monotonic()
    estimator = scene.placer._estimator
    source = CopySource(other, shared[-1].tokens)
    assert shared[-1].tokens >= limits.COPY_AT_LEAST_TOKENS
    target = scene.targets.find('i-1')
    without = estimator.estimate_with_copy(request, target, now, [source])
    assert without.copy_source is None
    target.record.software_version = 'v2'
    copied = estimator.estimate_with_copy(request, target, now, [source])
    assert copied.copy_source is other


def test_waiting_stream_does_not_hold_up_other_versions():
    """Guards against a queue whose head waits for one version only."""
    scene = Scene()
    add_both(scene)
    classifier = RequestClassifier('north', scene.targets)
    bound = classifier.class_of(begun(scene))
    free = classifier.class_of(prompt(scene, 'subject'))
    other = classifier.class_of(begun(scene, StreamOrigin('first', 'v2')))
    assert not bound.blocks(free)
    assert not bound.blocks(other)
    assert bound.blocks(bound)
    assert free.blocks(bound)


def test_target_that_tells_two_versions_is_of_none():
    """Guards against an incarnation whose records contradict each other."""
    scene = Scene()
    for name in ('i-1', 'i-2'):
        scene.add(name, software_version='v1')
    (preferred,) = target_names([scene.choose(begun(scene))])
    scene.add(preferred, software_version='v2')
    scene.add(preferred, software_version='v1')
    scene.add(preferred, software_version='v1')
    choices = [scene.choose(begun(scene)) for _ in range(10)]
    assert target_names(choices) == {'i-1', 'i-2'} - {preferred}


@pytest.mark.parametrize('version', ['', 'V1', 'v1 ', 'é\n', 'x' * 5000])
def test_versions_of_any_kind_are_read(version):
    """Guards against a target that is lost for an odd version."""
    text = f'"version": {_json(version)},'
    content = f"""{{"backend": "model", "address": "10.0.0.1:1", {text}
    "zone": "n-1", "slots": 1, "state": "ready", "seq": 1,
    "warmup-left-ms": 0}}"""
    record = read_target('i', content.encode())
    assert len(record.software_version) < 100
    assert record.software_version != 'v1'
    header = relay_header.version_header(
        StreamOrigin('a', record.software_version)
    )
    head = ResponseHead(200, header, ResponseFacts())
    assert (relay_header.take_version(head) or '') == record.software_version
    assert not head.headers


def test_relay_header_carries_the_origin():
    """Guards against a region that isn't told where a stream began."""
    scene = Scene()
    request = begun(scene)
    request.route.retry_policy = RetryPolicy.RESUMED
    headers = relay_header.route_header(request, 1.0, 0.0)
    arrived = Request(b'POST', b'/x', headers, b'', RequestFacts('r', 'h'))
    relay_header.apply_route(arrived, 0.0)
    assert arrived.origin.admits('v1')
    assert arrived.origin.attempt_id == 'first'


def test_versions_count_for_as_long_as_streams_last():
    """Guards against a version that is forgotten with its last target."""
    clock = FakeClock()
    versions = SoftwareVersions(clock)
    mixed = []
    versions.on_mixed = mixed.append
    versions.update({'model': frozenset({'v1'})})
    assert versions.only('model') == 'v1'
    versions.update({'model': frozenset({'v2'})})
    assert mixed == ['model']
    assert versions.recent('model') == {'v1', 'v2'}
    assert versions.unrecorded() == ['model']
    versions.apply_record('model', ('v1', 'v2'))
    assert not versions.unrecorded()
    clock.advance(MIN_RETENTION_SECONDS + 1)
    assert versions.is_mixed('model')
    versions.apply_record('model', ())
    assert versions.only('model') == 'v2'
    versions.cover_timeout(600)
    assert versions.retention == 1200


def test_table_forgets_old_and_contradicted_streams():
    """Guards against a table that grows, or that answers with a guess."""
    clock = FakeClock()
    origins = table.OriginTable(clock, lambda: 60.0)
    assert origins.record(1, 'model', 'v1')
    assert not origins.record(1, 'model', 'v1')
    assert origins.version(1, 'model') == 'v1'
    assert origins.version(1, 'desk') is None
    origins.record(1, 'model', 'v2')
    assert origins.version(1, 'model') is None
    origins.record(2, 'model', 'v1')
    clock.advance(61)
    assert origins.version(2, 'model') is None
    origins.record(3, 'model', 'v1')
    assert len(origins) == 1


def test_full_table_drops_the_oldest(monkeypatch):
    """Guards against a flood of streams that pushes out all others."""
    monkeypatch.setattr(table, 'MAX_ENTRIES', 3)
    origins = table.OriginTable(FakeClock(), lambda: 60.0)
    for attempt in range(5):
        origins.record(attempt, 'model', 'v1')
    assert (len(origins), origins.dropped_count) == (3, 2)
    assert origins.version(4, 'model') == 'v1'


def host(name, region='north', *, keeps_origins=True):
    location = (region, f'{region}-1')
    record = HostRecord(name, 1, location, f'ip-{name}', (1, 2, 3))
    record.keeps_origins = keeps_origins
    return record


def hosts_of(own, others, clock):
    hosts = HostTable(own, clock)
    for one in others:
        hosts.record_heartbeat(one, HostState.ACTIVE, 1)
    return hosts


@pytest.mark.parametrize('count', [3, 8, 60, 195])
def test_hosts_that_are_told_are_asked(count):
    """Guards against a question to hosts that were never told.

    A quarter of the hosts has gone since, also the one that told the others.
    """
    clock = FakeClock()
    records = [
        host(f'h{number}', ('north', 'south', 'west')[number % 3])
        for number in range(count)
    ]
    teller = Holders(hosts_of(records[0], records[1:], clock))
    teller.refresh()
    left = [one for one in records if int(one.name[1:]) % 4]
    asker = Holders(hosts_of(left[0], left[1:], clock))
    asker.refresh()
    names = {one.name for one in left}
    found = 0
    for attempt in range(200):
        told = teller.to_tell(attempt)
        wanted = HOLDERS if count < 64 else LARGE_FLEET_HOLDERS
        assert len(set(told)) == len(told) == min(wanted, count - 1)
        reachable = {*asker.to_ask(attempt), left[0].name} & names
        found += bool(reachable & set(told))
    assert found >= 180 if count > 3 else found == 200


def test_hosts_of_the_previous_version_hold_no_origins():
    """Guards against datagrams that such hosts log as unreadable."""
    clock = FakeClock()
    others = [host('b', keeps_origins=False), host('c')]
    holders = Holders(hosts_of(host('a'), others, clock))
    holders.refresh()
    assert holders.to_tell(1) == ['c']
    assert holders.to_ask(1) == ['c']


class OneRegion:
    """Serve with one host."""

    def __init__(self, record):
        self._record = record

    def serving(self, _region):
        return [self._record]

    def heard_at(self, _name):
        return 0.0


@pytest.mark.parametrize('keeps_origins', [False, True])
def test_begun_stream_is_not_relayed_to_the_previous_version(keeps_origins):
    """Guards against a host that ignores where a stream began."""
    scene = Scene()
    other = host('b', 'south', keeps_origins=keeps_origins)
    sends = RegionSends(OneRegion(other), None, None, None, None, scene.clock)
    region = RemoteRegion('south', 0.1, ('b',))
    new = prompt(scene, 'subject')
    assert sends.choose_host(new, region) is other
    chosen = sends.choose_host(begun(scene), region)
    assert chosen is (other if keeps_origins else None)


@pytest.mark.parametrize(
    'content', [b'', b'\x93', b'\x93\x01\x01\x01', b'\x91' * 3000, b'\xff' * 9]
)
def test_unreadable_datagram_is_refused(content):
    """Guards against a datagram that ends the socket's handler."""
    exchange = OriginExchange(
        HostTable(host('a'), FakeClock()),
        table.OriginTable(FakeClock(), lambda: 60.0),
        SoftwareVersions(FakeClock()),
        FakeClock(),
    )
    with pytest.raises(ValueError):
        exchange.handle_datagram(messages.ORIGIN_MARK + content, ('x', 1))


@pytest.mark.parametrize(
    ('sender', 'tail', 'version'),
    [('b', [False], 'v1'), ('b', [], None), ('c', [False], None)],
)
def test_answer_counts_only_from_a_host_that_was_asked(sender, tail, version):
    """Guards against an answer to a question that another host got.

    A host of an earlier version doesn't say whether it infers its answer.
    """
    clock = FakeClock()
    exchange = OriginExchange(
        hosts_of(host('a'), [host('b')], clock),
        table.OriginTable(clock, lambda: 60.0),
        SoftwareVersions(clock),
        clock,
    )

    def answer(content, _endpoint):
        query = messages.decode(content).queries[0]
        answers = [[query.number, 'v1', *tail]]
        datagram = messages.ORIGIN_MARK + msgspec.msgpack.encode(
            [[], [], answers]
        )
        exchange.handle_datagram(datagram, (f'ip-{sender}', 2))

    exchange.send = answer
    assert asyncio.run(exchange.ask('model', 7)).version == version


def taken_up(scene, resumes='first'):
    """Return a prompt of a stream that its caller takes up."""
    request = prompt(scene, 'subject')
    request.route.retry_policy = RetryPolicy.RESUMED
    request.facts.last_event_id = '3'
    request.facts.resumed_id = resumes
    return request


@pytest.mark.parametrize(
    ('is_current', 'other_age', 'version'),
    [
        (True, 9.0, 'v1'),
        (True, 0.5, None),
        (False, 0.5, None),
        (False, 9.0, None),
    ],
)
def test_host_without_a_proof_does_not_trust_the_only_version(
    is_current, other_age, version
):
    """Guards against a cut-off or frozen host that has missed a release.

    The other host knows another version only, from newer records.
    """
    scene, other = Scene(), Scene()
    scene.add('i-1', software_version='v1')
    other.add('i-2', software_version='v2')
    other.targets.versions.knowledge_age = lambda: other_age
    a, b = host('a'), host('b')
    asker = origins_of(scene, a, [b])
    asked = origins_of(other, b, [a])
    asker.prove_current = proof(is_current)
    asker.exchange.send = lambda content, _: asked.exchange.handle_datagram(
        content, ('ip-a', 2)
    )
    asked.exchange.send = lambda content, _: asker.exchange.handle_datagram(
        content, ('ip-b', 2)
    )
    request = taken_up(scene)
    asyncio.run(asker.resolve(request))
    assert request.origin.software_version == version


@pytest.mark.parametrize(
    ('is_current', 'version'), [(True, 'v1'), (False, None)]
)
def test_host_that_hears_nobody_guesses_no_version(is_current, version):
    """Guards against young records that are older than the stream."""
    scene = Scene()
    scene.add('i-1', software_version='v1')
    scene.targets.versions.knowledge_age = lambda: 0.1
    alone = origins_of(scene, host('a'), [])
    alone.prove_current = proof(is_current)
    request = taken_up(scene)
    asyncio.run(alone.resolve(request))
    assert request.origin.software_version == version


def test_version_that_the_proof_brings_counts():
    """Guards against the version that was the only one before the proof."""
    scene = Scene()
    scene.add('i-1', software_version='v1')
    alone = origins_of(scene, host('a'), [])

    async def learn(_as_of):
        scene.add('i-2', software_version='v2')
        return True

    alone.prove_current = learn
    request = taken_up(scene)
    asyncio.run(alone.resolve(request))
    assert request.origin.software_version is None


def test_wait_for_a_proof_makes_no_stream_late():
    """Guards against streams that are refused since their host asked."""
    scene = Scene()
    target = scene.add('i-1', software_version='v1')
    alone = origins_of(scene, host('a'), [])

    async def prove_late(_as_of):
        scene.clock.advance(1.9)
        scene.receive_report(0.0)
        return True

    alone.prove_current = prove_late
    # With the wait, its first event would come after its caller has left.
    target.own = Load(4, 90000, 90000)
    request = taken_up(scene)
    asyncio.run(alone.resolve(request))
    assert request.origin.software_version == 'v1'
    assert isinstance(scene.choose(request), SendTo)


def origins_of(scene, own, others):
    return StreamOrigins(
        hosts_of(own, others, scene.clock),
        scene.targets.versions,
        None,
        StoredOrigins(),
        scene.clock,
    )


def proof(is_current):
    async def prove(_as_of):
        return is_current

    return prove


@pytest.mark.parametrize(
    ('values', 'resumed_id'),
    [([], ''), (['a'], 'a'), (['a', 'a'], 'a'), (['a', 'b'], ''), ([''], '')],
)
def test_header_that_names_two_attempts_names_none(values, resumed_id):
    """Guards against a guess which of two attempts began the stream."""
    headers = [(b'Resumes', one.encode()) for one in values]
    facts = PlatformDialect().read_request(headers)
    assert facts.resumed_id == resumed_id


def _json(text):
    return '"' + ''.join(f'\\u{ord(one):04x}' for one in text) + '"'
