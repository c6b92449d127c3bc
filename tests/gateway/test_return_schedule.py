"""Retry times that follow the rate of placements."""

import random

from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.placement.retry_schedule import HONOURED_SHARE, ReturnSchedule
from tests.fakes import FakeClock

MIN_SECONDS = 0.1


def schedule(clock, seed=1):
    return ReturnSchedule(clock, random.Random(seed), MIN_SECONDS)


def test_returns_arrive_at_the_rate_of_placements():
    """Forty callers are rejected at once; the host places ten a second.

    Told the same time, they would return together and be rejected again.
    """
    made = schedule(FakeClock())
    found = [made.assign('a', 10.0, 0.0, 60.0).seconds for _ in range(40)]
    assert found == sorted(found)
    for second in range(1, 4):
        arriving = [one for one in found if second <= one < second + 1]
        assert 7 <= len(arriving) <= 13


def test_caller_that_can_not_be_served_is_told_a_time_past_its_deadline():
    """The queue ahead takes longer than the caller has left."""
    made = schedule(FakeClock())
    for _ in range(20):
        found = made.assign('a', 10.0, 2.5, 2.0)
        assert found.is_past_deadline
        assert found.seconds >= 2.0
    # They reserve nothing: the next one is not told to come later for them.
    found = made.assign('a', 10.0, 0.0, 2.0)
    assert not found.is_past_deadline
    assert found.seconds <= MIN_SECONDS + 0.15


def test_full_schedule_tells_times_that_callers_honour():
    """Sixty callers with 2 s left are rejected; the host places ten a second.

    Those for whom there is no time within a third of that return spread over
    the end of it.
    """
    made = schedule(FakeClock())
    found = [made.assign('a', 10.0, 0.0, 2.0) for _ in range(60)]
    assert not any(one.is_past_deadline for one in found)
    assert all(one.seconds <= 2.0 * HONOURED_SHARE for one in found)
    assert len({one.seconds for one in found}) == len(found)


def test_schedule_is_free_again_soon_after_a_burst():
    """Guards against a schedule that stays full long after a burst."""
    clock = FakeClock()
    made = schedule(clock)
    for _ in range(1000):
        made.assign('a', 10.0, 0.0, 3.0)
    clock.advance(3.0 * HONOURED_SHARE)
    assert made.assign('a', 10.0, 0.0, 3.0).seconds <= MIN_SECONDS + 0.15


@given(
    st.floats(0.5, 200),
    st.floats(0, 20),
    st.lists(st.floats(-1, 20), min_size=1, max_size=40),
    st.integers(0, 5),
)
def test_retry_time_is_bounded(rate, ahead, remaining, seed):
    made = schedule(FakeClock(), seed)
    for seconds in remaining:
        found = made.assign('a', rate, ahead, seconds)
        assert found.seconds >= MIN_SECONDS
        if found.is_past_deadline:
            assert found.seconds >= seconds
        else:
            assert found.seconds <= max(MIN_SECONDS, seconds * HONOURED_SHARE)
