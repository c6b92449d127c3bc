"""Look for races in configuration, keys, leases and membership.

hypothesis drives the real code; clock, store and network are passed in.
"""

import itertools
import json

import pytest
from hypothesis import HealthCheck, assume, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from jacinthfold.serve.answers import CallerError
from jacinthfold.serve.configuration import Configuration, decode_snapshot
from jacinthfold.serve.deployment import Organisation, thing_document
from jacinthfold.serve.intents import IntentError, parse
from jacinthfold.serve.keys import Claims, KeyIssuer, KeyTable
from jacinthfold.serve.members import (
    Heartbeat,
    Member,
    MemberState,
    MemberTable,
)
from jacinthfold.serve.once import OnceServer
from jacinthfold.serve.orders import OrderLease
from jacinthfold.serve.relay import Ending, Result
from jacinthfold.serve.revisions import (
    HEAD_KEY,
    RevisionError,
    Revisions,
    StalePlanError,
)
from jacinthfold.serve.store import StoreError
from jacinthfold.serve.work import Work
from tests import fakes

HOSTS = st.integers(0, 2)
RETENTION_SECONDS = 86400
CALM = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)


def content(configuration):
    return {
        kind: {name: thing_document(thing) for name, thing in named.items()}
        for kind, named in configuration.deployment.things.items()
    }


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, lost answers, outages, replaced hosts, mixed-up messages."""

    plans = Bundle('plans')

    def __init__(self):
        super().__init__()
        self.clock = fakes.FakeClock()
        self.store = fakes.FakeStore(self.clock)
        self.hosts = [self.new_host() for _ in range(3)]
        self.seen = [0, 0, 0]
        self.by_revision = {}
        self.acknowledged = {}

    def new_host(self):
        configuration = Configuration(self.clock)
        return configuration, Revisions(self.store, configuration, self.clock)

    @rule(
        target=plans,
        host=HOSTS,
        name=st.sampled_from('ab'),
        limit=st.integers(1, 9),
    )
    def plan(self, host, name, limit):
        fields = {'limit_requests_per_second': limit}
        intents = [
            {'kind': 'region', 'name': 'erie', 'data_centres': ['erie-1']},
            {
                'kind': 'organisation', 'name': name, 'home': 'erie',
                'regions': ['erie'], 'key_hashes': [name], **fields,
            },
        ]  # fmt: skip
        if self.hosts[host][0].revision:
            intents = intents[1:]
        try:
            return self.hosts[host][1].plan(parse(intents), 'op').plan_id
        except (StoreError, RevisionError, IntentError):
            return None

    @rule(plan_id=plans, host=HOSTS, lost=st.integers(0, 2), out=st.booleans())
    def confirm(self, plan_id, host, lost, out):
        assume(plan_id)
        self.store.lost_answers = lost
        self.store.is_out = out
        try:
            revision = self.hosts[host][1].confirm(plan_id, self.clock.now())
        except (StoreError, RevisionError):
            return
        finally:
            self.store.lost_answers = 0
            self.store.is_out = False
        assert self.acknowledged.setdefault(plan_id, revision) == revision

    @rule(
        source=HOSTS,
        sink=HOSTS,
        order=st.permutations(range(4)),
        twice=st.booleans(),
    )
    def exchange(self, source, sink, order, twice):
        changes = self.hosts[source][0].changes_above(
            self.hosts[sink][0].revision
        )
        if changes is None:
            deployment = self.hosts[source][0].deployment
            snapshot = decode_snapshot(Configuration.encode(deployment))
            self.hosts[sink][0].offer_snapshot(snapshot)
            return
        mixed = [changes[number] for number in order if number < len(changes)]
        self.hosts[sink][0].offer_changes(mixed * (2 if twice else 1))

    @rule(host=HOSTS, source=HOSTS)
    def replace(self, host, source):
        """A new process takes a neighbour's snapshot, then what is newest."""
        assume(host != source)
        self.hosts[host] = self.new_host()
        self.seen[host] = 0
        deployment = self.hosts[source][0].deployment
        self.hosts[host][0].offer_snapshot(
            decode_snapshot(Configuration.encode(deployment))
        )

    @rule(host=HOSTS)
    def read_store(self, host):
        revisions = self.hosts[host][1]
        revisions.bring_up_to(revisions.read_head())

    @invariant()
    def nothing_reverts_and_all_agree(self):
        for number, (configuration, _) in enumerate(self.hosts):
            assert configuration.revision >= self.seen[number]
            self.seen[number] = configuration.revision
            found = content(configuration)
            known = self.by_revision.setdefault(configuration.revision, found)
            assert known == found

    @invariant()
    def each_plan_stands_once(self):
        history = self.hosts[0][1].history()
        assert [one.revision for one in history] == list(
            range(1, len(history) + 1)
        )
        plan_ids = [one.plan_id for one in history]
        assert len(plan_ids) == len(set(plan_ids))
        for plan_id, revision in self.acknowledged.items():
            assert plan_ids[revision - 1] == plan_id


class FakeServer:
    """Count what runs; end as told."""

    def __init__(self, machine):
        self.machine = machine

    def serve(self, work, sink, is_gone):
        ending = self.machine.ending
        if ending == 'not_run':
            raise CallerError(503, 'refused', 'not_run')
        self.machine.runs.setdefault(work.body, []).append(
            self.machine.clock.seconds
        )
        if ending == 'unknown':
            raise CallerError(504, 'lost', 'unknown', outcome='unknown')
        sink.start(201, {'content-type': 'application/json'})
        sink.send(work.body)


class FakeRelay:
    """Carry a forwarded request to its owner, or lose it on the way."""

    def __init__(self, machine):
        self.machine = machine

    def send(self, attempt, sink):
        result = Result()
        owner = self.machine.find(attempt.call.url)
        if owner is None or self.machine.is_cut:
            return result
        key, claim, work = self.machine.forwarded
        try:
            response = owner.run(work, key, claim)
        except CallerError as error:
            response = error.response('')
        sink.start(response.status_code, {})
        sink.send(response.get_data())
        result.ending = Ending.WHOLE
        result.headers = {k.lower(): v for k, v in response.headers.items()}
        return result


class FakeSpill:
    """Remember what is forwarded; the fake relay picks it up."""

    def __init__(self, machine):
        self.machine = machine

    def call(self, owner, work, remaining_seconds, reason):
        class Call:
            url = owner.name
            headers = {}

        return Call


class KeyMachine(RuleBasedStateMachine):
    """Retries anywhere, owners replaced, lost claims, outages, cuts."""

    keys = Bundle('keys')

    def __init__(self):
        super().__init__()
        self.clock = fakes.FakeClock()
        self.store = fakes.FakeStore(self.clock)
        self.runs = {}
        self.told = {}
        self.ending = 'whole'
        self.is_cut = False
        self.forwarded = None
        self.count = 0
        self.hosts = [self.new_host(number) for number in range(3)]
        self.meet()

    def new_host(self, number):
        self.count += 1
        made = fakes.settings(f'host-{number}')
        member = Member(
            f'host-{number}',
            self.count,
            ('erie', 'erie-1'),
            '127.0.0.1',
            (1, 2, 3, 4),
        )
        members = MemberTable(member, made, self.clock)
        members.beat(MemberState.ACTIVE, 0, {})
        once = OnceServer(
            KeyIssuer(self.count, made, self.clock),
            KeyTable(made, self.clock),
            Claims(self.store, self.count, made, self.clock),
            FakeServer(self),
            FakeRelay(self),
            FakeSpill(self),
            members,
            self.clock,
        )
        original = once._attempt

        def attempt(work, key, claim, owner):
            self.forwarded = (key, claim, work)
            return original(work, key, claim, owner)

        once._attempt = attempt
        return member, members, once

    def meet(self):
        for _, table, _ in self.hosts:
            for member, other, _ in self.hosts:
                beats = [beat for _, beat in other.live()]
                table.merge([member], beats)

    def find(self, name):
        for member, _, once in self.hosts:
            if member.name == name:
                return once
        return None

    @rule(target=keys, host=HOSTS)
    def issue(self, host):
        return self.hosts[host][2].issue(organisation())

    @rule(target=keys, number=st.integers(0, 3))
    def make_up(self, number):
        return f'own-{number}'

    @rule(
        key=keys,
        host=HOSTS,
        ending=st.sampled_from(['whole', 'unknown', 'not_run']),
        lost=st.booleans(),
        out=st.booleans(),
        cut=st.booleans(),
    )
    def attempt(self, key, host, ending, lost, out, cut):
        self.ending, self.is_cut = ending, cut
        self.store.lost_answers = int(lost)
        self.store.is_out = out
        work = Work(organisation(), 'desk', 'POST', '/desk', {}, key.encode())
        work.is_repeatable = False
        work.deadline = self.clock.monotonic()
        before = len(self.runs.get(work.body, ()))
        try:
            response = self.hosts[host][2].serve(work, key)
        except CallerError as error:
            response = error.response('')
        finally:
            self.store.lost_answers = 0
            self.store.is_out = False
        outcome = response.headers['X-Outcome']
        if outcome == 'not_run':
            assert len(self.runs.get(work.body, ())) == before
            assert not before or not key.startswith('jf1')
        if outcome == 'whole':
            assert self.runs[work.body]
            assert response.get_data() == work.body

    @rule(host=HOSTS)
    def replace(self, host):
        self.hosts[host] = self.new_host(host)
        self.meet()

    @rule(seconds=st.sampled_from([1, 4000, 90000]))
    def pause(self, seconds):
        self.clock.seconds += seconds
        for _, table, _ in self.hosts:
            table.beat(MemberState.ACTIVE, 0, {})
        self.meet()

    @invariant()
    def no_key_runs_twice_within_its_retention(self):
        for body, times in self.runs.items():
            if body.startswith(b'jf1'):
                assert len(times) == 1
            # A caller's own key is free again once it has been forgotten.
            for first, second in itertools.pairwise(times):
                assert second - first >= RETENTION_SECONDS


def organisation():
    return Organisation('free', 'erie', ('erie',), ('x',), services=('desk',))


class LeaseMachine(RuleBasedStateMachine):
    """Pauses past a lease, lost answers, outages."""

    def __init__(self):
        super().__init__()
        self.clock = fakes.FakeClock()
        self.store = fakes.FakeStore(self.clock)
        made = fakes.settings(extra='[targets]\nlease_seconds = 6\n')
        self.leases = [
            OrderLease(self.store, f'host-{n}', 'erie-1', made, self.clock)
            for n in range(3)
        ]
        self.numbers = []

    @rule(host=HOSTS, lost=st.integers(0, 2), out=st.booleans())
    def keep(self, host, lost, out):
        self.store.lost_answers, self.store.is_out = lost, out
        self.leases[host].keep()
        self.store.lost_answers, self.store.is_out = 0, False

    @rule(seconds=st.sampled_from([0.5, 2, 5, 7, 60]))
    def pause(self, seconds):
        self.clock.seconds += seconds

    @invariant()
    def one_holds_it_and_numbers_grow(self):
        holders = [lease for lease in self.leases if lease.is_held]
        assert len(holders) <= 1
        for lease in holders:
            assert lease.fencing_number >= max(self.numbers, default=0)
            self.numbers.append(lease.fencing_number)


class MemberMachine(RuleBasedStateMachine):
    """Heartbeats that come late, twice and in any order; failed hosts."""

    def __init__(self):
        super().__init__()
        self.clock = fakes.FakeClock()
        made = fakes.settings()
        self.members = [
            Member(
                f'host-{n}',
                n + 1,
                ('erie', 'erie-1'),
                '127.0.0.1',
                (1, 2, 3, 4),
            )
            for n in range(3)
        ]
        self.tables = [
            MemberTable(member, made, self.clock) for member in self.members
        ]
        self.dead = set()
        self.died_at = {}
        self.last_seen_at = {}
        self.highest = {}
        self.old = []

    @rule(host=HOSTS)
    def beat(self, host):
        if host not in self.dead:
            self.tables[host].beat(MemberState.ACTIVE, 0, {})

    @rule(source=HOSTS, sink=HOSTS)
    def exchange(self, source, sink):
        if {source, sink} & self.dead:
            return
        beats = [
            Heartbeat(beat.incarnation, beat.sequence, beat.state)
            for beat in self.tables[source].heartbeats_for('erie-1')
        ]
        self.old.append(beats)
        self.tables[sink].merge(self.members, beats)

    @rule(sink=HOSTS, data=st.data())
    def late(self, sink, data):
        if self.old and sink not in self.dead:
            beats = data.draw(st.sampled_from(self.old))
            self.tables[sink].merge(self.members, beats)

    @rule(host=st.integers(1, 2))
    def die(self, host):
        if host not in self.dead:
            self.dead.add(host)
            self.died_at[host] = self.clock.seconds

    @rule(seconds=st.sampled_from([0.1, 1, 3]))
    def wait(self, seconds):
        self.clock.seconds += seconds

    @invariant()
    def the_dead_stay_dead(self):
        """Once a table has the last beat of a dead host, only time passes."""
        now = self.clock.seconds
        for number, table in enumerate(self.tables):
            if number in self.dead:
                continue
            for member, beat in table.live():
                host = member.incarnation - 1
                last = self.tables[host].live()[0][1].sequence
                if host not in self.dead or beat.sequence < last:
                    continue
                first_at = self.last_seen_at.setdefault((number, host), now)
                # Forgotten hosts may come back for a moment by a message
                # held up for a minute, which links between hosts never do.
                if now - self.died_at[host] < 55:
                    assert now - first_at < 4 + 3

    @invariant()
    def sequences_never_go_back(self):
        for table in self.tables:
            for member, beat in table.live():
                key = id(table), member.incarnation
                assert beat.sequence >= self.highest.get(key, 0)
                self.highest[key] = beat.sequence


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = CALM
TestKeys = KeyMachine.TestCase
TestKeys.settings = CALM
TestLease = LeaseMachine.TestCase
TestLease.settings = CALM
TestMembers = MemberMachine.TestCase
TestMembers.settings = CALM


def test_document_of_a_change_survives_json():
    intents = parse([{'kind': 'model', 'name': 'm'}])
    assert json.loads(json.dumps(intents[0].to_document()))['name'] == 'm'


class OvertakenStore:
    """Let something happen right after the head was read, once."""

    def __init__(self, store, then):
        self._store = store
        self._then = then

    def __getattr__(self, name):
        return getattr(self._store, name)

    def get(self, key):
        entry = self._store.get(key)
        if key == HEAD_KEY and self._then is not None:
            then, self._then = self._then, None
            then()
        return entry


def limit_of(limit):
    return parse(
        [
            {'kind': 'region', 'name': 'erie', 'data_centres': ['erie-1']},
            {
                'kind': 'organisation', 'name': 'a', 'home': 'erie',
                'regions': ['erie'], 'key_hashes': ['a'],
                'limit_requests_per_second': limit,
            },
        ]
    )  # fmt: skip


def test_operator_at_a_host_that_was_overtaken_is_told_what_changed():
    """Two operators confirm at once; the loser's host reads the head first.

    Before it goes on, neighbours bring it the winner's change. It is ahead of
    what it has read then, and must read again: told that the store can't be
    reached, the operator would try a plan that can't be confirmed any more.
    """
    clock = fakes.FakeClock()
    store = fakes.FakeStore(clock)
    winner, loser = Configuration(clock), Configuration(clock)
    first = Revisions(store, winner, clock)
    plan = first.plan(limit_of(1), 'ann')

    def overtake():
        first.confirm(plan.plan_id, clock.now())
        loser.offer_changes(first.history())

    other = Revisions(store, loser, clock).plan(limit_of(2), 'bob')
    second = Revisions(OvertakenStore(store, overtake), loser, clock)
    with pytest.raises(StalePlanError):
        second.confirm(other.plan_id, clock.now())
