"""Many hosts place plain calls by the same late news."""

import random

import pytest

from jacinthfold.placement.decision import SendTo
from jacinthfold.placement.herd import LEAST_SPREAD_SECONDS, NEWS_SECONDS, Herd
from jacinthfold.placement.target import Load
from tests.fakes import FakeClock
from tests.gateway.test_placement import Scene

HOSTS = 40
SLOTS = 6
QUEUE = 24
# Of four targets, as they were learned: they differ by what says nothing.
CALL_SECONDS = {f'i-{n}': 0.055 + 0.003 * n for n in range(4)}
PER_SECOND = 200
NEWS_EVERY_SECONDS = 0.3


class Desk:
    """Run calls in slots, queue some more, turn the rest away."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.ends = []
        self.rejected = 0

    def take(self, now):
        """Return when a call ends, None if it is turned away."""
        self.ends = sorted(end for end in self.ends if end > now)
        if len(self.ends) >= SLOTS + QUEUE:
            self.rejected += 1
            return None
        begins_at = now if len(self.ends) < SLOTS else self.ends[-SLOTS]
        self.ends.append(begins_at + self.seconds)
        return self.ends[-1]


class Replay:
    """Hold hosts, targets and the calls that are out."""

    def __init__(self, seed):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        names = [f'h{number}' for number in range(HOSTS)]
        self.scenes = [Scene(name, self.clock) for name in names]
        for scene in self.scenes:
            scene.pace.follow_hosts(names)
            for instance, seconds in CALL_SECONDS.items():
                target = scene.add(instance, 'desk', slots=SLOTS)
                target.seconds_per_call = seconds
        self.desks = {one: Desk(taken) for one, taken in CALL_SECONDS.items()}
        self.out = []

    def run(self, seconds):
        """Return how many calls were made and turned away."""
        told_at = self.clock.monotonic()
        calls = int(seconds * PER_SECOND)
        for _ in range(calls):
            self.clock.advance(self.random.expovariate(PER_SECOND))
            now = self.clock.monotonic()
            for ended in [one for one in self.out if one[0] <= now]:
                self.out.remove(ended)
                ended[1].own.add(Load(-1))
            if now - told_at > NEWS_EVERY_SECONDS:
                told_at = now
                self.tell(now)
            self.place(now)
        return calls, sum(desk.rejected for desk in self.desks.values())

    def place(self, now):
        scene = self.random.choice(self.scenes)
        request = scene.request(0, 'desk', latency_objective_seconds=0.6)
        choice = scene.choose(request)
        assert isinstance(choice, SendTo)
        scene.placer.note_sent(choice, request)
        target = choice.estimate.target
        end = self.desks[target.record.instance].take(now)
        if end is not None:
            target.own.add(Load(1))
            self.out.append((end, target))

    def tell(self, now):
        for scene in self.scenes:
            loads = {}
            for other in self.scenes:
                if other is scene:
                    continue
                for life, load in other.targets.own_loads().items():
                    loads.setdefault(life, Load()).add(load)
            scene.targets.take_report('sum', loads, now)


@pytest.mark.parametrize('seed', range(2))
def test_hosts_that_hear_the_same_don_t_all_choose_the_same(seed):
    """Forty hosts send 200 calls a second to targets that could serve 400.

    All hear every 0.3 s which one has fewest calls, and would send to that one
    until they hear again: its 24 places fill, and callers are sent away though
    the other targets stand idle.
    """
    calls, rejected = Replay(seed).run(6.0)
    assert rejected < 0.01 * calls


def test_lone_host_knows_all_that_is_sent():
    herd = Herd()
    for number in range(50):
        herd.note_sent('desk', number / 10)
    assert herd.spread_seconds('desk', 0.01, 1, 5.0) == LEAST_SPREAD_SECONDS
    assert herd.spread_seconds('other', 0.01, 9, 5.0) == LEAST_SPREAD_SECONDS


def test_spread_follows_the_load_and_the_hosts():
    """Ten calls a second of each host, twenty others, 10 ms of work each."""
    herd = Herd()
    for number in range(200):
        herd.note_sent('desk', number / 10)
    spread = herd.spread_seconds('desk', 0.01, 21, 20.0)
    assert spread == pytest.approx(10 * 20 * NEWS_SECONDS * 0.01, rel=0.1)
    later = herd.spread_seconds('desk', 0.01, 21, 50.0)
    assert later == LEAST_SPREAD_SECONDS
