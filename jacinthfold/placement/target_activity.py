"""Record when a target was last sent requests and heard from."""

NEVER = float('-inf')
# A target that works on requests and sends nothing for this long is silent.
MIN_SILENCE_SECONDS = 0.5


class TargetActivity:
    """Hold when this host last exchanged anything with a target."""

    __slots__ = ('_busy_since', 'received_at')

    def __init__(self) -> None:
        """Start with a target that was never used."""
        # When this host last received bytes of any of its answers.
        self.received_at = NEVER
        # When this host last sent a request while it had no other one there.
        self._busy_since = NEVER

    @property
    def has_answered(self) -> bool:
        """Return whether it ever sent anything to this host."""
        return self.received_at > NEVER

    def record_send(self, now: float, *, is_first: bool) -> None:
        """Record that a request is sent; it is first if there is no other."""
        if is_first:
            self._busy_since = now

    def is_silent(self, now: float) -> bool:
        """Return whether it sends nothing, if it has requests."""
        heard_at = max(self.received_at, self._busy_since)
        return now - heard_at >= MIN_SILENCE_SECONDS
