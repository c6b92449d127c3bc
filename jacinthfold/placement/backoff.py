"""Leave a target alone for as long as it asks for, then try it with care."""

from jacinthfold import logs

# After a rest one request at a time is sent to a target, and another one after
# this long where none was answered, until it takes them again.
PROBE_SECONDS = 1.0


class Backoff:
    """Hold whether a target may be used after it turned requests away."""

    __slots__ = (
        '_instance',
        '_is_probing',
        '_probed_at',
        'requested_at',
        'until',
    )

    def __init__(self, instance: str) -> None:
        """Start with a target that takes requests."""
        self._instance = instance
        # When it last asked for one.
        self.requested_at = float('-inf')
        # Until when it wants nothing from this host.
        self.until = float('-inf')
        self._is_probing = False
        self._probed_at = float('-inf')

    def allows(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if now < self.until:
            return False
        return not self._is_probing or now >= self._probed_at + PROBE_SECONDS

    def record_sent(self, now: float) -> None:
        """Take that a request was sent."""
        self._probed_at = now

    def record_rejected(self, seconds: float, now: float) -> None:
        """Take that the target turned a request away and wants nothing."""
        if now >= self.until:
            logs.event('target_rests', target=self._instance, seconds=seconds)
        self.requested_at = now
        self.until = max(self.until, now + seconds)
        self._is_probing = True
        self._probed_at = float('-inf')

    def record_accepted(self, sent_at: float) -> None:
        """Take that the target took a request that was sent at a time."""
        # Answers to requests that it took before it asked for the rest come
        # during the rest.
        if self._is_probing and sent_at >= self.until:
            self._is_probing = False
            logs.event('target_rested', target=self._instance)
