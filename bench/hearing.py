"""Measure what heartbeats cost a host of a region, by the region's hosts.

All hosts run in this process by a clock of its own, without sockets: bytes and
datagrams are exact, processor time leaves the system calls out.
"""

import random
import time

from loguru import logger

from jacinthfold.placement.target import Load
from tests.gateway.beating import Fleet

SIZES = (12, 30, 60, 90)
TARGETS = 46
BUSY_TARGETS_A_HOST = 8
SETTLED_SECONDS = 3.0
MEASURED_SECONDS = 5.0


class Cost:
    """Add up what one host sends and hears."""

    def __init__(self):
        self.datagrams = 0
        self.bytes = 0
        self.seconds = 0.0


def measured(hosts):
    """Return the costs of collectors and of all other hosts."""
    fleet = Fleet(hosts)
    source = random.Random(3)
    for number in range(TARGETS):
        fleet.add_target(f'i-{source.randrange(16**10):010x}-{number}')
    for host in fleet.hosts.values():
        targets = host.scene.targets.all()
        for target in source.sample(targets, BUSY_TARGETS_A_HOST):
            target.own = Load(2, 9000, 24000, 1200)
    fleet.run(SETTLED_SECONDS)
    costs = {name: Cost() for name in fleet.hosts}
    for name, host in fleet.hosts.items():
        watch(host.heartbeats, costs[name])
    fleet.run(MEASURED_SECONDS)
    busy = {*fleet.collectors('n-1'), *fleet.collectors('n-2')}
    members = [cost for name, cost in costs.items() if name not in busy]
    return [costs[name] for name in busy], members


def watch(heartbeats, cost):
    """Count what passes through a host's heartbeats from now on."""
    take, beat = heartbeats.datagram_received, heartbeats.send_heartbeats
    send = heartbeats._send

    def counted_take(content, addr):
        cost.datagrams += 1
        cost.bytes += len(content)
        began = time.perf_counter()
        take(content, addr)
        cost.seconds += time.perf_counter() - began

    def counted_send(content, place):
        cost.datagrams += 1
        cost.bytes += len(content)
        began = time.perf_counter()
        send(content, place)
        # What the receiver spends is counted there.
        cost.seconds -= time.perf_counter() - began

    def counted_beat():
        began = time.perf_counter()
        beat()
        cost.seconds += time.perf_counter() - began

    heartbeats.datagram_received = counted_take
    heartbeats._send = counted_send
    heartbeats.send_heartbeats = counted_beat


def row(hosts, kind, costs):
    count = len(costs) * MEASURED_SECONDS
    datagrams = sum(cost.datagrams for cost in costs) / count
    kilobytes = sum(cost.bytes for cost in costs) / count / 1000
    share = 100 * sum(cost.seconds for cost in costs) / count
    return (
        f'| {hosts} | {kind} | {datagrams:.0f} | {kilobytes:.1f}'
        f' | {share:.2f} |'
    )


def main():
    logger.remove()
    print('| hosts of a region | who | datagrams/s | KB/s | % of a core |')
    print('|---|---|---|---|---|')
    for hosts in SIZES:
        busy, members = measured(hosts)
        print(row(hosts, 'collector', busy))
        print(row(hosts, 'other host', members))


if __name__ == '__main__':
    main()
