"""Know as of when this host's knowledge of the store is proven.

A host that is cut off can't hear that a key was taken away. What bounds the
harm is the age of what it knows, counted from the moment at which a question
was sent that the store answered: an answer may have lain on its way, and a
quiet watch says nothing. Ages go by the clock that runs on while a machine is
suspended.
"""

from collections import deque

from jacinthfold.clock import Clock

# Questions whose answers name a revision that isn't known yet: the newest are
# enough, since each proves more than those before it.
MAX_PENDING_PROOFS = 8


class FreshnessProof:
    """Hold that all up to a revision was known, and as of when."""

    __slots__ = ('as_of', 'revision')

    def __init__(self, as_of: float, revision: int) -> None:
        """Take boot-time seconds and the store's revision then."""
        self.as_of = as_of
        self.revision = revision


class Freshness:
    """Hold the newest proof for what this host knows."""

    __slots__ = ('_clock', '_known_revision', '_pending', 'proof')

    def __init__(self, clock: Clock) -> None:
        """Start without a proof."""
        self._clock = clock
        self._known_revision = 0
        self._pending: deque[FreshnessProof] = deque(maxlen=MAX_PENDING_PROOFS)
        self.proof = FreshnessProof(float('-inf'), 0)

    @property
    def age_seconds(self) -> float:
        """Return how old the knowledge may be, infinite without a proof."""
        return self._clock.boottime() - self.proof.as_of

    @property
    def is_behind(self) -> bool:
        """Tell whether the store was seen ahead of what is known here."""
        return bool(self._pending)

    def record_revision(self, as_of: float, revision: int) -> None:
        """Take the store's revision, as of when the question was sent."""
        if as_of <= self.proof.as_of:
            return
        if revision > self._known_revision:
            self._pending.append(FreshnessProof(as_of, revision))
        else:
            self.proof = FreshnessProof(as_of, revision)

    def advance(self, revision: int) -> None:
        """Take that all up to a revision is known now."""
        self._known_revision = max(self._known_revision, revision)
        pending = list(self._pending)
        self._pending.clear()
        for proof in pending:
            self.record_revision(proof.as_of, proof.revision)
