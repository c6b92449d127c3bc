"""Many hosts place plain calls by the same stale load data."""

import random

import pytest

from jacinthfold.placement.decision import SendTo
from jacinthfold.placement.jitter import (
    LOAD_DATA_AGE_SECONDS,
    MIN_JITTER_SECONDS,
    LoadJitter,
)
from jacinthfold.placement.target import Load
from tests.fakes import FakeClock
from tests.gateway.test_placement import Scene

HOSTS = 40
SLOTS = 6
QUEUE = 24
# Measured duration of calls at four targets, with insignificant differences.
CALL_SECONDS = {f'i-{n}': 0.055 + 0.003 * n for n in range(4)}
PER_SECOND = 200
REPORT_EVERY_SECONDS = 0.3


class SimulatedTarget:
    """Run calls in slots, queue a few more and reject the others."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.end_times = []
        self.rejected = 0

    def accept(self, now):
        """Return when a call ends, None if it is rejected."""
        self.end_times = sorted(end for end in self.end_times if end > now)
        if len(self.end_times) >= SLOTS + QUEUE:
            self.rejected += 1
            return None
        begins_at = (
            now if len(self.end_times) < SLOTS else self.end_times[-SLOTS]
        )
        self.end_times.append(begins_at + self.seconds)
        return self.end_times[-1]


class Replay:
    """Replay calls of many hosts to the same targets."""

    def __init__(self, seed):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        names = [f'h{number}' for number in range(HOSTS)]
        self.scenes = [Scene(name, self.clock) for name in names]
        for scene in self.scenes:
            scene.pace.update_hosts(names)
            for instance, seconds in CALL_SECONDS.items():
                target = scene.add(instance, 'desk', slots=SLOTS)
                target.seconds_per_call = seconds
        self.simulated_targets = {
            one: SimulatedTarget(seconds)
            for one, seconds in CALL_SECONDS.items()
        }
        self.in_flight = []

    def run(self, seconds):
        """Return the number of calls and of rejected calls."""
        reported_at = self.clock.monotonic()
        calls = int(seconds * PER_SECOND)
        for _ in range(calls):
            self.clock.advance(self.random.expovariate(PER_SECOND))
            now = self.clock.monotonic()
            for finished in [one for one in self.in_flight if one[0] <= now]:
                self.in_flight.remove(finished)
                finished[1].own.add(Load(-1))
            if now - reported_at > REPORT_EVERY_SECONDS:
                reported_at = now
                self.report(now)
            self.place(now)
        return calls, sum(
            simulated.rejected for simulated in self.simulated_targets.values()
        )

    def place(self, now):
        scene = self.random.choice(self.scenes)
        request = scene.request(0, 'desk', latency_objective_seconds=0.6)
        choice = scene.choose(request)
        assert isinstance(choice, SendTo)
        scene.placer.record_sent(choice, request)
        target = choice.estimate.target
        end = self.simulated_targets[target.record.instance].accept(now)
        if end is not None:
            target.own.add(Load(1))
            self.in_flight.append((end, target))

    def report(self, now):
        for scene in self.scenes:
            loads = {}
            for other in self.scenes:
                if other is scene:
                    continue
                for incarnation_id, load in other.targets.own_loads().items():
                    loads.setdefault(incarnation_id, Load()).add(load)
            scene.targets.update_loads('sum', loads, now)


@pytest.mark.parametrize('seed', range(2))
def test_hosts_with_the_same_load_data_spread_their_choices(seed):
    """Guards against many hosts that all choose the same target.

    Forty hosts send 200 calls a second to targets that could serve 400. All
    learn every 0.3 s which target has the fewest calls; if they all sent to it,
    its queue of 24 would fill and reject calls while other targets are idle.
    """
    calls, rejected = Replay(seed).run(6.0)
    assert rejected < 0.01 * calls


def test_single_host_needs_no_extra_jitter():
    jitter = LoadJitter()
    for number in range(50):
        jitter.record_sent('desk', number / 10)
    assert jitter.jitter_seconds('desk', 0.01, 1, 5.0) == MIN_JITTER_SECONDS
    assert jitter.jitter_seconds('other', 0.01, 9, 5.0) == MIN_JITTER_SECONDS


def test_jitter_grows_with_load_and_hosts():
    """Twenty other hosts send ten calls a second each, of 10 ms each."""
    jitter = LoadJitter()
    for number in range(200):
        jitter.record_sent('desk', number / 10)
    spread = jitter.jitter_seconds('desk', 0.01, 21, 20.0)
    assert spread == pytest.approx(
        10 * 20 * LOAD_DATA_AGE_SECONDS * 0.01, rel=0.1
    )
    later = jitter.jitter_seconds('desk', 0.01, 21, 50.0)
    assert later == MIN_JITTER_SECONDS
