"""Select the hosts that watch the metadata store for their data centre.

The store counts each pending watch as a call, and its rate limits grow more
slowly than the number of hosts. In a large region only a few hosts watch. The
others see in heartbeats that a watcher is ahead and fetch the changes from it.
"""

from collections.abc import Callable

from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank

# In regions of up to this many hosts each one watches for itself. A watch ends
# at most twice a second: 20 of the 2,000 reads a second that the smallest store
# allows.
MIN_HOSTS_FOR_WATCHERS = 10
# A watch may hang for five seconds before its host notices. The second watcher
# still delivers changes within the allowed time.
WATCHERS_PER_DATA_CENTRE = 2


class Watchers:
    """Determine whether this host watches the store."""

    def __init__(self, hosts: HostTable) -> None:
        """Initialize the selection among the hosts of a table."""
        self._hosts = hosts
        # The era of the store that this host knows.
        self.own_era: Callable[[], int] = int

    def own_watches(self) -> bool:
        """Return whether this host must watch the store now."""
        if self._should_all_watch():
            return True
        return (
            self._hosts.own.name
            in self._ranked_candidates()[:WATCHERS_PER_DATA_CENTRE]
        )

    def own_is_standby(self) -> bool:
        """Return whether this host ranks after the first watcher."""
        return (
            not self._should_all_watch()
            and self._ranked_candidates()[0] != self._hosts.own.name
        )

    def _should_all_watch(self) -> bool:
        host_names = self._hosts.names_in(self._hosts.own.region)
        return len(host_names) < MIN_HOSTS_FOR_WATCHERS

    def _ranked_candidates(self) -> list[str]:
        # Only live hosts that reach the store can watch for others. If they
        # fail or lose the store, the next ones in order take over. Hosts that
        # haven't noticed its return from a copy pass on nothing new.
        own = self._hosts.own
        candidates = self._hosts.reaching_store(own.data_centre, self.own_era())
        return rank(own.data_centre, {own.name, *candidates})
