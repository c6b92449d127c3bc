"""Exchange heartbeats with the other entry hosts by datagrams.

Datagrams cost tens of microseconds, a gRPC call over pure-Python HTTP/2 costs
hundreds. A lost heartbeat is replaced by the next one a moment later.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from jacinthfold import logs
from jacinthfold.catalogue.host_codec import host_from_document
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.fleet.aggregation import HeartbeatAggregator
from jacinthfold.fleet.collectors import Collectors
from jacinthfold.fleet.datagram_socket import MAX_DATAGRAM_BYTES, DatagramSocket
from jacinthfold.fleet.digest_exchange import DigestExchange, Endpoint
from jacinthfold.fleet.digests import DigestView
from jacinthfold.fleet.freshness_exchange import FreshnessExchange
from jacinthfold.fleet.heartbeat_builder import CapacitySource, HeartbeatBuilder
from jacinthfold.fleet.heartbeat_message import (
    DIGEST_MARK,
    Heartbeat,
    compress_heartbeat,
    decode,
    encode_bounded,
)
from jacinthfold.fleet.table import HostEntry, HostState, HostTable
from jacinthfold.placement import limit_reports, trial_reports
from jacinthfold.placement.regions import RegionReport, RegionView
from jacinthfold.placement.target import Load
from jacinthfold.placement.targets import TargetTable

HEARTBEAT_INTERVAL_SECONDS = 0.2
MAX_HEARTBEAT_INTERVAL_SECONDS = 0.4
# In larger regions the interval grows with the hosts, unless collectors are
# used.
FULL_RATE_HOSTS = 10
# Other regions get every third heartbeat, and half as many from a region with
# collectors, because traffic between regions is expensive.
REMOTE_INTERVAL_HEARTBEATS = 3
COLLECTED_REMOTE_INTERVAL_HEARTBEATS = 6
# Hosts of another region that get such a heartbeat. All hosts of a region
# report the same about it, and the traffic of sending to all would grow with
# the square of the hosts: from a region of 22, each host gets 2.6 a second by
# calculation instead of 18.
REMOTE_FANOUT = 3
# Latency models and prefilled tokens change only over seconds, so only every
# fifth heartbeat within a region includes them.
FULL_INTERVAL_HEARTBEATS = 5
# Whether a region has collectors changes only when many hosts come or go.
COLLECTOR_CHECK_INTERVAL_HEARTBEATS = 3


class Heartbeats:
    """Send and receive heartbeats and digests on one socket."""

    def __init__(
        self,
        hosts: HostTable,
        catalogue: Catalogue,
        targets: TargetTable,
        regions: RegionView,
        capacity_source: CapacitySource,
        clock: Clock,
    ) -> None:
        """Initialize the exchange; start() binds the socket."""
        self._hosts = hosts
        self._targets = targets
        self._regions = regions
        self._clock = clock
        self.builder = HeartbeatBuilder(
            hosts, catalogue, targets, capacity_source, clock
        )
        self._collectors = Collectors(hosts)
        self._aggregator = HeartbeatAggregator(hosts.own)
        self._digest_view = DigestView(hosts, targets, clock)
        self._digest_view.on_suspects = lambda reports: (
            self.builder.suspects.merge_reports(reports, is_near=True)
        )
        self.freshness_exchange = FreshnessExchange(
            hosts.own, catalogue.freshness, clock
        )
        self._digest_exchange = DigestExchange(
            hosts,
            self._collectors,
            self._aggregator,
            self._digest_view,
            self.freshness_exchange,
            lambda content, endpoint: self.send(content, endpoint),
            clock,
        )
        self._digest_exchange.pending_suspects = lambda is_full: (
            self.builder.suspects.reports_to_send(
                is_near=False, is_full=is_full
            )
        )
        own = hosts.own
        self.socket = DatagramSocket(
            (own.address, own.relay_port),
            lambda content, addr: self.datagram_received(content, addr),
            clock,
        )
        self._count = 0
        self._is_collected = False
        # Heartbeats without some fields.
        self.reduced_count = 0
        self._random = random.Random()
        self.seeds: tuple[Endpoint, ...] = ()
        # Handlers of other datagrams on the same socket, by first byte.
        self.datagram_handlers: dict[
            bytes, Callable[[bytes, Endpoint], None]
        ] = {}

    async def start(self) -> None:
        """Bind the socket; raise OSError if the port is in use."""
        await self.socket.open()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            await asyncio.sleep(self._interval_seconds())

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each host that is due for one."""
        self._count += 1
        if not self._hosts.others():
            self._send_to_seeds()
            return
        if self._count % COLLECTOR_CHECK_INTERVAL_HEARTBEATS == 1:
            self._update_collected(is_collected=self._collectors.are_used())
        self._send_to_own_region()
        interval = REMOTE_INTERVAL_HEARTBEATS
        if self._is_collected:
            interval = COLLECTED_REMOTE_INTERVAL_HEARTBEATS
        if self._count % interval == 0:
            self._send_to(
                self._sample_remote_hosts(),
                self._encoded_heartbeat(is_near=False),
            )

    def broadcast(self) -> None:
        """Send the current state to all hosts at once."""
        self._send_to(self._hosts.others(), self._encoded_heartbeat())

    def datagram_received(self, content: bytes, addr: Any) -> None:
        """Dispatch a heartbeat, digests or another datagram."""
        try:
            if content[:1] in self.datagram_handlers:
                self.datagram_handlers[content[:1]](content, addr)
            elif content.startswith(DIGEST_MARK):
                self._digest_exchange.receive(content, addr[0])
            else:
                self._receive(decode(content))
        except ValueError as error:
            logs.warning('heartbeat_unreadable', peer=addr, reason=repr(error))

    def send(self, content: bytes, endpoint: Endpoint) -> None:
        """Send a datagram to another host."""
        self.socket.send(content, endpoint)

    def _encode(self, heartbeat: Heartbeat) -> bytes:
        content, left_out = encode_bounded(heartbeat, MAX_DATAGRAM_BYTES)
        if left_out:
            self.reduced_count += 1
            self.socket.log_not_sent(
                f'left out of a heartbeat: {",".join(left_out)}'
            )
        return content

    def _interval_seconds(self) -> float:
        if self._is_collected and self._digest_view.includes_own():
            return HEARTBEAT_INTERVAL_SECONDS
        # If every host sends to all, the cost grows with the hosts of the
        # region, so the interval grows too. At the maximum, loads still arrive
        # while their prompts are being prefilled.
        own = self._hosts.own
        host_count = len(self._hosts.names_in(own.region))
        return min(
            MAX_HEARTBEAT_INTERVAL_SECONDS,
            HEARTBEAT_INTERVAL_SECONDS * max(1, host_count / FULL_RATE_HOSTS),
        )

    def _update_collected(self, *, is_collected: bool) -> None:
        if is_collected is not self._is_collected:
            self._is_collected = is_collected
            own = self._hosts.own.data_centre
            logs.event(
                'heartbeats_collected',
                is_collected=is_collected,
                collectors=','.join(self._collectors.select(own)),
            )

    def _send_to_own_region(self) -> None:
        heartbeat = self._own_region_heartbeat()
        self._aggregator.add(heartbeat, self._clock.monotonic())
        content = self._encode(heartbeat)
        if not self._is_collected:
            self._send_to(self._hosts.others_in_own_region(), content)
            return
        names = self._collectors.select(self._hosts.own.data_centre)
        if self._hosts.own.name in names:
            self._digest_exchange.send_digest(names.index(self._hosts.own.name))
        # Hosts that no digest includes are dropped by all after two seconds.
        # Both collectors may have died, or packets to them may get lost.
        if self._digest_view.includes_own():
            self._send_to(self._hosts.entries(names), content)
        else:
            self._send_to(self._hosts.others_in_own_region(), content)

    def _sample_remote_hosts(self) -> list[HostEntry]:
        by_region: dict[str, list[HostEntry]] = {}
        for entry in self._hosts.others():
            by_region.setdefault(entry.record.region, []).append(entry)
        by_region.pop(self._hosts.own.region, None)
        sampled: list[HostEntry] = []
        for entries in by_region.values():
            count = min(REMOTE_FANOUT, len(entries))
            sampled.extend(self._random.sample(entries, count))
        return sampled

    def _send_to_seeds(self) -> None:
        # All hosts of a deployment use the same ports.
        own = self._hosts.own
        content = self._encoded_heartbeat()
        for address, _ in self.seeds:
            if address != own.address:
                self.send(content, (address, own.relay_port))

    def _send_to(self, entries: list[HostEntry], content: bytes) -> None:
        if not entries:
            return
        compressed = compress_heartbeat(content)
        for entry in entries:
            endpoint = (entry.record.address, entry.record.relay_port)
            self.send(
                compressed if entry.supports_compression else content, endpoint
            )

    def _encoded_heartbeat(self, *, is_near: bool = True) -> bytes:
        if is_near:
            return self._encode(self._own_region_heartbeat())
        return self._encode(self.builder.for_other_regions(self._count))

    def _own_region_heartbeat(self) -> Heartbeat:
        is_full = self._count % FULL_INTERVAL_HEARTBEATS == 0
        heartbeat = self.builder.for_own_region(self._count, is_full=is_full)
        self._digest_view.own_loads.record(self._count, heartbeat.loads)
        self.freshness_exchange.fill_heartbeat(heartbeat)
        return heartbeat

    def _receive(self, heartbeat: Heartbeat) -> None:
        host = host_from_document(heartbeat.host)
        if host.name == self._hosts.own.name:
            return
        self._hosts.record_heartbeat(
            host,
            heartbeat.state,
            heartbeat.catalogue_revision,
            reaches_store=heartbeat.store,
            supports_compression=heartbeat.packs,
            supports_digests=heartbeat.digests,
        )
        is_near = host.region == self._hosts.own.region
        self.builder.suspects.merge_reports(heartbeat.suspects, is_near=is_near)
        now = self._clock.monotonic()
        if heartbeat.state is HostState.ACTIVE:
            self._regions.update(
                host.name, _region_report(host.region, heartbeat, now)
            )
        if host.data_centre == self._hosts.own.data_centre:
            self._aggregator.add(heartbeat, now)
        if is_near:
            self.freshness_exchange.receive_heartbeat(heartbeat)
            limit_reports.apply_reports(
                self._targets, host.name, heartbeat.limits, now
            )
            trial_reports.apply_reports(self._targets, heartbeat.trials, now)
            self._apply_loads(host.name, heartbeat, now)

    def _apply_loads(self, name: str, heartbeat: Heartbeat, now: float) -> None:
        if self._digest_view.includes(name):
            return
        loads = {
            incarnation_id: Load(*figures)
            for incarnation_id, figures in heartbeat.loads.items()
        }
        self._targets.update_loads(name, loads, now)
        self._targets.update_cached_prefixes(
            name, heartbeat.read_tokens, heartbeat.uses
        )
        self._targets.latency_models.update_peer_sums(name, heartbeat.laws, now)


def _region_report(
    region: str, heartbeat: Heartbeat, now: float
) -> RegionReport:
    capacities = heartbeat.rooms
    waits = {service: (one[0], one[1]) for service, one in capacities.items()}
    counts = {service: one[2] for service, one in capacities.items()}
    return RegionReport(region, now, waits, counts)
