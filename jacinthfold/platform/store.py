"""Client of the platform's metadata store."""

import base64
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from jacinthfold import logs
from jacinthfold.catalogue.metadata import (
    LeaseLostError,
    MetadataConflictError,
    MetadataError,
    MetadataHistoryLostError,
)
from jacinthfold.catalogue.records import Record
from jacinthfold.platform.documents import (
    HOST_PREFIX,
    ISSUER_PREFIX,
    QUARANTINE_PREFIX,
    ROUTES_KEY,
)
from jacinthfold.transport.errors import ProxyError
from jacinthfold.transport.http_call import CallResponse, PooledHttpClient

# The store usually responds in 4 ms, and in some hundred ms when it is slow.
CALL_TIMEOUT_SECONDS = 1.5
# A watch without a response this long after its own wait time is on a dead
# connection.
WATCH_MARGIN_SECONDS = 1.0
_MS = 1000


class PlatformStore:
    """List, watch and write records of the metadata store."""

    def __init__(
        self, address: tuple[str, int], http_client: PooledHttpClient
    ) -> None:
        """Set the store's IP address and port, and the HTTP client."""
        self._address = address
        self._http_client = http_client

    async def list_all(self) -> tuple[list[Record], int]:
        """Return all records and a revision that is not newer than them."""
        # One listing of all keys: nearly all are needed, and each call has a
        # cost. A listing per prefix would be five calls for each host start.
        return await self._list('')

    async def changes_since(
        self, revision: int, wait_seconds: float
    ) -> tuple[list[Record], int]:
        """Wait for changes after a revision; return them and the latest one."""
        document = await self._get(
            '/api/kv-watch',
            {
                'prefix': '',
                'after': revision,
                'wait-ms': int(wait_seconds * _MS),
            },
            wait_seconds + WATCH_MARGIN_SECONDS,
        )
        records = [_record(event) for event in document['events']]
        return records, max(revision, document['store-revision'])

    async def current_revision(self) -> int:
        """Read the current revision from the store."""
        # No key with this prefix sorts after it, so the response is small.
        query = {'prefix': ROUTES_KEY, 'after': ROUTES_KEY}
        document = await self._get('/api/kv-range', query, CALL_TIMEOUT_SECONDS)
        return int(document['store-revision'])

    async def grant_lease(self, seconds: float) -> int:
        """Create a lease that expires after some seconds unless renewed."""
        body = {'ttl-ms': int(seconds * _MS)}
        document = await self._call('POST', '/api/kv-lease', body)
        return int(document['lease'])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError if it has expired."""
        await self._call('POST', f'/api/kv-keep/{lease}', {})

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease and remove the records written under it."""
        await self._call('DELETE', f'/api/kv-lease-end/{lease}', {})

    async def write_host(self, name: str, content: bytes, lease: int) -> None:
        """Write an entry host's record unconditionally."""
        put = _put(f'{HOST_PREFIX}{name}', content, lease)
        body = {'expected-rev': [], 'puts': [put], 'remove': []}
        await self._call('POST', '/api/kv-txn', body)

    async def claim(
        self, name: str, content: bytes, *, after: int, lease: int
    ) -> int:
        """Write an issuer's record if the stored one has a given revision.

        Revision 0 means that there is no record. Raise MetadataConflictError.
        """
        key = f'{ISSUER_PREFIX}{name}'
        expected = [{'key': key, 'revision': after}]
        puts = [_put(key, content, lease)]
        body = {'expected-rev': expected, 'puts': puts, 'remove': []}
        document = await self._call('POST', '/api/kv-txn', body)
        return int(document['revision'])

    async def write_quarantine(
        self, contents: Mapping[str, bytes], lease: int
    ) -> None:
        """Write quarantine records of requests that crashed targets."""
        puts = [
            _put(f'{QUARANTINE_PREFIX}{name}', content, lease)
            for name, content in contents.items()
        ]
        body = {'expected-rev': [], 'puts': puts, 'remove': []}
        await self._call('POST', '/api/kv-txn', body)

    async def create_quarantine(self, name: str, content: bytes) -> None:
        """Create a permanent quarantine record; raise MetadataConflictError."""
        key = f'{QUARANTINE_PREFIX}{name}'
        expected = [{'key': key, 'revision': 0}]
        puts = [_put(key, content, 0)]
        body = {'expected-rev': expected, 'puts': puts, 'remove': []}
        await self._call('POST', '/api/kv-txn', body)

    async def _list(self, prefix: str) -> tuple[list[Record], int]:
        records: list[Record] = []
        query: dict[str, Any] = {'prefix': prefix}
        first_revision = None
        while True:
            document = await self._get(
                '/api/kv-range', query, CALL_TIMEOUT_SECONDS
            )
            # Pages are not a consistent snapshot. A watch that starts at the
            # first page's revision receives the changes made in between.
            if first_revision is None:
                first_revision = int(document['store-revision'])
            items = document['items']
            records.extend(_record(item) for item in items)
            if not document['has-more'] or not items:
                return records, first_revision
            query['after'] = items[-1]['key']

    async def _get(
        self, path: str, query: dict[str, Any], timeout_seconds: float
    ) -> Any:
        target = f'{path}?{urlencode(query)}'
        return await self._send('GET', target, b'', timeout_seconds)

    async def _call(self, method: str, path: str, body: dict[str, Any]) -> Any:
        content = json.dumps(body).encode() if body else b''
        return await self._send(method, path, content, CALL_TIMEOUT_SECONDS)

    async def _send(
        self, method: str, target: str, body: bytes, timeout_seconds: float
    ) -> Any:
        try:
            response = await self._http_client.call(
                self._address, method, target, body, timeout_seconds
            )
        except ProxyError as error:
            raise MetadataError(f'{type(error).__name__}: {error}') from error
        return _decode_response(response, target)


def _put(key: str, content: bytes, lease: int) -> dict[str, Any]:
    encoded = base64.b64encode(content).decode()
    return {'key': key, 'value': encoded, 'lease': lease}


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


def _record(item: dict[str, Any]) -> Record:
    content = None
    if not item.get('removed'):
        content = _content(item)
    return Record(item['key'], int(item['revision']), content)


def _content(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item['value'], validate=True)
    except (ValueError, TypeError, KeyError) as error:
        # The item was written by another program. Empty content makes the
        # record unreadable without rejecting the others in the response.
        logs.warning('item_unreadable', key=item['key'], reason=str(error))
        return b''
