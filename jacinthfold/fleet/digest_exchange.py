"""Send digests as a collector and receive those of other collectors."""

import random
from collections.abc import Callable, Iterable

from jacinthfold.clock import Clock
from jacinthfold.fleet.aggregation import HeartbeatAggregator
from jacinthfold.fleet.collectors import Collectors
from jacinthfold.fleet.digest_message import (
    Digest,
    decode_digests,
    encode_digests,
)
from jacinthfold.fleet.digests import DigestView
from jacinthfold.fleet.freshness_exchange import FreshnessExchange
from jacinthfold.fleet.table import HostEntry, HostTable
from jacinthfold.quarantine.crashes import SuspectReport

# Hosts of another data centre that get a digest while no collector is known
# there.
FALLBACK_FANOUT = 3
# The second collector sends every third digest, so that others already know its
# state when the first one fails.
SECONDARY_INTERVAL_DIGESTS = 3

Endpoint = tuple[str, int]


class DigestExchange:
    """Send this host's digests; apply and forward received ones."""

    def __init__(
        self,
        hosts: HostTable,
        collectors: Collectors,
        aggregator: HeartbeatAggregator,
        view: DigestView,
        freshness_exchange: FreshnessExchange,
        send: Callable[[bytes, Endpoint], None],
        clock: Clock,
    ) -> None:
        """Initialize an exchange that sends datagrams by a callback."""
        self._hosts = hosts
        self._collectors = collectors
        self._aggregator = aggregator
        self._view = view
        self._freshness_exchange = freshness_exchange
        self._send = send
        self._clock = clock
        self._random = random.Random()
        self._count = 0
        self.pending_suspects: Callable[[bool], list[SuspectReport]] = (
            _no_suspects
        )

    def send_digest(self, rank: int) -> None:
        """Send the next digest as a collector of a rank, if one is due."""
        self._count += 1
        if rank and self._count % SECONDARY_INTERVAL_DIGESTS:
            return
        own = self._aggregator.make_digest(self._clock.monotonic(), rank)
        own.suspects = self.pending_suspects(own.is_full)
        self._freshness_exchange.fill_digest(own)
        self._view.apply(own)
        region_hosts = self._hosts.others_in_own_region()
        own_data_centre = self._hosts.own.data_centre
        members = [
            one
            for one in region_hosts
            if one.record.data_centre == own_data_centre
        ]
        content = encode_digests([own, *self._view.digests_to_forward()])
        self._send_all(members, content)
        other_data_centres = {
            one.record.data_centre for one in region_hosts
        } - {own_data_centre}
        for name in sorted(other_data_centres):
            entries = [
                one for one in region_hosts if one.record.data_centre == name
            ]
            self._send_all(
                self._forwarders(name, entries), encode_digests([own])
            )

    def receive(self, content: bytes, sender_address: str) -> None:
        """Apply the digests of a datagram; raise ValueError."""
        digests = decode_digests(content)
        for digest in digests:
            if digest.collector != self._hosts.own.name:
                self._view.apply(digest)
            if digest.data_centre == self._hosts.own.data_centre:
                self._freshness_exchange.receive_digest(digest)
        if digests and digests[0].address == sender_address:
            self._forward(digests[0], content)

    def _forwarders(
        self, data_centre: str, entries: list[HostEntry]
    ) -> list[HostEntry]:
        """Return the hosts that forward digests in another data centre."""
        names = self._collectors.select(data_centre)
        if names:
            return self._hosts.entries(names)
        # After a partition no host there is known to be live, and without this
        # neither side would start to send.
        count = min(FALLBACK_FANOUT, len(entries))
        return self._random.sample(entries, count)

    def _forward(self, digest: Digest, content: bytes) -> None:
        """Forward another data centre's digest to this one's collectors."""
        # Only digests that come directly from their collector: hosts that
        # disagree on the collectors would forward them in a loop.
        own = self._hosts.own
        names = self._collectors.select(own.data_centre)
        if digest.data_centre != own.data_centre and own.name not in names:
            self._send_all(self._hosts.entries(names), content)

    def _send_all(self, entries: Iterable[HostEntry], content: bytes) -> None:
        for entry in entries:
            record = entry.record
            self._send(content, (record.address, record.relay_port))


def _no_suspects(_: bool) -> list[SuspectReport]:
    return []
