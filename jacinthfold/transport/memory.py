"""Bound the bytes that callers and targets make this process hold."""

from collections.abc import Callable
from enum import Enum

from jacinthfold.transport.errors import MemoryScarceError

# What a host may hold beside its program, tables and connections, as a share
# of the limit of its process.
BUDGET_SHARE = 0.4
DEFAULT_LIMIT_MB = 160
MEBIBYTE = 1048576
# Holders of at most so many bytes find room when larger ones have filled their
# share.
SMALL_BYTES = 65536
LARGE_SHARE = 0.8


class Holder(Enum):
    """Name what holds bytes, with its share of the budget."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'
    UNREAD = 'unread_answers'
    CALLS = 'calls'


SHARES = {Holder.REQUESTS: 0.4, Holder.ANSWERS: 0.4, Holder.UNREAD: 0.2}
# Answers of the store and of other hosts, whatever the limit of the process: a
# host without them can't serve.
CALL_BYTES = 33554432


class MemoryBudget:
    """Share a number of bytes between reservations of one kind."""

    __slots__ = (
        'held_bytes',
        'holder',
        'large_bytes',
        'limit_bytes',
        'make_room',
        'refused',
    )

    def __init__(self, holder: Holder, limit_bytes: int) -> None:
        """Start with nothing reserved."""
        self.holder = holder
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # The part of reservations that are not small.
        self.large_bytes = 0
        # Reservations that found no room.
        self.refused = 0
        # Called before a refusal with the reservation's size before and after.
        self.make_room: Callable[[int, int], None] = _make_no_room

    @property
    def is_scarce(self) -> bool:
        """Check whether less than half is free."""
        return self.held_bytes > self.limit_bytes / 2

    def reserve(self, size_bytes: int = 0) -> 'Reservation':
        """Return a reservation; raise MemoryScarceError."""
        reservation = Reservation(self)
        reservation.grow(size_bytes)
        return reservation

    def has_room(self, size_bytes: int, before_bytes: int = 0) -> bool:
        """Check whether a reservation can have a size."""
        held = self.held_bytes + size_bytes - before_bytes
        large = self.large_bytes + _large(size_bytes) - _large(before_bytes)
        if _large(size_bytes) and large > self.limit_bytes * LARGE_SHARE:
            return False
        return held <= self.limit_bytes

    def change(self, before_bytes: int, size_bytes: int) -> None:
        """Change the size of a reservation; raise MemoryScarceError."""
        is_more = size_bytes > before_bytes
        if is_more and not self.has_room(size_bytes, before_bytes):
            self.make_room(before_bytes, size_bytes)
        if is_more and not self.has_room(size_bytes, before_bytes):
            self.refused += 1
            raise MemoryScarceError(
                f'{self.holder.value}: {size_bytes} bytes beside'
                f' {self.held_bytes} of {self.limit_bytes}'
            )
        self.held_bytes += size_bytes - before_bytes
        self.large_bytes += _large(size_bytes) - _large(before_bytes)


class Reservation:
    """Hold bytes of a budget until it is closed."""

    __slots__ = ('_budget', 'size_bytes')

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without bytes."""
        self._budget = budget
        self.size_bytes = 0

    def __enter__(self) -> 'Reservation':
        """Return the reservation, which ends with the block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Give all bytes back."""
        self.close()

    def grow(self, size_bytes: int) -> None:
        """Reserve more bytes; raise MemoryScarceError."""
        self.resize(self.size_bytes + size_bytes)

    def resize(self, size_bytes: int) -> None:
        """Reserve so many bytes in all; raise MemoryScarceError."""
        self._budget.change(self.size_bytes, size_bytes)
        self.size_bytes = size_bytes

    def close(self) -> None:
        """Give all bytes back."""
        self.resize(0)


class ProcessMemory:
    """Hold the budgets of a process."""

    __slots__ = ('answers', 'calls', 'requests', 'unread')

    def __init__(self, limit_mb: int = DEFAULT_LIMIT_MB) -> None:
        """Share the memory of a process of so many MB between the holders."""
        self.requests = MemoryBudget(Holder.REQUESTS, 0)
        self.answers = MemoryBudget(Holder.ANSWERS, 0)
        self.unread = MemoryBudget(Holder.UNREAD, 0)
        self.calls = MemoryBudget(Holder.CALLS, CALL_BYTES)
        self.set_limit(limit_mb)

    @property
    def budgets(self) -> tuple[MemoryBudget, ...]:
        """Return all budgets."""
        return self.requests, self.answers, self.unread, self.calls

    def set_limit(self, limit_mb: int) -> None:
        """Share out the memory of a process of so many MB."""
        total_bytes = limit_mb * MEBIBYTE * BUDGET_SHARE
        for budget in (self.requests, self.answers, self.unread):
            budget.limit_bytes = int(total_bytes * SHARES[budget.holder])


def _make_no_room(_before_bytes: int, _size_bytes: int) -> None:
    """Leave all reservations as they are."""


def _large(size_bytes: int) -> int:
    return size_bytes if size_bytes > SMALL_BYTES else 0


process_memory = ProcessMemory()
