"""A target's request limit holds for any number of hosts together."""

import random
from http import HTTPStatus

import pytest

from jacinthfold.fleet.digest_message import Digest
from jacinthfold.placement.decision import Reject, SendTo
from jacinthfold.placement.limit_shares import GRANTED_FRACTION
from jacinthfold.placement.retry_schedule import MAX_RETRY_AFTER_SECONDS
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import ResponseFacts, ResponseHead
from tests.gateway.beating import Fleet
from tests.gateway.limited_targets import (
    CONTACT_SECONDS,
    allowed,
    born_now,
    most_in_a_window,
)
from tests.gateway.test_placement import Scene

STEP_SECONDS = 0.1


def answer(per_second, status=HTTPStatus.OK):
    facts = ResponseFacts()
    facts.limit_per_second = per_second
    return ResponseHead(status, [], facts)


class Region:
    """Simulate hosts that send to targets, some of them with limits."""

    def __init__(self, hosts, targets=2, seed=1):
        self.fleet = Fleet(hosts, seed=seed)
        self.random = random.Random(seed)
        self.limits = {}
        self.arrivals = {f'i-{number}': [] for number in range(targets)}
        for instance in self.arrivals:
            self.fleet.add_target(instance)
        self.rejected = []
        # Names of the hosts that have callers, all by default.
        self.connected = None
        # Answers in transit: each arrives in the next step.
        self._answers = []

    @property
    def now(self):
        return self.fleet.clock.monotonic()

    def run(self, seconds, per_second):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.fleet.run(STEP_SECONDS)
            for host in self.fleet.running().values():
                names = [one.name for one in host.hosts.serving('north')]
                host.scene.placer.limit_shares.update_hosts(names)
            self._answer()
            wanted = per_second * STEP_SECONDS
            count = int(wanted) + (self.random.random() < wanted % 1)
            for _ in range(count):
                self._send_request()

    def _answer(self):
        for host, target, sent_at, per_second in self._answers:
            if host.is_running:
                clock = self.fleet.clock
                target.pushback.record_answer(
                    answer(per_second), sent_at, clock.monotonic()
                )
        self._answers = []

    def _send_request(self):
        running = self.fleet.running()
        names = sorted(set(running).intersection(self.connected or running))
        host = running[self.random.choice(names)]
        request = host.scene.request(500)
        choice = host.scene.choose(request)
        if isinstance(choice, Reject):
            self.rejected.append((self.now, choice))
            return
        assert isinstance(choice, SendTo)
        host.scene.placer.record_sent(choice, request)
        target = choice.estimate.target
        instance = target.record.instance
        self.arrivals[instance].append(self.now)
        named = self.limits.get(instance)
        self._answers.append((host, target, self.now, named))

    def most(self, instance, since):
        return most_in_a_window(self.arrivals[instance], since)

    def per_second(self, instance, since):
        recent = [at for at in self.arrivals[instance] if at >= since]
        return len(recent) / (self.now - since)


@pytest.mark.parametrize('hosts', [1, 3, 24, 65])
@pytest.mark.parametrize('limit', [0.3, 1.2, 20.0])
def test_limit_holds_over_all_hosts_and_is_used(hosts, limit):
    """Guards against limits per host, and against shares too small to use."""
    region = Region(hosts)
    region.run(5, per_second=150)
    region.limits = {instance: limit for instance in region.arrivals}
    since = region.now + CONTACT_SECONDS
    region.run(60, per_second=150)
    for instance in region.arrivals:
        assert region.most(instance, since) <= allowed(limit)
        assert region.per_second(instance, since) >= limit / 2


def test_limit_that_ends_is_forgotten_by_all_hosts():
    """Guards against targets that get no requests after a limit ended."""
    region = Region(24)
    region.run(5, per_second=100)
    region.limits['i-0'] = 1.2
    region.run(20, per_second=100)
    region.limits.clear()
    region.run(10, per_second=100)
    limits = {
        host.scene.targets.find('i-0').pushback.limit.per_second
        for host in region.fleet.running().values()
    }
    assert limits == {None}
    since = region.now
    region.run(10, per_second=100)
    assert region.per_second('i-0', since) > 25


def test_limit_of_a_holder_without_callers_moves_on():
    """Guards against a limit that is held by a host without callers."""
    region = Region(8)
    region.run(5, per_second=50)
    region.limits['i-0'] = 1.2
    region.run(10, per_second=50)
    first = next(
        name
        for name, host in region.fleet.hosts.items()
        if host.scene.placer.limit_shares._ranks.position('i-0') == 0
    )
    region.connected = set(region.fleet.hosts) - {first}
    since = region.now + CONTACT_SECONDS
    region.run(60, per_second=50)
    assert region.most('i-0', since) <= allowed(1.2)
    assert region.per_second('i-0', since) > 0.6


def test_limit_of_a_dead_holder_moves_on():
    """Guards against a limit that is lost with the host that held it."""
    region = Region(8)
    region.run(5, per_second=50)
    region.limits['i-0'] = 1.2
    region.run(10, per_second=50)
    for host in region.fleet.hosts.values():
        if host.scene.placer.limit_shares._ranks.position('i-0') == 0:
            host.is_running = False
    since = region.now
    region.run(40, per_second=50)
    assert region.most('i-0', since) <= allowed(1.2)
    assert region.per_second('i-0', since + 20) >= 0.6


def test_hosts_cut_from_each_other_keep_a_small_limit():
    """Guards against two partitions of a region that each use the limit."""
    region = Region(8)
    region.run(5, per_second=50)
    region.limits['i-0'] = 0.8
    region.run(10, per_second=50)
    partition = {f'h{number:03}' for number in range(4)}
    region.fleet.is_lost = lambda one, other: (
        (one in partition) != (other in partition)
    )
    since = region.now
    region.run(30, per_second=50)
    assert region.most('i-0', since) <= allowed(0.8)


def test_all_limited_targets_reject_at_once_and_spread_retries():
    """Guards against callers that wait, or all retry at the same time."""
    region = Region(4)
    region.run(5, per_second=40)
    region.limits = {instance: 2.0 for instance in region.arrivals}
    since = region.now + CONTACT_SECONDS
    region.run(20, per_second=40)
    for instance in region.arrivals:
        assert region.most(instance, since) <= allowed(2.0)
    recent = [choice for at, choice in region.rejected if at >= since]
    assert {choice.reason for choice in recent} == {'target_limits'}
    assert (
        max(choice.after_seconds for choice in recent)
        <= MAX_RETRY_AFTER_SECONDS + 1
    )
    first = [choice.after_seconds for choice in recent[:8]]
    assert len({round(after, 1) for after in first}) > 3


def test_reserve_is_left_for_urgent_requests():
    """Guards against urgent requests that wait for ordinary ones."""
    scene = Scene()
    target = scene.add('i-1')
    scene.clock.advance(10)
    target.pushback.record_answer(answer(1.0), 0.0, scene.clock.monotonic())
    # One request is in the bucket: enough for an urgent one only.
    scene.choose(scene.request())
    scene.clock.advance(1.2 / GRANTED_FRACTION)
    ordinary = scene.request()
    urgent = scene.request(priority=0)
    assert isinstance(scene.choose(ordinary), Reject)
    assert isinstance(scene.choose(urgent), SendTo)


def test_request_chosen_before_the_limit_was_reported_is_not_sent():
    """Guards against a request that waits for a connection meanwhile."""
    scene = Scene()
    target = scene.add('i-1')
    request = scene.request()
    choice = scene.choose(request)
    scene.placer.record_sent(choice, request)
    counted = choice.estimate.is_counted
    assert not target.pushback.rejection_reason(0.0, is_counted=counted)
    target.pushback.record_answer(answer(1.0), 0.0, scene.clock.monotonic())
    assert (
        target.pushback.rejection_reason(0.0, is_counted=counted)
        == 'target_limit'
    )
    assert not target.pushback.rejection_reason(0.0, is_counted=True)


def test_target_is_checked_before_the_send():
    """Guards against a send without a last check of the target's state."""
    scene = Scene()
    request = scene.request()
    progress = Progress(request)
    delivery = Delivery(request, None, progress, None, scene.clock)
    assert not delivery.rejection_reason
    delivery.target_rejection = lambda: 'target_limit'
    assert delivery.rejection_reason == 'target_limit'


def test_misdirected_answer_sets_no_limit():
    """Guards against an address that another target has taken over."""
    scene = Scene()
    target = scene.add('i-1')
    wrong = answer(1.0, HTTPStatus.MISDIRECTED_REQUEST)
    target.pushback.record_answer(wrong, 0.0, scene.clock.monotonic())
    assert target.pushback.limit.per_second is None


def test_failed_answer_does_not_end_a_limit():
    """Guards against a limit that ends with an error of the target."""
    scene = Scene()
    target = scene.add('i-1')
    target.pushback.record_answer(answer(1.0), 0.0, scene.clock.monotonic())
    scene.clock.advance(1)
    sent_at = scene.clock.monotonic()
    target.pushback.record_answer(
        answer(None, 500), sent_at, scene.clock.monotonic()
    )
    assert target.pushback.limit.per_second == 1.0
    target.pushback.record_answer(
        answer(None), sent_at, scene.clock.monotonic()
    )
    assert target.pushback.limit.per_second is None


def test_next_incarnation_has_no_limit_and_ignores_late_answers():
    """Guards against a limit that outlives the process that set it."""
    scene = Scene()
    first = scene.add('i-1', started_at_ms=1)
    first.pushback.record_answer(answer(1.0), 0.0, scene.clock.monotonic())
    again = scene.add('i-1', started_at_ms=born_now(scene))
    first.pushback.record_answer(answer(1.0), 0.0, scene.clock.monotonic())
    assert again.pushback.limit.per_second is None


@pytest.mark.parametrize(
    'report',
    [
        (float('nan'), 0, 0),
        (-1.0, 0, 0),
        (float('inf'), 0, 0),
        (1.0, -5, 0),
        (1.0, 0, -1),
        (1.0, 0, 10**15),
    ],
)
def test_invalid_limit_reports_are_ignored(report):
    """Guards against invalid values in another host's report."""
    region = Region(2)
    host = region.fleet.hosts['h000']
    digest = Digest('north', 'n-2', 'x', 1, '10.9.9.9', 0, 1, 0, [])
    digest.limits = {'i-0': report}
    host.heartbeats._digest_view.apply(digest)
    assert host.scene.targets.find('i-0').pushback.limit.per_second is None


def test_limit_outlives_a_record_that_lapses():
    """Guards against a limit that is lost in an outage of the store."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=1)
    target.pushback.record_answer(answer(1.0), 0.0, scene.clock.monotonic())
    scene.targets.remove('i-1')
    scene.clock.advance(5)
    assert scene.targets.drop_expired() == [target]
    again = scene.add('i-1', started_at_ms=1)
    assert again.pushback.limit.per_second == 1.0
    assert (
        scene.add(
            'i-1', started_at_ms=born_now(scene)
        ).pushback.limit.per_second
        is None
    )
