"""Say what an entry host needs translated by its surroundings."""

from collections.abc import Iterable
from typing import Protocol

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.records import RecordReader
from jacinthfold.transport.dialect import Dialect


class HostApi(Protocol):
    """Read and write the calls that callers make beside requests."""

    def is_readiness_request(self, target: str) -> bool:
        """Tell whether a call asks if this host is ready."""

    def parse_directory_request(
        self, target: str
    ) -> tuple[str, str, str] | None:
        """Return host name, region and data centre asked for, or None."""

    def encode_directory_response(
        self, hosts: Iterable[HostRecord], seconds: int
    ) -> bytes:
        """Return the body that names entry hosts to a caller."""


class Adapter:
    """Hold what translates between this product and its surroundings."""

    __slots__ = ('api', 'dialect', 'reader', 'store')

    def __init__(
        self,
        store: MetadataStore,
        reader: RecordReader,
        dialect: Dialect,
        api: HostApi,
    ) -> None:
        """Take the translators."""
        self.store = store
        self.reader = reader
        self.dialect = dialect
        self.api = api
