"""Keep in the store what must outlive the hosts that saw it.

All hosts may be replaced at the same moment, and regions that can't reach each
other may reach the store. One record an end, each under its own name: writes
that come twice, late or in any order leave the same records behind.
"""

import asyncio
import random
from collections import OrderedDict

import msgspec

from jacinthfold import logs
from jacinthfold.catalogue.metadata import (
    LeaseLostError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.catalogue.records import UnreadableRecordError
from jacinthfold.clock import Clock
from jacinthfold.quarantine.crashes import Crash, SuspectReport

# Requests that were at one end are many: all that ran beside. At two ends
# there are few, and the third is the last one that may be seen.
MIN_STORED_CRASHES = 2
# Records go by themselves, ten minutes after this host last got a lease; a
# lease serves for half of that.
LEASE_SECONDS = 600.0
LEASE_REUSE_SECONDS = 300.0
# Ends come together; one call writes many.
BATCH_DELAY_SECONDS = 0.05
RECORDS_PER_CALL = 32
RETRY_SECONDS = (0.3, 1.0)
# What waits for the store while it is away; the oldest go first, neighbours
# know them.
MAX_WAITING_RECORDS = 512

_end_decoder = msgspec.json.Decoder(Crash)
_served_decoder = msgspec.json.Decoder(int)


class StoreWriter:
    """Write ends to the store, some of them at a time."""

    def __init__(self, store: MetadataStore, clock: Clock) -> None:
        """Take where to write."""
        self._store = store
        self._clock = clock
        self._waiting: OrderedDict[str, bytes] = OrderedDict()
        self._has_waiting = asyncio.Event()
        self._lease = 0
        self._leased_at = float('-inf')

    @property
    def waiting_count(self) -> int:
        """Return how many records wait to be written."""
        return len(self._waiting)

    def put_report(self, report: SuspectReport) -> None:
        """Have a request's ends written, and when it was served."""
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
                self._leased_at = float('-inf')
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
        if now - self._leased_at > LEASE_REUSE_SECONDS:
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
            self._leased_at = now
        batch = dict(list(self._waiting.items())[:RECORDS_PER_CALL])
        await self._store.write_quarantine(batch, self._lease)
        for name, content in batch.items():
            if self._waiting.get(name) == content:
                self._waiting.pop(name)
        if not self._waiting:
            self._has_waiting.clear()


def read_record(name: str, content: bytes) -> SuspectReport:
    """Return what a record says; raise UnreadableRecordError."""
    fingerprint, _, incarnation_id = name.partition('/')
    try:
        if incarnation_id:
            return SuspectReport(fingerprint, 0, [_end_decoder.decode(content)])
        return SuspectReport(fingerprint, _served_decoder.decode(content), [])
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
