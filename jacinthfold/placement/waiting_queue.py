"""Order the requests of a service that wait at a host for capacity.

Load pattern: a step of 2.5 times for 6 s on engines with 64 or 24 slots, and a
plain service at 110%. Requests are rejected that a target could serve a moment
later, and their callers retry each of them four to five times.

The queue holds one class for each priority, size and set of allowed regions.
Requests of a class are alike: if the first one can't be placed, neither can the
others, so that a turn tries only the heads of classes.
"""

import math
from bisect import bisect_left, insort
from enum import Enum

# Bodies and headers of all waiting requests of a host.
LIMIT_BYTES = 8388608


class Size(Enum):
    """Name the size of a request."""

    CALL = 'call'
    SMALL = 'small'
    LARGE = 'large'


class RequestClass:
    """Name the requests that are alike for their placement."""

    __slots__ = ('homes', 'priority', 'size', 'software_version')

    def __init__(
        self,
        priority: int,
        size: Size,
        homes: frozenset[str],
        software_version: str = '',
    ) -> None:
        """Set the priority, the size and the allowed regions, empty for all.

        Streams that go on at one software version only are a class of theirs.
        """
        self.priority = priority
        self.size = size
        self.homes = homes
        self.software_version = software_version

    def __eq__(self, other: object) -> bool:
        """Compare all parts."""
        return isinstance(other, RequestClass) and self._key == other._key

    def __hash__(self) -> int:
        """Return the hash of all parts."""
        return hash(self._key)

    def blocks(self, other: 'RequestClass') -> bool:
        """Tell whether requests that can't be placed keep others back.

        They keep back their own class and lower priorities, which would take
        the capacity that they wait for.
        """
        if self.homes != other.homes:
            return False
        # Others may be placed at targets of another version.
        if self.software_version not in {'', other.software_version}:
            return False
        if self.priority == other.priority:
            return self.size is other.size
        return self.priority < other.priority

    @property
    def _key(self) -> tuple[int, Size, frozenset[str], str]:
        return (self.priority, self.size, self.homes, self.software_version)


class WaitingRequest:
    """Hold what the queue knows of a waiting request."""

    __slots__ = (
        'entered_at',
        'latest_start_at',
        'leaves_at',
        'number',
        'overdue_at',
        'request_class',
        'size_bytes',
    )

    def __init__(
        self,
        number: int,
        request_class: RequestClass,
        latest_start_at: float,
        size_bytes: int = 0,
        overdue_at: float = math.inf,
    ) -> None:
        """Set a unique number, the class, and the latest useful start."""
        self.number = number
        self.request_class = request_class
        self.latest_start_at = latest_start_at
        self.size_bytes = size_bytes
        # From when a large prompt goes first within its priority.
        self.overdue_at = overdue_at
        self.entered_at = 0.0
        self.leaves_at = latest_start_at

    @property
    def order(self) -> tuple[float, int]:
        """Return the position within its class."""
        return (self.latest_start_at, self.number)

    def turn_key(self, now: float) -> tuple[int, bool, float, int]:
        """Return the position among the heads of classes."""
        is_overdue = self.overdue_at <= now
        return (self.request_class.priority, not is_overdue, *self.order)


class WaitingBounds:
    """Bound the requests and bytes that wait at a host for all services."""

    __slots__ = ('limit_bytes', 'limit_requests', 'held_bytes', 'requests')

    def __init__(
        self, limit_requests: int, limit_bytes: int | None = None
    ) -> None:
        """Start without waiting requests."""
        self.limit_requests = limit_requests
        self.limit_bytes = LIMIT_BYTES if limit_bytes is None else limit_bytes
        self.requests = 0
        self.held_bytes = 0

    def has_capacity(self, size_bytes: int) -> bool:
        """Tell whether a request of this size may wait."""
        if self.requests >= self.limit_requests:
            return False
        return self.held_bytes + size_bytes <= self.limit_bytes

    def add(self, size_bytes: int) -> None:
        """Count a request that begins to wait."""
        self.requests += 1
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Count a request that has left."""
        self.requests -= 1
        self.held_bytes -= size_bytes


class WaitingQueue:
    """Order the waiting requests of one service and hand them out in turns."""

    __slots__ = ('_blocked', '_bounds', '_classes', '_leaving', '_tried')

    def __init__(self, bounds: WaitingBounds) -> None:
        """Start empty, within the bounds of the host."""
        self._bounds = bounds
        self._classes: dict[RequestClass, list[_Entry]] = {}
        # All requests by the time at which they leave.
        self._leaving: list[_Entry] = []
        # Requests that are tried now, by class, and the classes whose head
        # could not be placed in this turn.
        self._tried: dict[RequestClass, WaitingRequest] = {}
        self._blocked: set[RequestClass] = set()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._leaving)

    @property
    def is_trying(self) -> bool:
        """Tell whether a request that was handed out has not come back."""
        return bool(self._tried)

    def count_ahead(self, request: WaitingRequest) -> int:
        """Return how many requests of its class come before a request."""
        entries = self._classes.get(request.request_class, [])
        return bisect_left(entries, _entry(request))

    def count_of(self, request_class: RequestClass) -> int:
        """Return how many requests of a class wait."""
        return len(self._classes.get(request_class, ()))

    def add(self, request: WaitingRequest, now: float) -> bool:
        """Add a request; return False when a bound of the host is reached."""
        if not self._bounds.has_capacity(request.size_bytes):
            return False
        self._bounds.add(request.size_bytes)
        request.entered_at = now
        entries = self._classes.setdefault(request.request_class, [])
        insort(entries, _entry(request))
        insort(self._leaving, _leaving_entry(request))
        return True

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that has left, wherever it is."""
        request_class = request.request_class
        if self._tried.get(request_class) is request:
            self._tried.pop(request_class)
        if not _discard(self._leaving, _leaving_entry(request)):
            return
        entries = self._classes[request_class]
        _discard(entries, _entry(request))
        self._bounds.release(request.size_bytes)
        if not entries:
            self._classes.pop(request_class)

    def begin_turn(self) -> None:
        """Allow the head of each class to be tried again."""
        self._blocked.clear()

    def next_head(self, now: float) -> WaitingRequest | None:
        """Hand out the next request to try in this turn."""
        heads = [
            entries[0][-1]
            for request_class, entries in self._classes.items()
            if request_class not in self._tried
            and not any(one.blocks(request_class) for one in self._blocked)
        ]
        head = min(heads, key=lambda one: one.turn_key(now), default=None)
        if head is not None:
            self._tried[head.request_class] = head
        return head

    def block(self, request: WaitingRequest) -> None:
        """Take back a request that could not be placed in this turn."""
        if self._tried.get(request.request_class) is request:
            self._tried.pop(request.request_class)
            self._blocked.add(request.request_class)

    def useless(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose time to wait is over.

        Requests that are tried at this moment stay until their trial ends.
        """
        over = []
        for leaves_at, _, request in self._leaving:
            if leaves_at > now:
                break
            if self._tried.get(request.request_class) is not request:
                over.append(request)
        for gone in over:
            self.remove(gone)
        return over

    def limit_wait(self, until: float) -> None:
        """Let no waiting request stay longer than until this time."""
        requests = [entry[-1] for entry in self._leaving]
        for request in requests:
            request.leaves_at = min(request.leaves_at, until)
        self._leaving = sorted(_leaving_entry(one) for one in requests)


_Entry = tuple[float, int, WaitingRequest]


def _entry(request: WaitingRequest) -> _Entry:
    return (*request.order, request)


def _leaving_entry(request: WaitingRequest) -> _Entry:
    return (request.leaves_at, request.number, request)


def _discard(entries: list[_Entry], entry: _Entry) -> bool:
    """Remove an entry from a sorted list; tell whether it was there."""
    position = bisect_left(entries, entry)
    is_there = position < len(entries) and entries[position] == entry
    if is_there:
        entries.pop(position)
    return is_there
