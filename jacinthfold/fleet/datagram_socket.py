"""Send and receive datagrams on a socket that is opened again when it closes.

The event loop closes a datagram socket for good at each error but those of the
operating system, without telling the sender.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from jacinthfold import logs
from jacinthfold.catalogue.bounded_types import is_endpoint
from jacinthfold.clock import Clock

MAX_DATAGRAM_BYTES = 60000
REOPEN_INTERVAL_SECONDS = 0.25
# Every datagram to a dead host fails; the log gets one line in this time.
ERROR_LOG_INTERVAL_SECONDS = 5.0
# While the port can't be bound, an attempt is logged in this time.
REOPEN_LOG_INTERVAL_SECONDS = 60.0

Endpoint = tuple[str, int]


class DatagramSocket(asyncio.DatagramProtocol):
    """Hold the socket on which hosts talk to each other."""

    def __init__(
        self,
        endpoint: Endpoint,
        on_datagram: Callable[[bytes, Any], None],
        clock: Clock,
    ) -> None:
        """Set where to bind and what handles datagrams; nothing is open."""
        self._endpoint = endpoint
        self._on_datagram = on_datagram
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._error_count = 0
        self._error_logged_at = float('-inf')
        self._reopen_logged_at = float('-inf')
        # Datagrams that were too large, or for no valid endpoint.
        self.dropped_count = 0
        # How often the socket was opened.
        self.opened_count = 0

    @property
    def is_open(self) -> bool:
        """Tell whether datagrams can be sent and received."""
        return self._transport is not None and not self._transport.is_closing()

    async def open(self) -> None:
        """Bind the socket; raise OSError if the port is in use."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._endpoint
        )
        self.opened_count += 1

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def keep_open(self) -> None:
        """Open the socket whenever it has closed, until cancelled."""
        while True:
            await asyncio.sleep(REOPEN_INTERVAL_SECONDS)
            if not self.is_open:
                await self._reopen()

    def send(self, content: bytes, endpoint: Endpoint) -> None:
        """Send a datagram, or drop and count it if that is impossible."""
        if self._transport is None or self._transport.is_closing():
            return
        if len(content) >= MAX_DATAGRAM_BYTES:
            self._drop(f'datagram of {len(content)} bytes')
        elif is_endpoint(*endpoint):
            self._transport.sendto(content, endpoint)
        else:
            self._drop(f'no valid endpoint: {endpoint!r}')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        # The selector loop's transport implements DatagramTransport but does
        # not inherit from it.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the socket has closed."""
        self._transport = None
        if exc is not None:
            logs.error('peer_socket_closed', reason=repr(exc))

    def datagram_received(self, content: bytes, addr: Any) -> None:
        """Pass a datagram on."""
        self._on_datagram(content, addr)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered, at a limited rate.

        The host table notices dead hosts by itself, from their silence.
        """
        self.log_not_sent(repr(exc))

    def log_not_sent(self, reason: str) -> None:
        """Log what could not be sent, at a limited rate."""
        self._error_count += 1
        now = self._clock.monotonic()
        if now - self._error_logged_at < ERROR_LOG_INTERVAL_SECONDS:
            return
        logs.warning(
            'heartbeats_not_sent', count=self._error_count, reason=reason
        )
        self._error_logged_at = now
        self._error_count = 0

    def _drop(self, reason: str) -> None:
        self.dropped_count += 1
        self.log_not_sent(reason)

    async def _reopen(self) -> None:
        try:
            await self.open()
        except OSError as error:
            now = self._clock.monotonic()
            if now - self._reopen_logged_at >= REOPEN_LOG_INTERVAL_SECONDS:
                self._reopen_logged_at = now
                logs.error('peer_socket_not_opened', reason=repr(error))
            return
        logs.warning('peer_socket_opened', count=self.opened_count)
