"""Send one request over a connection and read its response."""

import h11

from jacinthfold import logs
from jacinthfold.request.messages import (
    BodyEnd,
    Headers,
    ResponseHead,
    body_end_of,
    first_header,
)
from jacinthfold.request.numbers import MAX_STATUS, excerpt
from jacinthfold.transport.body_buffer import BodyBuffer
from jacinthfold.transport.channel import PIECE_BYTES, Channel
from jacinthfold.transport.chunk_framing import ChunkFraming
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.errors import (
    ConnectionLostError,
    MalformedResponseError,
)
from jacinthfold.transport.memory import Reservation, process_memory
from jacinthfold.transport.turns import Turn, process_turns

HEAD_LIMIT_BYTES = 65536
# Far above any response, also of a HEAD request.
MAX_CONTENT_LENGTH_BYTES = 2**40
# Responses to earlier requests that are skipped on a connection.
STRAY_ANSWER_LIMIT = 2
# Interim responses that are skipped before the final one.
INFORMATIONAL_LIMIT = 16
_MAX_LENGTH_DIGITS = 20


class Exchange:
    """Exchange one request and its response on a connection."""

    def __init__(self, channel: Channel, dialect: Dialect) -> None:
        """Store a connection that nothing else uses."""
        self._channel = channel
        self._dialect = dialect
        self._parser = _new_parser()
        self._request_id = ''
        self._method = b'GET'
        self._is_body_read = False
        # Whether the target ended the connection before it had read the body.
        self._is_request_cut = False
        self._body_end: BodyEnd | None = None
        self._turn = Turn(process_turns)
        self._framing = ChunkFraming()
        # What was parsed ahead: the event after a body's bytes, or its error.
        self._next: object | None = None
        self.has_received = False
        # How long the target keeps an idle connection, if it says so.
        self.idle_seconds: float | None = None

    @property
    def channel(self) -> Channel:
        """Return the connection."""
        return self._channel

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: str,
    ) -> None:
        """Send a request with its complete body."""
        self._request_id = request_id
        self._method = method
        framed = list(headers)
        if body or method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
            framed.append((b'Content-Length', str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=framed)
        wire = self._parser.send(request) or b''
        if len(body) > PIECE_BYTES:
            await self._send_large(wire, body)
            return
        if body:
            wire += self._parser.send(h11.Data(data=body)) or b''
        wire += self._parser.send(h11.EndOfMessage()) or b''
        await self._channel.write(wire)

    async def read_head(self) -> ResponseHead:
        """Return the response head; raise ProxyError."""
        strays = 0
        response = await self._next_head()
        while response.facts.request_id not in {'', self._request_id}:
            logs.warning(
                'stray_answer',
                request=self._request_id,
                answers=response.facts.request_id,
            )
            strays += 1
            if strays > STRAY_ANSWER_LIMIT:
                raise MalformedResponseError('only responses to other requests')
            await self._skip_response()
            response = await self._next_head()
        self.idle_seconds = response.facts.idle_seconds
        is_first = self._channel.sent_requests.count <= 1
        response.is_attributed = is_first or bool(response.facts.request_id)
        return response

    async def read_chunk(self) -> bytes | None:
        """Return the body's bytes so far, None at its end; raise ProxyError."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return self._join_chunks(event)
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
            self._is_body_read = True
            return None
        raise MalformedResponseError(f'{event!r} inside a body')

    async def read_body(
        self, limit_bytes: int, reservation: Reservation | None = None
    ) -> bytes:
        """Return the whole body; raise ProxyError.

        Its bytes stay reserved, if a reservation is given.
        """
        if reservation is not None:
            return await self._read_body(BodyBuffer(reservation, limit_bytes))
        with process_memory.answers.reserve() as own:
            return await self._read_body(BodyBuffer(own, limit_bytes))

    def may_reuse(self) -> bool:
        """Check whether the connection can be used for another request."""
        parser = self._parser
        is_over = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        # Bytes after the response belong to no request: the next request would
        # read them as its own response.
        is_clean = (
            not parser.trailing_data[0] and not self._channel.has_unread_bytes
        )
        return (
            self._is_body_read
            and is_over
            and is_clean
            and not self._channel.is_peer_closed
        )

    async def _send_large(self, head: bytes, body: bytes) -> None:
        try:
            await self._channel.write(head)
            await self._send_pieces(body)
        except ConnectionLostError:
            # A target may answer and close before it has read the body.
            if not self._channel.has_unread_bytes:
                raise
            self._is_request_cut = True
            return
        self._parser.send(h11.EndOfMessage())

    async def _send_pieces(self, body: bytes) -> None:
        # Each piece is copied, but never the body as a whole.
        start = 0
        while start < len(body):
            piece = body[start : start + PIECE_BYTES]
            await self._channel.write(
                self._parser.send(h11.Data(data=piece)) or b''
            )
            start += PIECE_BYTES

    def _check_end(self) -> None:
        """Raise ConnectionLostError if a body's end can't be told from a cut.

        A target that ends the connection while the request is on its way may
        have ended in the middle of its answer, also without a reset.
        """
        channel = self._channel
        is_request_lost = (
            self._is_request_cut
            or channel.unsent_bytes > 0
            or channel.lost_error is not None
        )
        if self._body_end is BodyEnd.CONNECTION and is_request_lost:
            raise ConnectionLostError('ended before it had read the request')

    async def _read_body(self, buffer: BodyBuffer) -> bytes:
        while True:
            chunk = await self.read_chunk()
            if chunk is None:
                return buffer.content()
            buffer.add(chunk)

    async def _next_head(self) -> ResponseHead:
        event = await self._next_event()
        informational_count = 0
        while isinstance(event, h11.InformationalResponse):
            informational_count += 1
            if informational_count > INFORMATIONAL_LIMIT:
                raise MalformedResponseError('informational responses only')
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise MalformedResponseError(f'{event!r} instead of a response')
        if event.status_code > MAX_STATUS:
            raise MalformedResponseError(f'status {event.status_code}')
        headers: Headers = list(event.headers.raw_items())
        facts = self._dialect.read_response(event.status_code, headers)
        response = ResponseHead(event.status_code, headers, facts)
        response.content_length = _content_length(headers)
        response.body_end = body_end_of(
            self._method, event.status_code, headers
        )
        self._body_end = response.body_end
        return response

    def _join_chunks(self, first: h11.Data) -> bytes:
        """Return the bytes of all chunks that have arrived, within a turn."""
        pieces = [bytes(first.data)]
        self._framing.add(first)
        while not self._turn.is_long:
            following = self._parse_ahead()
            if not isinstance(following, h11.Data):
                self._next = following
                break
            self._framing.add(following)
            pieces.append(bytes(following.data))
        if self._framing.excess:
            raise MalformedResponseError(self._framing.excess)
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    def _parse_ahead(self) -> object:
        """Return the next event, or the error in its place."""
        try:
            return self._parse()
        except MalformedResponseError as error:
            return error

    async def _next_event(self) -> object:
        while True:
            event = self._take_next()
            if event is not h11.NEED_DATA:
                await self._turn.pause_if_long(self._channel)
                return event
            if not self._channel.has_unread_bytes:
                self._turn.reset()
            content = await self._channel.read()
            self.has_received = self.has_received or bool(content)
            if not content and not self.has_received:
                raise ConnectionLostError('closed before a response')
            self._feed(content)

    def _take_next(self) -> object:
        event = self._next
        self._next = None
        if isinstance(event, MalformedResponseError):
            raise event
        return self._parse() if event is None else event

    def _parse(self) -> object:
        self._turn.begin()
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedResponseError(str(error)) from error
        finally:
            self._turn.end()

    def _feed(self, content: bytes) -> None:
        try:
            self._parser.receive_data(content)
        except h11.RemoteProtocolError as error:
            raise MalformedResponseError(str(error)) from error

    async def _skip_response(self) -> None:
        await self.read_body(HEAD_LIMIT_BYTES * 16)
        self._is_body_read = False
        remaining = self._parser.trailing_data[0]
        self._parser = _new_parser()
        # The new parser reads a response only after it has sent a request.
        self._parser.send(
            h11.Request(
                method=self._method, target='/', headers=[('Host', 'x')]
            )
        )
        self._parser.send(h11.EndOfMessage())
        if remaining:
            self._feed(remaining)


def _content_length(headers: Headers) -> int | None:
    content = first_header(headers, b'content-length')
    if not content:
        return None
    # The limit on digits comes first: int() takes long for many of them.
    is_number = content.isdigit() and len(content) <= _MAX_LENGTH_DIGITS
    length = int(content) if is_number else -1
    if not 0 <= length <= MAX_CONTENT_LENGTH_BYTES:
        raise MalformedResponseError(
            f'Content-Length out of range: {excerpt(content)}'
        )
    return length


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
    )
