"""Hold a caller's request as it was read, and write the response to it."""

from collections.abc import Iterator
from contextlib import contextmanager

import h11

from jacinthfold.proxy.unread_answers import UnreadAnswers
from jacinthfold.request.messages import Headers, first_header
from jacinthfold.transport.channel import PIECE_BYTES, Channel
from jacinthfold.transport.errors import ConnectionLostError
from jacinthfold.transport.memory import Reservation, process_memory


class RawRequest:
    """Hold a request as it was read."""

    __slots__ = ('body', 'headers', 'memory', 'method', 'target')

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        memory: Reservation,
    ) -> None:
        """Store the parts of the request and the memory of its body."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.memory = memory

    def take_body(self) -> bytes:
        """Return the body, which the request no longer holds."""
        body = self.body
        self.body = b''
        return body


class CallerDisconnectedError(Exception):
    """Report that the caller disconnected while its response was written."""


class CallerResponse:
    """Write one response to a caller."""

    def __init__(
        self,
        channel: Channel,
        parser: h11.Connection,
        is_head: bool,
        unread: UnreadAnswers,
    ) -> None:
        """Store the connection, its parser, and what waits to be read."""
        self._channel = channel
        self._parser = parser
        self._unread = unread
        self._is_head = is_head
        # Of the answers of targets that are held for the request.
        self.answer_memory = process_memory.answers.reserve()
        self.has_started = False
        self.is_finished = False
        self.status = 0
        self.closes_connection = False
        # Whether the caller was told that the end of the body will be marked.
        self.promises_end = True
        # Whether only the end of the connection tells the caller that the body
        # is over.
        self._ends_with_connection = False

    def abort(self) -> None:
        """End the connection so that the response doesn't look complete."""
        self._channel.abort()

    async def send(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        marks_end: bool = True,
    ) -> None:
        """Send a complete response; raise CallerDisconnectedError."""
        framed = list(headers)
        if marks_end:
            framed.append((b'Content-Length', str(len(body)).encode()))
        content = self._head(status, framed, marks_end=marks_end)
        if body and not self._is_head:
            content = await self._send_body(content, body)
        content += self._end()
        await self._write_last(content)

    async def start(
        self, status: int, headers: Headers, *, marks_end: bool = True
    ) -> None:
        """Send the head of a response of unknown length.

        The end of the connection alone ends a response without a marked end.
        """
        await self._write(self._head(status, headers, marks_end=marks_end))

    async def write(self, content: bytes) -> None:
        """Send a chunk of the body."""
        await self._write(self._parser.send(h11.Data(data=content)) or b'')

    async def finish(self) -> None:
        """Send the end of the body, which marks the response as complete."""
        await self._write_last(self._end())

    async def _send_body(self, head: bytes, body: bytes) -> bytes:
        """Send all but the last piece; return what is left."""
        content = head
        start = 0
        while start < len(body):
            if len(content) >= PIECE_BYTES:
                await self._write(content)
                content = b''
            piece = body[start : start + PIECE_BYTES]
            content += self._parser.send(h11.Data(data=piece)) or b''
            start += PIECE_BYTES
        return content

    def _head(self, status: int, headers: Headers, *, marks_end: bool) -> bytes:
        self.has_started = True
        if not marks_end:
            # For later versions the parser adds chunks, whose last one would
            # mark the end.
            self._parser.their_http_version = b'1.0'
        self.status = status
        framed = list(headers)
        if self.closes_connection:
            framed.append((b'Connection', b'close'))
        event = h11.Response(status_code=status, headers=framed)
        content = self._parser.send(event) or b''
        # Callers of HTTP/1.0 know no chunks.
        self._ends_with_connection = (
            self._parser.their_http_version == b'1.0'
            and not first_header(framed, b'content-length')
        )
        if self._ends_with_connection:
            with _caller_disconnects():
                self._channel.set_reset_on_close(is_on=True)
        return content

    def _end(self) -> bytes:
        return self._parser.send(h11.EndOfMessage()) or b''

    async def _write(self, content: bytes) -> None:
        with _caller_disconnects():
            await self._write_pieces(content)

    async def _write_last(self, content: bytes) -> None:
        await self._write(content)
        if self._ends_with_connection:
            # Nothing is left in the process that its end could take away.
            with _caller_disconnects():
                self._channel.set_reset_on_close(is_on=False)
        self.is_finished = True

    async def _write_pieces(self, content: bytes) -> None:
        start = 0
        while not start or start < len(content):
            self._channel.send(content[start : start + PIECE_BYTES])
            start += PIECE_BYTES
            if self._channel.is_write_paused:
                await self._unread.wait(
                    self._channel, len(content), self.answer_memory
                )


@contextmanager
def _caller_disconnects() -> Iterator[None]:
    try:
        yield
    except ConnectionLostError as error:
        raise CallerDisconnectedError from error
