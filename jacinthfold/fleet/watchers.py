"""Choose the hosts that watch the metadata store for their data centre.

The store counts every waiting watch as a call, and its rates grow more slowly
than the hosts. In a large region a few hosts watch; the others hear from
heartbeats that one of them is ahead and ask it what changed.
"""

from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank

# Hosts of a region up to which each watches for itself. A watch ends at most
# twice a second: 20 of the 2,000 reads a second that the smallest store takes.
MIN_HOSTS_FOR_WATCHERS = 10
# One watch may hang for five seconds before its host notices; a second one
# covers for it within the time that changes are allowed.
WATCHERS_PER_DATA_CENTRE = 2


class Watchers:
    """Tell whether the own host watches."""

    def __init__(self, hosts: HostTable) -> None:
        """Take the hosts that are known."""
        self._hosts = hosts

    def own_watches(self) -> bool:
        """Tell whether this host is to watch now."""
        if self._should_all_watch():
            return True
        return (
            self._hosts.own.name
            in self._ranked_candidates()[:WATCHERS_PER_DATA_CENTRE]
        )

    def own_is_standby(self) -> bool:
        """Tell whether the own host watches in case the first one stops."""
        return (
            not self._should_all_watch()
            and self._ranked_candidates()[0] != self._hosts.own.name
        )

    def _should_all_watch(self) -> bool:
        near = self._hosts.names_in(self._hosts.own.region)
        return len(near) < MIN_HOSTS_FOR_WATCHERS

    def _ranked_candidates(self) -> list[str]:
        # Only hosts that are heard and reach the store can watch for others:
        # when they fall silent or lose it, the next in order take over.
        own = self._hosts.own
        candidates = self._hosts.reaching_store(own.data_centre)
        return rank(own.data_centre, {own.name, *candidates})
