"""Create the fingerprint key that all hosts share."""

import asyncio
import random
import secrets
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.metadata import (
    MetadataConflictError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.quarantine.fingerprints import KEY_BYTES, Fingerprints

KEY_NAME = 'key'
# Random delay, since many hosts start at once and one of them creates the key.
CHECK_DELAY_SECONDS = (0.2, 0.8)


class FingerprintKeyCreator:
    """Create the key in the metadata store unless another host did."""

    def __init__(
        self, store: MetadataStore, fingerprints: Fingerprints
    ) -> None:
        """Set the store of the key and the fingerprints that use it."""
        self._store = store
        self._fingerprints = fingerprints
        self._must_write_again = asyncio.Event()
        # Whether this host has read the store or a neighbour's records, and
        # watches the store. Hosts that don't watch receive the key from one
        # that does.
        self.may_create: Callable[[], bool] = lambda: True

    def write_again(self) -> None:
        """Write the key again if the store has lost it."""
        self._must_write_again.set()

    async def run(self) -> None:
        """Create the key unless there is one, also after the store lost it."""
        while True:
            while not self._fingerprints.has_key:
                await asyncio.sleep(random.uniform(*CHECK_DELAY_SECONDS))
                if self.may_create() and not self._fingerprints.has_key:
                    await self._create(secrets.token_bytes(KEY_BYTES))
            await self._must_write_again.wait()
            self._must_write_again.clear()
            await asyncio.sleep(random.uniform(*CHECK_DELAY_SECONDS))
            if self.may_create():
                await self._create(self._fingerprints.key)

    async def _create(self, key: bytes) -> None:
        try:
            await self._store.create_quarantine(KEY_NAME, key)
        except MetadataConflictError:
            # Another host created a key, which will arrive here.
            return
        except MetadataError as error:
            logs.warning('fingerprint_key_not_made', reason=str(error))
            self._must_write_again.set()
