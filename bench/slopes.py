"""Measure what control costs as the deployment grows; fit straight lines.

The page docs/CAPACITY.md works the size to design for out of these slopes.
"""

import argparse
import datetime
import gc
import time
import tracemalloc
from statistics import quantiles
from typing import Any

import numpy as np
import psutil

from bench.output import save, table
from jacinthfold.serve import intents
from jacinthfold.serve.client import HttpClient
from jacinthfold.serve.configuration import (
    Change,
    Configuration,
    decode_snapshot,
)
from jacinthfold.serve.deployment import Deployment, Organisation, Region
from jacinthfold.serve.engines import HttpTargetClient
from jacinthfold.serve.exchange import Knowledge
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.keys import KeptAnswer, KeyTable, fingerprint
from jacinthfold.serve.limits import Limiter
from jacinthfold.serve.members import (
    Heartbeat,
    Member,
    MemberState,
    MemberTable,
)
from jacinthfold.serve.peers_pb2 import Exchange
from jacinthfold.serve.routing import PrefixBeliefs, Prompt
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import ReportState, TargetReport
from tests import fakes
from tools.fleet import Fleet, organisation

MB = 1e6
IDLE_SECONDS = 12
CHANGE_COUNT = 30


def held_bytes() -> int:
    """Return what Python objects hold; steadier than the resident size."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def fit(xs: list[float], ys: list[float]) -> dict[str, float]:
    """Return slope, intercept and the largest error of a straight line."""
    slope, intercept = np.polyfit(xs, ys, 1)
    errors = [
        abs(slope * x + intercept - y) for x, y in zip(xs, ys, strict=True)
    ]
    return {
        'slope': float(slope),
        'intercept': float(intercept),
        'largest_error': max(errors),
    }


def timed(function: Any, count: int) -> float:
    """Return the processor seconds of one call."""
    before = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - before) / count


def deployment_of(count: int) -> Deployment:
    organisations = {
        f'organisation-{number}': Organisation(
            f'organisation-{number}',
            'erie',
            ('erie',),
            (f'{number:064x}',),
            models=('review',),
            limit_requests_per_second=5,
        )
        for number in range(count)
    }
    region = Region('erie', ('erie-1',))
    return Deployment(
        1, {'region': {'erie': region}, 'organisation': organisations}
    )


def organisations() -> list[dict[str, Any]]:
    rows = []
    for count in (2000, 9500, 19000, 38000):
        tracemalloc.start()
        before = held_bytes()
        configuration = Configuration(fakes.FakeClock())
        configuration.offer_snapshot(
            decode_snapshot(Configuration.encode(deployment_of(count)))
        )
        held = held_bytes() - before
        tracemalloc.stop()
        snapshot = Configuration.encode(configuration.deployment)
        began = time.process_time()
        decode_snapshot(snapshot)
        decoded = time.process_time() - began
        changed = intents.parse([{
            'kind': 'organisation', 'name': 'organisation-7',
            'limit_requests_per_second': 9,
        }])  # fmt: skip
        change = Change(
            2, 'p', 'o', datetime.datetime.now(datetime.UTC), changed
        )
        apply_seconds = timed(
            lambda now=configuration.deployment, one=change: intents.apply(
                now, one.intents, 2
            ),
            5,
        )
        rows.append(
            {
                'organisations': count,
                'held_mb': held / MB,
                'snapshot_mb': len(snapshot) / MB,
                'decode_cpu_s': decoded,
                'apply_cpu_ms': apply_seconds * 1000,
            }
        )
    return rows


def member(number: int, centre: str) -> Member:
    return Member(
        f'{centre}-{number}',
        hash((centre, number)) & 0xFFFFFFFFFFFF,
        (centre.split('/')[0], centre),
        '10.0.0.1',
        (8080, 8081, 8082, 8083),
    )


def exchanges() -> list[dict[str, Any]]:
    rows = []
    for hosts, centres, targets in (
        (8, 1, 0), (46, 1, 0), (46, 10, 0), (46, 20, 0), (46, 20, 120),
        (46, 20, 240), (92, 20, 240),
    ):  # fmt: skip
        rows.append(one_exchange(hosts, centres, targets))
    return rows


def one_exchange(hosts: int, centres: int, targets: int) -> dict[str, Any]:
    clock = fakes.FakeClock()
    made = fakes.settings()
    own = member(0, 'erie/1')
    table_ = MemberTable(own, made, clock)
    others = [member(number, 'erie/1') for number in range(1, hosts)]
    for centre in range(1, centres):
        others += [member(number, f'r{centre}/1') for number in range(4)]
    beats = [
        Heartbeat(
            one.incarnation, 5, MemberState.ACTIVE, 9, {'review': 9, 'desk': 4}
        )
        for one in others
    ]
    table_.merge(others, beats)
    reports = TargetTable('erie', made, clock)
    deployment = Deployment(1, {'target': {
        f't{number}': target(number) for number in range(targets)
    }})  # fmt: skip
    reports.follow(deployment)
    reports.merge([
        TargetReport(
            f't{number}', 5, ReportState.ACTIVE, running=3, slots=16,
            models=('review',), resumes=True,
        )
        for number in range(targets)
    ])  # fmt: skip
    knowledge = Knowledge(
        table_, Configuration(clock), reports, Guard('a secret', clock)
    )
    peer = others[0]
    payload = knowledge.message(peer, 0).SerializeToString()
    sequence = iter(range(6, 10**6))

    def exchange() -> None:
        message = Exchange.FromString(payload)
        for beat in message.heartbeats:
            beat.sequence = next(sequence)
        knowledge.take_in(message)
        knowledge.message(peer, 0).SerializeToString()

    return {
        'hosts': hosts,
        'centres': centres,
        'targets': targets,
        'records': len(others) + 1,
        'message_bytes': len(payload),
        'cpu_us': timed(exchange, 50) * 1e6,
    }


def target(number: int) -> Any:
    from jacinthfold.serve.deployment import Target

    return Target(
        f't{number}', 'http://10.0.0.2:80', 'erie', 'erie-1', ('review',)
    )


def small_parts() -> list[dict[str, Any]]:
    """Measure bytes and processor time of one more key, bucket and belief."""
    clock = fakes.FakeClock()
    made = fakes.settings()
    count = 50000
    rows = []

    def grown(name: str, make: Any) -> None:
        began = time.process_time()
        make()
        seconds = time.process_time() - began
        tracemalloc.start()
        before = held_bytes()
        kept = make()
        rows.append(
            {
                'what': name,
                'bytes_each': (held_bytes() - before) / count,
                'cpu_us_each': seconds / count * 1e6,
            }
        )
        tracemalloc.stop()
        del kept

    def keys() -> KeyTable:
        remembered = KeyTable(made, clock)
        for number in range(count):
            record, _ = remembered.begin(
                f'key-{number}', 'free', fingerprint('POST', '/', b'x')
            )
            body = b'{"order": %d, "by": "desk-1"}' % number
            remembered.finish(record, KeptAnswer(201, 'a/json', body, 'whole'))
        return remembered

    def buckets() -> Limiter:
        members = MemberTable(member(0, 'erie/1'), made, clock)
        members.beat(MemberState.ACTIVE, 1, {})
        limiter = Limiter(members, made, clock)
        deployment = Deployment(
            1, {'region': {'erie': Region('erie', ('erie/1',))}}
        )
        for number in range(count):
            one = Organisation(
                f'o{number}', 'erie', ('erie',), ('k',),
                limit_requests_per_second=100,
            )  # fmt: skip
            limiter.take(deployment, one)
        return limiter

    def beliefs() -> PrefixBeliefs:
        held = PrefixBeliefs()
        for number in range(count // 4):
            held.note(Prompt(f'{number}'.encode() * 9000), f't{number % 9}')
        return held

    grown('idempotency key', keys)
    grown('limit bucket', buckets)
    grown('four prefix beliefs / 4', beliefs)
    return rows


def polls(fleet: Fleet) -> dict[str, float]:
    """Measure one reading of a target."""
    from jacinthfold.serve.deployment import Target

    url = fleet.start_target('t', 'erie', 'erie-1', 'review')
    fleet.wait_listening(f'{url}/status')
    client = HttpTargetClient(HttpClient(), order_key='', timeout_seconds=2)
    one = Target('t', url, 'erie', 'erie-1', ('review',))
    return {'poll_cpu_us': timed(lambda: client.read(one, 1), 300) * 1e6}


SHAPES = ((1, 4), (1, 8), (1, 16), (1, 32), (2, 16), (4, 8))


def fleet_row(centres: int, hosts: int, watchers: int) -> dict[str, Any]:
    overrides = {
        'platform': {'watchers_per_data_centre': watchers},
        'peers': {'sync_seconds': 0.5, 'member_timeout_seconds': 4},
        'callers': {'max_requests': 8, 'queue_length': 4},
    }
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.wait_listening(f'{fleet.platform_url}/counts')
        names = []
        for centre in range(centres):
            for number in range(hosts):
                name = f'c{centre}-{number}'
                names.append(name)
                fleet.start_host(name, f'r{centre}', f'd{centre}', overrides)
            fleet.wait_ready(*names)
        places = [
            {'kind': 'region', 'name': f'r{one}', 'data_centres': [f'd{one}']}
            for one in range(centres)
        ]
        fleet.change(names[0], [*places, organisation('free', 'r0', ['r0'])])
        fleet.wait_revision(1)
        time.sleep(3)
        row = {'centres': centres, 'hosts': hosts, 'watchers': watchers}
        row |= idle(fleet, names)
        row |= spread(fleet, names)
        return row


def idle(fleet: Fleet, names: list[str]) -> dict[str, Any]:
    def counts() -> list[dict[str, int]]:
        return [fleet.dump(name)['peer_messages'] for name in names]

    processes = [psutil.Process(fleet.processes[name].pid) for name in names]
    calls_url = f'{fleet.platform_url}/counts'
    before, calls = counts(), fleet.client.call_json('GET', calls_url).json()
    cpu = [sum(one.cpu_times()[:2]) for one in processes]
    began = time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began
    cpu = [
        sum(one.cpu_times()[:2]) - old
        for one, old in zip(processes, cpu, strict=True)
    ]
    after, calls_after = (
        counts(),
        fleet.client.call_json('GET', calls_url).json(),
    )

    def rate(field: str) -> float:
        grown = [
            new[field] - old[field]
            for new, old in zip(after, before, strict=True)
        ]
        return sum(grown) / len(grown) / seconds

    return {
        'cpu_percent': sum(cpu) / len(cpu) / seconds * 100,
        'messages_s': rate('sent') + rate('received'),
        'kb_s': (rate('sent_bytes') + rate('received_bytes')) / 1000,
        'resident_mb': max(one.memory_info().rss for one in processes) / MB,
        'store_reads_s': (calls_after['read'] - calls['read']) / seconds,
        'store_writes_s': (calls_after['write'] - calls['write']) / seconds,
    }


def spread(fleet: Fleet, names: list[str]) -> dict[str, Any]:
    """Confirm changes; read from the logs when each host applied them."""
    calls_url = f'{fleet.platform_url}/counts'
    calls = fleet.client.call_json('GET', calls_url).json()
    revision = 1
    for number in range(CHANGE_COUNT):
        revision = fleet.change(
            names[number % len(names)],
            [{'kind': 'organisation', 'name': 'free', 'priority': number % 3}],
        )
        time.sleep(0.2)
    fleet.wait_revision(revision)
    calls_after = fleet.client.call_json('GET', calls_url).json()
    applied: dict[int, list[float]] = {}
    for name in names:
        for line in fleet.processes[name].log().splitlines():
            if 'event=configuration_applied' in line:
                pairs = dict(one.split('=', 1) for one in line.split(' '))
                when = datetime.datetime.fromisoformat(pairs['time'])
                applied.setdefault(int(pairs['revision']), []).append(
                    when.timestamp()
                )
    everywhere = [
        max(times) - min(times)
        for number, times in applied.items()
        if number > 1
    ]
    cuts = quantiles(everywhere, n=100)
    reads = calls_after['read'] - calls['read']
    return {
        'changes': len(everywhere),
        'everywhere_p50_s': cuts[49],
        'everywhere_p99_s': cuts[98],
        'store_reads_a_change': reads / CHANGE_COUNT,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true', help='no fleets')
    options = parser.parse_args()
    found: dict[str, Any] = {'organisations': organisations()}
    table(found['organisations'])
    counts = [row['organisations'] for row in found['organisations']]
    found['organisation_fit'] = {
        field: fit(counts, [row[field] for row in found['organisations']])
        for field in ('held_mb', 'snapshot_mb', 'decode_cpu_s', 'apply_cpu_ms')
    }
    found['exchanges'] = exchanges()
    table(found['exchanges'])
    records = [row['records'] + row['targets'] for row in found['exchanges']]
    found['exchange_fit'] = {
        field: fit(records, [row[field] for row in found['exchanges']])
        for field in ('message_bytes', 'cpu_us')
    }
    found['parts'] = small_parts()
    table(found['parts'])
    with Fleet() as fleet:
        found['poll'] = polls(fleet)
    table([found['poll']])
    if not options.quick:
        found['fleets'] = [
            fleet_row(centres, hosts, 2) for centres, hosts in SHAPES
        ]
        found['fleets'].append(fleet_row(1, 32, 1024))
        table(found['fleets'])
        single = [row for row in found['fleets'][:4]]
        hosts = [row['hosts'] for row in single]
        found['fleet_fit'] = {
            field: fit(hosts, [row[field] for row in single])
            for field in ('cpu_percent', 'kb_s', 'resident_mb')
        }
    for name, fits in found.items():
        if name.endswith('_fit'):
            table([{'fit': field, **line} for field, line in fits.items()])
    save('slopes', found)


if __name__ == '__main__':
    main()
