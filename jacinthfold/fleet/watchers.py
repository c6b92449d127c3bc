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
        own = self._hosts.own
        if len(self._hosts.names_in(own.region)) < ALL_WATCH_HOSTS:
            return True
        # Only hosts that are heard and reach the store can watch for others:
        # when they fall silent or lose it, the next in order take over.
        able = self._hosts.reaching_store(own.data_centre)
        order = rank(own.data_centre, {own.name, *able})
        return own.name in order[:WATCHERS]
