"""Choose the hosts that collect the heartbeats of their data centre.

Load pattern: a region of 65 hosts in which each told each other one what it
has loaded, two and a half times a second: a host heard 160 datagrams a second
and spent two fifths of its processor time on them, and that grew with the
hosts. Told to two collectors and summed there, a host hears some seven a
second, however many hosts its region has.
"""

from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank

# Hosts of a region from which on collectors are used: with fewer, telling all
# costs no more, and nothing is heard at second hand.
MIN_HOSTS_FOR_COLLECTORS = 12
# Of a data centre; the second one covers for the first while it is away.
COLLECTORS_PER_DATA_CENTRE = 2
# A host that was not heard for this long collects no more: longer than a
# heartbeat and a digest that are both lost once, shorter than the silence
# after which hosts are dropped.
COLLECTOR_SILENCE_SECONDS = 1.5


class Collectors:
    """Tell who collects, the same on hosts that hear the same."""

    __slots__ = ('_hosts',)

    def __init__(self, hosts: HostTable) -> None:
        """Take the hosts that are known."""
        self._hosts = hosts

    def are_used(self) -> bool:
        """Tell whether the own region is large enough, and all can read."""
        hosts = self._hosts
        count = 1 + len(hosts.names_in(hosts.own.region))
        return (
            count >= MIN_HOSTS_FOR_COLLECTORS
            and hosts.all_live_support_digests()
        )

    def select(self, data_centre: str) -> list[str]:
        """Return the names of a data centre's collectors, the first first."""
        candidates = self._hosts.active_in(
            data_centre, COLLECTOR_SILENCE_SECONDS
        )
        return rank(f'collectors of {data_centre}', candidates)[
            :COLLECTORS_PER_DATA_CENTRE
        ]
