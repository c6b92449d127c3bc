"""Simulate heartbeats between many hosts in one process and virtual time."""

import random

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.table import HostState, HostTable
from tests.fakes import FakeClock
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue

STEP_SECONDS = 0.05


def host_record(name, data_centre, number, region='north', incarnation=1):
    address = f'10.{number // 250}.{number % 250}.1'
    return HostRecord(
        name, incarnation, (region, data_centre), address, (1, 2, 3)
    )


class SimulatedHost:
    """Hold one host's heartbeats and the time of its next one."""

    def __init__(self, fleet, record):
        self.scene = Scene(record.name, fleet.clock)
        self.hosts = HostTable(record, fleet.clock)
        self.hosts.own_state = HostState.ACTIVE
        host_catalogue, _ = catalogue(fleet.clock)
        self.heartbeats = Heartbeats(
            self.hosts,
            host_catalogue,
            self.scene.targets,
            self.scene.regions,
            self.scene.placer,
            fleet.clock,
        )
        self.heartbeats.send = lambda content, endpoint: fleet.deliver(
            record.name, content, endpoint
        )
        self.due_at = fleet.clock.monotonic() + fleet.random.uniform(0, 0.2)
        self.is_running = True
        self.received_count = 0

    def live(self):
        """Return the names of the region's hosts that are live here."""
        return {one.name for one in self.hosts.serving('north')}


class Fleet:
    """Hold the hosts of one region and a network that may lose datagrams."""

    def __init__(self, count, data_centres=('n-1', 'n-2'), seed=1):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        # Whether a datagram from one host to another is lost.
        self.is_lost = lambda sender, receiver: False
        self.hosts = {}
        self._by_address = {}
        for number in range(count):
            self.add(f'h{number:03}', data_centres[number % len(data_centres)])

    def add(self, name, data_centre, incarnation=1):
        """Add a host; it and all others learn of each other from the store."""
        number = len(self._by_address)
        record = host_record(name, data_centre, number, 'north', incarnation)
        added = SimulatedHost(self, record)
        for other in self.hosts.values():
            other.hosts.register(record, name)
            added.hosts.register(other.hosts.own, other.hosts.own.name)
        self.hosts[name] = added
        self._by_address[record.address] = name
        return added

    def deliver(self, sender, content, endpoint):
        receiver = self._by_address.get(endpoint[0])
        if receiver is None or self.is_lost(sender, receiver):
            return
        host = self.hosts[receiver]
        if host.is_running and self.hosts[sender].is_running:
            host.received_count += 1
            address = self.hosts[sender].hosts.own.address
            host.heartbeats.datagram_received(content, (address, 2))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            now = self.clock.monotonic()
            for host in self.hosts.values():
                if host.is_running and host.due_at <= now:
                    host.heartbeats.send_heartbeats()
                    host.due_at = now + host.heartbeats._interval_seconds()

    def add_target(self, instance):
        for host in self.hosts.values():
            host.scene.add(instance)

    def collectors(self, data_centre):
        """Return a data centre's collectors as one of its hosts sees them."""
        some = next(
            host
            for host in self.hosts.values()
            if host.is_running and host.hosts.own.data_centre == data_centre
        )
        return some.heartbeats._collectors.select(data_centre)

    def running(self):
        return {
            name: host for name, host in self.hosts.items() if host.is_running
        }
