"""Store crashes so that they outlive the hosts that observed them.

All hosts may be replaced at once, and regions that can't reach each other may
still reach the metadata store. Each crash has a record under its own name, so
that repeated, late or reordered writes leave the same records.
"""

import asyncio
import random
from collections import OrderedDict

import msgspec

from jacinthfold import logs
from jacinthfold.catalogue.bounded_types import Number
from jacinthfold.catalogue.metadata import (
    Lease,
    LeaseLostError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.catalogue.record import UnreadableRecordError
from jacinthfold.clock import Clock
from jacinthfold.quarantine.crashes import Crash, SuspectReport

# Many requests are present at one crash, since all bystanders are, but few at
# two, and after the third one the request is refused.
MIN_STORED_CRASHES = 2
# Records expire with their lease, ten minutes after it was granted. A lease is
# reused for half of that time.
LEASE_SECONDS = 600.0
LEASE_REUSE_SECONDS = 300.0
# Crashes are observed in groups; one call writes many records.
BATCH_DELAY_SECONDS = 0.05
RECORDS_PER_CALL = 32
RETRY_SECONDS = (0.3, 1.0)
# Records that wait during a store outage. The oldest are dropped first, since
# neighbours know them.
MAX_WAITING_RECORDS = 512

_crash_decoder = msgspec.json.Decoder(Crash)
_served_decoder = msgspec.json.Decoder(Number)


class StoreWriter:
    """Write crashes to the metadata store in batches."""

    def __init__(self, store: MetadataStore, clock: Clock) -> None:
        """Set the store to write to."""
        self._store = store
        self._clock = clock
        self._waiting: OrderedDict[str, bytes] = OrderedDict()
        self._has_waiting = asyncio.Event()
        self._lease: Lease | None = None
        self._leased_at = float('-inf')

    @property
    def waiting_count(self) -> int:
        """Return the number of records that wait to be written."""
        return len(self._waiting)

    def put_report(self, report: SuspectReport) -> None:
        """Queue a request's crashes and the time when it was last served."""
        if report.served_at_ms:
            content = msgspec.json.encode(report.served_at_ms)
            self._put(report.fingerprint, content)
        for crash in report.crashes:
            name = f'{report.fingerprint}/{crash.incarnation_id}'
            self._put(name, msgspec.json.encode(crash))

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(BATCH_DELAY_SECONDS)
            try:
                await self._write_batch()
            except LeaseLostError:
                self._lease = None
            except MetadataError as error:
                logs.warning(
                    'quarantine_not_stored',
                    waiting=len(self._waiting),
                    reason=str(error),
                )
                await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    def _put(self, name: str, content: bytes) -> None:
        self._waiting[name] = content
        self._has_waiting.set()
        if len(self._waiting) > MAX_WAITING_RECORDS:
            dropped, _ = self._waiting.popitem(last=False)
            logs.warning('quarantine_record_dropped', record=dropped)

    async def _write_batch(self) -> None:
        now = self._clock.monotonic()
        lease = self._lease
        if lease is None or now - self._leased_at > LEASE_REUSE_SECONDS:
            lease = await self._store.grant_lease(LEASE_SECONDS)
            self._lease = lease
            self._leased_at = now
        batch = dict(list(self._waiting.items())[:RECORDS_PER_CALL])
        await self._store.write_quarantine(batch, lease)
        for name, content in batch.items():
            if self._waiting.get(name) == content:
                self._waiting.pop(name)
        if not self._waiting:
            self._has_waiting.clear()


def read_record(name: str, content: bytes) -> SuspectReport:
    """Decode a record; raise UnreadableRecordError."""
    fingerprint, _, incarnation_id = name.partition('/')
    try:
        if incarnation_id:
            return SuspectReport(
                fingerprint, 0, [_crash_decoder.decode(content)]
            )
        return SuspectReport(fingerprint, _served_decoder.decode(content), [])
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
