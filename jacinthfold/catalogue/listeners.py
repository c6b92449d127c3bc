"""Notify listeners of changes of the metadata store's records."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from jacinthfold import logs
from jacinthfold.catalogue import version_record
from jacinthfold.catalogue.model import HostRecord, RouteTable, TargetRecord
from jacinthfold.catalogue.origin import ChangeOrigin
from jacinthfold.catalogue.record import Record, RecordKind, RecordReader
from jacinthfold.catalogue.revision import log_fields


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

    def on_versions(self, service: str, versions: tuple[str, ...]) -> None:
        """Handle the versions in a service's record, none if it is gone."""

    def on_origins(self, name: str, content: bytes | None) -> None:
        """Handle a record of where streams began, None if it is gone."""

    def on_restored(self) -> None:
        """Write again what the store has lost, which came back from a copy."""


class Notifier:
    """Decode changed records and pass them to listeners."""

    def __init__(
        self,
        reader: RecordReader,
        read_host: Callable[[bytes], HostRecord],
    ) -> None:
        """Start without listeners, routes and evacuations."""
        self._reader = reader
        self._read_host = read_host
        self.listeners: list[CatalogueListener] = []
        # Where the change came from that listeners are notified of.
        self.origin = ChangeOrigin()
        self.routes: RouteTable | None = None
        self.evacuated: frozenset[str] = frozenset()
        # By name of the record of their software versions.
        self._services: dict[str, str] = {}

    def notify_restored(self) -> None:
        """Notify listeners that the store came back from a copy."""
        for listener in self.listeners:
            listener.on_restored()

    def withdraw(self, record: Record) -> None:
        """Notify listeners that a record became unreadable."""
        # Otherwise a target whose record another writer corrupted would keep
        # getting requests on outdated data. It is added again when it next
        # writes its own record.
        kind, name = self._reader.kind_of(record.key)
        for listener in self.listeners:
            if kind is RecordKind.TARGET:
                listener.on_target_removed(name)
            elif kind is RecordKind.HOST:
                listener.on_host(None, name)

    def notify(self, record: Record) -> None:
        """Notify listeners of a record; raise UnreadableRecordError."""
        kind, name = self._reader.kind_of(record.key)
        notifiers: Mapping[RecordKind, Any] = {
            RecordKind.ROUTES: self._notify_routes,
            RecordKind.TARGET: self._notify_target,
            RecordKind.EVACUATION: self._notify_evacuation,
            RecordKind.HOST: self._notify_host,
            RecordKind.QUARANTINE: self._notify_quarantine,
            RecordKind.ISSUER: self._notify_issuer,
            RecordKind.VERSIONS: self._notify_versions,
            RecordKind.ORIGINS: self._notify_origins,
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
            **log_fields(record.revision),
            routes=len(table.routes),
            learned_from=self.origin.source,
            age_seconds=self.origin.age_seconds,
        )
        for listener in self.listeners:
            listener.on_routes(table)

    def _notify_target(self, name: str, record: Record) -> None:
        if record.content is None:
            for listener in self.listeners:
                listener.on_target_removed(name)
            return
        target = self._reader.read_target(name, record.content)
        for listener in self.listeners:
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
            **log_fields(record.revision),
        )
        for listener in self.listeners:
            listener.on_evacuation(name, is_evacuated)

    def _notify_host(self, name: str, record: Record) -> None:
        host = None
        if record.content is not None:
            host = self._read_host(record.content)
        for listener in self.listeners:
            listener.on_host(host, name)

    def _notify_quarantine(self, name: str, record: Record) -> None:
        for listener in self.listeners:
            listener.on_quarantine(name, record.content)

    def _notify_issuer(self, name: str, record: Record) -> None:
        for listener in self.listeners:
            listener.on_issuer(name, record)

    def _notify_origins(self, name: str, record: Record) -> None:
        for listener in self.listeners:
            listener.on_origins(name, record.content)

    def _notify_versions(self, name: str, record: Record) -> None:
        versions: tuple[str, ...] = ()
        service = self._services.get(name, '')
        if record.content is not None:
            document = version_record.decode(record.content)
            service, versions = document.service, document.versions
            self._services[name] = service
        for listener in self.listeners:
            listener.on_versions(service, versions)
