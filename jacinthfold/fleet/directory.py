"""Resolve callers to entry hosts."""

import random
from collections.abc import Callable

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.fleet.table import HostTable

MAX_ADDRESSES = 64
# A single host of the nearest data centre would be a single point of failure.
# With two or more the caller stays there, which saves traffic between data
# centres.
MIN_NEARBY_HOSTS = 2
# Callers resolve again after this; a longer time would list departed hosts
# longer.
DIRECTORY_TTL_SECONDS = 2


class Directory:
    """Choose entry hosts for callers."""

    def __init__(
        self, hosts: HostTable, catalogue: Catalogue, source: random.Random
    ) -> None:
        """Initialize a directory of the hosts of a table."""
        self._hosts = hosts
        self._catalogue = catalogue
        self._random = source
        self.own_reaches_store: Callable[[], bool] = lambda: True

    def resolve(
        self, host_name: str, region: str, data_centre: str
    ) -> list[HostRecord]:
        """Return the nearest hosts for a caller in random order.

        The list is empty if no allowed host is known to serve.
        """
        region_hosts = self._reaching_store(self._hosts.serving(region))
        local_hosts = [
            one for one in region_hosts if one.data_centre == data_centre
        ]
        chosen = (
            local_hosts
            if len(local_hosts) >= MIN_NEARBY_HOSTS
            else region_hosts
        )
        if not chosen:
            chosen = self._in_other_regions(host_name)
        self._random.shuffle(chosen)
        return chosen[:MAX_ADDRESSES]

    def _reaching_store(self, hosts: list[HostRecord]) -> list[HostRecord]:
        """Return the hosts that reach the store, all of them if none does."""
        # A host that cannot learn of revoked keys soon rejects all requests
        # with a key, including those of callers that are sent to it.
        names = {
            entry.record.name
            for entry in self._hosts.others()
            if entry.status.reaches_store
        }
        if self.own_reaches_store():
            names.add(self._hosts.own.name)
        return [one for one in hosts if one.name in names] or hosts

    def _in_other_regions(self, host_name: str) -> list[HostRecord]:
        # A host that has just started has no routes and no home regions. It
        # could send callers to a region that must not serve them, where they
        # would stay for seconds. Other hosts have the routes already, and this
        # one will have them in a moment.
        if self._catalogue.routes is None:
            return []
        allowed = self._catalogue.routes.common_home_regions(host_name)
        region_names = sorted(self._hosts.regions())
        found = [
            host
            for region in region_names
            if allowed is None or region in allowed
            for host in self._hosts.serving(region)
        ]
        return found
