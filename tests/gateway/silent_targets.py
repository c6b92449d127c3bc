"""Let targets fall silent, and call them meanwhile."""

import asyncio
import threading
import time

from tests.gateway import target_standin as standin
from tests.gateway.deployment import Connection, new_id, pause
from tools.fleet import wait_until

PROMPT = [
    ('Model', 'm'),
    ('Token-Usage', '800,50'),
    ('Prompt-Prefix', 'aa:300,bb:300,cc:200'),
]
TOTAL_EVENTS = 40
EVENT_SECONDS = 0.05


class SilentTargets:
    """Hold back what targets read and send, as a stopped process does."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.names = set()
        # Of each work on a request: request, target, when it began, and when it
        # ended or its sender left.
        self.spans = []
        self._left_at = {}

    def begin(self, *names):
        self.names |= set(names)

    def end(self):
        self.names.clear()

    async def wait(self, target, request=None):
        """Wait until a target is not silent, and see when its sender leaves."""
        while target.instance in self.names:
            if request is not None and request.is_left:
                self._left_at.setdefault(id(request), time.monotonic())
            await asyncio.sleep(0.01)

    def script(self, total=TOTAL_EVENTS, *, halves=False, head_seconds=0.0):
        """Return a script that sends events, the head with the first one."""

        async def stream(target, request, writer):
            await self.wait(target)
            if request.is_left:
                return False
            target.executed.append(request)
            span = [request.headers['attempt-id'], target.instance]
            began_at = time.monotonic()
            await asyncio.sleep(head_seconds)
            try:
                return await self._send(target, request, writer, total, halves)
            finally:
                ended_at = time.monotonic()
                left_at = self._left_at.get(id(request), ended_at)
                self.spans.append((*span, began_at, left_at))

        return stream

    async def _send(self, target, request, writer, total, halves):
        first = int(request.headers.get('last-event-id') or 0) + 1
        writer.write(standin.stream_head(request))
        for number in range(first, total + 1):
            for piece in _pieces(standin.event(number), halves):
                await self.wait(target, request)
                if request.is_left:
                    target.left.append(request.headers['attempt-id'])
                    return False
                writer.write(f'{len(piece):x}\r\n'.encode() + piece + b'\r\n')
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS / 2 if halves else 0)
            await asyncio.sleep(EVENT_SECONDS)
        await self.wait(target)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def _pieces(event, halves):
    middle = len(event) // 2
    return (event[:middle], event[middle:]) if halves else (event,)


class Callers:
    """Ask by many connections at once, and keep the answers."""

    def __init__(self, address, path, count, deadline_seconds=15):
        self.answers = {}
        self.began = set()
        self._threads = [
            threading.Thread(
                target=self._ask, args=(address, path, deadline_seconds)
            )
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def wait(self):
        for thread in self._threads:
            thread.join()
        return list(self.answers.values())

    def _ask(self, address, path, deadline_seconds):
        connection = Connection(address)
        request_id = new_id()
        headers = [*PROMPT, ('Request-Deadline', f'{deadline_seconds}000')]
        connection.send(path, 'POST', headers, b'prompt', request_id)
        self.answers[request_id] = connection.receive()
        connection.close()


def wait_streaming(targets, count):
    """Wait until targets work on a number of requests."""
    wait_until(
        lambda: sum(len(one.executed) for one in targets) >= count,
        f'{count} streams have begun',
    )
    pause(5 * EVENT_SECONDS)


def whole_events(total=TOTAL_EVENTS):
    return b''.join(standin.event(one) for one in range(1, total + 1))
