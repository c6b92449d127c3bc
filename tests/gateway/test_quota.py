"""Caps over all hosts: leased shares, pools and the limit of a window."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.organisations.model import Cap
from jacinthfold.quota.bounds import (
    HALVES,
    PERMIT_LIFETIME_SECONDS,
    RECOVERY_MARGIN_SECONDS,
    SHARE_LEASE_SECONDS,
    CapRate,
    Window,
)
from jacinthfold.quota.issuer import Issuer
from jacinthfold.quota.messages import ShareResponse
from jacinthfold.quota.pool import MAX_WAIT_SECONDS, OrganisationPool

WINDOW = Window(8, 0.1, 140000)
# The smallest configured cap and one of the larger ones, in tokens.
CAPS = (36000, 1550000)


def cap(per_second, burst=None):
    return Cap(
        per_second,
        per_second if burst is None else burst,
        counts_tokens=True,
        default_tokens=200,
    )


def window_limit(per_second, burst, window=WINDOW):
    """Return the limit of a window."""
    regular_limit = per_second * window.seconds + burst
    return regular_limit * (1 + window.excess) + window.slack


def share_response(half, number, share, seconds=SHARE_LEASE_SECONDS):
    return ShareResponse('o', half, number, share, seconds)


class SimulatedPool:
    """Pool of a simulated region, whose process may restart."""

    def __init__(self, name, cap_rate, now):
        self.name = name
        self.cap_rate = cap_rate
        self.incarnation = 0
        self.granted = []
        self.start(now)

    def start(self, now):
        self.incarnation += 1
        self.pool = OrganisationPool(self.cap_rate, now)

    def acquire(self, cost, now):
        def on_decision(rejection):
            if rejection is None:
                self.granted.append((now, cost))

        self.pool.acquire(cost, now, on_decision)


class Simulation:
    """Pools and issuers on a network that delays, loses and repeats."""

    def __init__(self, seed, per_second=36000, regions=3):
        self.random = random.Random(seed)
        self.now = 100.0
        self.cap_rate = CapRate(cap(per_second), WINDOW)
        self.holders = [
            SimulatedPool(f'pool-{number}', self.cap_rate, self.now)
            for number in range(regions)
        ]
        self.issuers = [
            Issuer(self.now, self.cap_rate.recovery_share)
            for _ in range(HALVES)
        ]
        self.in_flight = []
        self.most_held = 0.0
        self.partitioned = set()

    def held(self):
        return sum(one.pool.held(self.now) for one in self.holders)

    def send(self, deliver, name):
        copies = self.random.choice((0, 1, 1, 1, 1, 1, 2))
        for _ in range(copies if name not in self.partitioned else 0):
            delay = self.random.choice((0.001, 0.06, 0.06, 0.2, 1.5))
            self.in_flight.append(
                (self.now + delay, self.random.random(), deliver)
            )

    def request_shares(self, holder):
        for half in range(HALVES):
            self.request_share(holder, half)

    def request_share(self, holder, half):
        pool = holder.pool
        share = pool.shares[half]
        held = share.held(self.now)
        number = share.start_request(self.now)
        wanted = pool.wanted(self.now)
        incarnation, issuer = holder.incarnation, self.issuers[half]

        def deliver_request():
            # A replaced issuer no longer responds.
            if issuer is not self.issuers[half]:
                return
            lease = issuer.grant(
                holder.name,
                incarnation,
                number,
                held=held,
                wanted=wanted,
                now=self.now,
            )
            if lease is not None:
                self.send(lambda: deliver_response(lease), holder.name)

        def deliver_response(lease):
            if holder.incarnation == incarnation:
                response = share_response(
                    half, number, lease.share, lease.seconds
                )
                pool.handle_response(response, self.now)

        self.send(deliver_request, holder.name)

    def step(self, seconds=0.05):
        self.now += seconds
        due = sorted(one for one in self.in_flight if one[0] <= self.now)
        self.in_flight = [one for one in self.in_flight if one[0] > self.now]
        for _, _, deliver in due:
            deliver()
        for holder in self.holders:
            holder.pool.serve_waiting(self.now)
        self.most_held = max(self.most_held, self.held())

    def replace_issuer(self, half):
        """Start an issuer without state, as after a crash.

        Its predecessor has stopped when its store lease expired, but the shares
        that it leased are still spent for a while.
        """
        self.issuers[half] = Issuer(self.now, self.cap_rate.recovery_share)


@pytest.mark.parametrize('per_second', CAPS)
@pytest.mark.parametrize('seed', range(40))
def test_no_window_exceeds_its_limit(seed, per_second):
    """Three regions request far more than the cap for half a minute.

    Messages are delayed, lost and repeated, regions lose contact with the
    issuer, pools restart empty, and the issuer is replaced by one without
    state. Shares leased twice would show as a window above cap, excess and
    slack.
    """
    simulation = Simulation(seed, per_second)
    for tick in range(700):
        for holder in simulation.holders:
            if tick % 5 == 0:
                simulation.request_shares(holder)
            for _ in range(3):
                cost = simulation.random.choice((200, 2400, 12000, 70000))
                holder.acquire(cost, simulation.now)
            if simulation.random.random() < 0.004:
                holder.start(simulation.now)
            if simulation.random.random() < 0.01:
                simulation.partitioned ^= {holder.name}
        if simulation.random.random() < 0.008:
            simulation.replace_issuer(simulation.random.randrange(HALVES))
        simulation.step()
    granted = sorted(pair for one in simulation.holders for pair in one.granted)
    assert granted
    # Permits may be used until they expire.
    span = WINDOW.seconds + PERMIT_LIFETIME_SECONDS
    for start, _ in granted:
        inside = sum(cost for at, cost in granted if start <= at < start + span)
        assert inside <= window_limit(per_second, per_second)


@pytest.mark.parametrize('seed', range(20))
def test_shares_never_exceed_the_cap_after_recovery(seed):
    """Regions lose responses and contact; the issuer keeps running.

    After its recovery no more than the whole cap may be held at any time,
    whatever messages were lost.
    """
    simulation = Simulation(seed)
    most = 0.0
    for tick in range(600):
        for holder in simulation.holders:
            if tick % 5 == 0:
                simulation.request_shares(holder)
            holder.acquire(
                simulation.random.choice((0, 2400, 30000)), simulation.now
            )
            if simulation.random.random() < 0.01:
                simulation.partitioned ^= {holder.name}
        simulation.step()
        if simulation.now > 100 + 2 * SHARE_LEASE_SECONDS + 1:
            most = max(most, simulation.held())
    assert 0.5 < most <= 1 + 1e-9


def simulate_steady_demand(demands, seconds=12, seed=3):
    """Simulate regions with a demand in requests of 2,400 tokens a second."""
    simulation = Simulation(seed)
    simulation.random.choice = lambda options: options[2]
    requested = rejected = 0
    for tick in range(int(seconds / 0.05)):
        for holder, per_second in zip(simulation.holders, demands, strict=True):
            if tick % 5 == 0:
                simulation.request_shares(holder)
            due = int((tick + 1) * 0.05 * per_second) - int(
                tick * 0.05 * per_second
            )
            for _ in range(due):
                if simulation.now > 100 + SHARE_LEASE_SECONDS + 1:
                    requested += 1
                    before = len(holder.granted)
                    holder.acquire(2400, simulation.now)
                    # A short wait is no rejection.
                    if len(holder.granted) == before:
                        rejected += not holder.pool.has_waiting
                else:
                    holder.acquire(2400, simulation.now)
        simulation.step()
    return requested, rejected


@pytest.mark.parametrize(
    'demands', [(8, 0.5, 0.5), (3, 3, 3), (0.5, 8, 0.5), (9, 0, 0)]
)
def test_demand_below_the_cap_is_not_rejected(demands):
    """The total demand is nine tenths of the cap, in any distribution.

    Either one region has its peak while the others are idle, or all are equal.
    A split that doesn't follow the demand would reject most requests.
    """
    requested, rejected = simulate_steady_demand(demands)
    assert requested > 50
    assert rejected <= 0.01 * requested


def test_share_follows_a_peak_to_another_region_within_two_seconds():
    """The peak of one region ends as that of another one starts."""
    simulation = Simulation(5)
    simulation.random.choice = lambda options: options[2]
    for tick in range(240):
        busy, calm = (
            simulation.holders[:2] if tick < 120 else simulation.holders[1::-1]
        )
        if tick % 5 == 0:
            for holder in simulation.holders:
                simulation.request_shares(holder)
        if tick % 2 == 0:
            busy.acquire(2400, simulation.now)
        if tick % 40 == 0:
            calm.acquire(2400, simulation.now)
        simulation.step()
        if tick == 160:
            assert simulation.holders[1].pool.held(simulation.now) > 0.6


def test_late_response_to_an_earlier_request_is_ignored():
    """The issuer relies on the held share that a request reports.

    If the pool then applied a response to an earlier request, it would spend a
    share that the issuer has leased to another pool.
    """
    pool = OrganisationPool(CapRate(cap(36000), WINDOW), 0.0)
    first = pool.shares[0].start_request(0.0)
    second = pool.shares[0].start_request(0.5)
    pool.handle_response(share_response(0, first, 0.8), 0.6)
    assert pool.shares[0].held(0.6) == 0
    pool.handle_response(share_response(0, second, 0.2), 0.7)
    assert pool.shares[0].held(0.7) == 0.2


def test_share_of_a_silent_pool_is_not_leased_before_it_expires():
    """A pool is partitioned with half of the cap and keeps spending it."""
    issuer = Issuer(0.0, 0.0)
    now = 2 * SHARE_LEASE_SECONDS
    first = issuer.grant('a', 1, 1, held=0, wanted=1, now=now)
    assert first.share == pytest.approx(0.9)
    second = issuer.grant('b', 1, 1, held=0, wanted=1, now=now + 1)
    assert second.share == pytest.approx(0.1)
    later = now + SHARE_LEASE_SECONDS + 0.1
    last = issuer.grant('b', 1, 2, held=0.1, wanted=1, now=later)
    assert last.share > 0.8


def test_new_issuer_leases_nothing_that_may_be_held():
    """An issuer replaced a crashed one, and one pool has not reported yet.

    That pool may still spend all that the others don't hold. Until its share
    has expired, the new issuer only renews held shares and adds the recovery
    share.
    """
    issuer = Issuer(10.0, 0.1)
    first = issuer.grant('a', 1, 7, held=0.4, wanted=1, now=10.5)
    assert first.share == pytest.approx(0.5)
    # What may be leased twice expires as soon as all holders are known.
    assert first.seconds < SHARE_LEASE_SECONDS
    other = issuer.grant('b', 1, 3, held=0, wanted=1, now=10.6)
    assert other.share == 0


def test_pool_created_again_gets_shares():
    """An idle organisation's pool is dropped and created again.

    The same process creates it again. The issuer, which no other pool uses,
    still knows the last request number. If the new pool repeated the numbers
    of the previous one, the issuer would ignore its requests as outdated, and
    the organisation would be rejected forever.
    """
    issuer = Issuer(0.0, 0.0)
    cap_rate = CapRate(cap(36000), WINDOW)
    for now in (100.0, 130.0):
        pool = OrganisationPool(cap_rate, now)
        for requested_at in (now, now + 0.3, now + 0.6):
            number = pool.shares[0].start_request(requested_at)
            lease = issuer.grant(
                'a', 1, number, held=0, wanted=1, now=requested_at
            )
            assert lease is not None
            assert lease.share > 0


def test_restarted_pool_holds_nothing():
    issuer = Issuer(0.0, 0.0)
    now = 2 * SHARE_LEASE_SECONDS
    issuer.grant('a', 1, 1, held=0, wanted=1, now=now)
    # A late request of the previous process is ignored.
    assert issuer.grant('a', 2, 1, held=0, wanted=1, now=now + 1).share > 0.8
    assert issuer.grant('a', 1, 2, held=0.9, wanted=1, now=now + 1) is None
    assert issuer.total_outstanding(now + 1) <= 1


@given(
    st.floats(1, 1e7),
    st.floats(0, 1e7),
    st.floats(1, 60),
    st.floats(0, 1),
    st.floats(0, 1e6),
)
def test_cap_rate_fits_every_window(per_second, burst, seconds, excess, slack):
    """Rate and bursts stay below the window's limit for any configuration."""
    window = Window(seconds, excess, slack)
    cap_rate = CapRate(cap(per_second, burst), window)
    span = seconds + PERMIT_LIFETIME_SECONDS
    seconds = SHARE_LEASE_SECONDS + RECOVERY_MARGIN_SECONDS
    extra = cap_rate.recovery_share * cap_rate.per_second * seconds
    most = cap_rate.per_second * span + cap_rate.burst + extra
    assert 0 < cap_rate.per_second <= per_second
    assert most <= window_limit(per_second, burst, window)


def pool_with_shares(share=0.9, per_second=36000):
    pool = OrganisationPool(CapRate(cap(per_second), WINDOW), 0.0)
    renew(pool, 0.0, share)
    return pool


def renew(pool, now, share=0.9):
    for half, one in enumerate(pool.shares):
        pool.handle_response(
            share_response(half, one.start_request(now), share), now
        )


def test_rejection_says_when_tokens_are_available():
    """An organisation without burst left sends a request of 30,000 tokens."""
    pool = pool_with_shares()
    decisions = []
    renew(pool, 0.1)
    pool.acquire(30000, 0.1, decisions.append)
    assert decisions[0].is_over_cap
    after = decisions[0].retry_after_seconds
    rate = 0.9 * pool.cap_rate.per_second
    assert after == pytest.approx((30000 - 0.1 * rate) / rate, rel=0.01)


def test_request_that_fits_a_moment_later_waits():
    pool = pool_with_shares()
    decisions = []
    pool.acquire(3000, 0.0, decisions.append)
    assert not decisions
    pool.serve_waiting(0.1)
    assert decisions == [None]


def test_no_request_waits_longer_than_the_limit():
    """The issuer is gone while requests wait for the pool's first share."""
    pool = OrganisationPool(CapRate(cap(36000), WINDOW), 0.0)
    decisions = []
    pool.acquire(2400, 0.0, decisions.append)
    pool.serve_waiting(MAX_WAIT_SECONDS / 2)
    assert not decisions
    pool.serve_waiting(MAX_WAIT_SECONDS + 0.01)
    assert not decisions[0].is_over_cap
    assert decisions[0].retry_after_seconds > 0


def test_tokens_expire_with_the_share():
    """A pool without responses stops, since another may hold its share."""
    pool = pool_with_shares()
    decisions = []
    pool.acquire(2400, SHARE_LEASE_SECONDS + 1, decisions.append)
    pool.serve_waiting(SHARE_LEASE_SECONDS + 1 + MAX_WAIT_SECONDS)
    assert not decisions[0].is_over_cap


def test_tokens_of_a_request_that_did_not_run_are_refunded():
    pool = pool_with_shares()
    decisions = []
    renew(pool, 1.0)
    pool.acquire(25000, 1.0, decisions.append)
    pool.refund(25000, 1.0)
    pool.acquire(25000, 1.0, decisions.append)
    assert decisions == [None, None]


def test_lowered_cap_applies_at_once():
    pool = pool_with_shares()
    renew(pool, 1.0)
    pool.cap_rate = CapRate(cap(3600), WINDOW)
    renew(pool, 1.1)
    decisions = []
    for _ in range(40):
        pool.acquire(1000, 1.2, decisions.append)
    assert decisions.count(None) * 1000 <= pool.cap_rate.burst


def test_half_a_cap_is_available_while_one_issuer_is_gone():
    """One of two issuers is unreachable for a long time.

    A pool requests all that its demand needs from the other one. Half of the
    cap covers nearly all of the usual demand.
    """
    pool = pool_with_shares()
    now = SHARE_LEASE_SECONDS + 1
    one = pool.shares[0]
    pool.handle_response(share_response(0, one.start_request(now), 0.9), now)
    assert pool.held(now) == pytest.approx(0.45)
    before = OrganisationPool(pool.cap_rate, now)
    for other in (pool, before):
        other.demand.record(2400, now)
    renew(before, now)
    assert pool.wanted(now) == pytest.approx(2 * before.wanted(now))


def test_cost_counts_prompt_and_output_tokens():
    tokens = cap(1000)
    assert tokens.cost(1800, 80) == 1880
    assert tokens.cost(0, 0) == 200
    assert Cap(10, 5).cost(1800, 80) == 1
