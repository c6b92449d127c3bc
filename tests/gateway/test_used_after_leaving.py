"""Targets that left, at hosts whose view of the store is old or disordered."""

import signal

import pytest

from jacinthfold import logs
from jacinthfold.catalogue.record import Record
from jacinthfold.fleet.snapshots import decode_snapshot, encode_snapshot
from jacinthfold.placement import limits
from jacinthfold.placement.decision import Reject, SendTo
from jacinthfold.placement.leaving_limit import LeavingLimit
from jacinthfold.placement.resume_guard import (
    MIN_PAUSE_SECONDS,
    RESUME_SECONDS,
)
from jacinthfold.request.messages import ResponseFacts, ResponseHead
from tests.gateway.deployment import Connection, pause, route, wait_served
from tests.gateway.test_knowledge import wait_targets
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue, target


def pull(behind, ahead):
    """Apply a snapshot of one catalogue to another."""
    snapshot = decode_snapshot(encode_snapshot(ahead, behind.revision))
    if snapshot.is_whole:
        behind.replace(snapshot.records, snapshot.revision)
    else:
        behind.apply(snapshot.records, snapshot.revision)


def removal(instance, revision):
    return Record(f'servers/{instance}', revision, None)


def keys(records):
    return {one.key for one in records.records()}


def test_late_watch_does_not_restore_a_removed_record():
    """Guards against a watch that returns after a newer snapshot was applied.

    The watch hangs with an older state in which the target is ready. The
    removal is not sent again, so the target would get requests for good.
    """
    records, notifications = catalogue()
    records.apply([target('k', 1)], 1)
    # The watch from revision 1 returned these, but its answer is late.
    late = [target('i', 2)]
    ahead, _ = catalogue()
    ahead.apply([target('k', 1)], 1)
    ahead.apply([target('i', 2)], 2)
    ahead.apply([removal('i', 3)], 3)
    pull(records, ahead)
    assert records.revision == 3
    records.apply(late, 2)
    assert keys(records) == {'servers/k'}
    assert ('target', 'i') not in notifications


def test_removal_of_an_unknown_record_is_passed_on():
    """Guards against a snapshot without a removal that its sender received.

    The sender fetched the removal together with everything since its last
    revision and never knew the record. A host that knows the record and fetches
    from it would keep the target at a revision that is past the removal.
    """
    first, second, third = (catalogue()[0] for _ in range(3))
    for one in (first, second, third):
        one.apply([target('k', 1)], 1)
    for one in (first, third):
        one.apply([target('i', 2)], 2)
    first.apply([removal('i', 3)], 3)
    pull(second, first)
    pull(third, second)
    assert third.revision == 3
    assert keys(third) == {'servers/k'}


def test_ended_evacuation_is_ended_everywhere():
    """Guards against a data centre that stays evacuated at some hosts."""
    evacuation = Record('op/evacuate/n-1', 2, b'{}')
    first, second, third = (catalogue()[0] for _ in range(3))
    for one in (first, second, third):
        one.apply([target('k', 1)], 1)
    for one in (first, third):
        one.apply([evacuation], 2)
    first.apply([Record('op/evacuate/n-1', 3, None)], 3)
    pull(second, first)
    pull(third, second)
    second.apply([evacuation], 2)
    assert not second.evacuated
    assert not third.evacuated


def test_record_written_again_after_its_removal_is_applied():
    """Guards against ignoring a record that lapsed and was written anew."""
    records, notifications = catalogue()
    records.apply([target('i', 1)], 1)
    records.apply([removal('i', 2)], 2)
    records.apply([target('i', 3)], 3)
    assert notifications[-1] == ('target', 'i')


def test_list_at_the_known_revision_restores_a_missing_record():
    """Guards against a full list that is taken for an old change.

    A list was read at its revision or later, so no record in it was removed
    before that revision.
    """
    records, notifications = catalogue()
    records.apply([target('k', 3)], 3)
    records.replace([target('k', 3), target('i', 2)], 3)
    assert notifications[-1] == ('target', 'i')


class Follower:
    """Apply a catalogue's changes to the targets of one host."""

    def __init__(self, leaving_limit=None):
        self.scene = Scene(leaving_limit=leaving_limit)
        self.clock = self.scene.clock
        self.records, _ = catalogue(self.clock)
        self.targets = self.scene.targets
        listener = self.records._listeners[0]
        listener.on_target = self.targets.put
        listener.on_target_removed = self.targets.remove
        self.targets.origin = lambda: self.records.origin
        self.targets.knowledge_age = lambda: self.records.freshness.age_seconds

    def prove(self):
        """Record that the store answers now with this host's revision."""
        self.records.freshness.record_revision(
            self.clock.boottime(), self.records.revision
        )

    def apply(self, *changed):
        revision = max(one.revision for one in changed)
        self.records.apply(changed, revision, 'peer')

    def choose(self):
        return self.scene.choose(self.scene.request(service='b'))

    def rejection(self):
        now = self.clock.monotonic()
        found = self.targets.find('i')
        return found.rejection_reason(now, is_counted=False)


def following(leaving_limit=None, **fields):
    """Return a host that knows a ready target, and proved that just now."""
    host = Follower(leaving_limit)
    host.apply(ready(1, **fields))
    host.prove()
    return host


def ready(revision, **fields):
    return target('i', revision, zone='n-1', **fields)


def draining(revision, **fields):
    return ready(revision, state='draining', **fields)


def answered(host, *, is_leaving=False):
    """Receive the target's answer to a request sent now."""
    facts = ResponseFacts()
    facts.is_leaving = is_leaving
    now = host.clock.monotonic()
    head = ResponseHead(200, [], facts)
    host.targets.find('i').record_answer(head, now, now)


@pytest.mark.parametrize('age_seconds', [0.0, 2.0, 2.6, 4.0, 4.5, 60.0])
@pytest.mark.parametrize('fields', [{}, {'born': 7}])
def test_nothing_is_sent_five_seconds_after_the_record(age_seconds, fields):
    """Guards against a last resort that counts from when the host heard.

    The target may have said that it leaves right after the last proof. The
    news of it waits for silent peers or a watch that hangs.
    """
    host = following(**fields)
    said_at = host.clock.monotonic()
    host.clock.advance(age_seconds)
    host.apply(draining(2, **fields))
    while host.clock.monotonic() < said_at + age_seconds + 6:
        is_late = host.clock.monotonic() > said_at + 5
        assert not (is_late and isinstance(host.choose(), SendTo))
        assert not (is_late and host.rejection() == '')
        host.clock.advance(0.05)


@pytest.mark.parametrize('bound_seconds', [3.0, 5.0])
@pytest.mark.parametrize('age_seconds', [0.0, 0.6, 1.5, 2.4, 3.5])
def test_nothing_is_sent_past_the_bound_of_the_deployment(
    bound_seconds, age_seconds
):
    """Guards against one bound for deployments that ask for 3 s or for 5 s.

    Where 3 s are asked, a last resort could be used 4 s after the record.
    """
    host = following(LeavingLimit(bound_seconds))
    said_at = host.clock.monotonic()
    host.clock.advance(age_seconds)
    host.apply(draining(2))
    while host.clock.monotonic() < said_at + 7:
        is_late = host.clock.monotonic() > said_at + bound_seconds
        assert not (is_late and isinstance(host.choose(), SendTo))
        assert not (is_late and host.rejection() == '')
        host.clock.advance(0.05)


@pytest.mark.parametrize('bound_seconds', [3.0, 5.0])
def test_thawed_host_waits_for_news_by_the_bound_of_the_deployment(
    bound_seconds,
):
    """Guards against sends of a host that stood still for most of the bound."""
    limit = LeavingLimit(bound_seconds)
    host = following(limit)
    run_for(host, 1)
    host.clock.advance(limit.min_pause_seconds + 0.1)
    assert host.targets.resume_guard.is_resuming()
    host.clock.advance(bound_seconds)
    assert host.rejection() == 'target_unconfirmed'


def test_recent_news_allow_the_whole_last_resort():
    """Guards against a bound that takes the last resort from fresh hosts."""
    host = following()
    host.clock.advance(2)
    host.apply(draining(2))
    host.clock.advance(limits.LAST_RESORT_SECONDS - 0.01)
    assert isinstance(host.choose(), SendTo)


def test_target_first_seen_draining_without_a_proof_is_not_used():
    """Guards against a last resort of a target that left long ago.

    The host starts from a neighbour's snapshot and can't know how old it is.
    """
    host = Follower()
    host.apply(draining(1))
    assert isinstance(host.choose(), Reject)
    assert host.rejection() == 'target_left'


def test_late_record_does_not_revive_a_target_that_left():
    """Guards against a late heartbeat of a target that drained.

    It writes its record as ready after its removal, under a new revision. The
    host may have dropped the target meanwhile.
    """
    for is_dropped in (False, True):
        host = following(born=7)
        host.apply(draining(2, born=7))
        host.apply(removal('i', 3))
        if is_dropped:
            host.clock.advance(limits.LAST_RESORT_SECONDS + 0.1)
            assert len(host.targets.drop_expired()) == 1
        host.prove()
        host.apply(ready(4, born=7))
        host.clock.advance(limits.LAST_RESORT_SECONDS + 0.1)
        assert isinstance(host.choose(), Reject)
        host.apply(ready(5, born=9))
        assert isinstance(host.choose(), SendTo)


@pytest.mark.parametrize('fields', [{}, {'born': 7}])
def test_record_that_lapsed_with_the_store_revives_its_target(fields):
    """Guards against targets that are lost for good after an outage."""
    host = following(**fields)
    host.apply(removal('i', 2))
    host.clock.advance(limits.LAST_RESORT_SECONDS + 0.1)
    host.targets.drop_expired()
    host.apply(ready(3, **fields))
    assert isinstance(host.choose(), SendTo)


def test_host_cut_off_from_the_store_uses_targets_that_stay():
    """Guards against a host that stops serving when its records are old."""
    host = following()
    host.clock.advance(600)
    assert isinstance(host.choose(), SendTo)
    assert host.rejection() == ''


def test_lapsed_target_that_answers_is_a_last_resort_despite_old_records():
    """Guards against rejections after an outage in which targets answered.

    Without a recent answer it may have drained and left meanwhile.
    """
    for answers in (True, False):
        host = following()
        host.clock.advance(60)
        if answers:
            answered(host)
        host.clock.advance(1)
        host.apply(removal('i', 2))
        assert isinstance(host.choose(), SendTo) is answers


def test_leaving_answer_to_a_host_with_old_records_ends_its_use():
    """Guards against a last resort that begins anew with the first answer.

    The target said long ago in its record that it leaves, which this host has
    not received.
    """
    host = following()
    host.clock.advance(60)
    answered(host, is_leaving=True)
    assert isinstance(host.choose(), Reject)
    assert host.rejection() == 'target_left'


def test_leaving_answer_after_one_without_it_starts_the_last_resort():
    """Guards against a bound that ignores what targets answered before."""
    host = following()
    host.clock.advance(60)
    answered(host)
    host.clock.advance(1)
    answered(host, is_leaving=True)
    assert isinstance(host.choose(), SendTo)


def test_log_names_revision_source_and_age(monkeypatch):
    """Guards against a late send whose cause the logs don't show."""
    lines = []
    monkeypatch.setattr(
        logs, 'event', lambda name, **fields: lines.append((name, fields))
    )
    host = following()
    host.clock.advance(3)
    host.apply(draining(2))
    fields = dict(lines)['target_leaving']
    assert fields['revision'] == 2
    assert fields['learned_from'] == 'peer'
    assert fields['age_seconds'] == 3
    host.clock.advance(2)
    now = host.clock.monotonic()
    host.targets.find('i').log_rejected_send(now)
    fields = dict(lines)['send_rejected_leaving']
    assert fields['revision'] == 2
    assert fields['learned_seconds_ago'] == 2


def run_for(host, seconds):
    """Let a host run, with the ticks of its housekeeping."""
    for _ in range(round(seconds / 0.1)):
        host.clock.advance(0.1)
        host.targets.resume_guard.tick()


def test_frozen_host_sends_nothing_before_it_reads_the_news():
    """Guards against a request that was placed before its host was frozen.

    The target left meanwhile. The host still takes it for ready and would send
    before it reads the record that waits in its connection.
    """
    host = following()
    run_for(host, 1)
    assert host.rejection() == ''
    host.clock.advance(5)
    assert host.rejection() == 'target_unconfirmed'
    host.targets.resume_guard.tick()
    assert host.rejection() == 'target_unconfirmed'
    host.prove()
    assert host.rejection() == ''


def test_frozen_host_without_the_store_serves_again():
    """Guards against a host that is cut off and never serves after a pause."""
    host = following()
    run_for(host, 60)
    assert host.rejection() == ''
    host.clock.advance(5)
    run_for(host, RESUME_SECONDS + 0.2)
    assert host.rejection() == ''


def test_resumed_host_sends_nothing_to_a_leaving_target():
    """Guards against a last resort whose clock stood still in a suspend."""
    host = following()
    run_for(host, 1)
    host.prove()
    host.apply(draining(2))
    assert host.rejection() == ''
    now = host.clock.boottime()
    host.clock.boottime = lambda: now + 10
    assert host.rejection() == 'target_left'


def test_short_pause_rejects_nothing():
    """Guards against rejections at hosts that are short of processor time."""
    host = following()
    run_for(host, 60)
    host.clock.advance(MIN_PAUSE_SECONDS - 0.1)
    assert host.rejection() == ''


def test_frozen_host_uses_no_target_that_left_meanwhile(deployment):
    """Freeze a host with one target, which leaves while the store is away.

    A request waits in an open connection when the host resumes. No organisation
    has keys here, so that no check of a key rejects it.
    """
    deployment.put_routes(route('/order/'))
    deployment.add_target('i-1', 'desk')
    host = deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/order/x')
    connection = Connection(host.callers)
    connection.send('/order/1', request_id='before')
    assert connection.receive().status == 200
    pause(0.5)
    host.signal(signal.SIGSTOP)
    deployment.store.is_down = True
    deployment.put_target('i-1', 'desk', state='draining')
    pause(5.5)
    deployment.targets['i-1'].executed.clear()
    connection.send('/order/2', request_id='after')
    host.signal(signal.SIGCONT)
    assert connection.receive().status == 503
    connection.close()
    assert not deployment.targets['i-1'].executed
    # The host stays cut off, and the target answers it without leaving.
    wait_served(deployment, 'north-a', '/order/x')


def test_target_that_left_during_an_outage_is_no_last_resort(deployment):
    """The only target drains while the host is cut off from the store.

    The host hears of it over five seconds later. A last resort that began then
    would use the target for two more seconds.
    """
    deployment.put_routes(route('/order/'))
    deployment.add_target('i-1', 'desk')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/order/x')
    deployment.store.is_down = True
    deployment.put_target('i-1', 'desk', state='draining')
    pause(5.5)
    deployment.store.is_down = False
    wait_targets(deployment, 'north-a', 0)
    deployment.targets['i-1'].executed.clear()
    assert deployment.ask('north-a', '/order/1').status == 503
    assert not deployment.targets['i-1'].executed
