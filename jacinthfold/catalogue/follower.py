"""Follow changes of the metadata store and stay registered in it."""

import asyncio
import random
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.denials import Denials
from jacinthfold.catalogue.freshness_prover import FreshnessProver
from jacinthfold.catalogue.host_codec import encode_host
from jacinthfold.catalogue.metadata import (
    Lease,
    LeaseLostError,
    MetadataError,
    MetadataHistoryLostError,
    MetadataStore,
)
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.catalogue.revision import counter_of, era_of, log_fields
from jacinthfold.clock import Clock

# A dead connection is noticed after this and the store's own timeout. Shorter
# watches cost more: each one that ends is a charged call.
WATCH_TIMEOUT_SECONDS = 4.0
# Changes come in clusters, so a pause lets one call fetch several. It is well
# within the 3 s in which the draining of a target must take effect.
BATCH_DELAY_SECONDS = 0.5
# The pause of a host that watches only as a standby. If the connection of the
# first watcher hangs, changes still arrive well within the limit of 3 s.
STANDBY_BATCH_DELAY_SECONDS = 1.2
RETRY_DELAY_SECONDS = (0.2, 0.5)
# After several failed calls in a row, because refused calls are charged too.
REPEATED_RETRY_DELAY_SECONDS = (0.7, 1.1)
MAX_FAST_RETRIES = 2
# A host that is killed leaves the list within this time.
LEASE_TTL_SECONDS = 4.0
RENEWAL_INTERVAL_SECONDS = 1.3


class Follower:
    """Keep a catalogue up to date."""

    def __init__(
        self, store: MetadataStore, catalogue: Catalogue, clock: Clock
    ) -> None:
        """Initialize a follower that updates a catalogue."""
        self._store = store
        self._catalogue = catalogue
        self._clock = clock
        self.prover = FreshnessProver(store, catalogue.freshness, clock)
        self.denials = Denials(catalogue.freshness, self.prover, clock)
        self._is_listed = False
        self.reached_at = -1.0
        self.is_reached = False
        self._is_watching = True
        self._failed_count = 0
        # Whether no watch has succeeded since the store refused one.
        self._has_lost_history = False
        # Whether this host watches the store itself.
        self.watches: Callable[[], bool] = lambda: True
        # Whether it watches only in case another host stops.
        self.is_standby: Callable[[], bool] = _never

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except MetadataHistoryLostError as error:
                await self._handle_lost_history(error)
            except MetadataError as error:
                self._record_lost(error)
                await asyncio.sleep(self._retry_delay_seconds())

    async def _handle_lost_history(
        self, error: MetadataHistoryLostError
    ) -> None:
        revision = self._catalogue.revision
        logs.warning(
            'store_history_lost',
            since=counter_of(revision),
            era=era_of(revision),
            store_era=self._store.era,
            reason=str(error),
        )
        self._is_listed = False
        if self._has_lost_history:
            # A list did not help, and each call is charged.
            await asyncio.sleep(self._retry_delay_seconds())
        self._has_lost_history = True

    async def _step(self) -> None:
        if not self._is_listed:
            requested_at = self._clock.boottime()
            records, revision = await self._store.list_all()
            self._catalogue.replace(records, revision)
            self._catalogue.freshness.record_revision(requested_at, revision)
            self._is_listed = True
            self._record_reached()
            return
        self._update_watching(is_watching=self.watches())
        if not self._is_watching:
            await asyncio.sleep(BATCH_DELAY_SECONDS)
            return
        since = self._catalogue.revision
        requested_at = self._clock.boottime()
        changes, revision = await self._watch(since)
        self._has_lost_history = False
        self._failed_count = 0
        self._record_reached()
        self._catalogue.apply(changes, revision)
        if changes:
            # A watch without changes proves nothing: it also stays idle if the
            # store dropped its history while records changed.
            self._catalogue.freshness.record_revision(requested_at, revision)
            is_backup = self.is_standby()
            await asyncio.sleep(
                STANDBY_BATCH_DELAY_SECONDS
                if is_backup
                else BATCH_DELAY_SECONDS
            )

    async def _watch(self, since: int) -> tuple[list[Record], int]:
        """Return changes; raise MetadataHistoryLostError in another era."""
        # The connection of the watch may hang while other calls tell the era.
        watch = asyncio.ensure_future(
            self._store.changes_since(since, WATCH_TIMEOUT_SECONDS)
        )
        restored = asyncio.ensure_future(
            self._store.wait_era_above(era_of(since))
        )
        try:
            await asyncio.wait(
                {watch, restored}, return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
            raise MetadataHistoryLostError(
                f'the store is in era {self._store.era}'
            )
        finally:
            watch.cancel()
            restored.cancel()

    def _update_watching(self, *, is_watching: bool) -> None:
        if is_watching is not self._is_watching:
            self._is_watching = is_watching
            logs.event(
                'store_watch',
                is_watching=is_watching,
                **log_fields(self._catalogue.revision),
            )

    def _retry_delay_seconds(self) -> float:
        self._failed_count += 1
        is_fast = self._failed_count <= MAX_FAST_RETRIES
        return random.uniform(
            *(RETRY_DELAY_SECONDS if is_fast else REPEATED_RETRY_DELAY_SECONDS)
        )

    def _record_reached(self) -> None:
        if not self._has_lost_history:
            self._failed_count = 0
        self.reached_at = self._clock.monotonic()
        if not self.is_reached:
            self.is_reached = True
            logs.event('store_reached', **log_fields(self._catalogue.revision))

    def _record_lost(self, error: MetadataError) -> None:
        if self.is_reached:
            self.is_reached = False
            logs.warning(
                'store_lost',
                reason=str(error),
                **log_fields(self._catalogue.revision),
            )


class Registration:
    """Keep this host's record in the store, under a lease."""

    def __init__(self, store: MetadataStore, own: HostRecord) -> None:
        """Initialize the registration of this host's record."""
        self._store = store
        self._own = own
        self._lease: Lease | None = None
        self._has_left = False
        # Whether the store's record was this host's when it was last seen.
        self._is_confirmed = False
        self._is_overwritten = False
        self.is_reached = True

    def observe(self, record: HostRecord | None) -> None:
        """Compare the store's record of this host, None if there is none.

        A record of a later start is of whoever took the host's place.
        """
        if record is not None and encode_host(record) == encode_host(self._own):
            self._is_confirmed = True
            self._is_overwritten = False
            return
        is_later = (
            record is not None and record.incarnation > self._own.incarnation
        )
        if self._is_confirmed and not is_later:
            self._is_overwritten = True

    async def run(self) -> None:
        """Stay registered until the host leaves or this is cancelled."""
        while not self._has_left:
            try:
                await self._step()
                self.is_reached = True
            except LeaseLostError as error:
                logs.warning('registration_lost', reason=str(error))
                if self._lease is not None:
                    self._lease = None
                    continue
            except MetadataError as error:
                self.is_reached = False
                logs.warning('registration_failed', reason=str(error))
            await asyncio.sleep(
                random.uniform(0.8, 1.0) * RENEWAL_INTERVAL_SECONDS
            )

    async def leave(self) -> None:
        """End the registration; if that fails, the lease expires."""
        # Otherwise the next renewal would find no lease and register again.
        self._has_left = True
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except MetadataError as error:
            logs.warning('registration_not_ended', reason=str(error))

    async def _step(self) -> None:
        if self._lease:
            await self._store.renew_lease(self._lease)
            if self._is_overwritten:
                logs.warning('registration_overwritten')
                await self._write(self._lease)
            return
        lease = await self._store.grant_lease(LEASE_TTL_SECONDS)
        await self._write(lease)
        self._lease = lease

    async def _write(self, lease: Lease) -> None:
        self._is_overwritten = False
        await self._store.write_host(
            self._own.name, encode_host(self._own), lease
        )


def _never() -> bool:
    return False
