"""Hold this host's copy of the metadata store's records."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any, Protocol

from jacinthfold import logs
from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.model import HostRecord, RouteTable, TargetRecord
from jacinthfold.catalogue.origin import STORE_SOURCE, ChangeOrigin
from jacinthfold.clock import Clock

# Removals remembered to answer hosts that request changes.
MAX_REMEMBERED_REMOVALS = 500
# Keys of other writers may be long; log lines show no more than this.
MAX_LOGGED_KEY_CHARACTERS = 80


class Record:
    """Hold one record of the store; no content means it was removed."""

    __slots__ = ('content', 'key', 'revision')

    def __init__(self, key: str, revision: int, content: bytes | None) -> None:
        """Initialize a record with the revision of its last change."""
        self.key = key
        self.revision = revision
        self.content = content


class UnreadableRecordError(ValueError):
    """Report a record whose content does not fit its key."""


class RecordKind(Enum):
    """Name what a record describes."""

    ROUTES = 'routes'
    TARGET = 'target'
    EVACUATION = 'evacuation'
    HOST = 'host'
    QUARANTINE = 'quarantine'
    ISSUER = 'issuer'
    OTHER = 'other'


class RecordReader(Protocol):
    """Decode records; methods raise UnreadableRecordError."""

    def kind_of(self, key: str) -> tuple[RecordKind, str]:
        """Return the kind of a key and the name within that kind."""

    def read_routes(self, content: bytes) -> RouteTable:
        """Return the operator's configuration."""

    def read_target(self, name: str, content: bytes) -> TargetRecord:
        """Return the record of a target."""


class CatalogueListener(Protocol):
    """Receive changes in the order of the store's revisions."""

    def on_routes(self, table: RouteTable) -> None:
        """Handle a newer configuration."""

    def on_target(self, record: TargetRecord) -> None:
        """Handle a target that was added or changed."""

    def on_target_removed(self, instance: str) -> None:
        """Handle the removal of a target's record."""

    def on_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        """Handle the start or end of a data centre's evacuation."""

    def on_host(self, record: HostRecord | None, name: str) -> None:
        """Handle an entry host's record, None if it was removed."""

    def on_quarantine(self, name: str, content: bytes | None) -> None:
        """Handle a record of requests during which targets crashed."""

    def on_issuer(self, name: str, record: Record) -> None:
        """Handle the record of the host that issues shares of caps.

        Without content there is no such host.
        """


class Catalogue:
    """Hold records by key and notify listeners of changes."""

    def __init__(
        self,
        reader: RecordReader,
        read_host: Callable[[bytes], HostRecord],
        clock: Clock,
    ) -> None:
        """Start without records."""
        self._reader = reader
        self._read_host = read_host
        self._clock = clock
        self._records: dict[str, Record] = {}
        self._listeners: list[CatalogueListener] = []
        self._removals: deque[Record] = deque()
        # All removals after this revision are in the queue.
        self._removals_since = 0
        self.revision = 0
        self.changed_at = clock.monotonic()
        self.freshness = Freshness(clock)
        # Where the change came from that listeners are notified of.
        self.origin = ChangeOrigin()
        self.routes: RouteTable | None = None
        self.evacuated: frozenset[str] = frozenset()

    def subscribe(self, listener: CatalogueListener) -> None:
        """Notify a listener of each change from now on."""
        self._listeners.append(listener)

    def records(self) -> list[Record]:
        """Return all records."""
        return list(self._records.values())

    def changes_since(self, revision: int) -> list[Record] | None:
        """Return changes after a revision, None if some are forgotten."""
        if revision < self._removals_since:
            return None
        known = [*self._records.values(), *self._removals]
        return [record for record in known if record.revision > revision]

    def apply(
        self,
        records: Iterable[Record],
        revision: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Apply changes up to a revision of the store."""
        # All records at this host's revision are known, so an older one that is
        # missing was removed. A watch that hangs returns such a record after a
        # snapshot with its removal, which the store doesn't send again.
        newer = [record for record in records if self._is_newer(record)]
        self._apply_all(newer, revision, source)

    def replace(
        self,
        records: Iterable[Record],
        revision: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Replace all records by a list read at a revision or later."""
        # A list older than the current records would restore removed ones,
        # and requests would be sent to targets that are gone.
        if revision < self.revision:
            logs.warning(
                'records_outdated',
                revision=revision,
                known=self.revision,
                learned_from=source,
            )
            return
        # Removals before the list was read are not in it.
        self._removals_since = max(self._removals_since, revision)
        listed = list(records)
        listed_keys = {record.key for record in listed}
        for key, known in list(self._records.items()):
            if key not in listed_keys and known.revision <= revision:
                listed.append(Record(key, revision, None))
        self._apply_all(listed, revision, source)

    def _is_newer(self, record: Record) -> bool:
        return record.revision > self.revision or record.key in self._records

    def _apply_all(
        self, records: Iterable[Record], revision: int, source: str
    ) -> None:
        for record in sorted(records, key=_by_revision):
            self.origin = ChangeOrigin(
                record.revision,
                source,
                self.freshness.age_before(record.revision),
            )
            self._apply_one(record)
        self._advance(revision)

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
            # Remembered even if the record was never known here: a host that
            # knows it may fetch its removal from this one.
            self._remember_removal(record)
            if known is None:
                return
            self._records.pop(record.key)
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
        """Notify listeners that a record became unreadable."""
        # Otherwise a target whose record another writer corrupted would keep
        # getting requests on outdated data. It is added again when it next
        # writes its own record.
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
        # An older version would undo changes that callers already saw.
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
