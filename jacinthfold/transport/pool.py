"""Keep connections to targets and entry hosts for later requests."""

import asyncio
from functools import partial

from jacinthfold.clock import Clock
from jacinthfold.transport.channel import Channel, connect

# How long a connection may lie idle when its target does not say; targets
# close idle ones, and a request that meets the close is lost.
IDLE_SECONDS = 3.0
# Left of the time that a target promises to keep an idle connection.
IDLE_MARGIN_SECONDS = 0.7
# An unrepeatable request whose connection dies before an answer may not be
# sent again. A connection that was used a moment ago has hardly died.
FRESH_SECONDS = 1.0
IDLE_LIMIT_PER_PLACE = 32

Place = tuple[str, int, str]


class _Idle:
    """Hold a connection that nobody uses."""

    __slots__ = ('channel', 'since', 'until')

    def __init__(self, channel: Channel, since: float, until: float) -> None:
        self.channel = channel
        self.since = since
        self.until = until


class Pool:
    """Open connections and keep idle ones by place and instance."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._idle: dict[Place, list[_Idle]] = {}
        self.opened_count = 0

    async def take(
        self,
        place: Place,
        connect_timeout_seconds: float,
        *,
        must_be_fresh: bool,
    ) -> Channel:
        """Return a connection; raise ConnectFailedError."""
        kept = self._take_idle(place, must_be_fresh=must_be_fresh)
        if kept is not None:
            return kept
        self.opened_count += 1
        return await connect(place[:2], connect_timeout_seconds)

    def give_back(
        self, place: Place, channel: Channel, idle_seconds: float | None
    ) -> None:
        """Keep a connection whose last answer was read to its end."""
        now = self._clock.monotonic()
        seconds = IDLE_SECONDS
        if idle_seconds is not None:
            seconds = idle_seconds - IDLE_MARGIN_SECONDS
        kept = self._idle.setdefault(place, [])
        if seconds <= 0 or len(kept) >= IDLE_LIMIT_PER_PLACE:
            channel.close()
            return
        idle = _Idle(channel, now, now + seconds)
        kept.append(idle)
        # Bytes that nobody asked for, or the target's close: either way the
        # connection must not carry another request.
        drop = partial(self._drop, place, idle)
        channel.on_data = drop
        channel.on_gone = drop

    def forget(self, place: Place) -> None:
        """Close the idle connections of a place that is gone."""
        for idle in self._idle.pop(place, []):
            _detach(idle.channel)
            idle.channel.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock.monotonic()
        for place, kept in list(self._idle.items()):
            stale = [idle for idle in kept if idle.until <= now]
            for idle in stale:
                self._drop(place, idle)
            if not kept:
                self._idle.pop(place)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(IDLE_MARGIN_SECONDS)
            self.sweep()

    def _take_idle(
        self, place: Place, *, must_be_fresh: bool
    ) -> Channel | None:
        now = self._clock.monotonic()
        kept = self._idle.get(place, [])
        while kept:
            idle = kept[-1]
            if must_be_fresh and now - idle.since > FRESH_SECONDS:
                return None
            kept.pop()
            _detach(idle.channel)
            if idle.until > now and not idle.channel.is_gone:
                return idle.channel
            idle.channel.close()
        return None

    def _drop(self, place: Place, idle: _Idle) -> None:
        _detach(idle.channel)
        kept = self._idle.get(place, [])
        if idle in kept:
            kept.remove(idle)
        idle.channel.close()


def _detach(channel: Channel) -> None:
    channel.on_data = None
    channel.on_gone = None
