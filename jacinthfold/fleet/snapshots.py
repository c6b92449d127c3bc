"""Get the catalogue from another entry host when the store is out of reach."""

import asyncio
import base64
import json
from typing import Any

from jacinthfold import logs
from jacinthfold.catalogue.records import Catalogue, Record
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.proxy.errors import ProxyError
from jacinthfold.proxy.http_call import HttpCaller

SNAPSHOT_PATH = '/snapshot'
# Another host may be ahead for as long as changes are gathered there; longer
# means that the own watch is silent or cut.
BEHIND_SECONDS = 0.9
CHECK_SECONDS = 0.3
CALL_SECONDS = 1.5

Place = tuple[str, int]


class Snapshots:
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
        self.seeds: tuple[Place, ...] = ()

    async def run(self) -> None:
        """Catch up until cancelled."""
        behind_since: float | None = None
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            ahead = self._places_ahead()
            if not ahead:
                behind_since = None
                continue
            now = self._clock.monotonic()
            behind_since = now if behind_since is None else behind_since
            is_new = self._catalogue.routes is None
            if is_new or now - behind_since > BEHIND_SECONDS:
                await self._catch_up(ahead)

    def _places_ahead(self) -> list[Place]:
        ahead = sorted(
            self._hosts.ahead_of(self._catalogue.revision),
            key=lambda entry: -entry.revision,
        )
        places = [
            (entry.record.address, entry.record.control_port) for entry in ahead
        ]
        if places or self._catalogue.routes is not None:
            return places[:2]
        own = (self._hosts.own.address, self._hosts.own.control_port)
        return [place for place in self.seeds if place != own]

    async def _catch_up(self, places: list[Place]) -> None:
        left = list(places)
        is_done = False
        while left and not is_done:
            is_done = await self._take_from(left.pop(0))

    async def _take_from(self, place: Place) -> bool:
        peer = f'{place[0]}:{place[1]}'
        try:
            content = await self._caller.get(place, SNAPSHOT_PATH, CALL_SECONDS)
            records, revision = decode_snapshot(content)
        except (ProxyError, ValueError, KeyError) as error:
            logs.warning('snapshot_failed', peer=peer, reason=repr(error))
            return False
        if revision <= self._catalogue.revision:
            return False
        logs.event(
            'snapshot_taken',
            peer=peer,
            revision=revision,
            before=self._catalogue.revision,
        )
        self._catalogue.replace(records, revision)
        return True


def encode_snapshot(catalogue: Catalogue) -> bytes:
    """Return all records and the revision as bytes."""
    records = [
        [
            record.key,
            record.revision,
            base64.b64encode(record.content or b'').decode(),
        ]
        for record in catalogue.records()
    ]
    document = {'revision': catalogue.revision, 'records': records}
    return json.dumps(document, separators=(',', ':')).encode()


def decode_snapshot(content: bytes) -> tuple[list[Record], int]:
    """Return records and revision; raise ValueError or KeyError."""
    document: dict[str, Any] = json.loads(content)
    records = [
        Record(key, revision, base64.b64decode(encoded))
        for key, revision, encoded in document['records']
    ]
    return records, document['revision']
