"""Bound what one connection makes the event loop do before others' turn."""

import asyncio

from jacinthfold import logs
from jacinthfold.transport.channel import Channel

# A connection whose bytes took this long to parse lets others have their turn.
LONG_TURN_SECONDS = 0.002
# Connections with long turns get at most this share of the time together.
LONG_TURNS_SHARE = 0.25
LOG_INTERVAL_SECONDS = 1.0


class Turns:
    """Share the event loop's time between connections with long turns."""

    __slots__ = ('_free_at', '_logged_at', 'long_count')

    def __init__(self) -> None:
        """Start without long turns."""
        # Since when the connections that took long turns may go on.
        self._free_at = 0.0
        self._logged_at = float('-inf')
        self.long_count = 0

    async def pause(self, spent_seconds: float, peer: str) -> None:
        """Wait until a connection may go on after a long turn."""
        now = asyncio.get_running_loop().time()
        self.long_count += 1
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            logs.warning(
                'long_turn',
                peer=peer,
                seconds=spent_seconds,
                long_turns=self.long_count,
            )
        started_at = max(now, self._free_at)
        self._free_at = started_at + spent_seconds / LONG_TURNS_SHARE
        await asyncio.sleep(self._free_at - now)


class Turn:
    """Add up the time that a connection's bytes take until it waits."""

    __slots__ = ('_began_at', '_seconds', '_turns')

    def __init__(self, turns: Turns) -> None:
        """Start with nothing spent."""
        self._turns = turns
        self._began_at = 0.0
        self._seconds = 0.0

    @property
    def is_long(self) -> bool:
        """Check whether others are to have their turn."""
        return self._seconds >= LONG_TURN_SECONDS

    def begin(self) -> None:
        """Begin to parse."""
        self._began_at = asyncio.get_running_loop().time()

    def end(self) -> None:
        """End what was begun."""
        now = asyncio.get_running_loop().time()
        self._seconds += now - self._began_at

    def reset(self) -> None:
        """Start anew, since the connection waits for bytes."""
        self._seconds = 0.0

    async def pause_if_long(self, channel: Channel) -> None:
        """Let others have their turn after a long one."""
        if self.is_long:
            seconds = self._seconds
            self.reset()
            await self._turns.pause(seconds, channel.peer)


# Of all connections of this process.
process_turns = Turns()
