"""Replay calls of a region's hosts to targets that fail and serve again."""

import heapq
import itertools
import random
import typing

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.placement.decision import SendTo
from jacinthfold.placement.target import Load
from jacinthfold.request.messages import ResponseFacts, ResponseHead
from tests.gateway.beating import Fleet

STEP_SECONDS = 0.01
PER_SECOND = 200
CALL_SECONDS = 0.05
# Time until a failure of a kind is known.
FAILURE_SECONDS = {
    'error': 0.02,
    'refused': 0.001,
    'busy': 0.005,
    'rest': 0.005,
    'silent': 1.5,
}
REST_SECONDS = 2.0


class Arrival(typing.NamedTuple):
    """Hold a request that arrived at a target."""

    at: float
    instance: str
    host: str
    is_failed: bool
    is_trial: bool
    is_repeatable: bool


class FailingReplay:
    """Hold hosts, the kind of failure of each target, and what arrived."""

    def __init__(
        self,
        hosts,
        targets=('i-1', 'i-2', 'i-3', 'i-4'),
        *,
        seed=1,
        per_second=PER_SECOND,
        repeatable_share=1.0,
    ):
        self.fleet = Fleet(hosts, seed=seed)
        self.clock, self.random = self.fleet.clock, self.fleet.random
        self.targets = targets
        self.per_second = per_second
        self.repeatable_share = repeatable_share
        # The kind of failure by target, for all hosts or for those named.
        self.kinds = {}
        self.cut_hosts = None
        self.arrivals = []
        # Times of requests that callers made.
        self.requests = []
        self._pending = []
        self._numbers = itertools.count()
        names = list(self.fleet.hosts)
        for name, host in self.fleet.hosts.items():
            host.scene.pace.update_hosts(names)
            # Hosts with the same random numbers would choose the same targets.
            host.scene.placer._random = random.Random(f'{seed} {name}')
            for instance in targets:
                target = host.scene.add(instance, 'desk', slots=6)
                target.seconds_per_call = CALL_SECONDS
        self.run(3.0, with_calls=False)

    @property
    def now(self):
        return self.clock.monotonic()

    def run(self, seconds, *, with_calls=True):
        """Advance the clock and place the calls that are due."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for host in self.fleet.hosts.values():
                if host.is_running and host.due_at <= self.now:
                    host.heartbeats.send_heartbeats()
                    interval = host.heartbeats._interval_seconds()
                    host.due_at = self.now + interval
            while self._pending and self._pending[0][0] <= self.now:
                heapq.heappop(self._pending)[-1]()
            expected = self.per_second * STEP_SECONDS
            for _ in range(int(expected + self.random.random())):
                if with_calls:
                    self._call()

    def failed(self, since, until=float('inf')):
        """Return the failed arrivals between two times."""
        return [
            one
            for one in self.arrivals
            if since <= one.at < until and one.is_failed
        ]

    def share(self, instance, since, hosts=None):
        """Return a target's part of the calls since a time, 1.0 for fair."""
        recent = [
            one
            for one in self.arrivals
            if one.at >= since and (hosts is None or one.host in hosts)
        ]
        own = sum(one.instance == instance for one in recent)
        return own * len(self.targets) / len(recent)

    def _call(self):
        names = list(self.fleet.running())
        name = self.random.choice(names)
        scene = self.fleet.hosts[name].scene
        is_repeatable = self.random.random() < self.repeatable_share
        policy = RetryPolicy.WHOLE if is_repeatable else RetryPolicy.NEVER
        request = scene.request(
            0, 'desk', latency_objective_seconds=0.6, retry_policy=policy
        )
        self.requests.append(self.now)
        self._place(name, request, ())

    def _place(self, name, request, tried):
        scene = self.fleet.hosts[name].scene
        choice = scene.choose(request, tried)
        if not isinstance(choice, SendTo):
            return
        scene.placer.record_sent(choice, request)
        target = choice.estimate.target
        instance = target.record.instance
        kind = self.kinds.get(instance)
        if self.cut_hosts is not None and name not in self.cut_hosts:
            kind = None
        self.arrivals.append(
            Arrival(
                self.now,
                instance,
                name,
                kind is not None,
                choice.estimate.is_trial,
                request.is_repeatable,
            )
        )
        target.own.add(Load(1))
        sent_at = self.now
        seconds = FAILURE_SECONDS[kind] if kind else CALL_SECONDS

        def finish():
            target.own.add(Load(-1))
            if kind is None:
                self._receive(target, ResponseHead(200, [], ResponseFacts()))
                target.record_served(sent_at, self.now)
                return
            self._fail(target, kind, sent_at)
            if request.is_repeatable or kind in {'refused', 'busy', 'rest'}:
                self._place(name, request, (*tried, instance))

        entry = (sent_at + seconds, next(self._numbers), finish)
        heapq.heappush(self._pending, entry)

    def _fail(self, target, kind, sent_at):
        if kind == 'rest':
            facts = ResponseFacts()
            facts.is_not_run = True
            facts.backoff_seconds = REST_SECONDS
            self._receive(target, ResponseHead(503, [], facts))
            target.failure_rate.record_backoff(REST_SECONDS, self.now)
            return
        target.record_failure(
            self.now,
            is_unreachable=kind == 'refused',
            sent_at=sent_at,
        )

    def _receive(self, target, head):
        target.pushback.record_answer(head, self.now, self.now)
