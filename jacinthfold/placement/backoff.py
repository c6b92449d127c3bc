"""Send no requests to a target during its backoff, then probe it."""

from jacinthfold import logs

# After a backoff one request probes the target, and another one after this time
# if the first was not answered, until the target accepts requests again.
PROBE_SECONDS = 1.0


class Backoff:
    """Hold whether a target may be used after it rejected requests."""

    __slots__ = (
        '_instance',
        '_is_probing',
        '_probed_at',
        'requested_at',
        'until',
    )

    def __init__(self, instance: str) -> None:
        """Start with a target that accepts requests."""
        self._instance = instance
        # When the target last requested a backoff.
        self.requested_at = float('-inf')
        # Until when this host may send it nothing.
        self.until = float('-inf')
        self._is_probing = False
        self._probed_at = float('-inf')

    def allows(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if now < self.until:
            return False
        return not self._is_probing or now >= self._probed_at + PROBE_SECONDS

    def record_sent(self, now: float) -> None:
        """Record the time of a request, which is a probe after a backoff."""
        self._probed_at = now

    def record_rejected(self, seconds: float, now: float) -> None:
        """Start or extend a backoff after the target rejected a request."""
        if now >= self.until:
            logs.event('target_rests', target=self._instance, seconds=seconds)
        self.requested_at = now
        self.until = max(self.until, now + seconds)
        self._is_probing = True
        self._probed_at = float('-inf')

    def record_accepted(self, sent_at: float) -> None:
        """End the probing after the target accepted a request."""
        # Answers to requests from before the backoff don't count: they arrive
        # during it.
        if self._is_probing and sent_at >= self.until:
            self._is_probing = False
            logs.event('target_rested', target=self._instance)
