"""A target's limit is kept by all hosts together, however many there are."""

import random
from http import HTTPStatus

import pytest

from jacinthfold.fleet.digest_message import Digest
from jacinthfold.placement.decision import Refuse, SendTo
from jacinthfold.placement.limit_shares import GRANTED_SHARE
from jacinthfold.placement.returns import LONGEST_SECONDS
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import AnswerFacts, AnswerHead
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
    facts = AnswerFacts()
    facts.limit_per_second = per_second
    return AnswerHead(status, [], facts)


class Region:
    """Hold hosts that send to targets of which some are in need."""

    def __init__(self, hosts, targets=2, seed=1):
        self.fleet = Fleet(hosts, seed=seed)
        self.random = random.Random(seed)
        self.limits = {}
        self.arrivals = {f'i-{number}': [] for number in range(targets)}
        for instance in self.arrivals:
            self.fleet.add_target(instance)
        self.refused = []
        # Names of the hosts that callers are connected to, all by default.
        self.asked = None
        # The wire between hosts and targets: answers take a moment.
        self._answers = []

    @property
    def now(self):
        return self.fleet.clock.monotonic()

    def run(self, seconds, per_second):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.fleet.run(STEP_SECONDS)
            for host in self.fleet.running().values():
                names = [one.name for one in host.hosts.serving('north')]
                host.scene.placer.limit_shares.follow_hosts(names)
            self._answer()
            wanted = per_second * STEP_SECONDS
            count = int(wanted) + (self.random.random() < wanted % 1)
            for _ in range(count):
                self._ask()

    def _answer(self):
        for host, target, sent_at, per_second in self._answers:
            if host.is_running:
                clock = self.fleet.clock
                target.pushback.note_answer(
                    answer(per_second), sent_at, clock.monotonic()
                )
        self._answers = []

    def _ask(self):
        running = self.fleet.running()
        names = sorted(set(running).intersection(self.asked or running))
        host = running[self.random.choice(names)]
        request = host.scene.request(500)
        choice = host.scene.choose(request)
        if isinstance(choice, Refuse):
            self.refused.append((self.now, choice))
            return
        assert isinstance(choice, SendTo)
        host.scene.placer.note_sent(choice, request)
        target = choice.estimate.target
        instance = target.record.instance
        self.arrivals[instance].append(self.now)
        named = self.limits.get(instance)
        self._answers.append((host, target, self.now, named))

    def most(self, instance, since):
        return most_in_a_window(self.arrivals[instance], since)

    def per_second(self, instance, since):
        late = [at for at in self.arrivals[instance] if at >= since]
        return len(late) / (self.now - since)


@pytest.mark.parametrize('hosts', [1, 3, 24, 65])
@pytest.mark.parametrize('limit', [0.3, 1.2, 20.0])
def test_limit_holds_over_all_hosts_and_is_used(hosts, limit):
    """Guards against limits kept by each host alone, or split to nothing."""
    region = Region(hosts)
    region.run(5, per_second=150)
    region.limits = {instance: limit for instance in region.arrivals}
    since = region.now + CONTACT_SECONDS
    region.run(60, per_second=150)
    for instance in region.arrivals:
        assert region.most(instance, since) <= allowed(limit)
        assert region.per_second(instance, since) >= limit / 2


def test_limit_that_ends_is_forgotten_by_all_hosts():
    """Guards against targets that get nothing for good after their need."""
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
    """Guards against a limit held by a host that nobody asks."""
    region = Region(8)
    region.run(5, per_second=50)
    region.limits['i-0'] = 1.2
    region.run(10, per_second=50)
    first = next(
        name
        for name, host in region.fleet.hosts.items()
        if host.scene.placer.limit_shares._ranks.position('i-0') == 0
    )
    region.asked = set(region.fleet.hosts) - {first}
    since = region.now + CONTACT_SECONDS
    region.run(60, per_second=50)
    assert region.most('i-0', since) <= allowed(1.2)
    assert region.per_second('i-0', since) > 0.6


def test_limit_of_a_dead_holder_moves_on():
    """Guards against a limit that dies with the host that held it."""
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
    """Guards against two halves of a region that each use a whole limit."""
    region = Region(8)
    region.run(5, per_second=50)
    region.limits['i-0'] = 0.8
    region.run(10, per_second=50)
    half = {f'h{number:03}' for number in range(4)}
    region.fleet.is_lost = lambda one, other: (one in half) != (other in half)
    since = region.now
    region.run(30, per_second=50)
    assert region.most('i-0', since) <= allowed(0.8)


def test_all_targets_in_need_refuse_at_once_and_spread_returns():
    """Guards against callers that wait, or come back together for nothing."""
    region = Region(4)
    region.run(5, per_second=40)
    region.limits = {instance: 2.0 for instance in region.arrivals}
    since = region.now + CONTACT_SECONDS
    region.run(20, per_second=40)
    for instance in region.arrivals:
        assert region.most(instance, since) <= allowed(2.0)
    late = [choice for at, choice in region.refused if at >= since]
    assert {choice.reason for choice in late} == {'target_limits'}
    assert max(choice.after_seconds for choice in late) <= LONGEST_SECONDS + 1
    first = [choice.after_seconds for choice in late[:8]]
    assert len({round(after, 1) for after in first}) > 3


def test_urgent_requests_have_what_is_left():
    """Guards against questions that wait behind drafts for a small limit."""
    scene = Scene()
    target = scene.add('i-1')
    scene.clock.advance(10)
    target.pushback.note_answer(answer(1.0), 0.0, scene.clock.monotonic())
    # One request is saved up: enough for an urgent one alone.
    scene.choose(scene.request())
    scene.clock.advance(1.2 / GRANTED_SHARE)
    ordinary = scene.request()
    urgent = scene.request(priority=0)
    assert isinstance(scene.choose(ordinary), Refuse)
    assert isinstance(scene.choose(urgent), SendTo)


def test_request_chosen_before_the_limit_was_heard_is_not_sent():
    """Guards against a request that waited for its connection meanwhile."""
    scene = Scene()
    target = scene.add('i-1')
    request = scene.request()
    choice = scene.choose(request)
    scene.placer.note_sent(choice, request)
    counted = choice.estimate.is_counted
    assert not target.pushback.barrier_reason(0.0, is_counted=counted)
    target.pushback.note_answer(answer(1.0), 0.0, scene.clock.monotonic())
    assert (
        target.pushback.barrier_reason(0.0, is_counted=counted)
        == 'target_limit'
    )
    assert not target.pushback.barrier_reason(0.0, is_counted=True)


def test_gate_before_the_send_asks_the_target():
    """Guards against a send that goes by the choice of a while ago."""
    scene = Scene()
    request = scene.request()
    progress = Progress(request)
    delivery = Delivery(request, None, progress, None, scene.clock)
    assert not delivery.barrier_reason
    delivery.target_barrier = lambda: 'target_limit'
    assert delivery.barrier_reason == 'target_limit'


def test_answer_of_another_target_says_nothing_of_this_one():
    """Guards against an address that is used again by another target."""
    scene = Scene()
    target = scene.add('i-1')
    wrong = answer(1.0, HTTPStatus.MISDIRECTED_REQUEST)
    target.pushback.note_answer(wrong, 0.0, scene.clock.monotonic())
    assert target.pushback.limit.per_second is None


def test_failed_answer_does_not_end_a_limit():
    """Guards against a limit that the target's errors lift."""
    scene = Scene()
    target = scene.add('i-1')
    target.pushback.note_answer(answer(1.0), 0.0, scene.clock.monotonic())
    scene.clock.advance(1)
    sent_at = scene.clock.monotonic()
    target.pushback.note_answer(
        answer(None, 500), sent_at, scene.clock.monotonic()
    )
    assert target.pushback.limit.per_second == 1.0
    target.pushback.note_answer(answer(None), sent_at, scene.clock.monotonic())
    assert target.pushback.limit.per_second is None


def test_next_life_has_no_limit_and_late_answers_don_t_mark_it():
    """Guards against a limit that outlives the process that named it."""
    scene = Scene()
    first = scene.add('i-1', started_at_ms=1)
    first.pushback.note_answer(answer(1.0), 0.0, scene.clock.monotonic())
    again = scene.add('i-1', started_at_ms=born_now(scene))
    first.pushback.note_answer(answer(1.0), 0.0, scene.clock.monotonic())
    assert again.pushback.limit.per_second is None


@pytest.mark.parametrize(
    'word',
    [
        (float('nan'), 0, 0),
        (-1.0, 0, 0),
        (float('inf'), 0, 0),
        (1.0, -5, 0),
        (1.0, 0, -1),
        (1.0, 0, 10**15),
    ],
)
def test_words_that_are_none_change_nothing(word):
    """Guards against a neighbour's figures that no target can have named."""
    region = Region(2)
    host = region.fleet.hosts['h000']
    digest = Digest('north', 'n-2', 'x', 1, '10.9.9.9', 0, 1, 0, [])
    digest.limits = {'i-0': word}
    host.heartbeats._digest_view.apply(digest)
    assert host.scene.targets.find('i-0').pushback.limit.per_second is None


def test_limit_outlives_a_record_that_lapses():
    """Guards against a target in need that the store's outage makes new."""
    scene = Scene()
    target = scene.add('i-1', started_at_ms=1)
    target.pushback.note_answer(answer(1.0), 0.0, scene.clock.monotonic())
    scene.targets.remove('i-1')
    scene.clock.advance(5)
    assert scene.targets.forget_gone() == [target]
    again = scene.add('i-1', started_at_ms=1)
    assert again.pushback.limit.per_second == 1.0
    assert (
        scene.add(
            'i-1', started_at_ms=born_now(scene)
        ).pushback.limit.per_second
        is None
    )
