"""Send digests as a collector, and take in those of others."""

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
from jacinthfold.quarantine.ends import SuspectWord

# Hosts of another data centre that hear a digest while nobody there is heard.
FALLBACK_FANOUT = 3
# The second collector tells every third time, to be known when the first is
# gone.
SECONDARY_INTERVAL_DIGESTS = 3

Endpoint = tuple[str, int]


class DigestExchange:
    """Tell what was gathered, and hear what others gathered."""

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
        """Take who collects, what is told and heard, and how it is sent."""
        self._hosts = hosts
        self._collectors = collectors
        self._aggregator = aggregator
        self._view = view
        self._freshness_exchange = freshness_exchange
        self._send = send
        self._clock = clock
        self._random = random.Random()
        self._count = 0
        self.pending_suspects: Callable[[bool], list[SuspectWord]] = (
            _no_suspects
        )

    def send_digest(self, rank: int) -> None:
        """Send a digest to those that are due, as a collector of a rank."""
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
        content = encode_digests([own, *self._view.others()])
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
        """Take a datagram's digests; raise ValueError."""
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
        """Return who passes digests on in another data centre."""
        names = self._collectors.select(data_centre)
        if names:
            return self._hosts.entries(names)
        # After a cut nobody there is heard, and nobody would begin.
        count = min(FALLBACK_FANOUT, len(entries))
        return self._random.sample(entries, count)

    def _forward(self, digest: Digest, content: bytes) -> None:
        """Give the digest of another data centre to those that tell of it."""
        # Only when it comes from its maker: hosts that differ in who collects
        # would pass it back and forth.
        own = self._hosts.own
        names = self._collectors.select(own.data_centre)
        if digest.data_centre != own.data_centre and own.name not in names:
            self._send_all(self._hosts.entries(names), content)

    def _send_all(self, entries: Iterable[HostEntry], content: bytes) -> None:
        for entry in entries:
            record = entry.record
            self._send(content, (record.address, record.relay_port))


def _no_suspects(_: bool) -> list[SuspectWord]:
    return []
