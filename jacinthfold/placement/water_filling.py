"""Spread the requests of many hosts over targets by stale load data.

Load pattern: 21 hosts send to twelve engines at 70% of what these can prefill,
by load reports that are up to 0.3 s old. The engine with the shortest wait gets
the requests of every host until the next report, and then the longest wait of
all. Equal jitter on all waits doesn't help, because the differences that the
hosts themselves cause are larger than it. So the work that other hosts have
probably sent since their reports is poured onto the targets with the shortest
waits until these are level, and each request goes to one of them with the
probability of its part of that work.
"""

import random
from collections.abc import Sequence


def choose(
    waits_seconds: Sequence[float], work_seconds: float, source: random.Random
) -> int:
    """Return the index of the target for a request.

    The work is that of all targets together, in seconds of one of them.
    """
    level = level_seconds(waits_seconds, work_seconds)
    parts = [max(0.0, level - wait) for wait in waits_seconds]
    if not any(parts):
        return min(range(len(parts)), key=waits_seconds.__getitem__)
    return source.choices(range(len(parts)), parts)[0]


def level_seconds(waits_seconds: Sequence[float], work_seconds: float) -> float:
    """Return the wait at which the shortest ones are level with the work."""
    ordered = sorted(waits_seconds)
    level = ordered[0] + work_seconds
    total = ordered[0]
    for count, wait in enumerate(ordered[1:], start=2):
        if wait >= level:
            break
        total += wait
        level = (total + work_seconds) / count
    return level
