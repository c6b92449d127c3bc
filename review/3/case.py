# flake8: noqa
"""Hosts that carry long prompts hear no more of each other and share no limit."""

import asyncio
import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import bed as kit  # noqa: E402

from tests.gateway import target_standin as standin  # noqa: E402

PATH = '/itinerary/'
SERVICE = 'jacinth-serve'
HOSTS = 3
REPLICAS = 4
# A conversation of so many parts, of 8 tokens each; the heads stay far below
# max-header-bytes.
PARTS = int(os.environ.get('PARTS', '500'))
TOKENS_PER_PART = 4000 // PARTS
PER_SECOND = 90
LIMIT_PER_SECOND = 8
EVENTS = 4
CONTACT_SECONDS = kit.BOUNDS['contact-ms'] / 1000
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
# From the moment at which the replica first names its limit.
NEED_SECONDS = 20


class Replica(standin.TargetStandIn):
    """Stream some events; name a limit while in need."""

    def __init__(self, address, instance, bed):
        super().__init__(address, instance)
        self.bed = bed
        self.needs_from = None
        self.arrivals = []
        self.script = _stream


async def _stream(replica, request, writer):
    name = request.headers['attempt-id']
    replica.executed.append(request)
    replica.arrivals.append((time.monotonic(), name.split('-')[0]))
    head = standin.stream_head(request)
    if replica.needs_from is not None:
        limit = f'Server-Limit: {LIMIT_PER_SECOND}.0\r\n\r\n'
        head = head[:-2] + limit.encode()
        replica.bed.note(f'{replica.instance}: runs {name}, names its limit')
    await asyncio.sleep(0.05)
    writer.write(head)
    for number in range(1, EVENTS + 1):
        writer.write(standin._chunk(standin.event(number)))
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


def events(bed):
    hosts = [
        bed.add_host(f'front-ljubljana-a-{number}', 'ljubljana-a')
        for number in range(1, HOSTS + 1)
    ]
    bed.put_config(
        [
            kit.route(
                PATH,
                SERVICE,
                'stream',
                resumable=True,
                sticky=True,
                **{'timeout-ms': 8000, 'target-gap-ms': 400},
            )
        ],
        [
            kit.service(
                SERVICE,
                engine={'slots': 64, 'kv-tokens': 324925},
                **{'warmup-s': 3.0, 'warmup-per-s': 7.3},
            )
        ],
    )
    for number in range(REPLICAS):
        replica = Replica(('127.0.0.1', bed.port()), f'i-{number}f3a91c2', bed)
        bed.add_replica(replica)
        bed.put_replica(replica, SERVICE, 'ljubljana-a', version='v1')
    bed.start_hosts()
    time.sleep(4)
    counts = {}
    # When a host first passed on an answer that names the limit.
    passed_on = {}
    is_over = threading.Event()

    def ask(name, host):
        parts = [
            f'{random.getrandbits(32):08x}:{TOKENS_PER_PART}'
            for _ in range(PARTS)
        ]
        headers = [
            ('Attempt-Id', name),
            ('Request-Deadline', '8000'),
            ('Model', 'm'),
            ('Token-Usage', f'{PARTS * TOKENS_PER_PART},20'),
            ('Prompt-Prefix', ','.join(parts)),
        ]
        try:
            channel = kit.Channel(host.front)
            channel.send('POST', f'{PATH}x', headers, b'prompt')
            status, found, _, ending = channel.receive(10)
            if 'server-limit' in found:
                passed_on.setdefault(name.split('-')[0], time.monotonic())
            channel.close()
        except OSError as error:
            status, ending = 0, repr(error)
        key = f'{host.name} {status} {ending}'
        counts[key] = counts.get(key, 0) + 1

    def press(host, number):
        sent = 0
        while not is_over.wait(HOSTS / PER_SECOND):
            sent += 1
            name = f'h{number}-{sent}'
            threading.Thread(target=ask, args=(name, host)).start()

    pressing = [
        threading.Thread(target=press, args=(host, number))
        for number, host in enumerate(hosts)
    ]
    for thread in pressing:
        thread.start()
    time.sleep(6)
    one = bed.replicas[0]
    if kit.TROUBLE:
        one.needs_from = time.monotonic()
        bed.note(f'{one.instance}: is in need from now on')
    began_at = time.monotonic()
    time.sleep(NEED_SECONDS / 2)
    for host in hosts:
        found = bed.resolve(host, 'ljubljana-a')
        bed.note(f'directory of {host.name}: {found}')
    time.sleep(NEED_SECONDS / 2)
    is_over.set()
    for thread in pressing:
        thread.join()
    time.sleep(1)
    for key in sorted(counts):
        bed.note(f'clients: {key}: {counts[key]}')
    for replica in bed.replicas:
        bed.note(f'{replica.instance}: {len(replica.arrivals)} requests in all')
    if not kit.TROUBLE:
        return []
    bed.note(f'clients: first answers with the limit: {sorted(passed_on)}')
    judged = [
        at
        for at, number in one.arrivals
        if at > began_at + CONTACT_SECONDS
        and at > passed_on.get(number, at) + 0.5
    ]
    most, start = max(
        (sum(1 for at in judged if since <= at < since + WINDOW_SECONDS), since)
        for since in judged
    )
    bed.note(
        f'{one.instance}: at most {most} requests in {WINDOW_SECONDS} s, from'
        f' {start - began_at:.1f} s after it named its limit; allowed {ALLOWED}'
    )
    return [f'{most} requests instead of {ALLOWED}'] if most > ALLOWED else []


kit.play(os.path.dirname(os.path.abspath(__file__)), events)
