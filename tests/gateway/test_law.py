"""What hosts learn of engines whose speed nobody declares."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.placement import law as laws
from jacinthfold.placement.law import Answer, Laws, ReadingLaw, pairs_of

# Tokens a second and seconds for a million pairs; the middle one lies near the
# start values, the others are three times faster and slower.
SPEEDS = [(180000, 0.0001), (60000, 0.0003), (17000, 0.0011)]


def answer(source, tokens_per_second, seconds_per_pair, *, ahead=True):
    """Return what an answer of a mixed load shows, with noise."""
    is_large = source.random() < 0.3
    unread = round(source.lognormvariate(8.8 if is_large else 5.7, 0.7))
    before = source.choice((0, 8000)) if is_large else 0
    waiting = source.expovariate(1 / 6000) if ahead else 0.0
    pairs = pairs_of(unread, before)
    seconds = 0.05 + (unread + waiting) / tokens_per_second
    seconds += pairs * seconds_per_pair
    seconds *= source.uniform(0.85, 1.25)
    return Answer(unread + waiting, pairs, seconds)


def taught(count, speed, seed=1, law=None):
    source, law = random.Random(seed), law or ReadingLaw()
    for number in range(count):
        law.note(answer(source, *speed), number * 0.1)
    return law


def error(law, speed):
    """Return how far off the expectation of a draft is."""
    expected = law.first_event_seconds(law.work(9000, 4000))
    true = 0.05 + 9000 / speed[0] + pairs_of(9000, 4000) * speed[1]
    return abs(expected - true) / true


@pytest.mark.parametrize('speed', SPEEDS)
def test_speed_is_learned_within_seconds(speed):
    """Sixty answers are a host's four seconds; the load is mixed."""
    assert error(taught(60, speed), speed) < 0.35
    assert error(taught(300, speed), speed) < 0.25


def test_change_of_hardware_is_learned():
    """Engines are replaced by others that read at a tenth of the speed."""
    law = taught(600, SPEEDS[0])
    law = taught(600, SPEEDS[2], seed=2, law=law)
    assert error(law, SPEEDS[2]) < 0.3


def test_hosts_learn_from_each_other():
    """A host sees few answers; its neighbours tell theirs."""
    speed = SPEEDS[2]
    alone, told = ReadingLaw(), Laws()
    for number in range(7):
        other = taught(30, speed, seed=number)
        told.take_sums(f'h{number}', {'model': other.own_sums()}, 5.0)
    assert error(alone, speed) > 0.5
    assert error(told.of('model'), speed) < 0.3
    assert told.own_sums() == {}


def test_wrong_beliefs_do_not_slow_the_law():
    """Every tenth prompt was believed to be kept and is read whole."""
    source, law, speed = random.Random(3), ReadingLaw(), SPEEDS[1]
    for number in range(400):
        shown = answer(source, *speed)
        if number % 10 == 0:
            shown = Answer(shown.tokens, shown.pairs, shown.seconds + 0.8)
        law.note(shown, number * 0.1)
    assert error(law, speed) < 0.6


numbers = st.floats(min_value=0, max_value=1e9)


@given(st.lists(st.tuples(numbers, numbers, numbers), max_size=60))
def test_bounds_hold_whatever_answers_show(shown):
    law = ReadingLaw()
    for number, figures in enumerate(shown):
        law.note(Answer(*figures), number)
    low, high = laws.SECONDS_PER_TOKEN_BOUNDS
    assert low <= law.seconds_per_token <= high
    low, high = laws.SECONDS_PER_PAIR_BOUNDS
    assert low <= law.seconds_per_pair <= high
    low, high = laws.SECONDS_BOUNDS
    assert low <= law.seconds <= high


@pytest.mark.parametrize('hold_seconds', [0.2, 4.0])
def test_wait_for_a_slot_follows_how_long_slots_are_held(hold_seconds):
    law = ReadingLaw()
    for _ in range(200):
        law.note_hold(hold_seconds)
    assert law.slot_seconds(63, 64) == 0
    expected = 64 * hold_seconds / 64
    assert law.slot_seconds(127, 64) == pytest.approx(expected, rel=0.1)
