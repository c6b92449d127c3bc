"""Which requests are refused for what ended under them, decided by words."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.catalogue.metadata import MetadataError
from jacinthfold.catalogue.records import UnreadableRecordError
from jacinthfold.fleet.heartbeat_message import Heartbeat, decode, encode
from jacinthfold.fleet.table import HostState
from jacinthfold.placement.target import Load
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine import ends
from jacinthfold.quarantine.ends import BEGUN, WAITING, End, SuspectWord
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quarantine.suspects import (
    FORGET_CHECK_SECONDS,
    NEWS_LIMIT,
    NEWS_SECONDS,
    REFUSED_SECONDS,
    STANDING_LIMIT,
    SUSPECTS_LIMIT,
    Suspects,
)
from tests.fakes import FakeClock
from tests.gateway.beating import Fleet

SETTLED_SECONDS = 3.0


class Book:
    """Hold one host's suspects and a clock that the test moves."""

    def __init__(self, clock=None):
        self.clock = clock or FakeClock()
        self.suspects = Suspects(self.clock)
        self.withdrawn = []
        self.suspects.on_refused = self.withdrawn.append

    def end(self, name, life, weight=BEGUN, *, is_fresh=True):
        self.suspects.note_end(name, self.made(life, weight, is_fresh=is_fresh))

    def made(self, life, weight=BEGUN, *, is_fresh=True):
        at_ms = round(self.clock.now().timestamp() * 1000)
        return End(life, weight, is_fresh, at_ms)

    def ends(self, name, *lives, **fields):
        for life in lives:
            self.clock.advance(1.0)
            self.end(name, life, **fields)

    def is_refused(self, name):
        return self.suspects.refused_seconds(name) is not None

    def words(self):
        return self.suspects.news(is_near=False, is_full=True)


def test_third_end_refuses_a_request():
    book = Book()
    book.ends('q', 'i-1', 'i-2')
    assert not book.is_refused('q')
    book.ends('q', 'i-3')
    assert book.is_refused('q')
    assert not book.is_refused('another')


def test_one_end_that_many_see_counts_once():
    """Three hosts each lost the same request at the same target."""
    clock = FakeClock()
    books = [Book(clock) for _ in range(3)]
    for book in books:
        book.end('q', 'i-1')
    for book in books:
        for other in books:
            book.suspects.take(other.words(), is_near=True)
    assert not any(book.is_refused('q') for book in books)
    assert len(books[0].suspects.get('q').ends) == 1


@given(st.data())
def test_ends_add_up_in_any_order_and_told_twice(data):
    """Each host saw one of three ends; their words cross, repeat, come late."""
    clock = FakeClock()
    books = [Book(clock) for _ in range(3)]
    for number, book in enumerate(books):
        book.end('q', f'i-{number}')
    words = [word for book in books for word in book.words()]
    for book in books:
        for word in data.draw(st.permutations(words + words)):
            book.suspects.take([word], is_near=True)
        assert book.is_refused('q')


def test_request_that_waited_at_three_ends_is_not_refused():
    """It was queued at three targets that another request ended."""
    book = Book()
    book.ends('queued', 'i-1', 'i-2', 'i-3', weight=WAITING, is_fresh=False)
    assert not book.is_refused('queued')
    book.ends('queued', 'i-4', 'i-5', 'i-6', weight=WAITING, is_fresh=False)
    assert book.is_refused('queued')


def test_popular_request_that_is_served_is_never_refused():
    """Many callers ask for the same; it is at each end, and served between.

    A count of ends alone would refuse what all callers ask for. Words of
    ends from before it was served come late, and change nothing.
    """
    book, other = Book(), Book()
    for number in range(12):
        book.ends('popular', f'i-{number}')
        late = book.words()
        book.clock.advance(0.5)
        book.suspects.note_served('popular')
        book.suspects.take(late, is_near=False)
        other.suspects.take([*book.words(), *late], is_near=True)
    assert not book.is_refused('popular')
    assert not other.is_refused('popular')
    assert not book.suspects.get('popular').ends


def test_stream_that_runs_beside_the_culprit_is_not_refused():
    """A long stream goes on at another engine each time one ends.

    The request that ends engines follows it: both are at the same three ends.
    The stream had made events each time, the other one had just begun.
    """
    book = Book()
    for life in ('i-1', 'i-2', 'i-3'):
        book.ends('culprit', life)
        book.end('stream', life, is_fresh=False)
    assert book.is_refused('culprit')
    assert not book.is_refused('stream')
    assert book.withdrawn == ['culprit']
    book.ends('stream', 'i-4', 'i-5', 'i-6', is_fresh=False)
    assert book.is_refused('stream')


def test_refusal_ends_and_one_more_end_renews_it():
    """A new version of the engine may bear the request.

    After ten minutes it is let through; if it ends one more target, it is
    refused anew at once and not after three.
    """
    book = Book()
    book.ends('q', 'i-1', 'i-2', 'i-3')
    book.clock.advance(REFUSED_SECONDS + 1)
    book.suspects.forget_at_times()
    assert not book.is_refused('q')
    book.ends('q', 'i-4')
    assert book.is_refused('q')


def test_flood_of_other_bodies_does_not_push_a_suspect_out():
    """A caller sends ten thousand bodies that each were at one end.

    The table stays bounded, and the request with two ends is still there
    when its third one comes.
    """
    book = Book()
    book.ends('q', 'i-1', 'i-2')
    for number in range(10_000):
        book.end(f'made-up-{number}', 'i-2')
    assert len(book.suspects) <= 2 * SUSPECTS_LIMIT
    book.clock.advance(FORGET_CHECK_SECONDS + 1)
    book.suspects.forget_at_times()
    assert len(book.suspects) <= SUSPECTS_LIMIT
    book.ends('q', 'i-3')
    assert book.is_refused('q')


def test_news_are_bounded_and_tell_the_weightiest():
    """Three thousand different requests have each ended three targets."""
    book = Book()
    for life in ('i-1', 'i-2', 'i-3'):
        for number in range(3000):
            book.end(f'q-{number}', f'{life}-{number}')
    book.ends('worst', 'i-1', 'i-2', 'i-3', 'i-4')
    told = book.words()
    assert len(told) <= NEWS_LIMIT + STANDING_LIMIT
    assert told[0].fingerprint == 'worst'
    assert len(encode(heartbeat(told))) < 30_000
    assert book.is_refused('q-2999')


def test_suspects_are_forgotten():
    book = Book()
    book.ends('once', 'i-1')
    book.ends('refused', 'i-1', 'i-2', 'i-3')
    for _ in range(3):
        book.clock.advance(ends.FORGET_FEW_SECONDS)
        book.suspects.forget_at_times()
    assert book.suspects.get('once') is None
    assert book.suspects.get('refused') is not None
    book.clock.advance(ends.FORGET_SECONDS)
    book.suspects.forget_at_times()
    assert not book.suspects


def heartbeat(words=()):
    document = {
        'name': 'a',
        'incarnation': 1,
        'region': 'north',
        'data_centre': 'n-1',
        'address': '10.0.0.1',
        'ports': (1, 2, 3),
    }
    made = decode(
        msgspec.json.encode(
            {
                'host': document,
                'state': 'active',
                'revision': 1,
                'store': True,
                'loads': {},
                'rooms': {},
            }
        )
    )
    made.suspects = list(words)
    return made


class EarlierHeartbeat(msgspec.Struct):
    """Hold what a host of the version before reads."""

    host: dict
    state: HostState
    revision: int


def test_hosts_of_the_version_before_pass_over_the_words():
    """Words of both versions are read by both."""
    assert heartbeat().suspects == []
    content = encode(heartbeat([SuspectWord('q', 0, [])]))
    read = msgspec.json.decode(content, type=EarlierHeartbeat)
    assert read.revision == 1
    assert isinstance(decode(content), Heartbeat)


def refusing(fleet, name):
    return {
        host
        for host, one in fleet.running().items()
        if one.heartbeats.builder.suspects.refused_seconds(name) is not None
    }


def saw_end(fleet, host, name, life):
    suspects = fleet.hosts[host].heartbeats.builder.suspects
    at_ms = round(fleet.clock.now().timestamp() * 1000)
    suspects.note_end(name, End(life, BEGUN, is_fresh=True, at_ms=at_ms))


@pytest.mark.parametrize(('count', 'lost'), [(8, 0.03), (65, 0.03), (90, 0.1)])
def test_all_hosts_of_a_region_hear_of_ends_that_three_saw(count, lost):
    """Three hosts each saw one end; some datagrams get lost, the store is away.

    A host that had not heard would send the request on. Within the two
    seconds for which news are told all refuse it, with collectors and without.
    """
    fleet = Fleet(count)
    source = random.Random(2)
    fleet.is_lost = lambda sender, receiver: source.random() < lost
    fleet.run(SETTLED_SECONDS)
    for number, host in enumerate(('h001', 'h002', 'h005')):
        saw_end(fleet, host, 'q', f'i-{number}')
    fleet.run(NEWS_SECONDS)
    assert refusing(fleet, 'q') == set(fleet.hosts)


def test_hosts_that_saw_the_ends_may_all_be_replaced():
    """The three hosts that saw the ends are killed after another.

    Their neighbours know, and a host that starts later is told by them
    though nothing has changed for long and the store is away.
    """
    fleet = Fleet(8)
    fleet.run(SETTLED_SECONDS)
    for number, host in enumerate(('h001', 'h002', 'h005')):
        saw_end(fleet, host, 'q', f'i-{number}')
        fleet.run(0.6)
        fleet.hosts[host].is_running = False
    fleet.run(10.0)
    fleet.add('h900', 'n-1')
    fleet.run(SETTLED_SECONDS)
    assert refusing(fleet, 'q') == set(fleet.running())


def test_host_that_was_frozen_hears_of_it_afterwards():
    fleet = Fleet(30)
    fleet.run(SETTLED_SECONDS)
    fleet.hosts['h007'].is_running = False
    for number in range(3):
        saw_end(fleet, 'h001', 'q', f'i-{number}')
    fleet.run(10.0)
    fleet.hosts['h007'].is_running = True
    fleet.run(SETTLED_SECONDS)
    assert 'h007' in refusing(fleet, 'q')


def test_load_of_a_target_is_not_touched_by_words():
    """Words on requests change no belief about targets."""
    fleet = Fleet(4)
    fleet.add_target('i-1')
    before = fleet.hosts['h000'].scene.targets.find('i-1')
    before.own = Load(1, 5, 5)
    saw_end(fleet, 'h001', 'q', 'i-1')
    fleet.run(1.0)
    assert before.failures == 0
    assert before.failing_share == 0


class SharedStore:
    """Hold what hosts write, and tell each that reaches it."""

    def __init__(self):
        self.records = {}
        self.is_down = False
        self.listeners = []

    async def grant_lease(self, _seconds):
        if self.is_down:
            raise MetadataError('down')
        return 1

    async def write_quarantine(self, contents, _lease):
        if self.is_down:
            raise MetadataError('down')
        self.records.update(contents)
        for listener in self.listeners:
            for name, content in contents.items():
                listener.take_record(name, content)


def cut_off_hosts(store, count):
    """Return hosts that reach the store and not each other."""
    clock = FakeClock()
    made = [
        Quarantine(TargetTable({}, clock), store, clock) for _ in range(count)
    ]
    for host in made:
        host.take_record('key', b'a key')
        store.listeners.append(host)
    return made


def see_end(host, life):
    at_ms = round(host._clock.now().timestamp() * 1000)
    end = End(life, BEGUN, is_fresh=True, at_ms=at_ms)
    host.suspects.note_end('q', end)


async def written(hosts):
    """Let hosts write until all that waits is in the store."""
    tasks = [asyncio.create_task(host.writer.run()) for host in hosts]
    async with asyncio.timeout(20):
        while any(host.writer.waiting_count for host in hosts):
            await asyncio.sleep(0.01)
    for task in tasks:
        task.cancel()


def refuse_all(hosts):
    return [host.suspects.refused_seconds('q') is not None for host in hosts]


def test_regions_that_are_cut_from_each_other_learn_from_the_store():
    """Each region reaches the store and none the other one.

    One saw two ends and the other one: together they are three.
    """
    store = SharedStore()
    hosts = cut_off_hosts(store, 3)
    see_end(hosts[0], 'i-1')
    see_end(hosts[0], 'i-2')

    async def see_both():
        await written(hosts)
        assert refuse_all(hosts) == [False, False, False]
        see_end(hosts[1], 'i-3')
        await written(hosts)

    asyncio.run(see_both())
    assert refuse_all(hosts) == [True, True, True]


def test_what_the_store_could_not_take_is_written_when_it_is_back():
    store = SharedStore()
    hosts = cut_off_hosts(store, 2)
    store.is_down = True
    for life in ('i-1', 'i-2', 'i-3'):
        see_end(hosts[0], life)

    async def come_back():
        work = asyncio.create_task(written(hosts))
        await asyncio.sleep(0.1)
        assert store.records == {}
        store.is_down = False
        await work

    asyncio.run(come_back())
    assert refuse_all(hosts) == [True, True]


def test_records_that_went_with_their_lease_are_still_known():
    """Leases may run out while the store is away, and take records along."""
    store = SharedStore()
    (host,) = cut_off_hosts(store, 1)
    for life in ('i-1', 'i-2', 'i-3'):
        see_end(host, life)
    asyncio.run(written([host]))
    for name in store.records:
        host.take_record(name, None)
    assert refuse_all([host]) == [True]


@pytest.mark.parametrize('content', [b'', b'{', b'[1]', b'"x"', b'[' * 9000])
def test_unreadable_records_change_nothing(content):
    (host,) = cut_off_hosts(SharedStore(), 1)
    for name in ('q/i-1', 'q'):
        with pytest.raises(UnreadableRecordError):
            host.take_record(name, content)
    assert not host.suspects
