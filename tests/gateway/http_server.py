"""Serve HTTP byte by byte, so that a test can break any part of it."""

import asyncio
import threading
import time

import h11


class Received:
    """Hold a request as it arrived."""

    def __init__(self, event, body, reader):
        self._reader = reader
        self.method = event.method.decode()
        self.target = event.target.decode()
        self.arrived_at = time.monotonic()
        # All headers as they arrived, also those that come twice.
        self.pairs = [
            (name.decode(), content.decode()) for name, content in event.headers
        ]
        self.headers = dict(self.pairs)
        self.body = body

    @property
    def is_left(self):
        """Tell whether the caller has closed its connection."""
        return self._reader.at_eof()


class Reply:
    """Hold a proper answer."""

    def __init__(self, status=200, headers=(), body=b''):
        self.status = status
        self.headers = list(headers)
        self.body = body

    def wire(self):
        lines = [f'HTTP/1.1 {self.status} X']
        lines += [f'{name}: {content}' for name, content in self.headers]
        lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + self.body


class Loop:
    """Run one event loop in a thread for all stand-ins of a test."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    def run(self, work):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(20)

    def close(self):
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _cancel_all(self):
        own = asyncio.current_task()
        tasks = [one for one in asyncio.all_tasks() if one is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class HttpServer:
    """Read requests and write what `reply` returns; None cuts."""

    def __init__(self, address):
        self.address = address
        self.loop = None
        self._server = None
        self.connection_count = 0
        self._writers = set()

    def start(self, loop):
        self.loop = loop
        loop.run(self.open())

    async def open(self):
        """Listen; call it in the loop."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def stop(self):
        async def close():
            self._server.close()

        self.loop.run(close())

    def end(self):
        """End as a killed process does; call it in the loop."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def loop_call(self, function, *args):
        async def call():
            return function(*args)

        return self.loop.run(call())

    async def reply(self, request):
        raise NotImplementedError

    async def answer(self, request, writer):
        """Write an answer; tell whether the connection goes on."""
        reply = await self.reply(request)
        if reply is None:
            return False
        writer.write(reply.wire())
        await writer.drain()
        return True

    async def _serve(self, reader, writer):
        self.connection_count += 1
        self._writers.add(writer)
        parser = h11.Connection(h11.SERVER)
        try:
            goes_on = True
            while goes_on:
                request = await self._read(parser, reader)
                if request is None:
                    break
                goes_on = await self.answer(request, writer)
                parser = _next_parser(parser)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read(self, parser, reader):
        head, body = None, b''
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                content = await reader.read(65536)
                if not content:
                    return None
                parser.receive_data(content)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Received(head, body, reader)
            else:
                return None


def _next_parser(parser):
    rest = parser.trailing_data[0]
    fresh = h11.Connection(h11.SERVER)
    if rest:
        fresh.receive_data(rest)
    return fresh
