"""Describe records of the metadata store and how they are decoded."""

from enum import Enum
from typing import Protocol

from jacinthfold.catalogue.model import RouteTable, TargetRecord


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
    VERSIONS = 'versions'
    ORIGINS = 'origins'
    OTHER = 'other'


class RecordReader(Protocol):
    """Decode records; methods raise UnreadableRecordError."""

    def kind_of(self, key: str) -> tuple[RecordKind, str]:
        """Return the kind of a key and the name within that kind."""

    def read_routes(self, content: bytes) -> RouteTable:
        """Return the operator's configuration."""

    def read_target(self, name: str, content: bytes) -> TargetRecord:
        """Return the record of a target."""
