"""The latency model of engines whose speed is not configured."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.placement import latency_model as constants
from jacinthfold.placement.latency_model import (
    LatencyModel,
    LatencyModels,
    LatencySample,
    million_pairs,
)

# Tokens per second and seconds per million pairs; the middle one is near the
# initial coefficients, the others are three times faster and slower.
SPEEDS = [(180000, 0.0001), (60000, 0.0003), (17000, 0.0011)]


def answer(
    random_source, tokens_per_second, seconds_per_pair, *, has_queue=True
):
    """Return a noisy sample of a mixed load."""
    is_large = random_source.random() < 0.3
    new_tokens = round(
        random_source.lognormvariate(8.8 if is_large else 5.7, 0.7)
    )
    prefix_tokens = random_source.choice((0, 8000)) if is_large else 0
    queued_tokens = random_source.expovariate(1 / 6000) if has_queue else 0.0
    pairs = million_pairs(new_tokens, prefix_tokens)
    seconds = 0.05 + (new_tokens + queued_tokens) / tokens_per_second
    seconds += pairs * seconds_per_pair
    seconds *= random_source.uniform(0.85, 1.25)
    return LatencySample(new_tokens + queued_tokens, pairs, seconds)


def trained(count, speed, seed=1, latency_model=None):
    random_source, latency_model = (
        random.Random(seed),
        latency_model or LatencyModel(),
    )
    for number in range(count):
        latency_model.add_sample(answer(random_source, *speed), number * 0.1)
    return latency_model


def error(latency_model, speed):
    """Return the relative error of the estimate for a large prompt."""
    expected = latency_model.first_event_seconds(
        latency_model.token_cost(9000, 4000)
    )
    actual = 0.05 + 9000 / speed[0] + million_pairs(9000, 4000) * speed[1]
    return abs(expected - actual) / actual


@pytest.mark.parametrize('speed', SPEEDS)
def test_speed_is_learned_within_seconds(speed):
    """A host gets sixty answers of a mixed load in four seconds."""
    assert error(trained(60, speed), speed) < 0.35
    assert error(trained(300, speed), speed) < 0.25


def test_change_of_hardware_is_learned():
    """Engines are replaced by others with a tenth of the prefill speed."""
    latency_model = trained(600, SPEEDS[0])
    latency_model = trained(600, SPEEDS[2], seed=2, latency_model=latency_model)
    assert error(latency_model, SPEEDS[2]) < 0.3


def test_hosts_learn_from_each_other():
    """A host gets few answers; other hosts send the sums of theirs."""
    speed = SPEEDS[2]
    single, shared = LatencyModel(), LatencyModels()
    for number in range(7):
        other = trained(30, speed, seed=number)
        shared.update_peer_sums(f'h{number}', {'model': other.own_sums()}, 5.0)
    assert error(single, speed) > 0.5
    assert error(shared.of('model'), speed) < 0.3
    assert shared.own_sums() == {}


def test_outliers_do_not_skew_the_model():
    """Every tenth prompt was assumed to be cached and is prefilled whole."""
    random_source, latency_model, speed = (
        random.Random(3),
        LatencyModel(),
        SPEEDS[1],
    )
    for number in range(400):
        sample = answer(random_source, *speed)
        if number % 10 == 0:
            sample = LatencySample(
                sample.tokens, sample.pairs, sample.seconds + 0.8
            )
        latency_model.add_sample(sample, number * 0.1)
    assert error(latency_model, speed) < 0.6


numbers = st.floats(min_value=0, max_value=1e9)


@given(st.lists(st.tuples(numbers, numbers, numbers), max_size=60))
def test_bounds_hold_whatever_answers_show(sample):
    latency_model = LatencyModel()
    for number, figures in enumerate(sample):
        latency_model.add_sample(LatencySample(*figures), number)
    low, high = constants.SECONDS_PER_TOKEN_BOUNDS
    assert low <= latency_model.seconds_per_token <= high
    low, high = constants.SECONDS_PER_PAIR_BOUNDS
    assert low <= latency_model.seconds_per_pair <= high
    low, high = constants.BASE_SECONDS_BOUNDS
    assert low <= latency_model.seconds <= high


@pytest.mark.parametrize('hold_seconds', [0.2, 4.0])
def test_wait_for_a_slot_follows_how_long_slots_are_held(hold_seconds):
    latency_model = LatencyModel()
    for _ in range(200):
        latency_model.record_slot_hold(hold_seconds)
    assert latency_model.slot_wait_seconds(63, 64) == 0
    expected = 64 * hold_seconds / 64
    assert latency_model.slot_wait_seconds(127, 64) == pytest.approx(
        expected, rel=0.1
    )
