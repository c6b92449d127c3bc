"""Interfaces between an entry host and the platform that it runs on."""

from collections.abc import Iterable
from typing import Protocol

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import RecordReader
from jacinthfold.transport.dialect import Dialect


class HostApi(Protocol):
    """Parse and encode calls to the readiness and directory endpoints."""

    def is_readiness_request(self, target: str) -> bool:
        """Return whether a request target is the readiness endpoint."""

    def parse_directory_request(
        self, target: str
    ) -> tuple[str, str, str] | None:
        """Return the host name, region and data centre of a directory query.

        Return None if the target is not the directory endpoint.
        """

    def encode_directory_response(
        self, hosts: Iterable[HostRecord], seconds: int
    ) -> bytes:
        """Return the response body with the entry hosts to connect to."""


class Adapter:
    """Group the platform-specific implementations of an entry host."""

    __slots__ = ('api', 'dialect', 'reader', 'store')

    def __init__(
        self,
        store: MetadataStore,
        reader: RecordReader,
        dialect: Dialect,
        api: HostApi,
    ) -> None:
        """Set the store, record reader, header dialect and endpoint API."""
        self.store = store
        self.reader = reader
        self.dialect = dialect
        self.api = api
