"""Send digests as a collector, and take in those of others."""

import random
from collections.abc import Callable, Iterable

from jacinthfold.clock import Clock
from jacinthfold.fleet.collectors import Collectors
from jacinthfold.fleet.digest_message import (
    Digest,
    decode_digests,
    encode_digests,
)
from jacinthfold.fleet.digests import DigestView
from jacinthfold.fleet.gathering import Gathering
from jacinthfold.fleet.proofs import ProofExchange
from jacinthfold.fleet.table import HostEntry, HostTable
from jacinthfold.quarantine.crashes import SuspectReport

# Hosts of another data centre that hear a digest while nobody there is heard.
UNHEARD_FANOUT = 3
# The second collector tells every third time, to be known when the first is
# gone.
SECOND_EVERY = 3

Place = tuple[str, int]


class DigestExchange:
    """Tell what was gathered, and hear what others gathered."""

    def __init__(
        self,
        hosts: HostTable,
        collectors: Collectors,
        gathering: Gathering,
        view: DigestView,
        proofs: ProofExchange,
        send: Callable[[bytes, Place], None],
        clock: Clock,
    ) -> None:
        """Take who collects, what is told and heard, and how it is sent."""
        self._hosts = hosts
        self._collectors = collectors
        self._gathering = gathering
        self._view = view
        self._proofs = proofs
        self._send = send
        self._clock = clock
        self._random = random.Random()
        self._count = 0
        self.suspect_news: Callable[[bool], list[SuspectReport]] = _no_news

    def tell(self, rank: int) -> None:
        """Send a digest to those that are due, as a collector of a rank."""
        self._count += 1
        if rank and self._count % SECOND_EVERY:
            return
        own = self._gathering.digest(self._clock.monotonic(), rank)
        own.suspects = self.suspect_news(own.is_full)
        self._proofs.fill_digest(own)
        self._view.take(own)
        near = self._hosts.near()
        home = self._hosts.own.data_centre
        members = [one for one in near if one.record.data_centre == home]
        told = encode_digests([own, *self._view.others()])
        self._send_all(members, told)
        elsewhere = {one.record.data_centre for one in near} - {home}
        for name in sorted(elsewhere):
            there = [one for one in near if one.record.data_centre == name]
            self._send_all(self._peers(name, there), encode_digests([own]))

    def take(self, content: bytes, sender_address: str) -> None:
        """Take a datagram's digests; raise ValueError."""
        digests = decode_digests(content)
        for digest in digests:
            if digest.collector != self._hosts.own.name:
                self._view.take(digest)
            if digest.data_centre == self._hosts.own.data_centre:
                self._proofs.take_digest(digest)
        if digests and digests[0].address == sender_address:
            self._pass_on(digests[0], content)

    def _peers(
        self, data_centre: str, entries: list[HostEntry]
    ) -> list[HostEntry]:
        """Return who passes digests on in another data centre."""
        names = self._collectors.of(data_centre)
        if names:
            return self._hosts.entries(names)
        # After a cut nobody there is heard, and nobody would begin.
        count = min(UNHEARD_FANOUT, len(entries))
        return self._random.sample(entries, count)

    def _pass_on(self, digest: Digest, content: bytes) -> None:
        """Give the digest of another data centre to those that tell of it."""
        # Only when it comes from its maker: hosts that differ in who collects
        # would pass it back and forth.
        own = self._hosts.own
        names = self._collectors.of(own.data_centre)
        if digest.data_centre != own.data_centre and own.name not in names:
            self._send_all(self._hosts.entries(names), content)

    def _send_all(self, entries: Iterable[HostEntry], content: bytes) -> None:
        for entry in entries:
            record = entry.record
            self._send(content, (record.address, record.relay_port))


def _no_news(_: bool) -> list[SuspectReport]:
    return []
