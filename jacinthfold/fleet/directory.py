"""Tell callers which entry hosts to use."""

import random
from collections.abc import Callable

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.fleet.table import HostTable

MAX_ADDRESSES = 64
# One host of the nearest data centre is a single point; with two or more the
# caller stays near, which spares traffic between data centres.
MIN_NEARBY_HOSTS = 2
# Callers ask again after this. Longer answers name hosts that left for longer.
DIRECTORY_TTL_SECONDS = 2


class Directory:
    """Choose entry hosts for callers."""

    def __init__(
        self, hosts: HostTable, catalogue: Catalogue, source: random.Random
    ) -> None:
        """Take the hosts and what is known of routes."""
        self._hosts = hosts
        self._catalogue = catalogue
        self._random = source
        self.own_reaches_store: Callable[[], bool] = lambda: True

    def resolve(
        self, host_name: str, region: str, data_centre: str
    ) -> list[HostRecord]:
        """Return hosts for a caller, none if none is known to serve."""
        near = self._reaching_store(self._hosts.serving(region))
        same = [one for one in near if one.data_centre == data_centre]
        chosen = same if len(same) >= MIN_NEARBY_HOSTS else near
        if not chosen:
            chosen = self._in_other_regions(host_name)
        self._random.shuffle(chosen)
        return chosen[:MAX_ADDRESSES]

    def _reaching_store(self, hosts: list[HostRecord]) -> list[HostRecord]:
        """Return the hosts that reach the store, all if none does."""
        # A host that can't hear of keys that are taken away soon serves no
        # request with a key: callers led to it would be sent away again.
        names = {
            entry.record.name
            for entry in self._hosts.others()
            if entry.status.reaches_store
        }
        if self.own_reaches_store():
            names.add(self._hosts.own.name)
        return [one for one in hosts if one.name in names] or hosts

    def _in_other_regions(self, host_name: str) -> list[HostRecord]:
        # A host that has just started knows no routes, and so no homes: led
        # by it to a region where theirs may not be served, callers would stay
        # there for seconds. Another host, or this one in a moment, knows.
        if self._catalogue.routes is None:
            return []
        allowed = self._catalogue.routes.common_home_regions(host_name)
        everywhere = sorted(self._hosts.regions())
        found = [
            host
            for region in everywhere
            if allowed is None or region in allowed
            for host in self._hosts.serving(region)
        ]
        return found
