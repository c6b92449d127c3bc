"""Ask the store how far it is when nothing else proves what is known."""

import asyncio
import random
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.metadata import MetadataError, MetadataStore
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock

CHECK_INTERVAL_SECONDS = 0.4
# After a call that failed: each call is priced, also one that is refused, and
# of a region's hosts one that is answered is enough.
FAILED_CHECK_DELAY_SECONDS = (0.8, 1.4)
# Watches of a busy store prove more often than this by themselves.
MAX_WATCHER_PROOF_AGE_SECONDS = 1.0
# What neighbours prove travels by two heartbeats; older, nobody near knows.
MAX_OTHER_PROOF_AGE_SECONDS = 2.0
# A watch brings a change within this; else its connection is dead or the store
# dropped what it waits for.
MAX_BEHIND_SECONDS = 1.2


class FreshnessChecker:
    """Keep the knowledge of a host proven while the store answers."""

    def __init__(
        self,
        store: MetadataStore,
        catalogue: Catalogue,
        clock: Clock,
    ) -> None:
        """Take whom to ask and whose knowledge is to be proven."""
        self._store = store
        self._catalogue = catalogue
        self._clock = clock
        self._behind_since: float | None = None
        self.is_needed = False
        # Whether this host watches the store, or leaves that to neighbours.
        self.watches: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Ask whenever the proof grows old, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self.is_needed or self._catalogue.routes is None:
                continue
            try:
                await self._check()
            except MetadataError as error:
                logs.warning('proof_failed', reason=str(error))
                await asyncio.sleep(random.uniform(*FAILED_CHECK_DELAY_SECONDS))

    async def _check(self) -> None:
        freshness = self._catalogue.freshness
        limit = MAX_OTHER_PROOF_AGE_SECONDS
        if self.watches():
            limit = MAX_WATCHER_PROOF_AGE_SECONDS
        if freshness.age_seconds <= limit:
            self._behind_since = None
            return
        now = self._clock.boottime()
        if freshness.is_behind and self._behind_since is None:
            self._behind_since = now
        since = self._behind_since
        if since is not None and now - since > MAX_BEHIND_SECONDS:
            await self._reload(now)
            return
        freshness.record_revision(now, await self._store.current_revision())

    async def _reload(self, now: float) -> None:
        records, revision = await self._store.list_all()
        self._catalogue.replace(records, revision)
        self._catalogue.freshness.record_revision(now, revision)
        self._behind_since = None
        logs.event('store_listed_again', revision=revision)
