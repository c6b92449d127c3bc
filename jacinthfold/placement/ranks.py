"""Rank a region's hosts, to agree without messages on which acts first."""

from collections.abc import Iterable

from jacinthfold.clock import Clock
from jacinthfold.hashing import rank

# After this time the heartbeats of every host that started together with this
# one have arrived: a host that is silent for so long counts as gone.
SETTLED_SECONDS = 2.0


class RegionRanks:
    """Rank the hosts of a region for each target, the same on every host."""

    __slots__ = ('_hosts', '_positions', '_settled_at', 'own_name')

    def __init__(self, own_name: str, clock: Clock) -> None:
        """Start with the own name; other hosts become known later."""
        self.own_name = own_name
        self._hosts: tuple[str, ...] = (own_name,)
        self._positions: dict[str, int] = {}
        self._settled_at = clock.monotonic() + SETTLED_SECONDS

    @property
    def host_count(self) -> int:
        """Return the number of hosts in the region."""
        return len(self._hosts)

    def is_settled(self, now: float) -> bool:
        """Tell whether this host has run long enough to know the others."""
        return now >= self._settled_at

    def update_hosts(self, names: Iterable[str]) -> None:
        """Replace the names of the region's hosts; the own one is implied."""
        hosts = tuple(sorted({self.own_name, *names}))
        if hosts != self._hosts:
            self._hosts = hosts
            self._positions = {}

    def position(self, instance: str) -> int:
        """Return this host's rank for a target, 0 for the first."""
        found = self._positions.get(instance)
        if found is None:
            found = rank(instance, self._hosts).index(self.own_name)
            self._positions[instance] = found
        return found
