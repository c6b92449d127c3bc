"""Get the catalogue from another entry host when the store is out of reach."""

import asyncio
import base64
import json
import random
import zlib
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from jacinthfold import logs
from jacinthfold.catalogue.records import Catalogue, Record
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.transport.errors import ProxyError
from jacinthfold.transport.http_call import HttpCaller

SNAPSHOT_PATH = '/snapshot'
# Another host may be ahead for as long as changes are gathered there; longer
# means that the own watch is silent or cut.
MAX_BEHIND_SECONDS = 0.9
# Each of 195 hosts asked three times a second; by a profile of a calm one that
# took 35 of the 650 ms that it was busy. With half a second and the watch's own
# a change is known after some 1.5 s (worked out), within the least bound of 3.
CHECK_INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.5
# The fastest level: 0.5 MB of routes in 3 ms, to 6 hundredths of its bytes.
COMPRESSION_LEVEL = 1

Endpoint = tuple[str, int]


class SnapshotFetcher:
    """Catch up with hosts that know more."""

    def __init__(
        self,
        hosts: HostTable,
        catalogue: Catalogue,
        caller: HttpCaller,
        clock: Clock,
    ) -> None:
        """Take whom to ask and what to bring up to date."""
        self._hosts = hosts
        self._catalogue = catalogue
        self._caller = caller
        self._clock = clock
        self.seeds: tuple[Endpoint, ...] = ()
        # Whether this host hears of changes from the store by itself.
        self.watches: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Catch up until cancelled."""
        behind_since: float | None = None
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
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
        # Any order among the near ones: asked by the highest revision, one
        # host would get the calls of all that are behind.
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
        is_done = False
        while remaining and not is_done:
            is_done = await self._fetch_from(remaining.pop(0))

    async def _fetch_from(self, endpoint: Endpoint) -> bool:
        peer = f'{endpoint[0]}:{endpoint[1]}'
        try:
            path = f'{SNAPSHOT_PATH}?since={self._catalogue.revision}&packed=1'
            content = await self._caller.get(
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
            revision=snapshot.revision,
            before=self._catalogue.revision,
            whole=snapshot.is_whole,
        )
        if snapshot.is_whole:
            self._catalogue.replace(snapshot.records, snapshot.revision)
        else:
            self._catalogue.apply(snapshot.records, snapshot.revision)
        return True


class Snapshot:
    """Hold records up to a revision: all, or those that changed."""

    __slots__ = ('is_whole', 'records', 'revision')

    def __init__(
        self, records: list[Record], revision: int, *, is_whole: bool
    ) -> None:
        """Take the records; without content they were removed."""
        self.records = records
        self.revision = revision
        self.is_whole = is_whole


def encode_snapshot(catalogue: Catalogue, since: int) -> bytes:
    """Return what changed after a revision, or all records, as bytes."""
    changed = catalogue.changes_since(since) if since else None
    records = catalogue.records() if changed is None else changed
    document = {
        'revision': catalogue.revision,
        'whole': changed is None,
        'records': [
            [record.key, record.revision, _encoded(record.content)]
            for record in records
        ],
    }
    return json.dumps(document, separators=(',', ':')).encode()


class CompressedSnapshots:
    """Pack what hosts ask for, once for all that ask alike."""

    # A configuration of 1,300 routes is 0.5 MB. Asked for by fourteen hosts at
    # once over a link of 5 Mbit/s no transfer ended within its call's time,
    # and hosts went by the earlier one for over five seconds. Packed it has a
    # twentieth of the bytes.

    __slots__ = ('_catalogue', '_cache', '_revision')

    def __init__(self, catalogue: Catalogue) -> None:
        """Take what is told."""
        self._catalogue = catalogue
        self._revision = -1
        self._cache: dict[int, bytes] = {}

    def since(self, revision: int) -> bytes:
        """Return what changed after a revision, or all records."""
        if self._revision != self._catalogue.revision:
            self._revision = self._catalogue.revision
            self._cache.clear()
        if revision not in self._cache:
            content = encode_snapshot(self._catalogue, revision)
            self._cache[revision] = zlib.compress(content, COMPRESSION_LEVEL)
        return self._cache[revision]


def decode_snapshot(content: bytes) -> Snapshot:
    """Return a snapshot, packed or not; raise ValueError or KeyError."""
    # Hosts of the version before answer without packing.
    if not content.startswith(b'{'):
        content = _decompressed(content)
    document: dict[str, Any] = json.loads(content)
    records = [
        Record(key, revision, _decoded(encoded))
        for key, revision, encoded in document['records']
    ]
    return Snapshot(records, document['revision'], is_whole=document['whole'])


class SnapshotQuery:
    """Hold what another host asks for."""

    __slots__ = ('accepts_compressed', 'since')

    def __init__(self, target: str) -> None:
        """Take a call's target; raise ValueError."""
        query = parse_qs(urlsplit(target).query)
        self.since = int(query.get('since', ['0'])[0])
        self.accepts_compressed = 'packed' in query


def _decompressed(content: bytes) -> bytes:
    try:
        return zlib.decompress(content)
    except zlib.error as error:
        raise ValueError(str(error)) from error


def _encoded(content: bytes | None) -> str | None:
    return None if content is None else base64.b64encode(content).decode()


def _decoded(encoded: str | None) -> bytes | None:
    return None if encoded is None else base64.b64decode(encoded)
