"""Decide whether this host's records are recent enough to deny a request."""

from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.freshness_prover import FreshnessProver
from jacinthfold.clock import Clock

# Callers don't ask again after a 401 or a 404, and what is unknown here may be
# new. A change has to be in force within three seconds.
MAX_DENY_AGE_SECONDS = 2.0
# How long a request waits for a proof that the records are newer.
MAX_WAIT_SECONDS = 0.5
# After a proof that didn't come no request waits for this long.
PAUSE_SECONDS = 1.0


class Denials:
    """Prove that the records are recent before a request is denied."""

    __slots__ = ('_clock', '_freshness', '_paused_until', '_prover')

    def __init__(
        self, freshness: Freshness, prover: FreshnessProver, clock: Clock
    ) -> None:
        """Set the age of the records and what proves it."""
        self._freshness = freshness
        self._prover = prover
        self._clock = clock
        self._paused_until = float('-inf')

    async def may_deny(self) -> bool:
        """Return whether the records are recent, after a wait if need be.

        They may have changed meanwhile.
        """
        if self._freshness.age_seconds <= MAX_DENY_AGE_SECONDS:
            return True
        now = self._clock.boottime()
        if now < self._paused_until:
            return False
        is_proven = await self._prover.prove(
            now - MAX_DENY_AGE_SECONDS, MAX_WAIT_SECONDS
        )
        if not is_proven:
            self._paused_until = self._clock.boottime() + PAUSE_SECONDS
        return is_proven
