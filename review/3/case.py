# flake8: noqa
"""A host that was asked to stop takes on streams that it cuts off as it ends."""

import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import bed as kit  # noqa: E402

from tests.gateway import target_standin as standin  # noqa: E402

# Within the route's objectives: 1,000 ms to the first event, pauses of 400 ms.
FIRST_SECONDS = 0.9
PAUSE_SECONDS = 0.15
EVENTS = 20
TOKENS_PER_EVENT = 5
# When the requests are sent, from the SIGTERM on. The rule leaves out those of
# the first 3 s if their replica still works in the last sixth of the grace.
SENT_AFTER = (-0.3, 1.0, 2.0, 3.2, 4.0, 4.2, 4.4, 4.6)
JUDGED_AFTER = 3.0
GRACE_SECONDS = 8


def stream_of(bed):
    async def script(replica, request, writer):
        name = request.headers['attempt-id']
        bed.note(f'{replica.instance}: runs {name}')
        replica.executed.append(request)
        import asyncio

        first = int(request.headers.get('last-event-id') or 0) + 1
        await asyncio.sleep(FIRST_SECONDS)
        writer.write(standin.stream_head(request))
        for number in range(first, EVENTS + 1):
            if request.is_left:
                bed.note(
                    f'{replica.instance}: caller of {name} left at event {number}'
                )
                replica.left.append(name)
                return False
            writer.write(standin._chunk(standin.event(number)))
            await writer.drain()
            if number < EVENTS:
                await asyncio.sleep(PAUSE_SECONDS)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        bed.note(f'{replica.instance}: ended {name}')
        return True

    return script


def events(bed):
    one, two, _ = [
        bed.add_host(f'front-ljubljana-a-{number}') for number in (1, 2, 3)
    ]
    engine = kit.service(
        'jacinth-serve', engine={'slots': 64, 'kv-tokens': 324925}
    )
    path = '/itinerary/'
    bed.put_config(
        [
            kit.route(
                path,
                'jacinth-serve',
                'stream',
                resumable=True,
                sticky=True,
                **{'timeout-ms': 8000, 'target-gap-ms': 400},
            )
        ],
        [engine],
    )
    for number in (1, 2):
        replica = standin.TargetStandIn(
            ('127.0.0.1', bed.port()), f'i-replica{number}'
        )
        replica.script = stream_of(bed)
        bed.add_replica(replica)
        bed.put_replica(replica, 'jacinth-serve')
    bed.start_hosts()
    time.sleep(3)
    results = []

    def ask(name, address):
        try:
            channel = kit.Channel(address)
        except OSError as error:
            bed.note(f'client: {name} finds no host: {error!r}')
            return
        headers = [
            ('Attempt-Id', name),
            ('Request-Deadline', '8000'),
            ('Model', 'm'),
            ('Token-Usage', f'900,{EVENTS * TOKENS_PER_EVENT}'),
            ('Prompt-Prefix', f'{name.encode().hex()}:900'),
        ]
        channel.send('POST', f'{path}x', headers, b'prompt')
        sent_at = time.monotonic()
        bed.note(f'client: {name} sent')
        status, _, body, ending = channel.receive(20)
        count = body.count(b'data:')
        bed.note(
            f'client: {name} status {status}, {count} events, {ending}'
            f' after {time.monotonic() - sent_at:.2f} s'
        )
        results.append((name, status, count, ending))
        channel.close()

    ask('before', one.front)
    # A client asks the directory now and keeps the answer three times as long
    # as it says, as some do.
    found = bed.resolve(two)
    address = f'{one.address}:{bed.ports["front"]}'
    if address not in found['addresses']:
        raise kit.CannotRun(f'{address} not in the directory: {found}')
    bed.note(f'client: directory answers {found}')
    keeps_until = time.monotonic() + 3 * min(5, found['ttl-s'])
    began_at = time.monotonic() - SENT_AFTER[0]
    threads = []
    is_asked = not kit.TROUBLE
    judged = set()
    for number, seconds in enumerate(SENT_AFTER):
        if seconds > 0 and not is_asked:
            time.sleep(max(0.0, began_at - time.monotonic()))
            began_at = time.monotonic()
            one.signal(signal.SIGTERM)
            is_asked = True
        time.sleep(max(0.0, began_at + seconds - time.monotonic()))
        if seconds > JUDGED_AFTER:
            judged.add(f'stream{number}')
        if time.monotonic() > keeps_until:
            raise kit.CannotRun('the directory answer is too old')
        thread = threading.Thread(
            target=ask, args=(f'stream{number}', one.front)
        )
        thread.start()
        threads.append(thread)
    if kit.TROUBLE:
        time.sleep(max(0.0, began_at + GRACE_SECONDS - time.monotonic()))
        if one.process.poll() is None:
            one.signal(signal.SIGKILL)
        else:
            bed.note(f'platform: {one.name} has ended by itself')
    for thread in threads:
        thread.join()
    run = {name for replica in bed.replicas for name in replica.request_ids()}
    return [
        f'{name} ran and its channel ended with {count} of {EVENTS} events'
        for name, status, count, ending in results
        if name in judged & run and ending == 'channel ended'
    ]


kit.play(os.path.dirname(os.path.abspath(__file__)), events)
