"""Select the hosts that collect the heartbeats of their data centre.

In a region of 65 hosts that all send to each other 2.5 times a second, a host
received 160 datagrams a second and spent two fifths of its processor time on
them, growing with the number of hosts. If two collectors sum the heartbeats, a
host receives about seven a second, whatever the size of its region.
"""

from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank

# In smaller regions sending to all hosts costs no more, and state arrives
# directly instead of through a collector.
MIN_HOSTS_FOR_COLLECTORS = 12
# The second one takes over while the first is down.
COLLECTORS_PER_DATA_CENTRE = 2
# A host that is silent for this long is no longer selected. Longer than one
# lost heartbeat and one lost digest, shorter than the time after which silent
# hosts count as dead.
COLLECTOR_SILENCE_SECONDS = 1.5


class Collectors:
    """Select collectors, identically on hosts with the same table."""

    __slots__ = ('_hosts',)

    def __init__(self, hosts: HostTable) -> None:
        """Initialize the selection among the hosts of a table."""
        self._hosts = hosts

    def are_used(self) -> bool:
        """Return whether the region is large and its hosts accept digests."""
        hosts = self._hosts
        count = 1 + len(hosts.names_in(hosts.own.region))
        return (
            count >= MIN_HOSTS_FOR_COLLECTORS
            and hosts.all_live_support_digests()
        )

    def select(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's collectors in order of rank."""
        candidates = self._hosts.active_in(
            data_centre, COLLECTOR_SILENCE_SECONDS
        )
        return rank(f'collectors of {data_centre}', candidates)[
            :COLLECTORS_PER_DATA_CENTRE
        ]
