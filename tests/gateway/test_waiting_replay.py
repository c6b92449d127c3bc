"""Replay overload on hosts whose requests wait, and on hosts without."""

import random

import pytest

from tests.gateway.overload import (
    Caller,
    Replay,
    SimulatedEngine,
    SimulatedService,
    arrivals,
)

SEEDS = range(3)
HOSTS = 4
ENGINES = 3
SECONDS = 12
STEP = (3, 9, 2.5)
MEAN_LOAD = 0.7
LARGE_SHARE = 0.12
LARGE_TOKENS, SMALL_TOKENS = 11992, 2368
HOLD_SECONDS = 0.5
# Slots, tokens per second, and the objectives of large and small prompts of the
# two deployments in docs/OVERLOAD.md.
SCARCE = (64, 61800, 2.5, 0.8)
UNEVEN = (24, 125000, 0.845, 0.62)
CALL_SECONDS = 0.09
LIMIT_REQUESTS = 64


class Result:
    """Sum what the callers of several replays got."""

    def __init__(self, callers):
        retried = [one for one in callers if one.retried]
        self.served = share_served(callers)
        self.retried_served = share_served(retried)
        self.rejections = sum(one.rejected for one in callers)
        self.callers = callers


def share_served(callers):
    return sum(one.is_served for one in callers) / max(1, len(callers))


def engine_callers(deployment, seed, hasty_share=0.0):
    slots, per_second, large_objective, small_objective = deployment
    source = random.Random(seed)
    mean_tokens = LARGE_SHARE * LARGE_TOKENS + (1 - LARGE_SHARE) * SMALL_TOKENS
    rate = min(
        ENGINES * per_second / mean_tokens, ENGINES * slots / HOLD_SECONDS
    )
    made = []
    for at in arrivals(source, rate * MEAN_LOAD, SECONDS, STEP):
        is_large = source.random() < LARGE_SHARE
        made.append(
            Caller(
                at,
                is_hasty=source.random() < hasty_share,
                tokens=LARGE_TOKENS if is_large else SMALL_TOKENS,
                service='model',
                objective=large_objective if is_large else small_objective,
                deadline=12.0 if is_large else 3.0,
                priority=1 if is_large else 0,
            )
        )
    return made


def step_on_engines(deployment, limit_requests, hasty_share=0.0, seeds=SEEDS):
    slots, per_second, _, _ = deployment
    callers = []
    for seed in seeds:
        replay = Replay(HOSTS, limit_requests, seed)
        for number in range(ENGINES):
            engine = SimulatedEngine(slots, per_second, HOLD_SECONDS)
            replay.add_target(f'i-{number}', engine, slots=slots)
        for scene in replay.scenes:
            model = scene.targets.latency_models.of('model')
            model.seconds_per_token = 1 / per_second
            model.seconds = 0.02
            model.slot_hold_seconds = HOLD_SECONDS
        callers += replay.run(engine_callers(deployment, seed, hasty_share))
    return Result(callers)


def plain_service(limit_requests, load, hasty_share=0.0):
    """Two targets with 6 slots and a queue of 24; a host has 7 places each."""
    callers = []
    for seed in SEEDS:
        replay = Replay(HOSTS, limit_requests, seed, places=7)
        for number in range(2):
            service = SimulatedService(6, 24, CALL_SECONDS)
            replay.add_target(f'd-{number}', service, 'desk', slots=6)
        source = random.Random(seed)
        callers += replay.run(
            [
                Caller(
                    at,
                    is_hasty=source.random() < hasty_share,
                    tokens=0,
                    service='desk',
                    objective=0.62,
                    deadline=5.1,
                )
                for at in arrivals(source, 12 / CALL_SECONDS * load, SECONDS)
            ]
        )
    return Result(callers)


def check_waiting_helps(waiting, without):
    """Callers are rejected less often, and as many are served."""
    assert waiting.retried_served >= 0.8
    assert waiting.served >= without.served - 0.01
    assert waiting.rejections < 0.9 * without.rejections


@pytest.mark.parametrize('deployment', [SCARCE, UNEVEN], ids=['64', '24'])
def test_step_on_engines(deployment):
    """A step of 2.5 times for 6 s; callers return at Retry-After.

    Guards against requests that are rejected although a target could serve them
    a moment later, and against callers that return before there is capacity.
    """
    waiting = step_on_engines(deployment, LIMIT_REQUESTS)
    check_waiting_helps(waiting, step_on_engines(deployment, 0))


def test_plain_service_above_its_capacity():
    """A plain service receives 110% of what its targets can serve."""
    waiting = plain_service(LIMIT_REQUESTS, 1.1)
    check_waiting_helps(waiting, plain_service(0, 1.1))


def patient(result, hasty):
    """Return the callers of a result that are patient in the other one."""
    pairs = zip(result.callers, hasty.callers, strict=True)
    return [one for one, other in pairs if not other.is_hasty]


def rejections(callers):
    return sum(one.rejected for one in callers)


@pytest.mark.parametrize(
    'replay',
    [
        lambda *options: step_on_engines(SCARCE, *options),
        lambda *options: step_on_engines(UNEVEN, *options),
        lambda *options: step_on_engines(UNEVEN, *options, range(6, 9)),
        lambda limit, *options: plain_service(limit, 1.1, *options),
    ],
    ids=['64', '24', '24-seeds-6-to-8', 'plain'],
)
def test_callers_that_repeat_at_once_cost_the_others_little(replay):
    """Forty percent of the callers repeat four times without a pause.

    Guards against repeats that take the capacity of callers who return when
    they are told to.
    """
    without_queue = replay(0, 0.0)
    usual = replay(LIMIT_REQUESTS, 0.0)
    hasty = replay(LIMIT_REQUESTS, 0.4)
    others = patient(hasty, hasty)
    loss = share_served(patient(usual, hasty)) - share_served(others)
    assert loss <= 0.02
    assert rejections(others) < rejections(patient(without_queue, hasty))
