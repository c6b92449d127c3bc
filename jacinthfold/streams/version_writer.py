"""Store which services have several software versions.

A host that starts knows only the targets that are listed then. Streams that its
callers take up may have begun at a version whose last target has just gone, and
after a restart of all hosts no other host remembers it.
"""

import asyncio
import random
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.metadata import (
    LeaseLostError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.catalogue.version_record import (
    VersionRecord,
    encode,
    record_name,
)
from jacinthfold.placement.software_versions import SoftwareVersions

# Several hosts see a new version at once, and one of them writes.
CHECK_SECONDS = (0.2, 1.0)
# Of the time for which a version counts after its last target.
LEASE_RETENTIONS = 2.0
MAX_LEASE_SECONDS = 600.0
RECORDS_PER_CALL = 32


class VersionWriter:
    """Write the versions of mixed services under leases that expire."""

    def __init__(
        self, store: MetadataStore, versions: SoftwareVersions
    ) -> None:
        """Set the store to write to and what is written."""
        self._store = store
        self._versions = versions
        # Whether this host watches the store; one that doesn't would write what
        # others have written already.
        self.may_write: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Write what is missing in the store until cancelled."""
        while True:
            await asyncio.sleep(random.uniform(*CHECK_SECONDS))
            if not self.may_write():
                continue
            services = self._versions.unrecorded()
            if services:
                await self._write(services)

    async def _write(self, services: list[str]) -> None:
        contents = {
            record_name(service): encode(
                VersionRecord(
                    service, tuple(sorted(self._versions.observed(service)))
                )
            )
            for service in services[:RECORDS_PER_CALL]
        }
        seconds = LEASE_RETENTIONS * self._versions.retention
        try:
            lease = await self._store.grant_lease(
                min(seconds, MAX_LEASE_SECONDS)
            )
            await self._store.write_versions(contents, lease)
        except (MetadataError, LeaseLostError) as error:
            logs.warning(
                'software_versions_not_stored',
                services=len(contents),
                reason=str(error),
            )
