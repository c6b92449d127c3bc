"""Pool connections to targets and entry hosts."""

import asyncio
from functools import partial

from jacinthfold.clock import Clock
from jacinthfold.transport.channel import Channel, connect

# How long a connection may be idle if its target does not say. Targets close
# idle connections, and a request sent at that moment is lost.
DEFAULT_IDLE_SECONDS = 3.0
# Subtracted from the time that a target promises to keep an idle connection.
IDLE_MARGIN_SECONDS = 0.7
# An unrepeatable request whose connection is lost before a response may not be
# sent again. A connection used this recently has most likely not been closed.
MAX_FRESH_IDLE_SECONDS = 1.0
MAX_IDLE_PER_ENDPOINT = 32

# Address, port and the identity behind them, so that a process that takes over
# an address gets no connections of the earlier one: a target's incarnation, the
# name of an entry host, or nothing for PooledHttpClient.
Endpoint = tuple[str, int, str]


class _IdleConnection:
    """Hold an idle connection."""

    __slots__ = ('channel', 'since', 'until')

    def __init__(self, channel: Channel, since: float, until: float) -> None:
        self.channel = channel
        self.since = since
        self.until = until


class ConnectionPool:
    """Open connections and keep idle ones by endpoint."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[Endpoint, list[_IdleConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self,
        endpoint: Endpoint,
        connect_timeout_seconds: float,
        *,
        must_be_fresh: bool,
        request_id: str = '',
    ) -> Channel:
        """Return an idle or new connection; raise ConnectFailedError.

        It has not carried the request before.
        """
        channel = self._take_idle(
            endpoint, request_id, must_be_fresh=must_be_fresh
        )
        if channel is not None:
            return channel
        self.opened_count += 1
        return await connect(endpoint[:2], connect_timeout_seconds)

    def release(
        self, endpoint: Endpoint, channel: Channel, idle_seconds: float | None
    ) -> None:
        """Return a connection whose last response was read completely."""
        now = self._clock.monotonic()
        seconds = DEFAULT_IDLE_SECONDS
        if idle_seconds is not None:
            seconds = idle_seconds - IDLE_MARGIN_SECONDS
        idle_connections = self._idle.setdefault(endpoint, [])
        is_kept = seconds > 0 and not channel.sent_requests.is_full
        if not is_kept or len(idle_connections) >= MAX_IDLE_PER_ENDPOINT:
            channel.close()
            return
        idle = _IdleConnection(channel, now, now + seconds)
        idle_connections.append(idle)
        # After unexpected bytes or a close by the target, the connection must
        # not be used for another request.
        drop = partial(self._drop, endpoint, idle)
        channel.on_data = drop
        channel.on_peer_closed = drop

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections of an endpoint that is gone."""
        for idle in self._idle.pop(endpoint, []):
            _detach(idle.channel)
            idle.channel.close()

    def sweep(self) -> None:
        """Close connections whose idle time has expired."""
        now = self._clock.monotonic()
        for endpoint, idle_connections in list(self._idle.items()):
            stale = [idle for idle in idle_connections if idle.until <= now]
            for idle in stale:
                self._drop(endpoint, idle)
            if not idle_connections:
                self._idle.pop(endpoint)

    async def run(self) -> None:
        """Close expired connections periodically until cancelled."""
        while True:
            await asyncio.sleep(IDLE_MARGIN_SECONDS)
            self.sweep()

    def _take_idle(
        self, endpoint: Endpoint, request_id: str, *, must_be_fresh: bool
    ) -> Channel | None:
        now = self._clock.monotonic()
        idle_connections = self._idle.get(endpoint, [])
        for idle in list(reversed(idle_connections)):
            if must_be_fresh and now - idle.since > MAX_FRESH_IDLE_SECONDS:
                return None
            if request_id in idle.channel.sent_requests:
                continue
            idle_connections.remove(idle)
            _detach(idle.channel)
            if idle.until > now and not idle.channel.is_peer_closed:
                return idle.channel
            idle.channel.close()
        return None

    def _drop(self, endpoint: Endpoint, idle: _IdleConnection) -> None:
        _detach(idle.channel)
        idle_connections = self._idle.get(endpoint, [])
        if idle in idle_connections:
            idle_connections.remove(idle)
        idle.channel.close()


def _detach(channel: Channel) -> None:
    channel.on_data = None
    channel.on_peer_closed = None
