"""Fetch the catalogue from another entry host that is ahead."""

import asyncio
import base64
import itertools
import json
import random
import zlib
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from jacinthfold import logs
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.catalogue.revision import (
    counter_of,
    era_of,
    log_fields,
    make_revision,
)
from jacinthfold.clock import Clock
from jacinthfold.fleet.revision_lag import RevisionLag
from jacinthfold.fleet.table import HostTable
from jacinthfold.transport.errors import ProxyError
from jacinthfold.transport.http_call import PooledHttpClient

SNAPSHOT_PATH = '/snapshot'
# Another host may be ahead by the time in which changes are batched. Longer
# means that this host's watch hangs or is cut off.
MAX_BEHIND_SECONDS = 0.9
# In a profile of an idle host among 195, three checks a second took 35 of its
# 650 busy milliseconds. With 0.5 s plus the delay of the watch a change arrives
# after about 1.5 s by calculation, within the smallest allowed bound of 3 s.
CHECK_INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.5
# The next host is asked if one is silent for this long. Two silent hosts, one
# after the other, would delay changes by two call timeouts.
HEDGE_DELAY_SECONDS = 0.5
# The fastest level compresses 0.5 MB of routes in 3 ms to 6 % of its size.
COMPRESSION_LEVEL = 1

Endpoint = tuple[str, int]


class SnapshotFetcher:
    """Fetch newer records from hosts that are ahead."""

    def __init__(
        self,
        hosts: HostTable,
        catalogue: Catalogue,
        http_client: PooledHttpClient,
        clock: Clock,
    ) -> None:
        """Initialize a fetcher that updates a catalogue."""
        self._hosts = hosts
        self._catalogue = catalogue
        self._http_client = http_client
        self._clock = clock
        self.lag = RevisionLag(clock)
        self.seeds: tuple[Endpoint, ...] = ()
        # Whether this host watches the store itself.
        self.watches: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Fetch missing changes until cancelled."""
        behind_since: float | None = None
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.lag.observe(
                self._catalogue.revision, self._hosts.newest_revision()
            )
            ahead = self._endpoints_ahead()
            if not ahead:
                behind_since = None
                continue
            now = self._clock.monotonic()
            behind_since = now if behind_since is None else behind_since
            is_due = now - behind_since > MAX_BEHIND_SECONDS
            if is_due or self._catalogue.routes is None or not self.watches():
                await self._catch_up(ahead)

    def _endpoints_ahead(self) -> list[Endpoint]:
        own_region = self._hosts.own.region
        ahead = self._hosts.ahead_of(self._catalogue.revision)
        # Random order within a region: sorted by revision, one host would get
        # the calls of all hosts that are behind.
        random.shuffle(ahead)
        ahead.sort(key=lambda entry: entry.record.region != own_region)
        endpoints = [
            (entry.record.address, entry.record.control_port) for entry in ahead
        ]
        if endpoints or self._catalogue.routes is not None:
            return endpoints[:2]
        own = (self._hosts.own.address, self._hosts.own.control_port)
        return [endpoint for endpoint in self.seeds if endpoint != own]

    async def _catch_up(self, endpoints: list[Endpoint]) -> None:
        remaining = list(endpoints)
        fetches: set[asyncio.Task[bool]] = set()
        try:
            while remaining or fetches:
                if remaining:
                    fetch = self._fetch_from(remaining.pop(0))
                    fetches.add(asyncio.create_task(fetch))
                if await _any_succeeds(fetches, HEDGE_DELAY_SECONDS):
                    return
        finally:
            for pending in fetches:
                pending.cancel()

    async def _fetch_from(self, endpoint: Endpoint) -> bool:
        peer = f'{endpoint[0]}:{endpoint[1]}'
        try:
            since = self._catalogue.revision
            path = (
                f'{SNAPSHOT_PATH}?since={counter_of(since)}'
                f'&era={era_of(since)}&packed=1'
            )
            content = await self._http_client.get(
                endpoint, path, CALL_TIMEOUT_SECONDS
            )
            snapshot = decode_snapshot(content)
        except (ProxyError, ValueError, KeyError) as error:
            logs.warning('snapshot_failed', peer=peer, reason=repr(error))
            return False
        if snapshot.revision <= self._catalogue.revision:
            return False
        logs.event(
            'snapshot_taken',
            peer=peer,
            **log_fields(snapshot.revision),
            before=counter_of(self._catalogue.revision),
            whole=snapshot.is_whole,
        )
        if snapshot.is_whole:
            self._catalogue.replace(snapshot.records, snapshot.revision, peer)
        else:
            self._catalogue.apply(snapshot.records, snapshot.revision, peer)
        return True


async def _any_succeeds(
    fetches: set[asyncio.Task[bool]], timeout_seconds: float
) -> bool:
    """Wait for the next result; remove finished fetches."""
    done, _ = await asyncio.wait(
        fetches,
        timeout=timeout_seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    fetches -= done
    return any([fetch.result() for fetch in done])


class Snapshot:
    """Hold all records at a revision, or only the changed ones."""

    __slots__ = ('is_whole', 'records', 'revision')

    def __init__(
        self, records: list[Record], revision: int, *, is_whole: bool
    ) -> None:
        """Initialize a snapshot; records without content are removals."""
        self.records = records
        self.revision = revision
        self.is_whole = is_whole


def encode_snapshot(catalogue: Catalogue, since: int) -> bytes:
    """Return changes after a revision as JSON.

    The result has all records if since is 0 or some changes are forgotten.
    """
    changed = catalogue.changes_since(since) if since else None
    records = catalogue.records() if changed is None else changed
    era = era_of(catalogue.revision)
    document: dict[str, Any] = {
        'revision': counter_of(catalogue.revision),
        'era': era,
        'whole': changed is None,
        'records': [
            [record.key, counter_of(record.revision), _encoded(record.content)]
            for record in records
        ],
    }
    eras = [era_of(record.revision) for record in records]
    if any(one != era for one in eras):
        # Hosts of the previous version expect three items for each record.
        document['eras'] = eras
    return json.dumps(document, separators=(',', ':')).encode()


class CompressedSnapshots:
    """Cache compressed snapshots of the current records."""

    # A configuration of 1,300 routes has 0.5 MB. When fourteen hosts fetched
    # it at once over a link of 5 Mbit/s, all transfers timed out and the hosts
    # used the earlier one for over five seconds. Compression reduces it to a
    # twentieth.

    __slots__ = ('_catalogue', '_cache', '_state')

    def __init__(self, catalogue: Catalogue) -> None:
        """Initialize an empty cache for a catalogue."""
        self._catalogue = catalogue
        self._state: tuple[int, int] | None = None
        self._cache: dict[int, bytes] = {}

    def since(self, revision: int) -> bytes:
        """Return a compressed snapshot of changes after a revision."""
        # Records that nobody repeats after the store came back are dropped at
        # the same revision.
        state = (self._catalogue.revision, self._catalogue.dropped_count)
        if self._state != state:
            self._state = state
            self._cache.clear()
        if revision not in self._cache:
            content = encode_snapshot(self._catalogue, revision)
            self._cache[revision] = zlib.compress(content, COMPRESSION_LEVEL)
        return self._cache[revision]


def decode_snapshot(content: bytes) -> Snapshot:
    """Decode a snapshot, compressed or not.

    Raise ValueError or KeyError if it is malformed.
    """
    # Hosts of the previous version do not compress.
    if not content.startswith(b'{'):
        content = _decompressed(content)
    try:
        return _read_snapshot(content)
    except (TypeError, AttributeError) as error:
        raise ValueError(str(error)) from error


def _read_snapshot(content: bytes) -> Snapshot:
    document: dict[str, Any] = json.loads(content)
    # Hosts of the previous version tell no era.
    era = document.get('era', 0)
    rows = document['records']
    eras = document.get('eras') or itertools.repeat(era, len(rows))
    records = [
        Record(key, make_revision(row_era, counter), _decoded(encoded))
        for (key, counter, encoded), row_era in zip(rows, eras, strict=True)
    ]
    revision = make_revision(era, document['revision'])
    return Snapshot(records, revision, is_whole=document['whole'])


class SnapshotQuery:
    """Hold the query of a snapshot request."""

    __slots__ = ('_era', 'accepts_compressed', 'since')

    def __init__(self, target: str) -> None:
        """Parse a request target; raise ValueError if it is malformed."""
        query = parse_qs(urlsplit(target).query)
        # The store's counter; 0 asks for all records.
        self.since = int(query.get('since', ['0'])[0])
        make_revision(0, self.since)
        # Hosts of the previous version tell no era.
        self._era = int(query['era'][0]) if 'era' in query else None
        self.accepts_compressed = 'packed' in query

    def start_at(self, revision: int) -> int:
        """Return after which revision a catalogue's changes are needed.

        It is 0 if the sender is in another era, as all records are needed then.
        """
        era = era_of(revision)
        if not self.since or self._era not in {None, era}:
            return 0
        return make_revision(era, self.since)


def _decompressed(content: bytes) -> bytes:
    try:
        return zlib.decompress(content)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def _encoded(content: bytes | None) -> str | None:
    return None if content is None else base64.b64encode(content).decode()


def _decoded(encoded: str | None) -> bytes | None:
    return None if encoded is None else base64.b64decode(encoded)
