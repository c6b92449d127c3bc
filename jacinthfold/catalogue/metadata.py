"""Define the interface of a metadata store."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from jacinthfold.catalogue.records import Record


class MetadataError(Exception):
    """Report a failed call to the metadata store."""


class MetadataHistoryLostError(MetadataError):
    """Report that the store dropped the changes since a revision."""


class MetadataConflictError(MetadataError):
    """Report that a record exists or has another revision."""


class LeaseLostError(MetadataError):
    """Report that a lease has expired."""


class MetadataStore(Protocol):
    """List, watch and write records."""

    async def list_all(self) -> tuple[list[Record], int]:
        """Return all relevant records and a revision not newer than them."""

    async def changes_since(
        self, revision: int, wait_seconds: float
    ) -> tuple[list[Record], int]:
        """Return changes after a revision; wait up to a time for one."""

    async def current_revision(self) -> int:
        """Return the store's revision, always read from the store."""

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease that expires unless it is renewed."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError if it has expired."""

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease, which removes the records written under it."""

    async def write_host(self, name: str, content: bytes, lease: int) -> None:
        """Write an entry host's record, replacing any earlier one."""

    async def claim(
        self, name: str, content: bytes, *, after: int, lease: int
    ) -> int:
        """Replace an issuer's record if it is at a revision, 0 for none.

        Return the new revision; raise MetadataConflictError if the record is
        at another one, LeaseLostError if the lease has expired.
        """

    async def write_quarantine(
        self, contents: Mapping[str, bytes], lease: int
    ) -> None:
        """Write records of requests during which targets crashed."""

    async def create_quarantine(self, name: str, content: bytes) -> None:
        """Create a permanent record; raise MetadataConflictError."""


Records = Iterable[Record]
