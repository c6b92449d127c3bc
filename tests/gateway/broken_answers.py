"""Targets whose answers end with their connection, whole or broken off."""

import asyncio
import socket
import struct

from tests.gateway import target_standin as standin
from tests.gateway.deployment import new_id

PROMPT = [
    ('Model', 'm'),
    ('Token-Usage', '800,50'),
    ('Prompt-Prefix', 'aa:300,bb:300,cc:200'),
]
TOTAL = 5


def head(request, content_type='text/event-stream', version='1.1'):
    """Return the head of an answer with neither length nor chunks."""
    lines = [f'HTTP/{version} 200 OK', f'Content-Type: {content_type}']
    lines += [f'{name}: {content}' for name, content in standin.echoed(request)]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def unmarked(
    events=TOTAL, tail=b'', *, resets=False, version='1.1', pause_seconds=0
):
    """Return a script that streams events and ends its connection."""

    async def script(target, request, writer):
        target.executed.append(request)
        first = int(request.headers.get('last-event-id') or 0) + 1
        writer.write(head(request, version=version))
        for number in range(first, events + 1):
            writer.write(standin.event(number))
            await writer.drain()
            if request.is_left:
                return False
            await asyncio.sleep(pause_seconds)
        writer.write(tail)
        await writer.drain()
        # Bytes on their way would be lost by the reset.
        await asyncio.sleep(0.05)
        return await end(writer, resets=resets)

    return script


def unmarked_body(body, *, resets=False, pause_seconds=0.05):
    """Return a script that answers a call and ends its connection."""

    async def script(target, request, writer):
        target.executed.append(request)
        writer.write(head(request, 'text/plain') + body)
        await writer.drain()
        await asyncio.sleep(pause_seconds)
        return await end(writer, resets=resets)

    return script


async def end(writer, *, resets):
    """End a connection, by a reset or in an orderly way."""
    if resets:
        opened = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


def once(script, others):
    """Return a script for the first request and one for those after it."""
    scripts = [script]

    async def choose(target, request, writer):
        chosen = scripts.pop() if scripts else others
        return await chosen(target, request, writer)

    return choose


def set_scripts(deployment, script):
    """Let all targets follow a script."""
    for target in deployment.targets.values():
        target.script = script
        target.executed.clear()


def ask(deployment, path, host='north-a', **options):
    """Send a prompt and return the answer."""
    return deployment.ask(
        host, path, 'POST', headers=PROMPT, body=b'prompt', **options
    )


def events(first, last):
    """Return the bytes of some events."""
    return b''.join(standin.event(number) for number in range(first, last + 1))


def _do_nothing():
    """Read the answer at once."""


class RawAnswer:
    """Read an answer byte by byte, as a caller of any HTTP version."""

    def __init__(
        self,
        deployment,
        path,
        version='1.1',
        host='north-a',
        before_reading=_do_nothing,
        receive_bytes=0,
        deadline_ms=4000,
    ):
        lines = [f'POST {path} HTTP/{version}', 'Host: api.example']
        lines += [f'{name}: {content}' for name, content in PROMPT]
        lines += [f'Attempt-Id: {new_id()}', 'Content-Length: 6']
        lines += [f'Request-Deadline: {deadline_ms}', 'Connection: close']
        address = deployment.hosts[host].callers
        self.content = b''
        self.is_reset = False
        with socket.socket() as connection:
            if receive_bytes:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            connection.settimeout(10)
            connection.connect(address)
            wire = '\r\n'.join(lines).encode() + b'\r\n\r\nprompt'
            connection.sendall(wire)
            before_reading()
            try:
                while content := connection.recv(65536):
                    self.content += content
            except ConnectionResetError:
                self.is_reset = True
        self.head, _, self.body = self.content.partition(b'\r\n\r\n')

    @property
    def has_chunks(self):
        return b'transfer-encoding' in self.head.lower()

    @property
    def is_framed_as_complete(self):
        """Tell whether the last chunk or a length says that this is all."""
        if self.has_chunks:
            return self.body.endswith(b'0\r\n\r\n')
        return b'content-length' in self.head.lower() and not self.is_reset
