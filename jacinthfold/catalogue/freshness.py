"""Track how recent this host's copy of the store is known to be.

A host that is cut off does not learn of revoked keys. The age of its data
bounds how long it accepts them. The age counts from the time at which an
answered request was sent, because a response may be delayed and an idle watch
proves nothing. Ages use the boot-time clock, which also runs while a machine
is suspended.
"""

from collections import deque

from jacinthfold.catalogue.revision import era_of
from jacinthfold.clock import Clock

# Answers that name a revision which has not arrived yet. The newest ones are
# enough, because each proves more than those before it.
MAX_PENDING_PROOFS = 8
# After the store came back from a copy, what was acknowledged before is written
# again within this time. Until then its revision proves nothing.
REPEAT_SECONDS = 2.0


class FreshnessProof:
    """Hold a revision and the time at which the store was at it."""

    __slots__ = ('as_of', 'revision')

    def __init__(self, as_of: float, revision: int) -> None:
        """Initialize a proof at a time of the boot-time clock in seconds."""
        self.as_of = as_of
        self.revision = revision


class Freshness:
    """Hold the newest freshness proof of this host's records."""

    __slots__ = (
        '_clock',
        '_known_revision',
        '_pending',
        '_unproven_until',
        'proof',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without a proof."""
        self._clock = clock
        self._known_revision = 0
        self._pending: deque[FreshnessProof] = deque(maxlen=MAX_PENDING_PROOFS)
        self._unproven_until = float('-inf')
        self.proof = FreshnessProof(float('-inf'), 0)

    @property
    def age_seconds(self) -> float:
        """Return the maximum age of the records, infinite without a proof."""
        return self._clock.boottime() - self.proof.as_of

    @property
    def is_behind(self) -> bool:
        """Return whether the store is known to be ahead of this host."""
        return bool(self._pending)

    @property
    def is_unproven(self) -> bool:
        """Return whether the store may not have all changes again yet."""
        return self._clock.boottime() < self._unproven_until

    def age_before(self, revision: int) -> float:
        """Return the maximum age of the change that made a revision.

        Infinite if no proof shows that the store was at an earlier one.
        """
        as_of = max(
            (
                proof.as_of
                for proof in (self.proof, *self._pending)
                if proof.revision < revision
            ),
            default=float('-inf'),
        )
        return self._clock.boottime() - as_of

    def record_revision(self, as_of: float, revision: int) -> None:
        """Record the store's revision at the time a request was sent."""
        if as_of <= max(self.proof.as_of, self._unproven_until):
            return
        # Counters of an earlier era say nothing about this one.
        if era_of(revision) < era_of(self._known_revision):
            return
        if revision > self._known_revision:
            self._pending.append(FreshnessProof(as_of, revision))
        else:
            self.proof = FreshnessProof(as_of, revision)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision have been applied."""
        known = self._known_revision
        if known and era_of(revision) > era_of(known):
            self._unproven_until = self._clock.boottime() + REPEAT_SECONDS
        self._known_revision = max(known, revision)
        pending = list(self._pending)
        self._pending.clear()
        for proof in pending:
            self.record_revision(proof.as_of, proof.revision)
