"""Client of the platform's metadata store."""

import base64
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from jacinthfold import logs
from jacinthfold.catalogue.eras import EraTracker
from jacinthfold.catalogue.metadata import (
    Lease,
    LeaseLostError,
    MetadataConflictError,
    MetadataError,
    MetadataHistoryLostError,
)
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.revision import (
    MAX_ERA,
    counter_of,
    era_of,
    make_revision,
)
from jacinthfold.platform.documents import (
    HOST_PREFIX,
    ISSUER_PREFIX,
    ORIGINS_PREFIX,
    QUARANTINE_PREFIX,
    ROUTES_KEY,
    VERSIONS_PREFIX,
)
from jacinthfold.request.messages import Headers, first_header
from jacinthfold.request.numbers import excerpt
from jacinthfold.transport.errors import ProxyError
from jacinthfold.transport.http_call import CallResponse, PooledHttpClient

# The store usually responds in 4 ms, and in some hundred ms when it is slow.
CALL_TIMEOUT_SECONDS = 1.5
# A watch without a response this long after its own wait time is on a dead
# connection.
WATCH_MARGIN_SECONDS = 1.0
# Rises by one whenever the store comes back from a copy.
ERA_HEADER = b'store-era'
_MAX_ERA_DIGITS = len(str(MAX_ERA))
_MS = 1000


class _Answer:
    """Hold the body of an answer and the era in which it was given."""

    __slots__ = ('document', 'era')

    def __init__(self, document: Any, era: int) -> None:
        self.document = document
        self.era = era

    @property
    def revision(self) -> int:
        return make_revision(self.era, self.document['store-revision'])

    def records(self, name: str) -> list[Record]:
        return [_record(item, self.era) for item in self.document[name]]


class PlatformStore:
    """List, watch and write records of the metadata store."""

    def __init__(
        self, address: tuple[str, int], http_client: PooledHttpClient
    ) -> None:
        """Set the store's IP address and port, and the HTTP client."""
        self._address = address
        self._http_client = http_client
        self._eras = EraTracker()

    @property
    def era(self) -> int:
        """Return the latest era that an answer named, 0 if none did."""
        return self._eras.era

    async def wait_era_above(self, era: int) -> None:
        """Return once an answer has named an era above the given one."""
        await self._eras.wait_above(era)

    async def list_all(self) -> tuple[list[Record], int]:
        """Return all records and a revision that is not newer than them."""
        # One listing of all keys: nearly all are needed, and each call has a
        # cost. A listing per prefix would be five calls for each host start.
        return await self._list('')

    async def changes_since(
        self, revision: int, wait_seconds: float
    ) -> tuple[list[Record], int]:
        """Wait for changes after a revision; return them and the latest one."""
        answer = await self._get(
            '/api/kv-watch',
            {
                'prefix': '',
                'after': counter_of(revision),
                'wait-ms': int(wait_seconds * _MS),
            },
            wait_seconds + WATCH_MARGIN_SECONDS,
        )
        # The store may have passed the revision again since it came back, and
        # would leave out what was written below.
        if answer.era != era_of(revision):
            raise MetadataHistoryLostError(
                f'the store is in era {answer.era}, not {era_of(revision)}'
            )
        return answer.records('events'), max(revision, answer.revision)

    async def current_revision(self) -> int:
        """Read the current revision from the store."""
        # No key with this prefix sorts after it, so the response is small.
        query = {'prefix': ROUTES_KEY, 'after': ROUTES_KEY}
        answer = await self._get('/api/kv-range', query, CALL_TIMEOUT_SECONDS)
        return answer.revision

    async def grant_lease(self, seconds: float) -> Lease:
        """Create a lease that expires after some seconds unless renewed."""
        body = {'ttl-ms': int(seconds * _MS)}
        answer = await self._call('POST', '/api/kv-lease', body)
        return Lease(int(answer.document['lease']), answer.era)

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise LeaseLostError if it has expired."""
        path = f'/api/kv-keep/{lease.number}'
        await self._call_under(lease, 'POST', path, {})

    async def end_lease(self, lease: Lease) -> None:
        """Revoke a lease and remove the records written under it."""
        path = f'/api/kv-lease-end/{lease.number}'
        await self._call_under(lease, 'DELETE', path, {})

    async def write_host(self, name: str, content: bytes, lease: Lease) -> None:
        """Write an entry host's record unconditionally."""
        put = _put(f'{HOST_PREFIX}{name}', content, lease)
        body = {'expected-rev': [], 'puts': [put], 'remove': []}
        await self._call_under(lease, 'POST', '/api/kv-txn', body)

    async def claim(
        self, name: str, content: bytes, *, after: int, lease: Lease
    ) -> int:
        """Write an issuer's record if the stored one has a given revision.

        Revision 0 means that there is no record. Raise MetadataConflictError.
        """
        key = f'{ISSUER_PREFIX}{name}'
        expected = [{'key': key, 'revision': counter_of(after)}]
        puts = [_put(key, content, lease)]
        body = {'expected-rev': expected, 'puts': puts, 'remove': []}
        answer = await self._call_under(lease, 'POST', '/api/kv-txn', body)
        return make_revision(answer.era, int(answer.document['revision']))

    async def write_quarantine(
        self, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write quarantine records of requests that crashed targets."""
        await self._write_under(QUARANTINE_PREFIX, contents, lease)

    async def write_versions(
        self, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write records of services' software versions."""
        await self._write_under(VERSIONS_PREFIX, contents, lease)

    async def write_origins(
        self, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write records of where streams began."""
        await self._write_under(ORIGINS_PREFIX, contents, lease)

    async def create_quarantine(self, name: str, content: bytes) -> None:
        """Create a permanent quarantine record; raise MetadataConflictError."""
        key = f'{QUARANTINE_PREFIX}{name}'
        expected = [{'key': key, 'revision': 0}]
        puts = [_put(key, content, None)]
        body = {'expected-rev': expected, 'puts': puts, 'remove': []}
        await self._call('POST', '/api/kv-txn', body)

    async def _write_under(
        self, prefix: str, contents: Mapping[str, bytes], lease: Lease
    ) -> None:
        puts = [
            _put(f'{prefix}{name}', content, lease)
            for name, content in contents.items()
        ]
        body = {'expected-rev': [], 'puts': puts, 'remove': []}
        await self._call_under(lease, 'POST', '/api/kv-txn', body)

    async def _list(self, prefix: str) -> tuple[list[Record], int]:
        records: list[Record] = []
        query: dict[str, Any] = {'prefix': prefix}
        first_revision = None
        while True:
            answer = await self._get(
                '/api/kv-range', query, CALL_TIMEOUT_SECONDS
            )
            # Pages are not a consistent snapshot. A watch that starts at the
            # first page's revision receives the changes made in between.
            if first_revision is None:
                first_revision = answer.revision
            if answer.era != era_of(first_revision):
                raise MetadataError(f'era {answer.era} began during a list')
            items = answer.document['items']
            records.extend(answer.records('items'))
            if not answer.document['has-more'] or not items:
                return records, first_revision
            query['after'] = items[-1]['key']

    async def _get(
        self, path: str, query: dict[str, Any], timeout_seconds: float
    ) -> _Answer:
        target = f'{path}?{urlencode(query)}'
        return await self._send('GET', target, b'', timeout_seconds)

    async def _call_under(
        self, lease: Lease, method: str, path: str, body: dict[str, Any]
    ) -> _Answer:
        # A number of an earlier era may now be that of another host's lease.
        if lease.era != self._eras.era:
            raise LeaseLostError(f'{path}: lease of era {lease.era}')
        answer = await self._call(method, path, body)
        if lease.era != answer.era:
            raise LeaseLostError(f'{path}: lease of era {lease.era}')
        return answer

    async def _call(
        self, method: str, path: str, body: dict[str, Any]
    ) -> _Answer:
        content = json.dumps(body).encode() if body else b''
        return await self._send(method, path, content, CALL_TIMEOUT_SECONDS)

    async def _send(
        self, method: str, target: str, body: bytes, timeout_seconds: float
    ) -> _Answer:
        try:
            response = await self._http_client.call(
                self._address, method, target, body, timeout_seconds
            )
        except ProxyError as error:
            raise MetadataError(f'{type(error).__name__}: {error}') from error
        # Answers that refuse the call name the era too.
        era = self._eras.observe(_era(response.headers))
        return _Answer(_decode_response(response, target), era)


def _era(headers: Headers) -> int | None:
    """Return the era that an answer names; raise MetadataError."""
    content = first_header(headers, ERA_HEADER)
    if not content:
        return None
    is_number = content.isdigit() and len(content) <= _MAX_ERA_DIGITS
    if not is_number or int(content) > MAX_ERA:
        raise MetadataError(f'era is no number: {excerpt(content)}')
    return int(content)


def _put(key: str, content: bytes, lease: Lease | None) -> dict[str, Any]:
    encoded = base64.b64encode(content).decode()
    number = lease.number if lease else 0
    return {'key': key, 'value': encoded, 'lease': number}


def _decode_response(response: CallResponse, target: str) -> Any:
    call = target.partition('?')[0]
    if response.status == HTTPStatus.GONE:
        raise MetadataHistoryLostError(call)
    if response.status == HTTPStatus.NOT_FOUND:
        raise LeaseLostError(call)
    if response.status == HTTPStatus.PRECONDITION_FAILED:
        raise MetadataConflictError(call)
    if response.status != HTTPStatus.OK:
        raise MetadataError(f'{call}: status {response.status}')
    try:
        return json.loads(response.body) if response.body else {}
    except ValueError as error:
        raise MetadataError(f'{call}: {error}') from error


def _record(item: dict[str, Any], era: int) -> Record:
    content = None
    if not item.get('removed'):
        content = _content(item)
    revision = make_revision(era, int(item['revision']))
    return Record(item['key'], revision, content)


def _content(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item['value'], validate=True)
    except (ValueError, TypeError, KeyError) as error:
        # The item was written by another program. Empty content makes the
        # record unreadable without rejecting the others in the response.
        logs.warning('item_unreadable', key=item['key'], reason=str(error))
        return b''
