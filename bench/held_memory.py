"""Measure what a host holds for large bodies and for answers nobody reads.

    python -m bench.held_memory bodies --rate 15 --seconds 30

One host between one target and callers, each in a task of its own; small
requests come beside the large ones.
"""

import argparse
import asyncio
import collections
import socket
import tempfile
import threading
import time
from pathlib import Path

from bench.output import table
from jacinthfold.platform.dialect import REQUEST_ID
from tests.gateway import deployment
from tests.gateway.deployment import Deployment, new_id, route, wait_served
from tests.gateway.target_standin import echoed, serve_plain, stream_head

BODY_BYTES = 4194304
EVENT_BYTES = 65000
EVENTS = 128
ANSWER_SECONDS = 3.0
UNREAD_SECONDS = 15.0
SMALL_PER_SECOND = 20.0
RECEIVE_BUFFER_BYTES = 65536


async def answer_late(_target, request, writer):
    await asyncio.sleep(ANSWER_SECONDS)
    body = b'served'
    head = 'HTTP/1.1 200 OK\r\n' + ''.join(
        f'{name}: {content}\r\n' for name, content in echoed(request)
    )
    writer.write(f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body)
    await writer.drain()
    return True


async def stream_fast(_target, request, writer):
    writer.write(stream_head(request))
    for number in range(1, EVENTS + 1):
        if request.is_left:
            return False
        event = b'id: %d\ndata: %s\n\n' % (number, b'x' * EVENT_BYTES)
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


async def answer_large(_target, request, writer):
    body = b'x' * (EVENT_BYTES * EVENTS)
    head = 'HTTP/1.1 200 OK\r\n' + ''.join(
        f'{name}: {content}\r\n' for name, content in echoed(request)
    )
    writer.write(f'{head}Content-Length: {len(body)}\r\n\r\n'.encode())
    for start in range(0, len(body), EVENT_BYTES):
        if request.is_left:
            return False
        writer.write(body[start : start + EVENT_BYTES])
        await writer.drain()
    return True


CASES = {
    'bodies': ('/large/x', answer_late),
    'streams': ('/stream/x', stream_fast),
    'answers': ('/large/x', answer_large),
}


def unlimited_service(name):
    """Return a service whose targets take any number of requests."""
    return {**plain_service(name), 'max-connections': 4000}


plain_service = deployment.service
deployment.service = unlimited_service


class Callers:
    """Send requests to a host and count how they end."""

    def __init__(self, host, path, body, unread_seconds):
        self.address = host.callers
        self.path = path
        self.body = body
        self.unread_seconds = unread_seconds
        self.endings = collections.Counter()
        self.small_endings = collections.Counter()

    async def send(self, rate, seconds):
        """Send large and small requests at their rates for some seconds."""
        tasks = [
            *self._each(rate, seconds, self._large),
            *self._each(SMALL_PER_SECOND, seconds, self._small),
        ]
        await asyncio.gather(*tasks)

    def _each(self, rate, seconds, call):
        async def later(after):
            await asyncio.sleep(after)
            await call()

        return [later(number / rate) for number in range(int(rate * seconds))]

    async def _large(self):
        self.endings[
            await self._call(self.path, self.body, self.unread_seconds)
        ] += 1

    async def _small(self):
        self.small_endings[await self._call('/small/x', b'b', 0)] += 1

    async def _call(self, path, body, unread_seconds):
        opened = socket.socket()
        opened.setblocking(False)
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            await asyncio.get_running_loop().sock_connect(opened, self.address)
            reader, writer = await asyncio.open_connection(sock=opened)
        except OSError:
            return 'no connection'
        head = (
            f'POST {path} HTTP/1.1\r\nHost: api.example\r\n'
            f'{REQUEST_ID.decode()}: {new_id()}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        try:
            writer.transport.pause_reading()
            writer.write(head.encode() + body)
            await asyncio.sleep(unread_seconds)
            writer.transport.resume_reading()
            content = await asyncio.wait_for(reader.read(-1), 60)
            return _ending(content)
        except (OSError, TimeoutError):
            return 'cut'
        finally:
            writer.transport.abort()


def _ending(content):
    head, _, body = content.partition(b'\r\n\r\n')
    if not head:
        return 'no answer'
    status = head.split()[1].decode()
    is_chunked = b'chunked' in head.lower()
    if is_chunked and not body.endswith(b'0\r\n\r\n'):
        return f'{status} cut'
    return status


class Watch:
    """Sample the private memory of a host's process."""

    def __init__(self, host):
        self._pid = host.process.pid
        self.samples_mb = []
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def end(self):
        self._is_over.set()
        self._thread.join()

    def _run(self):
        while not self._is_over.wait(0.1):
            self.samples_mb.append(private_mb(self._pid))


def private_mb(pid):
    """Return a process's own memory in MB, 0 if it has ended."""
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return 0
    found = [line for line in lines if line.startswith('RssAnon:')]
    return int(found[0].split()[1]) // 1024 if found else 0


def play(case, rate, seconds, limit_mb, *, is_relayed=False):
    """Return what one run showed."""
    path, script = CASES[case]
    with tempfile.TemporaryDirectory() as folder:
        made = Deployment(Path(folder))
        settings = f'[memory]\nlimit_mb = {limit_mb}\n'
        made.put_routes(
            route('/large/', 'desk', **{'timeout-ms': 20000}),
            route('/stream/', 'desk', kind='stream', **{'timeout-ms': 20000}),
            route('/small/', 'other'),
            services=('desk', 'other'),
            **{'max-body-bytes': BODY_BYTES},
        )
        home = 'south' if is_relayed else 'north'
        made.add_target('i-1', 'desk', f'{home}-1', slots=4000)
        made.add_target('i-2', 'other', slots=4000)
        host = made.start_host('north-a', overload=settings)
        other = None
        if is_relayed:
            seeds = f'{host.control[0]}:{host.control[1]}'
            other = made.start_host(
                'south-a', 'south-1', seeds=seeds, overload=settings
            )
        made.targets['i-1'].script = serve_plain
        wait_served(made, 'north-a', '/small/x')
        wait_served(made, 'north-a', '/large/x')
        made.targets['i-1'].script = script
        body = b'b' * BODY_BYTES if case == 'bodies' else b'b'
        unread = 0 if case == 'bodies' else UNREAD_SECONDS
        callers = Callers(host, path, body, unread)
        watches = [Watch(one) for one in (host, other) if one is not None]
        started_at = time.monotonic()
        asyncio.run(callers.send(rate, seconds))
        for watch in watches:
            watch.end()
        made.close()
    most_mb = [max(watch.samples_mb) for watch in watches]
    return {
        'case': f'{case}{" relayed" if is_relayed else ""}',
        'limit_mb': limit_mb,
        'rate': rate,
        'seconds': time.monotonic() - started_at,
        'most_mb': '/'.join(str(one) for one in most_mb),
        'small': ' '.join(
            f'{ending}:{count}'
            for ending, count in sorted(callers.small_endings.items())
        ),
        'large': ' '.join(
            f'{ending}:{count}'
            for ending, count in sorted(callers.endings.items())
        ),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('case', choices=CASES)
    parser.add_argument('--rate', type=float, default=15.0)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--limit-mb', type=int, default=160)
    parser.add_argument('--relayed', action='store_true')
    options = parser.parse_args()
    row = play(
        options.case,
        options.rate,
        options.seconds,
        options.limit_mb,
        is_relayed=options.relayed,
    )
    table([row])


if __name__ == '__main__':
    main()
