"""Hold a target's request rate limit, which counts for all hosts together."""

from jacinthfold import logs

# Requests per second (0 where a limit has ended), the report's age in
# milliseconds, and how often the hosts that hold the limit were rotated.
LimitReport = tuple[float, int, int]
# Without a report of the limit for this time, or for the time in which its
# holders may send this many requests, the next hosts in rank hold the limit.
ROTATION_SECONDS = 4.0
ROTATION_REQUESTS = 4.0
# Lowest rate that is assumed, to bound the time of one rotation.
MIN_PER_SECOND = 0.05
# How long the end of a limit is reported: heartbeats come several times a
# second, and some get lost.
ENDED_REPORT_SECONDS = 5.0


class RequestLimit:
    """Hold the latest report of one target's limit."""

    __slots__ = (
        '_instance',
        'holders',
        'is_first_hand',
        'reported_at',
        'share_per_second',
        'per_second',
        'bucket_requests',
        'refilled_at',
        'rotation',
    )

    def __init__(self, instance: str) -> None:
        """Start without a limit."""
        self._instance = instance
        # Requests per second, None while the target sets no limit.
        self.per_second: float | None = None
        # When a host received the latest report from the target.
        self.reported_at = float('-inf')
        # Whether this host received it from the target itself.
        self.is_first_hand = False
        # How often the hosts that hold it were rotated for lack of reports.
        self.rotation = 0
        # How many hosts hold it, and this host's token bucket: its rate, the
        # requests available in it and the time of its latest refill.
        self.holders = 1
        self.share_per_second = 0.0
        self.bucket_requests = 0.0
        self.refilled_at = 0.0

    def record_answer(
        self, limit_per_second: float | None, sent_at: float, now: float
    ) -> None:
        """Apply the limit in an answer, None where it has none."""
        if limit_per_second is not None:
            self.rotation = self.rotation_at(now)
            self._update(limit_per_second, now, 'answer')
        elif self.per_second is not None and sent_at > self.reported_at:
            # Answers may overtake each other: only an answer to a request that
            # was sent after the latest report shows that the limit has ended.
            self._update(None, now, 'answer')

    def rotation_at(self, now: float) -> int:
        """Return how often the holders were rotated by now."""
        # The first holders may have no callers; without rotation no host would
        # learn that the limit has ended.
        if self.per_second is None:
            return self.rotation
        share = max(MIN_PER_SECOND, self.per_second / self.holders)
        rotation_seconds = max(ROTATION_SECONDS, ROTATION_REQUESTS / share)
        return self.rotation + int((now - self.reported_at) / rotation_seconds)

    def apply_report(
        self,
        per_second: float | None,
        reported_at: float,
        rotation: int,
        source: str,
    ) -> None:
        """Apply another host's report of the limit if it is newer."""
        if reported_at > self.reported_at:
            self._update(per_second, reported_at, source)
            self.rotation = rotation

    def own_report(self, now: float) -> LimitReport | None:
        """Return the report to other hosts, None if there is none.

        An ended limit is reported as 0 for some seconds.
        """
        age_seconds = now - self.reported_at
        is_over = self.per_second is None and age_seconds > ENDED_REPORT_SECONDS
        if is_over or not self.is_first_hand:
            return None
        age_ms = round(age_seconds * 1000)
        return (self.per_second or 0.0, age_ms, self.rotation)

    def _update(
        self, per_second: float | None, reported_at: float, source: str
    ) -> None:
        if per_second != self.per_second:
            logs.event(
                'target_limit',
                target=self._instance,
                per_second=per_second,
                before=self.per_second,
                source=source,
            )
        self.per_second = per_second
        self.reported_at = reported_at
        self.is_first_hand = source == 'answer'
