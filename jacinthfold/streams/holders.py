"""Choose the hosts that know where a stream began, the same everywhere."""

from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.hashing import rank

# Hosts beside the one that serves a stream that are told where it began.
HOLDERS = 3
# In large fleets a smaller share of the hosts goes at once.
LARGE_FLEET_HOLDERS = 2
LARGE_FLEET_HOSTS = 64
# Of them, those in the region of the host that serves the stream; a region may
# be cut off from the others, or lost.
REGION_HOLDERS = 2
# Hosts of each region that are asked: one more than are told, as hosts may have
# come since.
ASKED_PER_REGION = 3
# Streams with the same remainder have the same holders, so that hosts need not
# be ranked for each stream.
BUCKETS = 256


class Holders:
    """Rank the hosts of each region by bucket."""

    __slots__ = ('_hosts', '_names', '_ranked')

    def __init__(self, hosts: HostTable) -> None:
        """Use the table of hosts; refresh() reads it."""
        self._hosts = hosts
        self._names: dict[str, tuple[str, ...]] = {}
        self._ranked: dict[tuple[str, int], list[str]] = {}

    def refresh(self) -> None:
        """Read which hosts can hold origins."""
        names: dict[str, list[str]] = {}
        for entry in self._hosts.others():
            if entry.record.keeps_origins and (
                entry.state is not HostState.LEAVING
            ):
                region = entry.record.region
                names.setdefault(region, []).append(entry.record.name)
        current = {one: tuple(sorted(found)) for one, found in names.items()}
        if current != self._names:
            self._names = current
            self._ranked = {}

    def to_tell(self, attempt: int) -> list[str]:
        """Return the hosts to tell where an attempt's stream began."""
        total = sum(len(names) for names in self._names.values())
        wanted = HOLDERS if total < LARGE_FLEET_HOSTS else LARGE_FLEET_HOLDERS
        own_region = self._hosts.own.region
        near = self._first(own_region, attempt, min(wanted - 1, REGION_HOLDERS))
        others = [
            name
            for region in self._names
            if region != own_region
            for name in self._first(region, attempt, wanted)
        ]
        far = rank(str(attempt % BUCKETS), others)[: wanted - len(near)]
        return (
            [*near, *far] if far else self._first(own_region, attempt, wanted)
        )

    def to_ask(self, attempt: int) -> list[str]:
        """Return the hosts that may have been told, those nearby first."""
        own_region = self._hosts.own.region
        regions = sorted(self._names, key=lambda name: name != own_region)
        return [
            name
            for region in regions
            for name in self._first(region, attempt, ASKED_PER_REGION)
        ]

    def _first(self, region: str, attempt: int, count: int) -> list[str]:
        key = (region, attempt % BUCKETS)
        ranked = self._ranked.get(key)
        if ranked is None:
            names = self._names.get(region, ())
            ranked = rank(str(key[1]), names)[:ASKED_PER_REGION]
            self._ranked[key] = ranked
        return ranked[:count]
