"""Targets that answer before they have read a request's body."""

import asyncio
import socket
import struct

import h11

from tests.gateway import target_standin as standin
from tests.gateway.http_server import Received

# Smaller than any upload of these tests.
RECEIVE_BYTES = 4096
PART = standin.event(1) + standin.event(2)
# What is left of the answer when it is broken off.
REST = standin.event(3)
FRAMINGS = ('connection', 'length', 'chunks')
ENDS = ('reset', 'close', 'shutdown')


class EarlyTarget(standin.TargetStandIn):
    """Answer each upload with a part of an answer as soon as its head is in."""

    def __init__(self, address, instance):
        super().__init__(address, instance)
        self.framing = 'connection'
        self.end_by = 'reset'
        # Uploads that were answered early.
        self.early = []
        self.is_early = True

    async def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.bind(self.address)
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=RECEIVE_BYTES
        )

    async def _read(self, parser, reader):
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                content = await reader.read(RECEIVE_BYTES)
                if not content:
                    return None
                parser.receive_data(content)
            elif isinstance(event, h11.Request):
                received = Received(event, b'', reader)
                if self._answers_early(received):
                    return received
            elif isinstance(event, h11.EndOfMessage):
                return received
            elif isinstance(event, h11.Data):
                received.body += bytes(event.data)
            else:
                return None

    def _answers_early(self, request):
        is_upload = int(request.headers.get('content-length', '0')) > 100000
        return self.is_early and is_upload

    async def answer(self, request, writer):
        if not self._answers_early(request):
            return await super().answer(request, writer)
        self.early.append(request)
        writer.write(self._head(request) + self._part())
        await writer.drain()
        # Bytes on their way would be lost by a reset.
        await asyncio.sleep(0.05)
        return await self._end(writer)

    def _head(self, request):
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {one}' for name, one in standin.echoed(request)]
        if self.framing == 'length':
            lines.append(f'Content-Length: {len(PART + REST)}')
        elif self.framing == 'chunks':
            lines.append('Transfer-Encoding: chunked')
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'

    def _part(self):
        if self.framing == 'chunks':
            return f'{len(PART):x}\r\n'.encode() + PART + b'\r\n'
        return PART

    async def _end(self, writer):
        opened = writer.get_extra_info('socket')
        if self.end_by == 'reset':
            linger = struct.pack('ii', 1, 0)
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self.end_by == 'shutdown':
            opened.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.2)
        return False
