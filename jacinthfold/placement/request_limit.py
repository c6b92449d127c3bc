"""Hold how many requests a target takes from all hosts together."""

from jacinthfold import logs

# Requests a second (0 where a limit has ended), its age in milliseconds, and
# how often its holders were changed.
LimitReport = tuple[float, int, int]
# When nobody heard of a target for as long, or for as long as its holders need
# to send some requests, the next hosts in rank hold its limit.
ROTATION_SECONDS = 4.0
ROTATION_REQUESTS = 4.0
# Bounds the time of one turn.
MIN_PER_SECOND = 0.05
# Heartbeats come several times a second, and some get lost.
ENDED_REPORT_SECONDS = 5.0


class RequestLimit:
    """Hold the newest word on one target's limit."""

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
        # Requests a second, None while the target names no limit.
        self.per_second: float | None = None
        # When the newest word on it was heard.
        self.reported_at = float('-inf')
        # Whether this host heard it from the target itself.
        self.is_first_hand = False
        # How often the hosts that hold it were changed, for want of callers.
        self.rotation = 0
        # How many hosts hold it, this host's part, and what it has saved up.
        self.holders = 1
        self.share_per_second = 0.0
        self.bucket_requests = 0.0
        self.refilled_at = 0.0

    def record_answer(
        self, named_per_second: float | None, sent_at: float, now: float
    ) -> None:
        """Take what an answer names; None where it names no limit."""
        if named_per_second is not None:
            self.rotation = self.rotation_at(now)
            self._update(named_per_second, now, 'answer')
        elif self.per_second is not None and sent_at > self.reported_at:
            # Answers may overtake each other: only one to a request that was
            # sent after the limit was named shows that it has ended.
            self._update(None, now, 'answer')

    def rotation_at(self, now: float) -> int:
        """Return how often its holders were changed by now."""
        # The first ones may have no callers, and nobody else would ever learn
        # that the limit has ended.
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
        """Take what another host heard of the target, if it is newer."""
        if reported_at > self.reported_at:
            self._update(per_second, reported_at, source)
            self.rotation = rotation

    def own_report(self, now: float) -> LimitReport | None:
        """Return what other hosts are told, None if nothing.

        An ended limit is told as 0 for some seconds.
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
