"""Query the store's revision when no other proof of freshness is recent."""

import asyncio
import random
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.metadata import MetadataError, MetadataStore
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock

CHECK_INTERVAL_SECONDS = 0.4
# Refused calls are charged too, and one answered call is enough for all hosts
# of a region.
FAILED_CHECK_DELAY_SECONDS = (0.8, 1.4)
# Watches of a busy store renew the proof more often than this.
MAX_WATCHER_PROOF_AGE_SECONDS = 1.0
# A proof of a neighbour arrives within two heartbeats; if this host's proof is
# older, no host nearby has a newer one.
MAX_OTHER_PROOF_AGE_SECONDS = 2.0
# Added to both where no key must end in time. The use of leaving targets alone
# needs proofs half as often, and every check is a priced call.
RELAXED_SECONDS = 1.0
# A watch delivers a change within this time, unless its connection is dead or
# the store dropped the history it waits for.
MAX_BEHIND_SECONDS = 1.2


class FreshnessChecker:
    """Keep the freshness proof of a host recent while the store answers."""

    def __init__(
        self,
        store: MetadataStore,
        catalogue: Catalogue,
        clock: Clock,
    ) -> None:
        """Initialize a checker of one catalogue."""
        self._store = store
        self._catalogue = catalogue
        self._clock = clock
        self._behind_since: float | None = None
        self.is_needed = False
        # Whether keys must end within a bound after they were revoked.
        self.has_bounded_keys = False
        # Whether this host watches the store itself.
        self.watches: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Query the store whenever the proof is old, until cancelled."""
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
        if not self.has_bounded_keys:
            limit += RELAXED_SECONDS
        if freshness.is_unproven or freshness.age_seconds <= limit:
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
