"""Choose the hosts that watch the metadata store for their data centre.

The store counts every waiting watch as a call, and its rates grow more slowly
than the hosts. In a large region a few hosts watch; the others hear from
heartbeats that one of them is ahead and ask it what changed.
"""

from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank

# Hosts of a region up to which each watches for itself. A watch ends at most
# twice a second: 20 of the 2,000 reads a second that the smallest store takes.
ALL_WATCH_HOSTS = 10
# One watch may hang for five seconds before its host notices; a second one
# covers for it within the time that changes are allowed.
WATCHERS = 2


class Watchers:
    """Tell whether the own host watches."""

    def __init__(self, hosts: HostTable) -> None:
        """Take the hosts that are known."""
        self._hosts = hosts

    def own_watches(self) -> bool:
        """Tell whether this host is to watch now."""
        if self._all_watch():
            return True
        return self._hosts.own.name in self._order()[:WATCHERS]

    def own_covers(self) -> bool:
        """Tell whether the own host watches in case the first one stops."""
        return (
            not self._all_watch() and self._order()[0] != self._hosts.own.name
        )

    def _all_watch(self) -> bool:
        near = self._hosts.names_in(self._hosts.own.region)
        return len(near) < ALL_WATCH_HOSTS

    def _order(self) -> list[str]:
        # Only hosts that are heard and reach the store can watch for others:
        # when they fall silent or lose it, the next in order take over.
        own = self._hosts.own
        able = self._hosts.reaching_store(own.data_centre)
        return rank(own.data_centre, {own.name, *able})
