"""Stand for targets: engines and plain services."""

import asyncio

from tests.gateway.http_server import HttpServer, Reply

SEAL = 'seal.1.2'


class TargetStandIn(HttpServer):
    """Run requests, keep a record of them, and follow a script."""

    def __init__(self, address, instance):
        super().__init__(address)
        self.instance = instance
        self.executed = []
        self.left = []
        self.script = serve_plain
        self.arrived = 0

    def request_ids(self):
        return [one.headers.get('attempt-id', '') for one in self.executed]

    async def answer(self, request, writer):
        self.arrived += 1
        named = request.headers.get('target-instance')
        if named and named != self.instance:
            misdirected = [
                ('Attempt-Id', request.headers.get('attempt-id', '')),
                ('Served-By', self.instance),
            ]
            writer.write(Reply(421, misdirected).wire())
            return True
        return await self.script(self, request, writer)


def echoed(request):
    """Return the headers that every proper answer has."""
    return [
        ('Attempt-Id', request.headers['attempt-id']),
        ('Response-Seal', SEAL),
    ]


async def serve_plain(target, request, writer):
    """Answer with a body that names the target."""
    target.executed.append(request)
    body = f'from {target.instance}'.encode()
    writer.write(Reply(200, echoed(request), body).wire())
    await writer.drain()
    return True


def not_executed(request):
    """Return the headers of an answer to a request that has not run."""
    return [
        ('Attempt-Id', request.headers.get('attempt-id', '')),
        ('Not-Executed', '1'),
    ]


async def refuse(_target, request, writer):
    """Say that the request has not run."""
    writer.write(Reply(503, not_executed(request)).wire())
    return True


async def cut_after_run(target, request, _writer):
    """Run the request and lose the answer."""
    target.executed.append(request)
    return False


async def fail(target, request, writer):
    """Run the request and answer with an error."""
    target.executed.append(request)
    writer.write(Reply(500, echoed(request), b'failed').wire())
    return True


async def truncate(target, request, writer):
    """End the body before its length."""
    target.executed.append(request)
    whole = Reply(200, echoed(request), b'0123456789').wire()
    writer.write(whole[:-4])
    await writer.drain()
    return False


async def answer_twice(target, request, writer):
    """Add an answer that nobody asked for."""
    target.executed.append(request)
    reply = Reply(200, echoed(request), b'once').wire()
    writer.write(reply + reply)
    await writer.drain()
    return True


async def stray_first(target, request, writer):
    """Bring the late answer of another request before the right one."""
    target.executed.append(request)
    stray = [('Attempt-Id', 'another'), ('Response-Seal', SEAL)]
    writer.write(Reply(200, stray, b'not yours').wire())
    await asyncio.sleep(0.02)
    writer.write(Reply(200, echoed(request), b'yours').wire())
    await writer.drain()
    return True


async def say_nothing(target, request, _writer):
    """Work on the request until the caller's connection ends."""
    target.executed.append(request)
    try:
        while not request.is_left:
            await asyncio.sleep(0.01)
    finally:
        target.left.append(request.headers['attempt-id'])
    return False


def late(seconds, script):
    """Return a script that begins after a while, unless its caller leaves."""

    async def wait_first(target, request, writer):
        target.executed.append(request)
        for _ in range(int(seconds / 0.01)):
            await asyncio.sleep(0.01)
            if request.is_left:
                return False
        target.executed.remove(request)
        return await script(target, request, writer)

    return wait_first


def event(number):
    """Return one event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def stream_head(request):
    """Return the head of an answer that is a stream of events."""
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines += [f'{name}: {content}' for name, content in echoed(request)]
    lines.append('Transfer-Encoding: chunked')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def stream(total, *, cut_at=None, tail=b'', pause_seconds=0.0):
    """Return a script that sends events, and may end in the middle."""

    async def script(target, request, writer):
        target.executed.append(request)
        first = int(request.headers.get('last-event-id') or 0) + 1
        writer.write(stream_head(request))
        for number in range(first, total + 1):
            if cut_at is not None and number > cut_at:
                if tail:
                    writer.write(_chunk(tail))
                await writer.drain()
                return False
            writer.write(_chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(pause_seconds)
            if request.is_left:
                target.left.append(request.headers['attempt-id'])
                return False
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    return script


def _chunk(content):
    return f'{len(content):x}\r\n'.encode() + content + b'\r\n'
