# flake8: noqa
"""A host that the store turns away goes on with streams at another version."""

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
# Replicas of the first version, by zone, as on the site's sheet.
OLD_ZONES = ['ljubljana-a'] * 3 + ['maribor-a'] * 2 + ['koper-a']
# A replica of the second version joins in koper-a. Of the two machines there,
# the one that its id ranks second is turned away by the store.
NEW_INSTANCE = 'i-7f3a91c2'
TURNED_AWAY = 'front-koper-a-2'
EVENTS = 40
FIRST_SECONDS = 0.15
PAUSE_SECONDS = 0.08
# From the moment at which the store begins to turn the host away.
REGISTER_AFTER = 0.5
CRASH_AFTER = 1.45
PER_SECOND = 100
# Shared first parts of prompts, as in the site.
SHARED_PARTS = 36


class StoreDoor:
    """Pass a host's channels to the store, or reset them."""

    def __init__(self, bed):
        self.address = ('127.0.0.1', bed.port())
        self._store = bed.store.address
        self._writers = set()
        self._is_shut = False
        bed.loop.run(self._open())

    async def _open(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def shut(self):
        self._is_shut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._is_shut:
            writer.transport.abort()
            return
        far_reader, far_writer = await asyncio.open_connection(*self._store)
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers -= pair
            for one in pair:
                one.transport.abort()

    async def _copy(self, reader, writer):
        while content := await reader.read(65536):
            writer.write(content)
            await writer.drain()
        writer.transport.abort()


def stream_of(bed, version):
    async def script(replica, request, writer):
        name = request.headers['attempt-id']
        replica.executed.append(request)
        first = int(request.headers.get('last-event-id') or 0) + 1
        bed.note(
            f'{replica.instance} ({version}): runs {name} from event {first}'
        )
        await asyncio.sleep(FIRST_SECONDS)
        writer.write(standin.stream_head(request))
        for number in range(first, EVENTS + 1):
            if request.is_left:
                return False
            event = f'id: {number}\ndata: {version} piece {number}\n\n'.encode()
            writer.write(standin._chunk(event))
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    return script


class Client:
    """Send one request, and once more if its channel breaks."""

    def __init__(self, bed, name):
        self.bed = bed
        self.name = name
        self.part = random.randrange(SHARED_PARTS) + 0x5C1E0700
        self.versions = []
        self.events = []

    def run(self, found, chosen):
        addresses = {}
        for host in self.bed.hosts:
            addresses[f'{host.address}:{self.bed.ports["front"]}'] = host
        hosts = [addresses[one] for one in found['addresses']]
        deadline = time.monotonic() + 8
        first = chosen or random.choice(hosts)
        ending = self._try(first, self.name, deadline)
        if ending != 'channel ended':
            return
        others = [one for one in hosts if one is not first]
        self._try(random.choice(others), f'{self.name}-2', deadline)

    def _try(self, host, attempt, deadline):
        headers = [
            ('Attempt-Id', attempt),
            (
                'Request-Deadline',
                str(int((deadline - time.monotonic()) * 1000)),
            ),
            ('Model', 'm'),
            ('Token-Usage', '900,200'),
            (
                'Prompt-Prefix',
                f'{self.part:08x}:800,{self.name.encode().hex()}:100',
            ),
        ]
        if self.events:
            headers.append(('Last-Event-Id', str(self.events[-1])))
            headers.append(('Resumes', self.name))
        try:
            channel = kit.Channel(host.front)
        except OSError as error:
            self.bed.note(f'client: {attempt} {host.name}: {error!r}')
            return 'no host'
        channel.send('POST', f'{PATH}x', headers, b'prompt')
        status, _, body, ending = channel.receive(10)
        channel.close()
        text = body.decode()
        for event in text.split('\n\n')[:-1]:
            lines = dict(one.split(': ', 1) for one in event.split('\n'))
            self.events.append(int(lines['id']))
            self.versions.append(lines['data'].split()[0])
        seen = ','.join(sorted(set(self.versions)))
        self.bed.note(
            f'client: {attempt} at {host.name}: status {status},'
            f' events up to {self.events[-1:]}, {ending}, versions {seen}'
        )
        return ending


def events(bed):
    hosts = [
        bed.add_host(f'front-{zone}-{number}', zone)
        for zone, number in (
            ('koper-a', 1),
            ('koper-a', 2),
            ('ljubljana-a', 1),
            ('maribor-a', 1),
        )
    ]
    door = StoreDoor(bed)
    shut_out = next(one for one in hosts if one.name == TURNED_AWAY)
    shut_out.store_address = door.address
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

    def replica(instance, version):
        made = standin.TargetStandIn(('127.0.0.1', bed.port()), instance)
        made.script = stream_of(bed, version)
        return bed.add_replica(made)

    for number, zone in enumerate(OLD_ZONES):
        made = replica(f'i-old{number}', 'v1')
        bed.put_replica(made, SERVICE, zone, version='v1')
    bed.start_hosts()
    time.sleep(5)
    found = bed.resolve(hosts[0], 'koper-a')
    bed.note(f'client: directory answers {found}')
    clients, threads = [], []

    def ask(chosen=None):
        client = Client(bed, f'r{len(clients)}')
        clients.append(client)
        thread = threading.Thread(target=client.run, args=(found, chosen))
        thread.start()
        threads.append(thread)

    began_at = time.monotonic()
    if kit.TROUBLE:
        bed.loop.run(door.shut())
        bed.note(f'store: turns {TURNED_AWAY} away from now on (resets)')
    is_registered = is_crashed = False
    new = []
    until = began_at + 4
    while time.monotonic() < until:
        elapsed = time.monotonic() - began_at
        if not is_registered and elapsed >= REGISTER_AFTER:
            is_registered = True
            new.append(replica(NEW_INSTANCE, 'v2'))
            bed.put_replica(
                new[-1],
                SERVICE,
                'koper-a',
                version='v2',
                **{'warmup-left-ms': 3000},
            )
            bed.note('a replica of v2 registers')
        if kit.TROUBLE and not is_crashed and elapsed >= CRASH_AFTER:
            is_crashed = True
            for one in new:
                bed.loop.loop.call_soon_threadsafe(one.end)
            bed.note('the replica of v2 crashes')
        if elapsed < 2.5:
            ask()
        time.sleep(1 / PER_SECOND)
    for thread in threads:
        thread.join()
    joined = [one for one in clients if len(set(one.versions)) > 1]
    taken_up = [one for one in clients if 'v2' in one.versions]
    bed.note(f'{len(taken_up)} streams had events of v2, {len(joined)} of both')
    if len(joined) <= 2:
        return []
    return [
        f'{one.name} got events of {sorted(set(one.versions))}'
        for one in joined
    ]


kit.play(os.path.dirname(os.path.abspath(__file__)), events)
