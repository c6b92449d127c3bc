"""Replay plain calls of two regions that relay to each other."""

import random

from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.decision import Reject, RelayTo
from jacinthfold.placement.regions import RegionReport
from jacinthfold.request.messages import Request
from tests.gateway.place_replay import (
    OBJECTIVE_SECONDS,
    PlaceReplay,
    Timeline,
)

TRIP_SECONDS = 0.055
REGION_REPORT_EVERY_SECONDS = 0.4
MAX_SENDS = 3


class Call:
    """Hold a call at the host that its caller sent it to."""

    def __init__(self, side, scene, request):
        self.side = side
        self.scene = scene
        self.request = request
        self.tried = set()
        self.tried_regions = set()
        self.sends = 0


class RegionsReplay:
    """Replay the calls of hosts, which retry what has not run."""

    def __init__(self, seed, sizes, is_enabled=True):
        self.random = random.Random(seed)
        self.timeline = Timeline()
        self.sides = {
            region: PlaceReplay(
                seed,
                hosts,
                targets,
                is_enabled,
                region=region,
                timeline=self.timeline,
            )
            for region, (hosts, targets) in sizes.items()
        }
        # The hosts' budgets add up to this one.
        self.budgets = RetryBudgets(0.2, 50, 10, self.timeline.clock)
        self.calls = 0
        self.in_time = 0
        self.rejected = 0
        self.relayed = 0
        self.relayed_rejected = 0
        self.timeline.schedule(
            REGION_REPORT_EVERY_SECONDS, self._report_regions
        )
        for side in self.sides.values():
            side.settle()

    @property
    def arrivals(self):
        return sum(side.arrivals for side in self.sides.values())

    @property
    def full(self):
        return sum(side.full for side in self.sides.values())

    def run(self, seconds, loads):
        """Send calls at multiples of each region's capacity."""
        clock = self.timeline.clock
        ends_at = clock.monotonic() + seconds
        rates = {
            side: side.capacity_per_second * loads[region]
            for region, side in self.sides.items()
        }
        while True:
            pause = self.random.expovariate(sum(rates.values()))
            if clock.monotonic() + pause > ends_at:
                break
            self.timeline.run_until(clock.monotonic() + pause)
            side = self.random.choices([*rates], [*rates.values()])[0]
            self._start_call(side)
        self.timeline.run_until(ends_at + 3.0)

    def _start_call(self, side):
        scene = side.draw_scene()
        request = scene.request(
            0, 'desk', latency_objective_seconds=OBJECTIVE_SECONDS
        )
        self.calls += 1
        self.budgets.record_request('desk')
        self._attempt(Call(side, scene, request))

    def _attempt(self, call):
        choice = call.scene.choose(call.request, call.tried, call.tried_regions)
        if isinstance(choice, Reject) or not self._may_send(call):
            self.rejected += 1
            return
        call.sends += 1
        if isinstance(choice, RelayTo):
            self._relay(call, choice)
            return
        call.tried.add(choice.estimate.target.record.instance)
        if not call.side.send(
            call.scene, call.request, choice, self._count_served
        ):
            self._attempt(call)

    def _may_send(self, call):
        if not call.sends:
            return True
        return call.sends < MAX_SENDS and self.budgets.try_spend('desk')

    def _relay(self, call, choice):
        self.relayed += 1
        call.tried_regions.add(choice.region.name)
        call.scene.regions.record_relayed(call.request, choice.region)
        other = self.sides[choice.region.name]
        name = self.random.choice(choice.region.hosts)
        self.timeline.schedule(
            TRIP_SECONDS, lambda: self._arrive(call, other, name)
        )

    def _arrive(self, call, side, name):
        scene = side.scenes[name]
        request = Request(b'POST', b'/x', [], b'', call.request.facts)
        request.route = call.request.route
        request.service_name = call.request.service_name
        request.received_at = call.request.received_at
        request.deadline = call.request.deadline
        request.is_relayed = True
        choice = scene.choose(request)
        is_sent = not isinstance(choice, Reject) and side.send(
            scene,
            request,
            choice,
            lambda one: self.timeline.schedule(
                TRIP_SECONDS, lambda: self._count_served(one)
            ),
        )
        if not is_sent:
            self.relayed_rejected += 1
            self.timeline.schedule(TRIP_SECONDS, lambda: self._attempt(call))

    def _count_served(self, request):
        seconds = self.timeline.clock.monotonic() - request.received_at
        self.in_time += seconds <= OBJECTIVE_SECONDS

    def _report_regions(self):
        for region, side in self.sides.items():
            for name, scene in side.scenes.items():
                wait = scene.placer.least_wait_seconds('desk', is_urgent=False)
                waits = {} if wait is None else {'desk': (wait, wait)}
                self._send_report(region, name, waits, len(side.targets))
        self.timeline.schedule(
            REGION_REPORT_EVERY_SECONDS, self._report_regions
        )

    def _send_report(self, region, name, waits, target_count):
        def receive():
            now = self.timeline.clock.monotonic()
            for other, side in self.sides.items():
                if other == region:
                    continue
                for scene in side.scenes.values():
                    counts = {'desk': target_count}
                    report = RegionReport(region, now, waits, counts)
                    scene.regions.update(name, report)

        self.timeline.schedule(TRIP_SECONDS, receive)
