"""Read and write one TCP connection."""

import asyncio
import socket
from collections.abc import Callable

from jacinthfold.transport import ending
from jacinthfold.transport.errors import ConnectFailedError, ConnectionLostError
from jacinthfold.transport.sent_requests import SentRequests

# Reading pauses above this and resumes when the reader has taken the bytes.
# Callers' bodies are read as they arrive, so it limits the memory held for a
# slow reader.
READ_AHEAD_BYTES = 65536
RECEIVE_BYTES = 65536
# A write waits while this much has not been sent.
SEND_BUFFER_BYTES = 32768
# Larger content is written in such pieces, so that the buffer stays small.
PIECE_BYTES = 65536
# A peer that no longer acknowledges data is detected after this; without it a
# connection to a machine that lost power hangs for minutes. Probes end by it
# too: one that is sent two seconds into a silence must be followed by others.
UNACKNOWLEDGED_MILLISECONDS = 5000
KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 3

# All connections receive into it: the event loop hands the bytes over before
# it receives again.
_receive_buffer = bytearray(RECEIVE_BYTES)


class Channel(asyncio.BufferedProtocol):
    """Read and write one connection and detect when the peer closes it."""

    def __init__(self) -> None:
        """Start without a transport, until connection_made."""
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._wake_reader: asyncio.Future[None] | None = None
        self._wake_writer: asyncio.Future[None] | None = None
        self._is_paused = False
        self._is_peer_closed = False
        self._has_eof = False
        self.lost_error: Exception | None = None
        self.on_peer_closed: Callable[[], object] | None = None
        self.on_data: Callable[[], object] | None = None
        self.local_address = ''
        # Address and port of the peer, for logs.
        self.peer = ''
        self.sent_requests = SentRequests()

    @property
    def is_peer_closed(self) -> bool:
        """Check whether the peer has closed or reset the connection."""
        return self._is_peer_closed

    @property
    def has_orderly_end(self) -> bool:
        """Check whether the peer has ended its output without a reset."""
        return self._has_eof

    @property
    def has_unread_bytes(self) -> bool:
        """Check whether received bytes wait to be read."""
        return bool(self._received)

    async def read(self) -> bytes:
        """Return the next bytes, b'' at the end; raise ConnectionLostError."""
        while not self._received:
            # An orderly end comes after all bytes of the peer, whatever happens
            # to the connection later.
            if self._has_eof:
                return b''
            if self.lost_error is not None:
                raise ConnectionLostError(str(self.lost_error))
            if self._is_peer_closed:
                raise ConnectionLostError('closed by this host')
            self._wake_reader = asyncio.get_running_loop().create_future()
            await self._wake_reader
        content = bytes(self._received)
        self._received.clear()
        self._resume_reading()
        return content

    @property
    def is_write_paused(self) -> bool:
        """Check whether the peer has not read enough to write on."""
        return self._is_paused and not self._is_closed()

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be sent."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    async def write(self, content: bytes) -> None:
        """Send bytes and wait until the send buffer drains."""
        start = 0
        while not start or start < len(content):
            self.send(content[start : start + PIECE_BYTES])
            start += PIECE_BYTES
            await self.drain()

    async def drain(self) -> None:
        """Wait until the send buffer drains or the connection ends."""
        while self.is_write_paused:
            self._wake_writer = asyncio.get_running_loop().create_future()
            await self._wake_writer

    def send(self, content: bytes) -> None:
        """Send bytes without waiting; raise ConnectionLostError."""
        if self._transport is None or self._is_closed():
            raise ConnectionLostError('connection is closed')
        self._transport.write(content)

    def close(self) -> None:
        """Close after all written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and drop what has not been sent."""
        if self._transport is not None:
            self._transport.abort()

    def set_reset_on_close(self, *, is_on: bool) -> None:
        """Choose how the connection ends; raise ConnectionLostError.

        While it is on, each end is a reset, also the one that the kernel makes
        for a process that was killed, and writers wait for all their bytes.
        """
        if self._transport is None or self._is_closed():
            raise ConnectionLostError('connection is closed')
        opened = self._transport.get_extra_info('socket')
        ending.set_reset_on_close(opened, is_on=is_on)
        self._transport.set_write_buffer_limits(
            0 if is_on else SEND_BUFFER_BYTES
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its socket."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
            transport.set_write_buffer_limits(SEND_BUFFER_BYTES)
        set_up_socket(transport.get_extra_info('socket'))
        own = transport.get_extra_info('sockname')
        self.local_address = own[0] if own else ''
        self.peer = str(transport.get_extra_info('peername', ''))

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the event loop is to put received bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the bytes that were received for the reader."""
        self._received += memoryview(_receive_buffer)[:nbytes]
        too_much = len(self._received) > READ_AHEAD_BYTES
        if too_much and self._transport is not None:
            self._transport.pause_reading()
        self._wake(self._wake_reader)
        if self.on_data is not None:
            self.on_data()

    def eof_received(self) -> bool:
        """Record the end of the input; keep the connection open for writes."""
        self._has_eof = True
        self._mark_peer_closed()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection has ended."""
        if exc is not None:
            self.lost_error = exc
        self._mark_peer_closed()
        self._wake(self._wake_writer)

    def pause_writing(self) -> None:
        """Make writers wait while the send buffer is full."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Wake the writers that wait."""
        self._is_paused = False
        self._wake(self._wake_writer)

    def _mark_peer_closed(self) -> None:
        self._is_peer_closed = True
        self._wake(self._wake_reader)
        if self.on_peer_closed is not None:
            self.on_peer_closed()

    def _is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._is_closed():
            self._transport.resume_reading()

    def _wake(self, waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


async def connect(address: tuple[str, int], timeout_seconds: float) -> Channel:
    """Open a connection; raise ConnectFailedError if that fails."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, channel = await loop.create_connection(Channel, *address)
    except (OSError, TimeoutError) as error:
        endpoint = f'{address[0]}:{address[1]}'
        raise ConnectFailedError(
            f'{endpoint}: {error!r}',
            is_refused=isinstance(error, ConnectionRefusedError),
        ) from error
    return channel


def set_up_socket(opened: socket.socket) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers."""
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, number)
