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
    made = schedule(FakeClock())
    found = [made.assign('a', 10.0, 0.0, 2.0) for _ in range(60)]
    in_time = [one for one in found if not one.is_past_deadline]
    # Two seconds at ten a second.
    assert 16 <= len(in_time) <= 24
    assert all(one.seconds <= 2.0 * HONOURED_SHARE for one in in_time)
    past = [one for one in found if one.is_past_deadline]
    assert all(one.seconds >= 2.0 for one in past)


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
