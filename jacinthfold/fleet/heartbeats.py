"""Send heartbeats to the other entry hosts and take in theirs.

Datagrams, not gRPC: a call of pure-Python HTTP/2 costs hundreds of
microseconds, a datagram tens, and a heartbeat that is lost is replaced by the
next one a moment later.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

from jacinthfold import logs
from jacinthfold.catalogue.host_codec import host_of
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.fleet.collectors import Collectors
from jacinthfold.fleet.digest_exchange import DigestExchange, Place
from jacinthfold.fleet.digests import DigestView
from jacinthfold.fleet.gathering import Gathering
from jacinthfold.fleet.heartbeat_content import HeartbeatContent, RoomSource
from jacinthfold.fleet.heartbeat_message import (
    DIGEST_MARK,
    Heartbeat,
    decode,
    encode,
    pack,
)
from jacinthfold.fleet.proofs import ProofExchange
from jacinthfold.fleet.table import HostEntry, HostState, HostTable
from jacinthfold.placement import limit_words
from jacinthfold.placement.regions import RegionReport, RegionView
from jacinthfold.placement.target import Load
from jacinthfold.placement.targets import TargetTable

BEAT_SECONDS = 0.2
BEAT_LIMIT_SECONDS = 0.4
# Hosts of a region up to which the shortest pause is kept when each tells all.
NEAR_HOSTS = 10
# Other regions hear every third beat, and half as often from a region that
# has collectors: bytes between regions are dear.
REMOTE_EVERY_BEATS = 3
COLLECTED_REMOTE_EVERY_BEATS = 6
# Hosts of another region that hear such a beat. One host's word on its region
# is as good as another's, and told to all of them the bytes grow with the
# square of the hosts: of a region of 22 each hears 2.6 times a second and not
# 18 (worked out).
REMOTE_FANOUT = 3
# What engines were learned to do and what they have read is told to the own
# region every fifth beat: it changes over seconds.
FULL_EVERY_BEATS = 5
# Whether a region has collectors is looked at this often: it changes when many
# hosts come or go.
COLLECTED_CHECK_BEATS = 3
DATAGRAM_LIMIT_BYTES = 60000
# A dead host refuses every datagram; one line in this time is enough.
UNSENT_TOLD_SECONDS = 5.0


class Heartbeats(asyncio.DatagramProtocol):
    """Exchange heartbeats by datagrams."""

    def __init__(
        self,
        hosts: HostTable,
        catalogue: Catalogue,
        targets: TargetTable,
        regions: RegionView,
        room_source: RoomSource,
        clock: Clock,
    ) -> None:
        """Take what heartbeats tell of and what they change."""
        self._hosts = hosts
        self._targets = targets
        self._regions = regions
        self._clock = clock
        self.content = HeartbeatContent(
            hosts, catalogue, targets, room_source, clock
        )
        self._collectors = Collectors(hosts)
        self._gathering = Gathering(hosts.own)
        self._digests = DigestView(hosts, targets, clock)
        self._digests.take_suspects = lambda words: (
            self.content.suspects.merge_reports(words, is_near=True)
        )
        self.proofs = ProofExchange(hosts.own, catalogue.freshness, clock)
        self._exchange = DigestExchange(
            hosts,
            self._collectors,
            self._gathering,
            self._digests,
            self.proofs,
            lambda content, place: self.send(content, place),
            clock,
        )
        self._exchange.suspect_news = lambda is_full: (
            self.content.suspects.reports_to_send(
                is_near=False, is_full=is_full
            )
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._count = 0
        self._is_collected = False
        self._unsent_count = 0
        self._unsent_told_at = float('-inf')
        self._random = random.Random()
        self.seeds: tuple[Place, ...] = ()
        # Who takes what the same socket carries beside heartbeats, by the
        # first byte.
        self.takers: dict[bytes, Callable[[bytes, Place], None]] = {}

    async def start(self) -> None:
        """Bind the socket; raise OSError when the port is taken."""
        own = self._hosts.own
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(own.address, own.relay_port)
        )

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(self._beat_seconds())

    def beat(self) -> None:
        """Send one heartbeat to each host that is due."""
        self._count += 1
        if not self._hosts.others():
            self._ask_seeds()
            return
        if self._count % COLLECTED_CHECK_BEATS == 1:
            self._note_collected(is_collected=self._collectors.are_used())
        self._tell_near()
        every = REMOTE_EVERY_BEATS
        if self._is_collected:
            every = COLLECTED_REMOTE_EVERY_BEATS
        if self._count % every == 0:
            self._tell(self._some_remote(), self._message(is_near=False))

    def announce(self) -> None:
        """Tell every host at once what this one is doing now."""
        self._tell(self._hosts.others(), self._message())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        # The selector loop's transport is a datagram transport by what it
        # does, not by its class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, content: bytes, addr: Any) -> None:
        """Take a heartbeat or digests."""
        try:
            if content[:1] in self.takers:
                self.takers[content[:1]](content, addr)
            elif content.startswith(DIGEST_MARK):
                self._exchange.take(content, addr[0])
            else:
                self._take(decode(content))
        except ValueError as error:
            logs.warning('heartbeat_unreadable', peer=addr, reason=repr(error))

    def error_received(self, exc: Exception) -> None:
        """Take that a datagram met no listener; the table shows it too."""
        self._unsent_count += 1
        now = self._clock.monotonic()
        if now - self._unsent_told_at < UNSENT_TOLD_SECONDS:
            return
        logs.warning(
            'heartbeats_not_sent', count=self._unsent_count, reason=repr(exc)
        )
        self._unsent_told_at = now
        self._unsent_count = 0

    def send(self, content: bytes, place: Place) -> None:
        """Send a datagram to another host."""
        if self._transport is not None and len(content) < DATAGRAM_LIMIT_BYTES:
            self._transport.sendto(content, place)

    def _beat_seconds(self) -> float:
        if self._is_collected and self._digests.carries_own():
            return BEAT_SECONDS
        # Where each tells all, what a host sends and reads grows with the
        # hosts of its region; at twice as many it speaks half as often, up to
        # a limit at which loads are still heard while the prompts they speak
        # of are being read.
        own = self._hosts.own
        near = len(self._hosts.names_in(own.region))
        return min(BEAT_LIMIT_SECONDS, BEAT_SECONDS * max(1, near / NEAR_HOSTS))

    def _note_collected(self, *, is_collected: bool) -> None:
        if is_collected is not self._is_collected:
            self._is_collected = is_collected
            own = self._hosts.own.data_centre
            logs.event(
                'heartbeats_collected',
                is_collected=is_collected,
                collectors=','.join(self._collectors.of(own)),
            )

    def _tell_near(self) -> None:
        message = self._near_heartbeat()
        self._gathering.take(message, self._clock.monotonic())
        content = encode(message)
        if not self._is_collected:
            self._tell(self._hosts.near(), content)
            return
        names = self._collectors.of(self._hosts.own.data_centre)
        if self._hosts.own.name in names:
            self._exchange.tell(names.index(self._hosts.own.name))
        # Who is not told of by a collector is dropped by all after two
        # seconds: both may have died, or packets to them get lost.
        if self._digests.carries_own():
            self._tell(self._hosts.entries(names), content)
        else:
            self._tell(self._hosts.near(), content)

    def _some_remote(self) -> list[HostEntry]:
        by_region: dict[str, list[HostEntry]] = {}
        for entry in self._hosts.others():
            by_region.setdefault(entry.record.region, []).append(entry)
        by_region.pop(self._hosts.own.region, None)
        some: list[HostEntry] = []
        for entries in by_region.values():
            count = min(REMOTE_FANOUT, len(entries))
            some.extend(self._random.sample(entries, count))
        return some

    def _ask_seeds(self) -> None:
        # Ports are the same on all hosts of a deployment.
        own = self._hosts.own
        content = self._message()
        for address, _ in self.seeds:
            if address != own.address:
                self.send(content, (address, own.relay_port))

    def _tell(self, entries: list[HostEntry], content: bytes) -> None:
        if not entries:
            return
        packed = pack(content)
        for entry in entries:
            place = (entry.record.address, entry.record.relay_port)
            self.send(packed if entry.reads_packed else content, place)

    def _message(self, *, is_near: bool = True) -> bytes:
        if is_near:
            return encode(self._near_heartbeat())
        return encode(self.content.remote(self._count))

    def _near_heartbeat(self) -> Heartbeat:
        is_full = self._count % FULL_EVERY_BEATS == 0
        heartbeat = self.content.near(self._count, is_full=is_full)
        self._digests.own_loads.note(self._count, heartbeat.loads)
        self.proofs.fill_heartbeat(heartbeat)
        return heartbeat

    def _take(self, heartbeat: Heartbeat) -> None:
        host = host_of(heartbeat.host)
        if host.name == self._hosts.own.name:
            return
        self._hosts.note_heartbeat(
            host,
            heartbeat.state,
            heartbeat.revision,
            reaches_store=heartbeat.store,
            reads_packed=heartbeat.packs,
            reads_digests=heartbeat.digests,
        )
        is_near = host.region == self._hosts.own.region
        self.content.suspects.merge_reports(heartbeat.suspects, is_near=is_near)
        now = self._clock.monotonic()
        if heartbeat.state is HostState.ACTIVE:
            self._regions.take(host.name, _report(host.region, heartbeat, now))
        if host.data_centre == self._hosts.own.data_centre:
            self._gathering.take(heartbeat, now)
        if is_near:
            self.proofs.take_heartbeat(heartbeat)
            limit_words.take_words(
                self._targets, host.name, heartbeat.limits, now
            )
            self._take_loads(host.name, heartbeat, now)

    def _take_loads(self, name: str, heartbeat: Heartbeat, now: float) -> None:
        if self._digests.carries(name):
            return
        loads = {
            life: Load(*figures) for life, figures in heartbeat.loads.items()
        }
        self._targets.take_report(name, loads, now)
        self._targets.take_uses(name, heartbeat.read_tokens, heartbeat.uses)
        self._targets.laws.take_sums(name, heartbeat.laws, now)


def _report(region: str, heartbeat: Heartbeat, now: float) -> RegionReport:
    rooms = heartbeat.rooms
    waits = {service: (room[0], room[1]) for service, room in rooms.items()}
    counts = {service: room[2] for service, room in rooms.items()}
    return RegionReport(region, now, waits, counts)
