"""Hold how many requests a target takes from all hosts together."""

from jacinthfold import logs


class RequestLimit:
    """Hold the newest word on one target's limit."""

    __slots__ = ('_instance', 'named_at', 'per_second')

    def __init__(self, instance: str) -> None:
        """Start without a limit."""
        self._instance = instance
        # Requests a second, None while the target names no limit.
        self.per_second: float | None = None
        # When the newest word on it was heard.
        self.named_at = float('-inf')

    def note_answer(
        self, named_per_second: float | None, sent_at: float, now: float
    ) -> None:
        """Take what an answer names; None where it names no limit."""
        if named_per_second is not None:
            self._take(named_per_second, now)
        elif self.per_second is not None and sent_at > self.named_at:
            # Answers may overtake each other: only one to a request that was
            # sent after the limit was named shows that it has ended.
            self._take(None, now)

    def _take(self, per_second: float | None, named_at: float) -> None:
        if per_second != self.per_second:
            logs.event(
                'target_limit',
                target=self._instance,
                per_second=per_second,
                before=self.per_second,
                source='answer',
            )
        self.per_second = per_second
        self.named_at = named_at
