"""Read callers' requests from connections and write the responses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11

from jacinthfold import logs
from jacinthfold.catalogue.model import CallerLimits
from jacinthfold.proxy.caller_response import (
    CallerDisconnectedError,
    CallerResponse,
    RawRequest,
)
from jacinthfold.transport.channel import Channel
from jacinthfold.transport.errors import (
    ConnectionLostError,
    MalformedRequestError,
)

# Callers reuse connections that were idle for nearly the full timeout; one
# closed exactly then would lose their next request.
IDLE_MARGIN_SECONDS = 2.0
BACKLOG = 512


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
            self._channel, self._parser, request.method == b'HEAD'
        )
        try:
            await self._cancel_on_disconnect(
                self._listener.respond(request, response)
            )
        finally:
            if not response.is_finished:
                response.abort()
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
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        response = CallerResponse(self._channel, self._parser, is_head=False)
        response.closes_connection = True
        await response.send(status, [], b'')

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
        try:
            async with asyncio.timeout(limits.idle_timeout_seconds):
                body = await self._read_body(limits.body_bytes)
        except TimeoutError as error:
            raise MalformedRequestError(408, 'timed out in the body') from error
        return RawRequest(
            head.method, head.target, list(head.headers.raw_items()), body
        )

    async def _wait_for_request(self, limits: CallerLimits) -> bool:
        if self._parser.trailing_data[0] or self._channel.has_unread_bytes:
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

    async def _read_body(self, limit_bytes: int) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionLostError('caller disconnected within a body')
            body += event.data
            if len(body) > limit_bytes:
                raise MalformedRequestError(413, 'body exceeds the limit')

    async def _next_event(self) -> object:
        event = self._parse()
        while event is h11.NEED_DATA:
            self._send_continue()
            content = await self._channel.read()
            if not content:
                raise ConnectionLostError(
                    'caller disconnected within a request'
                )
            self._parser.receive_data(content)
            event = self._parse()
        return event

    def _parse(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            # After a colon the parser quotes the line, which may hold an API
            # key. Only the reason before it goes to the log.
            reason = str(error).partition(':')[0]
            raise MalformedRequestError(
                error.error_status_hint, reason
            ) from None

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._channel.send(self._parser.send(event) or b'')


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
