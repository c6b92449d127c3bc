"""Keep the store's records as this host knows them."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any, Protocol

from jacinthfold import logs
from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.model import HostRecord, RouteTable, TargetRecord
from jacinthfold.clock import Clock

# Removals that are remembered for hosts that ask what changed.
MAX_REMEMBERED_REMOVALS = 500
# Characters of a key that a log line shows; another writer's may be long.
MAX_LOGGED_KEY_CHARACTERS = 80


class Record:
    """Hold one item of the store; no content means it was removed."""

    __slots__ = ('content', 'key', 'revision')

    def __init__(self, key: str, revision: int, content: bytes | None) -> None:
        """Take the key, the revision of the last change and the bytes."""
        self.key = key
        self.revision = revision
        self.content = content


class UnreadableRecordError(ValueError):
    """Say that a record is not what its key promises."""


class RecordKind(Enum):
    """Say what a record is about."""

    ROUTES = 'routes'
    TARGET = 'target'
    EVACUATION = 'evacuation'
    HOST = 'host'
    QUARANTINE = 'quarantine'
    ISSUER = 'issuer'
    OTHER = 'other'


class RecordReader(Protocol):
    """Turn records into types; raise UnreadableRecordError."""

    def kind_of(self, key: str) -> tuple[RecordKind, str]:
        """Return what a key is about and the name within that kind."""

    def read_routes(self, content: bytes) -> RouteTable:
        """Return the operator's configuration."""

    def read_target(self, name: str, content: bytes) -> TargetRecord:
        """Return what a target tells of itself."""


class CatalogueListener(Protocol):
    """Hear of changes, in the order of the store's revisions."""

    def on_routes(self, table: RouteTable) -> None:
        """Take a newer configuration."""

    def on_target(self, record: TargetRecord) -> None:
        """Take a target that came or changed."""

    def on_target_removed(self, instance: str) -> None:
        """Take that a target's record is gone."""

    def on_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        """Take that a data centre is evacuated or taken back."""

    def on_host(self, record: HostRecord | None, name: str) -> None:
        """Take an entry host's record, or that it is gone."""

    def on_quarantine(self, name: str, content: bytes | None) -> None:
        """Take a record on requests under which targets ended."""

    def on_issuer(self, name: str, record: Record) -> None:
        """Take which host issues shares of caps, or that none does."""


class Catalogue:
    """Hold records by key and tell a listener what changes."""

    def __init__(
        self,
        reader: RecordReader,
        read_host: Callable[[bytes], HostRecord],
        clock: Clock,
    ) -> None:
        """Take the reader of records; nothing is known yet."""
        self._reader = reader
        self._read_host = read_host
        self._clock = clock
        self._records: dict[str, Record] = {}
        self._listeners: list[CatalogueListener] = []
        self._removals: deque[Record] = deque()
        # Every removal after this revision is remembered.
        self._removals_since = 0
        self.revision = 0
        self.changed_at = clock.monotonic()
        self.freshness = Freshness(clock)
        self.routes: RouteTable | None = None
        self.evacuated: frozenset[str] = frozenset()

    def subscribe(self, listener: CatalogueListener) -> None:
        """Tell a listener of each change from now on."""
        self._listeners.append(listener)

    def records(self) -> list[Record]:
        """Return every record that is known."""
        return list(self._records.values())

    def changes_since(self, revision: int) -> list[Record] | None:
        """Return what changed after a revision, None if not all is known."""
        if revision < self._removals_since:
            return None
        known = [*self._records.values(), *self._removals]
        return [record for record in known if record.revision > revision]

    def apply(self, records: Iterable[Record], revision: int) -> None:
        """Take changes up to a revision of the store."""
        for record in sorted(records, key=_by_revision):
            self._apply_one(record)
        self._advance(revision)

    def replace(self, records: Iterable[Record], revision: int) -> None:
        """Take a whole list, read no earlier than the revision says."""
        # A list older than what is known would bring back removed records:
        # requests would go to targets that left.
        if revision < self.revision:
            return
        # What was removed before the list was made is not in it.
        self._removals_since = max(self._removals_since, revision)
        listed = list(records)
        listed_keys = {record.key for record in listed}
        for key, known in list(self._records.items()):
            if key not in listed_keys and known.revision <= revision:
                self._apply_one(Record(key, revision, None))
        self.apply(listed, revision)

    def _remember_removal(self, record: Record) -> None:
        self._removals.append(record)
        if len(self._removals) > MAX_REMEMBERED_REMOVALS:
            self._removals_since = self._removals.popleft().revision

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            self.changed_at = self._clock.monotonic()
            self.freshness.advance(revision)

    def _apply_one(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is not None and known.revision >= record.revision:
            return
        if record.content is None:
            if known is None:
                return
            self._records.pop(record.key)
            self._remember_removal(record)
        else:
            self._records[record.key] = record
        try:
            self._notify(record)
        except UnreadableRecordError as error:
            logs.error(
                'record_unreadable',
                key=record.key[:MAX_LOGGED_KEY_CHARACTERS],
                revision=record.revision,
                reason=str(error),
            )
            if known is not None:
                self._withdraw(record)

    def _withdraw(self, record: Record) -> None:
        """Take that a record no longer says what it said before."""
        # Left as it was, a target whose entry another writer spoiled would
        # keep getting requests that nobody vouches for any more. It comes
        # back with its own next entry.
        kind, name = self._reader.kind_of(record.key)
        for listener in self._listeners:
            if kind is RecordKind.TARGET:
                listener.on_target_removed(name)
            elif kind is RecordKind.HOST:
                listener.on_host(None, name)

    def _notify(self, record: Record) -> None:
        kind, name = self._reader.kind_of(record.key)
        notifiers: Mapping[RecordKind, Any] = {
            RecordKind.ROUTES: self._notify_routes,
            RecordKind.TARGET: self._notify_target,
            RecordKind.EVACUATION: self._notify_evacuation,
            RecordKind.HOST: self._notify_host,
            RecordKind.QUARANTINE: self._notify_quarantine,
            RecordKind.ISSUER: self._notify_issuer,
        }
        if kind in notifiers:
            notifiers[kind](name, record)

    def _notify_routes(self, _name: str, record: Record) -> None:
        if record.content is None:
            return
        table = self._reader.read_routes(record.content)
        # A version that falls back would undo what callers already saw.
        if self.routes is not None and table.version <= self.routes.version:
            return
        self.routes = table
        logs.event(
            'routes_in_force',
            version=table.version,
            revision=record.revision,
            routes=len(table.routes),
        )
        for listener in self._listeners:
            listener.on_routes(table)

    def _notify_target(self, name: str, record: Record) -> None:
        if record.content is None:
            for listener in self._listeners:
                listener.on_target_removed(name)
            return
        target = self._reader.read_target(name, record.content)
        for listener in self._listeners:
            listener.on_target(target)

    def _notify_evacuation(self, name: str, record: Record) -> None:
        is_evacuated = record.content is not None
        if is_evacuated:
            self.evacuated |= {name}
        else:
            self.evacuated -= {name}
        logs.event(
            'evacuation',
            data_centre=name,
            is_evacuated=is_evacuated,
            revision=record.revision,
        )
        for listener in self._listeners:
            listener.on_evacuation(name, is_evacuated)

    def _notify_host(self, name: str, record: Record) -> None:
        host = None
        if record.content is not None:
            host = self._read_host(record.content)
        for listener in self._listeners:
            listener.on_host(host, name)

    def _notify_quarantine(self, name: str, record: Record) -> None:
        for listener in self._listeners:
            listener.on_quarantine(name, record.content)

    def _notify_issuer(self, name: str, record: Record) -> None:
        for listener in self._listeners:
            listener.on_issuer(name, record)


def _by_revision(record: Record) -> int:
    return record.revision
