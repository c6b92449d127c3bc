"""Carry one request over one connection to a target, and its answer back."""

import h11

from jacinthfold import logs
from jacinthfold.request.messages import AnswerHead, Headers, first_header
from jacinthfold.transport.channel import Channel
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.errors import (
    ConnectionCutError,
    MalformedAnswerError,
)

HEAD_LIMIT_BYTES = 65536
# Answers to earlier requests that may lie before ours on a connection.
STRAY_ANSWER_LIMIT = 2


class Exchange:
    """Hold one request and its answer on a connection."""

    def __init__(self, channel: Channel, dialect: Dialect) -> None:
        """Take a connection that carries nothing else."""
        self._channel = channel
        self._dialect = dialect
        self._parser = _new_parser()
        self._request_id = ''
        self._method = b'GET'
        self._is_done = False
        self.has_heard = False
        # How long the target keeps the connection when idle, if it says.
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
        """Send a request with a body that is known whole."""
        self._request_id = request_id
        self._method = method
        framed = list(headers)
        if body or method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
            framed.append((b'Content-Length', str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=framed)
        wire = self._parser.send(request) or b''
        if body:
            wire += self._parser.send(h11.Data(data=body)) or b''
        wire += self._parser.send(h11.EndOfMessage()) or b''
        await self._channel.write(wire)

    async def head(self) -> AnswerHead:
        """Return the head of the answer to our request."""
        strays = 0
        answer = await self._next_head()
        while answer.facts.request_id not in {'', self._request_id}:
            logs.warning(
                'stray_answer',
                request=self._request_id,
                answers=answer.facts.request_id,
            )
            strays += 1
            if strays > STRAY_ANSWER_LIMIT:
                raise MalformedAnswerError('answers to other requests only')
            await self._skip_answer()
            answer = await self._next_head()
        self.idle_seconds = answer.facts.idle_seconds
        return answer

    async def part(self) -> bytes | None:
        """Return the next bytes of the body, or None at its proven end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._is_done = True
            return None
        raise MalformedAnswerError(f'{event!r} inside a body')

    async def whole(self, limit_bytes: int) -> bytes:
        """Return the whole body."""
        body = bytearray()
        while True:
            part = await self.part()
            if part is None:
                return bytes(body)
            body += part
            if len(body) > limit_bytes:
                raise MalformedAnswerError(f'a body over {limit_bytes} bytes')

    def may_reuse(self) -> bool:
        """Tell whether the connection can carry another request."""
        parser = self._parser
        is_over = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        # Bytes beyond the answer belong to no request: the next one would
        # take them for its own answer.
        is_clean = not parser.trailing_data[0] and not self._channel.has_unread
        return (
            self._is_done and is_over and is_clean and not self._channel.is_gone
        )

    async def _next_head(self) -> AnswerHead:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise MalformedAnswerError(f'{event!r} in place of an answer')
        headers: Headers = list(event.headers.raw_items())
        facts = self._dialect.read_answer(event.status_code, headers)
        answer = AnswerHead(event.status_code, headers, facts)
        length = first_header(headers, b'content-length')
        answer.length = int(length) if length else None
        return answer

    async def _next_event(self) -> object:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            content = await self._channel.read()
            self.has_heard = self.has_heard or bool(content)
            if not content and not self.has_heard:
                raise ConnectionCutError('closed before an answer')
            self._feed(content)

    def _parse(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedAnswerError(str(error)) from error

    def _feed(self, content: bytes) -> None:
        try:
            self._parser.receive_data(content)
        except h11.RemoteProtocolError as error:
            raise MalformedAnswerError(str(error)) from error

    async def _skip_answer(self) -> None:
        await self.whole(HEAD_LIMIT_BYTES * 16)
        self._is_done = False
        rest = self._parser.trailing_data[0]
        self._parser = _new_parser()
        # The parser must believe that it sent the request whose answer is
        # still to come.
        self._parser.send(
            h11.Request(
                method=self._method, target='/', headers=[('Host', 'x')]
            )
        )
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._feed(rest)


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
    )
