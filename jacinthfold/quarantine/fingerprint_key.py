"""Agree with all hosts on the key of requests' fingerprints."""

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
# Many hosts start together; the first ones to look make the key.
CHECK_DELAY_SECONDS = (0.2, 0.8)


class FingerprintKeyCreator:
    """Have the store hold a key, made by whoever is first."""

    def __init__(
        self, store: MetadataStore, fingerprints: Fingerprints
    ) -> None:
        """Take where the key is kept and who needs it."""
        self._store = store
        self._fingerprints = fingerprints
        # Whether this host has read the store or a neighbour's records, and
        # watches the store: others hear of the key from one that does.
        self.may_create: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Make the key unless there is one."""
        while not self._fingerprints.has_key:
            await asyncio.sleep(random.uniform(*CHECK_DELAY_SECONDS))
            if self.may_create() and not self._fingerprints.has_key:
                await self._create()

    async def _create(self) -> None:
        key = secrets.token_bytes(KEY_BYTES)
        try:
            await self._store.create_quarantine(KEY_NAME, key)
        except MetadataConflictError:
            # Another host was first, and its key is on its way here.
            return
        except MetadataError as error:
            logs.warning('fingerprint_key_not_made', reason=str(error))
