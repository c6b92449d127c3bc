"""Read callers' requests from connections and write the responses."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

import h11

from jacinthfold import logs
from jacinthfold.catalogue.model import CallerLimits
from jacinthfold.proxy.caller_response import (
    CallerDisconnectedError,
    CallerResponse,
    RawRequest,
)
from jacinthfold.proxy.unread_answers import UnreadAnswers
from jacinthfold.request.messages import Headers, first_header
from jacinthfold.transport.channel import Channel
from jacinthfold.transport.chunk_framing import ChunkFraming
from jacinthfold.transport.errors import (
    ConnectionLostError,
    MalformedRequestError,
    MemoryScarceError,
)
from jacinthfold.transport.memory import Reservation, process_memory
from jacinthfold.transport.turns import Turn, process_turns

# Callers reuse connections that were idle for nearly the full timeout; one
# closed exactly then would lose their next request.
IDLE_MARGIN_SECONDS = 2.0
BACKLOG = 512
# A caller that is refused before its body was read sends it all the same. It
# gets the response only if the connection stays open meanwhile.
DISCARD_SECONDS = 2.0


class Handler(Protocol):
    """Serve the requests of a listener."""

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Respond to a request; an unfinished response is aborted."""


class Listener:
    """Accept connections and serve the requests of each one in order."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        handler: Handler,
        read_limits: Callable[[], CallerLimits],
    ) -> None:
        """Store the address, the handler and the source of the limits."""
        self.name = name
        self._address = address
        self._handler = handler
        self._read_limits = read_limits
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[Channel] = set()
        self._has_ended = False
        self.active_request_count = 0
        self.memory = process_memory.requests
        self.unread = UnreadAnswers(process_memory.unread)
        # Returns headers for a request for whose body there is no room.
        self.no_room_headers: Callable[[Headers], Headers] = _no_headers
        # Called when a request was refused since there is no room for it.
        self.on_no_room: Callable[[], None] = _do_nothing
        # Set when this host shuts down: responses then close their connections.
        self.is_leaving = False

    async def start(self) -> None:
        """Listen; raise OSError when the address is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, *self._address, backlog=BACKLOG, reuse_address=True
        )

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """Accept nothing more, as the event loop is about to close."""
        self._has_ended = True
        self.stop_accepting()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for channel in list(self._idle):
            if not channel.has_unread_bytes:
                channel.close()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits."""
        return self._read_limits()

    async def respond(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Serve a request, counted as active meanwhile."""
        self.active_request_count += 1
        response.closes_connection = self.is_leaving
        try:
            await self._handler.handle(request, response)
        finally:
            self.active_request_count -= 1

    def set_idle(self, channel: Channel, *, is_idle: bool) -> None:
        """Record whether a connection waits for a request."""
        if is_idle:
            self._idle.add(channel)
        else:
            self._idle.discard(channel)

    def _accept(self) -> Channel:
        channel = _AcceptedChannel(self._serve)
        return channel

    def _serve(self, channel: Channel) -> None:
        if self._has_ended:
            # A task that begins while the others are cancelled never ends.
            channel.abort()
            return
        connection = _Connection(self, channel)
        task = asyncio.get_running_loop().create_task(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _AcceptedChannel(Channel):
    """Start to serve as soon as the connection is established."""

    def __init__(self, begin: Callable[[Channel], None]) -> None:
        super().__init__()
        self._begin = begin

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._begin(self)


class _Connection:
    """Serve the requests on one connection, one after another."""

    def __init__(self, listener: Listener, channel: Channel) -> None:
        self._listener = listener
        self._channel = channel
        self._parser = _new_parser(listener.limits)
        self._turn = Turn(process_turns)

    async def run(self) -> None:
        try:
            while await self._serve_next():
                self._parser.start_next_cycle()
        except CallerDisconnectedError:
            self._channel.abort()
        except asyncio.CancelledError:
            # The caller disconnected, which cancelled its request.
            self._channel.abort()
        except Exception as error:
            logs.error(
                'connection_failed',
                listener=self._listener.name,
                reason=repr(error),
            )
            self._channel.abort()
        finally:
            self._listener.set_idle(self._channel, is_idle=False)
            self._channel.close()

    async def _serve_next(self) -> bool:
        request = await self._read_or_reject()
        if request is None:
            return False
        response = CallerResponse(
            self._channel,
            self._parser,
            request.method == b'HEAD',
            self._listener.unread,
        )
        try:
            await self._cancel_on_disconnect(
                self._listener.respond(request, response)
            )
        finally:
            _release(request, response)
        if not response.is_finished:
            return False
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    async def _cancel_on_disconnect(self, work: Awaitable[None]) -> None:
        """Serve, and cancel as soon as the caller disconnects."""
        task = asyncio.current_task()
        if task is None or self._channel.is_peer_closed:
            asyncio.ensure_future(work).cancel()
            raise CallerDisconnectedError
        self._channel.on_peer_closed = task.cancel
        try:
            await work
        finally:
            self._channel.on_peer_closed = None

    async def _read_or_reject(self) -> RawRequest | None:
        try:
            return await self._read()
        except ConnectionLostError:
            return None
        except MalformedRequestError as error:
            await self._reject(error.status, str(error))
            return None

    async def _reject(self, status: int, reason: str) -> None:
        logs.warning(
            'request_malformed',
            listener=self._listener.name,
            status=status,
            reason=reason,
        )
        await self._answer_unread(status, [])

    async def _answer_unread(self, status: int, headers: Headers) -> None:
        """Answer a request that wasn't read, and close its connection."""
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = CallerResponse(
            self._channel,
            self._parser,
            is_head=False,
            unread=self._listener.unread,
        )
        response.closes_connection = True
        await response.send(status, headers, b'')
        await self._discard()

    async def _discard(self) -> None:
        """Read what the caller still sends, for a while."""
        with suppress(TimeoutError, ConnectionLostError):
            async with asyncio.timeout(DISCARD_SECONDS):
                await self._read_away(self._listener.limits.body_bytes)

    async def _read_away(self, limit_bytes: int) -> None:
        left_bytes = limit_bytes
        while left_bytes > 0:
            content = await self._channel.read()
            left_bytes -= len(content)
            if not content:
                return

    async def _read(self) -> RawRequest | None:
        limits = self._listener.limits
        if not await self._wait_for_request(limits):
            return None
        try:
            async with asyncio.timeout(limits.head_timeout_seconds):
                head = await self._next_event()
        except TimeoutError as error:
            raise MalformedRequestError(408, 'timed out in the head') from error
        if not isinstance(head, h11.Request):
            return None
        _check_head_size(head, limits.head_bytes)
        headers = list(head.headers.raw_items())
        memory = self._listener.memory.reserve()
        try:
            async with asyncio.timeout(limits.idle_timeout_seconds):
                body = await self._read_body(limits.body_bytes, headers, memory)
        except MemoryScarceError as error:
            memory.close()
            await self._refuse_large(headers, str(error))
            return None
        except TimeoutError as error:
            memory.close()
            raise MalformedRequestError(408, 'timed out in the body') from error
        except BaseException:
            memory.close()
            raise
        return RawRequest(head.method, head.target, headers, body, memory)

    async def _wait_for_request(self, limits: CallerLimits) -> bool:
        if self._parser.trailing_data[0] or self._channel.has_unread_bytes:
            # Requests that were sent ahead take turns with other connections.
            await asyncio.sleep(0)
            return True
        seconds = limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS
        self._listener.set_idle(self._channel, is_idle=True)
        try:
            async with asyncio.timeout(seconds):
                content = await self._channel.read()
        except TimeoutError:
            return False
        finally:
            self._listener.set_idle(self._channel, is_idle=False)
        if not content:
            return False
        self._parser.receive_data(content)
        return True

    async def _read_body(
        self, limit_bytes: int, headers: Headers, memory: Reservation
    ) -> bytes:
        declared_bytes = _declared_bytes(headers)
        if declared_bytes > limit_bytes:
            raise MalformedRequestError(413, 'declared body exceeds the limit')
        memory.resize(declared_bytes)
        body = bytearray()
        framing = ChunkFraming()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionLostError('caller disconnected within a body')
            body += event.data
            framing.add(event)
            _check_body(framing, len(body), limit_bytes)
            memory.resize(max(declared_bytes, len(body)))

    async def _refuse_large(self, headers: Headers, reason: str) -> None:
        logs.warning(
            'request_refused_no_memory',
            listener=self._listener.name,
            reason=reason,
        )
        self._listener.on_no_room()
        await self._answer_unread(
            HTTPStatus.SERVICE_UNAVAILABLE,
            self._listener.no_room_headers(headers),
        )

    async def _next_event(self) -> object:
        event = self._parse()
        while event is h11.NEED_DATA:
            self._send_continue()
            if not self._channel.has_unread_bytes:
                self._turn.reset()
            content = await self._channel.read()
            if not content:
                raise ConnectionLostError(
                    'caller disconnected within a request'
                )
            self._parser.receive_data(content)
            event = self._parse()
        await self._turn.pause_if_long(self._channel)
        return event

    def _parse(self) -> object:
        self._turn.begin()
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            # After a colon the parser quotes the line, which may hold an API
            # key. Only the reason before it goes to the log.
            reason = str(error).partition(':')[0]
            raise MalformedRequestError(
                error.error_status_hint, reason
            ) from None
        finally:
            self._turn.end()

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._channel.send(self._parser.send(event) or b'')


def _release(request: RawRequest, response: CallerResponse) -> None:
    request.memory.close()
    response.answer_memory.close()
    if not response.is_finished:
        response.abort()


def _declared_bytes(headers: Headers) -> int:
    """Return the length that the parser has checked, 0 if none is declared."""
    content = first_header(headers, b'content-length')
    return int(content) if content else 0


def _no_headers(_headers: Headers) -> Headers:
    return []


def _do_nothing() -> None:
    """Do nothing when a request is refused."""


def _check_body(
    framing: ChunkFraming, size_bytes: int, limit_bytes: int
) -> None:
    if framing.excess:
        raise MalformedRequestError(400, framing.excess)
    if size_bytes > limit_bytes:
        raise MalformedRequestError(413, 'body exceeds the limit')


def _check_head_size(head: h11.Request, limit_bytes: int) -> None:
    # The parser limits only heads that arrive in several pieces.
    sizes = [len(name) + len(content) for name, content in head.headers]
    size = sum(sizes) + len(head.target)
    if size > limit_bytes:
        raise MalformedRequestError(
            431, f'head of {size} bytes exceeds the limit'
        )


def _new_parser(limits: CallerLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.head_bytes + 4096
    )
