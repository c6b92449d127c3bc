"""Learn how many requests a plain target accepts concurrently.

Load pattern: 21 to 30 hosts of a region send 110% of what two or three targets
with six slots and a queue of 24 can take. The length of the queue is in no
record; only answers that say that the target is full show it.
"""

from jacinthfold import logs

# Initial value and bounds, as multiples of the target's slots.
INITIAL_PER_SLOT = 5
MIN_PER_SLOT = 1
MAX_PER_SLOT = 16
# Each request that is accepted at the limit raises it by this many places. A
# place too many is one rejection or two for 200 accepted requests, within the
# hundredth that may be rejected as full.
RAISE_PLACES = 0.005
# The sums may be older than the queue that rejected the request, so they may
# be much too low; one answer lowers the limit to no less than this share.
MIN_LOWERED_SHARE = 0.85
# Full answers within the age of the sums come from the same full queue and
# lower the limit once.
LOWER_INTERVAL_SECONDS = 0.5


class ConcurrencyLimit:
    """Hold the learned number of concurrent requests of one target."""

    __slots__ = ('_instance', '_learned', '_lowered_at', 'full_at')

    def __init__(self, instance: str) -> None:
        """Start at the initial value."""
        self._instance = instance
        self._learned: float | None = None
        self._lowered_at = float('-inf')
        # When this host last received an answer that the target is full.
        self.full_at = float('-inf')

    def places(self, slots: int) -> int:
        """Return how many requests may be in flight at the target."""
        return int(self._exact(slots))

    def record_full(
        self, in_flight: int, slots: int, now: float, report_age_seconds: float
    ) -> None:
        """Apply an answer that says that the target is full."""
        self.full_at = now
        if now - self._lowered_at < LOWER_INTERVAL_SECONDS:
            return
        before = self._exact(slots)
        lowered = max(float(in_flight), before * MIN_LOWERED_SHARE)
        if lowered >= before:
            # More than the limit was in flight: the limit may be correct.
            return
        self._lowered_at = now
        self._learned = lowered
        self._log(int(before), slots, in_flight, report_age_seconds)

    def record_accepted(
        self, in_flight: int, slots: int, report_age_seconds: float
    ) -> None:
        """Raise the limit if the accepted request was sent at the limit."""
        exact = self._exact(slots)
        if in_flight < int(exact):
            return
        self._learned = exact + RAISE_PLACES
        if self.places(slots) > int(exact):
            self._log(int(exact), slots, in_flight, report_age_seconds)

    def _log(
        self, before: int, slots: int, in_flight: int, report_age_seconds: float
    ) -> None:
        logs.event(
            'target_places',
            target=self._instance,
            places=self.places(slots),
            before=before,
            in_flight=in_flight,
            report_age_seconds=report_age_seconds,
        )

    def _exact(self, slots: int) -> float:
        learned = self._learned
        if learned is None:
            learned = float(slots * INITIAL_PER_SLOT)
        return min(slots * MAX_PER_SLOT, max(slots * MIN_PER_SLOT, learned))
