"""What hosts learn of engines whose speed nobody declares."""

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

# Tokens a second and seconds for a million pairs; the middle one lies near the
# start values, the others are three times faster and slower.
SPEEDS = [(180000, 0.0001), (60000, 0.0003), (17000, 0.0011)]


def answer(source, tokens_per_second, seconds_per_pair, *, ahead=True):
    """Return what an answer of a mixed load shows, with noise."""
    is_large = source.random() < 0.3
    unread = round(source.lognormvariate(8.8 if is_large else 5.7, 0.7))
    before = source.choice((0, 8000)) if is_large else 0
    waiting = source.expovariate(1 / 6000) if ahead else 0.0
    pairs = million_pairs(unread, before)
    seconds = 0.05 + (unread + waiting) / tokens_per_second
    seconds += pairs * seconds_per_pair
    seconds *= source.uniform(0.85, 1.25)
    return LatencySample(unread + waiting, pairs, seconds)


def trained(count, speed, seed=1, latency_model=None):
    source, latency_model = random.Random(seed), latency_model or LatencyModel()
    for number in range(count):
        latency_model.add_sample(answer(source, *speed), number * 0.1)
    return latency_model


def error(latency_model, speed):
    """Return how far off the expectation of a draft is."""
    expected = latency_model.first_event_seconds(
        latency_model.token_cost(9000, 4000)
    )
    true = 0.05 + 9000 / speed[0] + million_pairs(9000, 4000) * speed[1]
    return abs(expected - true) / true


@pytest.mark.parametrize('speed', SPEEDS)
def test_speed_is_learned_within_seconds(speed):
    """Sixty answers are a host's four seconds; the load is mixed."""
    assert error(trained(60, speed), speed) < 0.35
    assert error(trained(300, speed), speed) < 0.25


def test_change_of_hardware_is_learned():
    """Engines are replaced by others that read at a tenth of the speed."""
    latency_model = trained(600, SPEEDS[0])
    latency_model = trained(600, SPEEDS[2], seed=2, latency_model=latency_model)
    assert error(latency_model, SPEEDS[2]) < 0.3


def test_hosts_learn_from_each_other():
    """A host sees few answers; its neighbours tell theirs."""
    speed = SPEEDS[2]
    alone, shared = LatencyModel(), LatencyModels()
    for number in range(7):
        other = trained(30, speed, seed=number)
        shared.update_peer_sums(f'h{number}', {'model': other.own_sums()}, 5.0)
    assert error(alone, speed) > 0.5
    assert error(shared.of('model'), speed) < 0.3
    assert shared.own_sums() == {}


def test_outliers_do_not_skew_the_model():
    """Every tenth prompt was believed to be kept and is read whole."""
    source, latency_model, speed = random.Random(3), LatencyModel(), SPEEDS[1]
    for number in range(400):
        shown = answer(source, *speed)
        if number % 10 == 0:
            shown = LatencySample(
                shown.tokens, shown.pairs, shown.seconds + 0.8
            )
        latency_model.add_sample(shown, number * 0.1)
    assert error(latency_model, speed) < 0.6


numbers = st.floats(min_value=0, max_value=1e9)


@given(st.lists(st.tuples(numbers, numbers, numbers), max_size=60))
def test_bounds_hold_whatever_answers_show(shown):
    latency_model = LatencyModel()
    for number, figures in enumerate(shown):
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
