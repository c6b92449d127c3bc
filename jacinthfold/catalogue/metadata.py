"""Say what the gateway needs of a metadata store."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from jacinthfold.catalogue.records import Record


class MetadataError(Exception):
    """Report a call to the metadata store that gave no usable answer."""


class MetadataHistoryLostError(MetadataError):
    """Report that changes since a revision are no longer kept."""


class MetadataConflictError(MetadataError):
    """Report that something else stands where a record was to be made."""


class LeaseLostError(MetadataError):
    """Report that a lease has ended."""


class MetadataStore(Protocol):
    """List, follow and write records."""

    async def list_all(self) -> tuple[list[Record], int]:
        """Return all records of interest and a revision not above them."""

    async def changes_since(
        self, revision: int, wait_seconds: float
    ) -> tuple[list[Record], int]:
        """Return changes after a revision, waiting for the first one."""

    async def current_revision(self) -> int:
        """Return the store's revision, read and not from memory."""

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease that ends unless it is renewed."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError when it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove what was written under it."""

    async def write_host(self, name: str, content: bytes, lease: int) -> None:
        """Write an entry host's record, whatever stood there before."""

    async def claim(
        self, name: str, content: bytes, *, after: int, lease: int
    ) -> int:
        """Write an issuer's record in place of a revision, 0 for none.

        Return the new revision; raise MetadataConflictError when another one
        stands there, LeaseLostError when the lease has ended.
        """

    async def write_quarantine(
        self, contents: Mapping[str, bytes], lease: int
    ) -> None:
        """Write records on requests under which targets ended."""

    async def create_quarantine(self, name: str, content: bytes) -> None:
        """Write such a record for good; raise MetadataConflictError."""


Records = Iterable[Record]
