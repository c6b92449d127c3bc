"""Bound what waits for callers that don't read their answers."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from jacinthfold import logs
from jacinthfold.transport.channel import (
    READ_AHEAD_BYTES,
    RECEIVE_BYTES,
    Channel,
)
from jacinthfold.transport.errors import ConnectionLostError, MemoryScarceError
from jacinthfold.transport.memory import (
    MemoryBudget,
    ProcessMemory,
    Reservation,
)

# What a target may have sent meanwhile that this host has received.
TARGET_BYTES = READ_AHEAD_BYTES + RECEIVE_BYTES
DEFAULT_IDLE_SECONDS = 15.0
# An answer whose caller has read within this time isn't ended for another one
# that was received as a whole.
MIN_UNREAD_SECONDS = 1.0
# How often it is looked whether a caller has read.
CHECK_SECONDS = 1.0
STALLED = 'stalled'
NO_MEMORY = 'no_memory'


class _UnreadAnswer:
    """Hold what an answer that waits for its caller uses."""

    __slots__ = ('answer_memory', 'own_memory', 'read_at')

    def __init__(
        self,
        own_memory: Reservation,
        answer_memory: Reservation | None,
        read_at: float,
    ) -> None:
        self.own_memory = own_memory
        # Of an answer that was received as a whole.
        self.answer_memory = answer_memory
        # When its caller last read.
        self.read_at = read_at

    def close(self) -> None:
        self.own_memory.close()
        if self.answer_memory is not None:
            self.answer_memory.close()


class UnreadAnswers:
    """Wait for callers to read, and end the answers that wait too long.

    If memory is scarce, the one goes first that has waited longest.
    """

    __slots__ = ('_budget', '_waiting', 'idle_seconds', 'on_ended')

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without answers that wait."""
        self._budget = budget
        # The longest first.
        self._waiting: OrderedDict[Channel, _UnreadAnswer] = OrderedDict()
        # Returns how long a caller may read nothing.
        self.idle_seconds: Callable[[], float] = _default_idle_seconds
        # Called with the reason for which an answer was ended.
        self.on_ended: Callable[[str], None] = _ignore_reason

    def __len__(self) -> int:
        """Return how many answers wait."""
        return len(self._waiting)

    def make_room_in(self, memory: ProcessMemory) -> None:
        """End answers when there is no room for others."""
        memory.unread.make_room = partial(self._make_room, memory.unread, 0.0)
        memory.answers.make_room = partial(
            self._make_room, memory.answers, MIN_UNREAD_SECONDS
        )

    async def wait(
        self,
        channel: Channel,
        size_bytes: int,
        answer_memory: Reservation | None = None,
    ) -> None:
        """Wait until a caller reads; raise ConnectionLostError.

        Other bytes of this answer than those of its channel are as given.
        """
        needed_bytes = channel.unsent_bytes + size_bytes + TARGET_BYTES
        try:
            with self._budget.reserve(needed_bytes) as own_memory:
                answer = _UnreadAnswer(own_memory, answer_memory, _now())
                self._waiting[channel] = answer
                await self._drain(channel, answer)
        except TimeoutError as error:
            self._end(channel, STALLED)
            raise ConnectionLostError('the caller reads nothing') from error
        except MemoryScarceError as error:
            self._end(channel, NO_MEMORY)
            raise ConnectionLostError(str(error)) from error
        finally:
            self._waiting.pop(channel, None)

    async def _drain(self, channel: Channel, answer: _UnreadAnswer) -> None:
        """Wait; raise TimeoutError if the caller reads nothing for long."""
        idle_seconds = self.idle_seconds()
        unsent_bytes = channel.unsent_bytes
        while channel.is_write_paused:
            with suppress(TimeoutError):
                async with asyncio.timeout(min(idle_seconds, CHECK_SECONDS)):
                    await channel.drain()
            if channel.unsent_bytes < unsent_bytes:
                unsent_bytes = channel.unsent_bytes
                answer.read_at = _now()
                if channel in self._waiting:
                    self._waiting.move_to_end(channel)
            elif _now() - answer.read_at >= idle_seconds:
                raise TimeoutError

    def _make_room(
        self,
        budget: MemoryBudget,
        min_seconds: float,
        before_bytes: int,
        size_bytes: int,
    ) -> None:
        latest = _now() - min_seconds
        for channel, answer in list(self._waiting.items()):
            if budget.has_room(size_bytes, before_bytes):
                return
            if answer.read_at <= latest:
                self._end(channel, NO_MEMORY)

    def _end(self, channel: Channel, reason: str) -> None:
        answer = self._waiting.pop(channel, None)
        logs.warning(
            'unread_answer_ended',
            reason=reason,
            unsent_bytes=channel.unsent_bytes,
            unread_answers=len(self._waiting),
            held_bytes=self._budget.held_bytes,
        )
        if answer is not None:
            answer.close()
        self.on_ended(reason)
        channel.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _default_idle_seconds() -> float:
    return DEFAULT_IDLE_SECONDS


def _ignore_reason(_reason: str) -> None:
    """Do nothing when an answer is ended."""
