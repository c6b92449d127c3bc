"""Measure for how long this host has been behind the others."""

from jacinthfold.clock import Clock


class RevisionLag:
    """Time how long the oldest revision that others told of is missing."""

    __slots__ = ('_clock', '_missing_revision', '_since')

    def __init__(self, clock: Clock) -> None:
        """Start without a missing revision."""
        self._clock = clock
        self._missing_revision = 0
        self._since = 0.0

    @property
    def seconds(self) -> float:
        """Return for how long it has been missing, 0 if none is."""
        if not self._missing_revision:
            return 0.0
        return self._clock.monotonic() - self._since

    def observe(self, own_revision: int, newest_revision: int) -> None:
        """Compare this host's revision with the newest one of the others."""
        if own_revision < self._missing_revision:
            return
        is_behind = newest_revision > own_revision
        self._missing_revision = newest_revision if is_behind else 0
        self._since = self._clock.monotonic()
