"""Replay plain calls of one region's hosts to a few small targets.

No sockets: each host has the real placer and learns from real outcomes; the
targets, callers and load reports are simulated on one clock.
"""

import heapq
import itertools
import random

from jacinthfold.placement.decision import Reject, SendTo
from jacinthfold.placement.overload_options import OverloadOptions
from jacinthfold.placement.target import Load
from jacinthfold.proxy import in_flight_load
from jacinthfold.proxy.in_flight_load import InFlightLoad
from jacinthfold.proxy.outcome import Ending, Outcome
from tests.fakes import FakeClock
from tests.gateway.test_placement import Scene

SLOTS = 6
QUEUE = 24
CALL_SECONDS = 0.09
OBJECTIVE_SECONDS = 0.62
# Reports are taken and delivered this often, and are this old on arrival: 0.2
# to 0.4 s old while they count, 0.3 s on average.
REPORT_EVERY_SECONDS = 0.2
REPORT_AGE_SECONDS = 0.2
# The store's records and the first heartbeats are known from the beginning.
SETTLE_SECONDS = 2.5
# Longer than a whole queue takes.
DRAIN_SECONDS = 1.0


class SimulatedTarget:
    """Run calls in slots, queue some more and reject the others."""

    def __init__(self, slots=SLOTS, queue=QUEUE, seconds=CALL_SECONDS):
        self.slots = slots
        self.room = slots + queue
        self.seconds = seconds
        self.end_times = []
        self.arrivals = 0
        self.rejected = 0
        self.busy_seconds = 0.0

    def in_flight(self, now):
        self.end_times = sorted(end for end in self.end_times if end > now)
        return len(self.end_times)

    def accept(self, now, source):
        """Return when a call ends, None if it is rejected."""
        self.arrivals += 1
        count = self.in_flight(now)
        if count >= self.room:
            self.rejected += 1
            return None
        begins_at = now if count < self.slots else self.end_times[-self.slots]
        seconds = self.seconds * source.uniform(0.8, 1.2)
        self.busy_seconds += seconds
        self.end_times.append(begins_at + seconds)
        return self.end_times[-1]


class Timeline:
    """Run actions at their times on one clock."""

    def __init__(self):
        self.clock = FakeClock()
        self._events = []
        self._order = itertools.count()

    def schedule(self, seconds, action):
        at = self.clock.monotonic() + seconds
        heapq.heappush(self._events, (at, next(self._order), action))

    def run_until(self, at):
        while self._events and self._events[0][0] <= at:
            due_at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due_at - self.clock.monotonic()))
            action()
        self.clock.advance(max(0.0, at - self.clock.monotonic()))


class Counts:
    """Hold what became of the calls."""

    def __init__(self):
        self.calls = 0
        self.in_time = 0
        self.served = 0
        self.no_place = 0
        self.no_place_with_room = 0
        self.refused = 0
        self.retry_after_seconds = []


class PlaceReplay:
    """Replay calls of a region's hosts, each sent at most once."""

    def __init__(
        self,
        seed,
        hosts=21,
        targets=3,
        is_enabled=True,
        room=SLOTS + QUEUE,
        weights=None,
        region='north',
        timeline=None,
    ):
        self.region = region
        self.timeline = timeline or Timeline()
        self.clock = self.timeline.clock
        self.random = random.Random(seed)
        self.names = [f'{region[0]}{number}' for number in range(hosts)]
        self.weights = weights or [1] * hosts
        self.counts = Counts()
        self.targets = {
            f'i-{number}': SimulatedTarget(queue=room - SLOTS)
            for number in range(targets)
        }
        self.scenes = {
            name: self.new_host(name, is_enabled) for name in self.names
        }
        self.timeline.schedule(REPORT_EVERY_SECONDS, self._send_reports)

    @property
    def arrivals(self):
        return sum(target.arrivals for target in self.targets.values())

    @property
    def full(self):
        return sum(target.rejected for target in self.targets.values())

    @property
    def capacity_per_second(self):
        return len(self.targets) * SLOTS / CALL_SECONDS

    def new_host(self, name, is_enabled=True):
        overload = OverloadOptions(target_places=is_enabled)
        scene = Scene(name, self.clock, self.region, overload)
        scene.pace.update_hosts(self.names)
        scene.placer.place_shares.update_hosts(self.names)
        for instance in self.targets:
            data_centre = f'{self.region[0]}-1'
            target = scene.add(instance, 'desk', data_centre, slots=SLOTS)
            target.seconds_per_call = CALL_SECONDS
        return scene

    def settle(self):
        """Let the start of the hosts pass without calls."""
        self.timeline.run_until(self.clock.monotonic() + SETTLE_SECONDS)

    def drain(self):
        """Let the calls in flight end."""
        self.timeline.run_until(self.clock.monotonic() + DRAIN_SECONDS)

    def run(self, seconds, load):
        """Send calls at a multiple of the capacity for some seconds."""
        ends_at = self.clock.monotonic() + seconds
        per_second = self.capacity_per_second * load
        while True:
            at = self.clock.monotonic() + self.random.expovariate(per_second)
            if at > ends_at:
                break
            self.timeline.run_until(at)
            self.place_call()
        self.timeline.run_until(ends_at)

    def in_flight(self, instance):
        return self.targets[instance].in_flight(self.clock.monotonic())

    def busy_share(self, seconds):
        busy = sum(target.busy_seconds for target in self.targets.values())
        return busy / (seconds * SLOTS * len(self.targets))

    def has_room(self):
        return any(
            self.in_flight(name) < target.room
            for name, target in self.targets.items()
        )

    def draw_scene(self):
        return self.scenes[self.random.choices(self.names, self.weights)[0]]

    def place_call(self):
        scene = self.draw_scene()
        request = scene.request(
            0, 'desk', latency_objective_seconds=OBJECTIVE_SECONDS
        )
        self.counts.calls += 1
        choice = self.choose(scene, request)
        if isinstance(choice, Reject):
            self.counts.no_place += 1
            self.counts.no_place_with_room += self.has_room()
            self.counts.retry_after_seconds.append(choice.after_seconds)
            return
        assert isinstance(choice, SendTo), choice
        if not self.send(scene, request, choice, self._count_served):
            self.counts.refused += 1

    def choose(self, scene, request):
        return scene.choose(request)

    def send(self, scene, request, choice, on_served):
        """Send a call; return whether the target accepts it."""
        now = self.clock.monotonic()
        scene.placer.record_sent(choice, request)
        load = InFlightLoad(choice.estimate, request)
        target = choice.estimate.target
        ends_at = self.targets[target.record.instance].accept(now, self.random)
        if ends_at is None:
            load.release()
            reason = in_flight_load.FULL_REASON
            outcome = Outcome(Ending.NOT_RUN, reason)
            in_flight_load.learn_places(choice.estimate, outcome, now)
            return False
        self.timeline.schedule(
            ends_at - now, lambda: self._finish(choice.estimate, load, now)
        )
        self.timeline.schedule(ends_at - now, lambda: on_served(request))
        return True

    def _count_served(self, request):
        seconds = self.clock.monotonic() - request.received_at
        self.counts.served += 1
        self.counts.in_time += seconds <= OBJECTIVE_SECONDS

    def _finish(self, estimate, load, began_at):
        load.release()
        now = self.clock.monotonic()
        seconds = now - began_at
        outcome = Outcome(Ending.DELIVERED)
        in_flight_load.learn_places(estimate, outcome, now)
        in_slot = in_flight_load.call_seconds(estimate, seconds, now)
        target = estimate.target
        target.record_success(seconds, estimate.seconds)
        target.seconds_per_call += 0.1 * (in_slot - target.seconds_per_call)

    def _send_reports(self):
        sums, own = {}, {}
        for name in self.names:
            own[name] = {
                key: Load(load.requests)
                for key, load in self.scenes[name].targets.own_loads().items()
            }
            for key, load in own[name].items():
                sums.setdefault(key, Load()).add(load)
        self.timeline.schedule(
            REPORT_AGE_SECONDS, lambda: self._receive_reports(sums, own)
        )
        self.timeline.schedule(REPORT_EVERY_SECONDS, self._send_reports)

    def _receive_reports(self, sums, own):
        now = self.clock.monotonic()
        for name in self.names:
            others = {}
            for key, load in sums.items():
                mine = own.get(name, {}).get(key, Load())
                others[key] = Load(load.requests - mine.requests)
            self.scenes[name].targets.update_loads('sum', others, now)
