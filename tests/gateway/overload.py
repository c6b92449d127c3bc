"""Replay overload on several hosts with the real request path, no sockets."""

import asyncio
import heapq
import itertools
import random
from http import HTTPStatus

from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.decision import Reject
from jacinthfold.placement.late_placement import MIN_RETRY_AFTER_SECONDS
from jacinthfold.placement.retry_schedule import ReturnSchedule
from jacinthfold.placement.target import Load
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.attempt_hooks import AttemptHooks
from jacinthfold.proxy.forwarding import Forwarder
from jacinthfold.proxy.in_flight_load import InFlightLoad
from jacinthfold.proxy.key_gate import KeyGate
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.quarantine.quarantine import Quarantine
from tests.fakes import FakeClock
from tests.gateway import virtual_time
from tests.gateway.test_permit_order import SlowPermits
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue

REPORT_SECONDS = 0.3
LIMIT_REQUESTS = 64


class PriorityLock:
    """Let a few tasks in at a time, urgent ones first."""

    def __init__(self, count=1):
        self._free = count
        self._numbers = itertools.count()
        self._waiting = []

    async def acquire(self, priority):
        if self._free:
            self._free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._numbers), future)
        heapq.heappush(self._waiting, entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self):
        while self._waiting:
            future = heapq.heappop(self._waiting)[-1]
            if not future.done():
                future.set_result(None)
                return
        self._free += 1


class SimulatedEngine:
    """Prefill one prompt after another, urgent ones first, and decode."""

    def __init__(self, slots, tokens_per_second, hold_seconds):
        self.slots = PriorityLock(slots)
        self.prefill = PriorityLock()
        self.tokens_per_second = tokens_per_second
        self.hold_seconds = hold_seconds

    def accepts(self):
        return True

    async def run(self, request, on_first_event):
        await self.slots.acquire(request.priority)
        try:
            await self._prefill(request)
            on_first_event()
            await asyncio.sleep(self.hold_seconds)
        finally:
            self.slots.release()

    async def _prefill(self, request):
        await self.prefill.acquire(request.priority)
        try:
            tokens = request.facts.prompt_tokens
            await asyncio.sleep(tokens / self.tokens_per_second)
        finally:
            self.prefill.release()


class SimulatedService:
    """Run calls in slots, queue some and reject the others."""

    def __init__(self, slots, queue, call_seconds):
        self.limit = slots + queue
        self.slots = asyncio.Semaphore(slots)
        self.call_seconds = call_seconds
        self.count = 0

    def accepts(self):
        return self.count < self.limit

    async def run(self, request, on_first_event):
        self.count += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.call_seconds)
            on_first_event()
        finally:
            self.count -= 1


class Attempts:
    """Send requests of one host to the simulated targets."""

    def __init__(self, replay):
        self.replay = replay
        self.hooks = AttemptHooks()

    async def send_to_target(self, request, response, progress, estimate):
        target = estimate.target
        simulated = self.replay.simulated[target.record.instance]
        self.replay.sends += 1
        if not simulated.accepts():
            self.replay.rejected_as_full += 1
            return Outcome(Ending.NOT_RUN, 'target_refused_503')
        load = InFlightLoad(estimate, request)
        clock = self.replay.clock
        began_at = clock.monotonic()
        first_at = []

        def on_first_event():
            first_at.append(clock.monotonic())
            load.record_prefilled()
            response.first_at = clock.monotonic()

        try:
            progress.is_in_flight = True
            await simulated.run(request, on_first_event)
        finally:
            load.release()
        seconds = first_at[0] - began_at
        target.record_success(seconds, estimate.seconds)
        if not request.facts.prompt_tokens:
            target.seconds_per_call += 0.1 * (seconds - target.seconds_per_call)
        response.status = HTTPStatus.OK
        response.is_finished = True
        response.has_started = True
        return Outcome(Ending.DELIVERED)


class Response:
    """Record a response and its Retry-After."""

    def __init__(self):
        self.status = 0
        self.first_at = None
        self.has_started = False
        self.is_finished = False
        self.after_seconds = None

    async def send(self, status, headers, body):
        self.status = status
        self.is_finished = True
        self.after_seconds = dict(headers).get('after')


class Dialect:
    """Write the retry time as a number."""

    def gateway_headers(self, request_id):
        return []

    def retry_headers(self, after_seconds):
        return [('after', after_seconds)]


class Caller:
    """Hold what one caller wants and what it got."""

    def __init__(self, began_at, *, is_hasty=False, kind='', **fields):
        self.began_at = began_at
        self.fields = fields
        self.kind = kind
        self.is_hasty = is_hasty
        self.tries = 0
        self.rejected = 0
        self.held_in_vain = 0.0
        self.is_served = False
        self.is_in_time = False
        self.retried = False


class PlacesPlacer:
    """Keep a host to its places at each target, as target_places does."""

    def __init__(self, scene, places):
        self._scene = scene
        self._places = places
        self.classifier = scene.placer.classifier
        self.record_sent = scene.placer.record_sent

    def choose(self, request, tried, tried_regions, **options):
        taken = [
            target.record.instance
            for target in self._scene.targets.all()
            if target.own.requests >= self._places
        ]
        if len(taken) == len(self._scene.targets.all()):
            return Reject('no_place', 0.3)
        return self._scene.placer.choose(
            request, {*tried, *taken}, tried_regions, **options
        )


class Replay:
    """Replay callers on hosts that share simulated targets."""

    def __init__(self, hosts, limit_requests, seed=1, places=None):
        self.clock = FakeClock()
        self.places = places
        self.random = random.Random(seed)
        self.scenes = [Scene(f'h{n}', self.clock) for n in range(hosts)]
        self.simulated = {}
        self.sends = 0
        self.rejected_as_full = 0
        names = [f'h{n}' for n in range(hosts)]
        for scene in self.scenes:
            scene.pace.update_hosts(names)
        self.forwarders = [
            self._forwarder(scene, limit_requests) for scene in self.scenes
        ]
        self.callers = []

    def add_target(self, instance, simulated, service='model', **fields):
        self.simulated[instance] = simulated
        for scene in self.scenes:
            scene.add(instance, service, **fields)

    def run(self, callers):
        """Play the callers to their end."""
        self.callers = callers
        virtual_time.run(self.clock, self._play(callers))
        return callers

    async def _play(self, callers):
        reports = asyncio.ensure_future(self._report())
        begins_at = self.clock.monotonic()
        await asyncio.gather(
            *(self._call(caller, begins_at) for caller in callers)
        )
        reports.cancel()

    async def _call(self, caller, begins_at):
        await asyncio.sleep(caller.began_at)
        deadline = begins_at + caller.began_at + caller.fields['deadline']
        while not caller.is_served:
            response = await self._ask(caller, deadline)
            if caller.is_served or response.after_seconds is None:
                return
            after = response.after_seconds
            if caller.is_hasty and caller.tries < 5:
                after = 0.0
            # Callers honour a third of the time that they have left.
            if self.clock.monotonic() + after >= deadline:
                return
            await asyncio.sleep(after)
            caller.retried = True

    async def _ask(self, caller, deadline):
        now = self.clock.monotonic()
        number = self.random.randrange(len(self.scenes))
        fields = caller.fields
        request = self.scenes[number].request(
            fields['tokens'],
            fields['service'],
            latency_objective_seconds=fields['objective'],
            priority=fields.get('priority', 1),
        )
        request.deadline = deadline
        response = Response()
        caller.tries += 1
        await self.forwarders[number].serve(request, response)
        caller.is_served = response.status == HTTPStatus.OK
        if caller.is_served:
            first_at = response.first_at - now
            caller.is_in_time = first_at <= fields['objective']
        else:
            caller.rejected += 1
            caller.held_in_vain = max(
                caller.held_in_vain, self.clock.monotonic() - now
            )
        return response

    async def _report(self):
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            now = self.clock.monotonic()
            for scene in self.scenes:
                loads = {}
                for other in self.scenes:
                    if other is not scene:
                        for name, load in other.targets.own_loads().items():
                            loads.setdefault(name, Load()).add(load)
                scene.targets.update_loads('sum', loads, now)

    def _forwarder(self, scene, limit_requests):
        records, _ = catalogue(scene.clock)
        quarantine = Quarantine(scene.targets, None, scene.clock)
        metrics = ProxyMetrics()
        placer = scene.placer
        if self.places is not None:
            placer = PlacesPlacer(scene, self.places)
        made = Forwarder(
            placer,
            Attempts(self),
            RetryBudgets(0.2, 50, 10, scene.clock),
            quarantine,
            Admission(
                KeyGate(records, None), quarantine, SlowPermits(), metrics
            ),
            Dialect(),
            metrics,
            scene.clock,
        )
        waiting = made.placement.waiting
        waiting.set_limit(limit_requests)
        waiting.returns = ReturnSchedule(
            scene.clock,
            random.Random(self.random.random()),
            MIN_RETRY_AFTER_SECONDS,
        )
        return made


def arrivals(source, per_second, seconds, step=None):
    """Return the times of arrivals; step is begin, end and a factor."""
    times, now = [], 0.0
    while True:
        factor = 1.0
        if step is not None and step[0] <= now < step[1]:
            factor = step[2]
        now += source.expovariate(per_second * factor)
        if now >= seconds:
            return times
        times.append(now)
