"""Define the interface of a metadata store."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from jacinthfold.catalogue.record import Record


class MetadataError(Exception):
    """Report a failed call to the metadata store."""


class MetadataHistoryLostError(MetadataError):
    """Report that the store dropped the changes since a revision."""


class OutdatedAnswerError(MetadataError):
    """Report an answer of an earlier era of the store."""


class MetadataConflictError(MetadataError):
    """Report that a record exists or has another revision."""


class LeaseLostError(MetadataError):
    """Report that a lease has expired, or that the store is in another era."""


class Lease:
    """Identify a lease; the store may give out its number again in an era."""

    __slots__ = ('era', 'number')

    def __init__(self, number: int, era: int) -> None:
        """Set the number and the era in which it was granted."""
        self.number = number
        self.era = era


class MetadataStore(Protocol):
    """List, watch and write records.

    Revisions are those of the module `revision`. An answer of an earlier era
    than one before raises OutdatedAnswerError.
    """

    @property
    def era(self) -> int:
        """Return the latest era that an answer named, 0 if none did."""

    async def wait_era_above(self, era: int) -> None:
        """Return once an answer has named an era above the given one."""

    async def list_all(self) -> tuple[list[Record], int]:
        """Return all relevant records and a revision not newer than them."""

    async def changes_since(
        self, revision: int, wait_seconds: float
    ) -> tuple[list[Record], int]:
        """Return changes after a revision; wait up to a time for one.

        Raise MetadataHistoryLostError if the store is in another era.
        """

    async def current_revision(self) -> int:
        """Return the store's revision, always read from the store."""

    async def grant_lease(self, seconds: float) -> Lease:
        """Return a new lease that expires unless it is renewed."""

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise LeaseLostError if it has expired."""

    async def end_lease(self, lease: Lease) -> None:
        """Revoke a lease, which removes the records written under it."""

    async def write_host(self, name: str, content: bytes, lease: Lease) -> None:
        """Write an entry host's record, replacing any earlier one."""

    async def claim(
        self, name: str, content: bytes, *, after: int, lease: Lease
    ) -> int:
        """Replace an issuer's record if it is at a revision, 0 for none.

        Return the new revision; raise MetadataConflictError if the record is
        at another one, LeaseLostError if the lease has expired.
        """

    async def write_quarantine(
        self, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write records of requests during which targets crashed."""

    async def write_versions(
        self, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write records of services' software versions."""

    async def write_origins(
        self, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write records of where streams began."""

    async def create_quarantine(self, name: str, content: bytes) -> None:
        """Create a permanent record; raise MetadataConflictError."""


Records = Iterable[Record]
