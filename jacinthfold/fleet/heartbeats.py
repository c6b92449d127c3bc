"""Send heartbeats to the other entry hosts and take in theirs.

Datagrams of JSON, not gRPC: a call of pure-Python HTTP/2 costs hundreds of
microseconds, a datagram tens, and a heartbeat that is lost is replaced by the
next one a moment later.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol, cast

from jacinthfold import logs
from jacinthfold.catalogue.host_codec import document_of, host_of
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.fleet.heartbeat_message import (
    Heartbeat,
    LoadFigures,
    RoomFigures,
    decode,
    encode,
    pack,
)
from jacinthfold.fleet.table import HostEntry, HostState, HostTable
from jacinthfold.placement.regions import RegionReport, RegionView
from jacinthfold.placement.target import Load
from jacinthfold.placement.targets import TargetTable

BEAT_SECONDS = 0.2
BEAT_LIMIT_SECONDS = 0.4
# Hosts of a region up to which the shortest pause is kept.
NEAR_HOSTS = 10
# Other regions hear every third beat: bytes between regions are dear.
REMOTE_EVERY_BEATS = 3
# Hosts of another region that hear such a beat. One host's word on its region
# is as good as another's, and told to all of them the bytes grow with the
# square of the hosts: of a region of 22 each hears 2.6 times a second and not
# 18 (worked out).
REMOTE_FANOUT = 3
# What engines were learned to do and what they have read is told to the own
# region every fifth beat: it changes over seconds.
LAWS_EVERY_BEATS = 5
DATAGRAM_LIMIT_BYTES = 60000
# A dead host refuses every datagram; one line in this time is enough.
UNSENT_TOLD_SECONDS = 5.0

Place = tuple[str, int]


class RoomSource(Protocol):
    """Say what room this region has."""

    def room(self, service: str, *, is_urgent: bool) -> float | None:
        """Return the least wait in seconds, None where nothing serves."""


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
        self._catalogue = catalogue
        self._targets = targets
        self._regions = regions
        self._room_source = room_source
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._own = document_of(hosts.own)
        self._count = 0
        self._unsent_count = 0
        self._unsent_told_at = float('-inf')
        self._random = random.Random()
        self.reaches_store: Callable[[], bool] = lambda: True
        self.seeds: tuple[Place, ...] = ()

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
        is_remote_due = self._count % REMOTE_EVERY_BEATS == 0
        if not self._hosts.others():
            self._ask_seeds()
            return
        self._tell(self._near(), self._message())
        if is_remote_due:
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
        """Take a heartbeat."""
        try:
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

    def _beat_seconds(self) -> float:
        # What a host sends and reads grows with the hosts of its region; at
        # twice as many it speaks half as often, up to a limit at which loads
        # are still heard while the prompts they speak of are being read.
        own = self._hosts.own
        near = len(self._hosts.names_in(own.region))
        return min(BEAT_LIMIT_SECONDS, BEAT_SECONDS * max(1, near / NEAR_HOSTS))

    def _near(self) -> list[HostEntry]:
        region = self._hosts.own.region
        return [
            entry
            for entry in self._hosts.others()
            if entry.record.region == region
        ]

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
                self._send(content, (address, own.relay_port))

    def _tell(self, entries: list[HostEntry], content: bytes) -> None:
        packed = pack(content)
        for entry in entries:
            place = (entry.record.address, entry.record.relay_port)
            self._send(packed if entry.reads_packed else content, place)

    def _send(self, content: bytes, place: Place) -> None:
        if self._transport is not None and len(content) < DATAGRAM_LIMIT_BYTES:
            self._transport.sendto(content, place)

    def _message(self, *, is_near: bool = True) -> bytes:
        heartbeat = self._heartbeat()
        if is_near:
            heartbeat.loads = self._loads()
            now = self._clock.monotonic()
            heartbeat.uses = self._targets.recent_uses.by_life(now)
            if self._count % LAWS_EVERY_BEATS == 0:
                heartbeat.read_tokens = self._targets.own_read_tokens()
                heartbeat.laws = self._targets.laws.own_sums()
        return encode(heartbeat)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._own,
            self._hosts.own_state,
            self._catalogue.revision,
            self.reaches_store(),
            {},
            self._rooms(),
            packs=True,
        )

    def _loads(self) -> dict[str, LoadFigures]:
        return {
            life: (
                load.requests,
                load.unread_tokens,
                load.held_tokens,
                load.urgent_tokens,
            )
            for life, load in self._targets.own_loads().items()
        }

    def _rooms(self) -> dict[str, RoomFigures]:
        if self._catalogue.routes is None:
            return {}
        region = self._hosts.own.region
        rooms = {}
        for service in self._catalogue.routes.services:
            ordinary = self._room_source.room(service, is_urgent=False)
            urgent = self._room_source.room(service, is_urgent=True)
            if ordinary is not None and urgent is not None:
                count = len(self._targets.of(service, region))
                rooms[service] = (round(ordinary, 3), round(urgent, 3), count)
        return rooms

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
        )
        now = self._clock.monotonic()
        if heartbeat.state is HostState.ACTIVE:
            self._regions.take(host.name, _report(host.region, heartbeat, now))
        if host.region == self._hosts.own.region:
            loads = {
                life: Load(*figures)
                for life, figures in heartbeat.loads.items()
            }
            self._targets.take_report(host.name, loads, now)
            self._targets.take_uses(
                host.name, heartbeat.read_tokens, heartbeat.uses
            )
            self._targets.laws.take_sums(host.name, heartbeat.laws, now)


def _report(region: str, heartbeat: Heartbeat, now: float) -> RegionReport:
    rooms = heartbeat.rooms
    waits = {service: (room[0], room[1]) for service, room in rooms.items()}
    counts = {service: room[2] for service, room in rooms.items()}
    return RegionReport(region, now, waits, counts)
