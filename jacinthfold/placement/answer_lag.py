"""Measure by how much answers come later than expected.

Load pattern: the hosts of a region send its engines more prompts than these can
prefill. Load reports are some tenths of a second old, so that each host admits
requests to queues that the others fill at the same moment. All prompts get
their first event, but after their latency objective: the engines are busy with
answers that come too late. Admission therefore adds the lag that this host
measures to what it expects, which keeps the queues of engines short.
"""

import math

from jacinthfold.clock import Clock

# Time constant of the average. A busy host gets several answers in this time,
# and requests are admitted again soon after the queues have drained.
DECAY_SECONDS = 0.5
# Answers without lag that the average starts from, so that a single late one
# rejects nothing.
INITIAL_ANSWERS = 4.0
# Limit of the lag of one answer: a silent target says nothing about the others.
MAX_LAG_SECONDS = 2.0


class _DecayingAverage:
    """Hold an average in which earlier samples count less and less."""

    __slots__ = ('_at', '_total_seconds', '_weight')

    def __init__(self, now: float) -> None:
        self._at = now
        self._weight = 0.0
        self._total_seconds = 0.0

    def add(self, seconds: float, now: float) -> None:
        self._decay(now)
        self._weight += 1
        self._total_seconds += seconds

    def seconds(self, now: float) -> float:
        self._decay(now)
        return self._total_seconds / (self._weight + INITIAL_ANSWERS)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / DECAY_SECONDS)
        self._weight *= factor
        self._total_seconds *= factor
        self._at = now


class AnswerLag:
    """Average how much later than expected first events arrive."""

    __slots__ = ('_averages', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Start without answers."""
        self._clock = clock
        self._averages: dict[tuple[str, bool], _DecayingAverage] = {}

    def record(
        self,
        service: str,
        expected_seconds: float,
        actual_seconds: float,
        *,
        is_urgent: bool,
    ) -> None:
        """Count the time to an answer's first event."""
        now = self._clock.monotonic()
        average = self._averages.setdefault(
            (service, is_urgent), _DecayingAverage(now)
        )
        lag_seconds = actual_seconds - expected_seconds
        average.add(
            min(MAX_LAG_SECONDS, max(-MAX_LAG_SECONDS, lag_seconds)), now
        )

    def seconds(self, service: str, *, is_urgent: bool) -> float:
        """Return the average lag, 0 where answers come as expected."""
        average = self._averages.get((service, is_urgent))
        if average is None:
            return 0.0
        return max(0.0, average.seconds(self._clock.monotonic()))
