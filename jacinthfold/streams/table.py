"""Hold where recent streams began, bounded by age and number."""

from collections import OrderedDict
from collections.abc import Callable, Iterator

from jacinthfold.clock import Clock

# Streams that begin in 60 s at the design size, at this host and those that it
# holds for others, and as many again.
MAX_ENTRIES = 30_000


class _Entry:
    """Hold one stream; no version if two were told."""

    __slots__ = ('recorded_at', 'service', 'version')

    def __init__(
        self, service: str, version: str | None, recorded_at: float
    ) -> None:
        self.service = service
        self.version = version
        self.recorded_at = recorded_at


class OriginTable:
    """Map attempts to the service and version that began their streams."""

    __slots__ = ('_clock', '_entries', '_retention_seconds', 'dropped_count')

    def __init__(
        self, clock: Clock, retention_seconds: Callable[[], float]
    ) -> None:
        """Forget streams after a time."""
        self._clock = clock
        self._entries: OrderedDict[int, _Entry] = OrderedDict()
        self._retention_seconds = retention_seconds
        # Streams that were forgotten before their time.
        self.dropped_count = 0

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._entries)

    def record(self, attempt: int, service: str, version: str) -> bool:
        """Record where a stream began; tell whether that is new.

        A stream of which two versions are told may go on at neither.
        """
        now = self._clock.monotonic()
        known = self._entries.get(attempt)
        if known is None:
            self._entries[attempt] = _Entry(service, version, now)
            self._drop_old(now)
            return True
        if (known.service, known.version) != (service, version):
            known.version = None
        known.recorded_at = now
        self._entries.move_to_end(attempt)
        return False

    def version(self, attempt: int, service: str) -> str | None:
        """Return the version of a service that began a stream, if known."""
        entry = self._entries.get(attempt)
        if entry is None or entry.service != service:
            return None
        age_seconds = self._clock.monotonic() - entry.recorded_at
        return (
            entry.version if age_seconds < self._retention_seconds() else None
        )

    def newest(self, service: str, most: int) -> Iterator[tuple[int, str]]:
        """Return the newest streams of a service with their versions."""
        count = 0
        for attempt, entry in reversed(self._entries.items()):
            if count >= most:
                return
            if entry.service == service and entry.version is not None:
                count += 1
                yield attempt, entry.version

    def _drop_old(self, now: float) -> None:
        oldest = next(iter(self._entries.values()))
        limit = now - self._retention_seconds()
        while oldest.recorded_at < limit:
            self._entries.popitem(last=False)
            oldest = next(iter(self._entries.values()))
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
            self.dropped_count += 1
