"""Store where streams began, for the case that all hosts end at once.

A host tells others of the streams that it begins, but what is only in the
memory of hosts is lost with them, just when their callers come back.
"""

import asyncio
from collections.abc import Iterable
from math import ceil

from jacinthfold import logs
from jacinthfold.catalogue.metadata import (
    Lease,
    LeaseLostError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement.software_versions import SoftwareVersions
from jacinthfold.streams import origin_record
from jacinthfold.streams.messages import OriginNotice

# Streams that began within this time before a loss of all hosts are unknown.
MIN_INTERVAL_SECONDS = 0.03
# Of all hosts together; stores take some hundred writes a second.
MAX_WRITES_PER_SECOND = 160.0
# Streams that are stored by all hosts together, at nine bytes each.
MAX_STORED_STREAMS = 200_000
MAX_HOST_STREAMS = 8_000
# Records of a host, which are replaced in turn.
SLOTS = 4
MAX_LEASE_SECONDS = 600.0
LEASE_RETENTIONS = 2.0
RETRY_SECONDS = 1.0


class _Slot:
    """Hold the streams of one record."""

    __slots__ = ('attempts', 'began_at', 'count')

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        # By service and version.
        self.attempts: dict[tuple[str, str], list[int]] = {}
        self.count = 0

    def add(self, service: str, version: str, attempts: list[int]) -> None:
        self.attempts.setdefault((service, version), []).extend(attempts)
        self.count += len(attempts)

    def encode(self) -> bytes:
        return origin_record.encode(
            [
                OriginNotice(service, version, attempts)
                for (service, version), attempts in self.attempts.items()
            ]
        )


class OriginWriter:
    """Write this host's origins in batches, under leases that expire."""

    def __init__(
        self,
        hosts: HostTable,
        store: MetadataStore,
        versions: SoftwareVersions,
        clock: Clock,
    ) -> None:
        """Set the hosts that share the store, and the store."""
        self._hosts = hosts
        self._store = store
        self._versions = versions
        self._clock = clock
        self._slots: dict[int, _Slot] = {}
        self._current = 0
        # Slots that differ from their records.
        self._changed: set[int] = set()
        self._has_changed = asyncio.Event()
        self._lease: Lease | None = None
        self._leased_at = 0.0

    def add(self, service: str, version: str, attempts: list[int]) -> None:
        """Store that attempts began streams at a version of a service."""
        slot = self._open_slot()
        slot.add(service, version, attempts)
        self._changed.add(self._current)
        self._has_changed.set()

    async def run(self) -> None:
        """Write what has changed until cancelled."""
        while True:
            await self._has_changed.wait()
            await asyncio.sleep(self._interval_seconds())
            self._has_changed.clear()
            changed = self._changed
            self._changed = set()
            try:
                await self._write(changed)
            except LeaseLostError as error:
                # What was written under the lease is gone with it.
                self._lease = None
                self._write_later(self._slots, str(error))
            except MetadataError as error:
                self._write_later(changed, str(error))
                await asyncio.sleep(RETRY_SECONDS)

    def _write_later(self, slots: Iterable[int], reason: str) -> None:
        logs.warning('origins_not_stored', reason=reason)
        self._changed.update(slots)
        self._has_changed.set()

    async def _write(self, changed: Iterable[int]) -> None:
        contents = {}
        for number in changed:
            name = origin_record.record_name(self._hosts.own, number)
            contents[name] = self._slots[number].encode()
        lease = await self._current_lease()
        await self._store.write_origins(contents, lease)

    async def _current_lease(self) -> Lease:
        now = self._clock.monotonic()
        retention = self._versions.retention
        if self._lease is None or now - self._leased_at > retention / 2:
            seconds = min(LEASE_RETENTIONS * retention, MAX_LEASE_SECONDS)
            self._lease = await self._store.grant_lease(seconds)
            self._leased_at = now
        return self._lease

    def _open_slot(self) -> _Slot:
        """Return the slot of streams that begin now."""
        now = self._clock.monotonic()
        slot = self._slots.get(self._current)
        if slot is not None:
            age_seconds = now - slot.began_at
            is_open = age_seconds < self._versions.retention / (SLOTS - 1)
            if is_open and slot.count < self._slot_limit():
                return slot
            self._current = (self._current + 1) % SLOTS
        opened = _Slot(now)
        self._slots[self._current] = opened
        return opened

    def _slot_limit(self) -> int:
        share = MAX_STORED_STREAMS // self._host_count()
        return ceil(min(share, MAX_HOST_STREAMS) / SLOTS)

    def _interval_seconds(self) -> float:
        return max(
            MIN_INTERVAL_SECONDS, self._host_count() / MAX_WRITES_PER_SECOND
        )

    def _host_count(self) -> int:
        return 1 + len(self._hosts.others())
