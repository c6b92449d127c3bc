"""Hold how many requests a target takes from all hosts together."""

from jacinthfold import logs

# Requests a second (0 where a limit has ended), its age in milliseconds, and
# how often its holders were changed.
LimitWord = tuple[float, int, int]
# When nobody heard of a target for as long, or for as long as its holders need
# to send some requests, the next hosts in rank hold its limit.
TURN_SECONDS = 4.0
TURN_REQUESTS = 4.0
# Bounds the time of one turn.
LEAST_PER_SECOND = 0.05
# Heartbeats come several times a second, and some get lost.
ENDED_TOLD_SECONDS = 5.0


class RequestLimit:
    """Hold the newest word on one target's limit."""

    __slots__ = (
        '_instance',
        'holders',
        'is_own',
        'named_at',
        'part_per_second',
        'per_second',
        'saved_requests',
        'settled_at',
        'turn',
    )

    def __init__(self, instance: str) -> None:
        """Start without a limit."""
        self._instance = instance
        # Requests a second, None while the target names no limit.
        self.per_second: float | None = None
        # When the newest word on it was heard.
        self.named_at = float('-inf')
        # Whether this host heard it from the target itself.
        self.is_own = False
        # How often the hosts that hold it were changed, for want of callers.
        self.turn = 0
        # How many hosts hold it, this host's part, and what it has saved up.
        self.holders = 1
        self.part_per_second = 0.0
        self.saved_requests = 0.0
        self.settled_at = 0.0

    def note_answer(
        self, named_per_second: float | None, sent_at: float, now: float
    ) -> None:
        """Take what an answer names; None where it names no limit."""
        if named_per_second is not None:
            self.turn = self.turn_at(now)
            self._take(named_per_second, now, 'answer')
        elif self.per_second is not None and sent_at > self.named_at:
            # Answers may overtake each other: only one to a request that was
            # sent after the limit was named shows that it has ended.
            self._take(None, now, 'answer')

    def turn_at(self, now: float) -> int:
        """Return how often its holders were changed by now."""
        # The first ones may have no callers, and nobody else would ever learn
        # that the limit has ended.
        if self.per_second is None:
            return self.turn
        part = max(LEAST_PER_SECOND, self.per_second / self.holders)
        turn_seconds = max(TURN_SECONDS, TURN_REQUESTS / part)
        return self.turn + int((now - self.named_at) / turn_seconds)

    def take_word(
        self,
        per_second: float | None,
        named_at: float,
        turn: int,
        source: str,
    ) -> None:
        """Take what another host heard of the target, if it is newer."""
        if named_at > self.named_at:
            self._take(per_second, named_at, source)
            self.turn = turn

    def own_word(self, now: float) -> LimitWord | None:
        """Return what other hosts are told, None if nothing.

        An ended limit is told as 0 for some seconds.
        """
        age_seconds = now - self.named_at
        is_over = self.per_second is None and age_seconds > ENDED_TOLD_SECONDS
        if is_over or not self.is_own:
            return None
        age_ms = round(age_seconds * 1000)
        return (self.per_second or 0.0, age_ms, self.turn)

    def _take(
        self, per_second: float | None, named_at: float, source: str
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
        self.named_at = named_at
        self.is_own = source == 'answer'
