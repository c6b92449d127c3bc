"""Reach the platform's key-value service."""

import base64
import json
from typing import Any, Protocol
from urllib.parse import quote

from jacinthfold.serve.client import Answer, Call, ClientError, HttpClient

HTTP_OK = 200
HTTP_NOT_FOUND = 404


class StoreError(Exception):
    """Report a call to the store that failed."""


class StoreUnavailableError(StoreError):
    """Report that the store surely did not apply the call."""


class StoreAnswerLostError(StoreError):
    """Report that the store may or may not have applied the call."""


class StoreRateLimitedError(StoreUnavailableError):
    """Report that the store refused the call because of its rate."""


class Entry:
    """Hold one key's value with the index of its last change."""

    __slots__ = ('index', 'lease_id', 'value')

    def __init__(self, index: int, value: bytes, lease_id: str = '') -> None:
        """Take the change index, the value and the lease on the key."""
        self.index = index
        self.value = value
        self.lease_id = lease_id


class Store(Protocol):
    """Compare-and-swap, leases and watches of the platform's service."""

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None; raise StoreError."""

    def watch(self, key: str, index: int, wait_seconds: float) -> Entry | None:
        """Wait for a change after an index, then return the entry."""

    def swap(self, key: str, value: bytes, index: int) -> bool:
        """Write if the key stands at an index (0: absent); tell if so."""

    def acquire(self, key: str, value: bytes, lease_id: str) -> bool:
        """Lock a key under a lease; tell whether the lock is held."""

    def grant_lease(
        self, lifetime_seconds: float, *, delete: bool = False
    ) -> str:
        """Return a new lease; its keys are freed or deleted at its end."""

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease; return False when it has lapsed."""


class HttpStore:
    """Speak the store's HTTP interface (Consul's KV and session calls)."""

    def __init__(
        self,
        base_url: str,
        http_client: HttpClient,
        *,
        timeout_seconds: float = 2,
    ) -> None:
        """Take the service's base URL and the bound on one call."""
        self._base_url = base_url.rstrip('/')
        self._client = http_client
        self._timeout_seconds = timeout_seconds

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None; raise StoreError."""
        return _entry(self._send('GET', f'/v1/kv/{quote(key)}'))

    def watch(self, key: str, index: int, wait_seconds: float) -> Entry | None:
        """Wait for a change after an index, then return the entry."""
        path = f'/v1/kv/{quote(key)}?index={index}&wait={wait_seconds}s'
        return _entry(self._send('GET', path, wait_seconds=wait_seconds))

    def swap(self, key: str, value: bytes, index: int) -> bool:
        """Write if the key stands at an index (0: absent); tell if so."""
        path = f'/v1/kv/{quote(key)}?cas={index}'
        return bool(self._send('PUT', path, value).json())

    def acquire(self, key: str, value: bytes, lease_id: str) -> bool:
        """Lock a key under a lease; tell whether the lock is held."""
        path = f'/v1/kv/{quote(key)}?acquire={lease_id}'
        return bool(self._send('PUT', path, value).json())

    def grant_lease(
        self, lifetime_seconds: float, *, delete: bool = False
    ) -> str:
        """Return a new lease; its keys are freed or deleted at its end."""
        behavior = 'delete' if delete else 'release'
        document = {'TTL': f'{lifetime_seconds}s', 'Behavior': behavior}
        body = json.dumps(document).encode()
        answer = self._send('PUT', '/v1/session/create', body)
        return str(answer.json()['ID'])

    def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease; return False when it has lapsed."""
        answer = self._send('PUT', f'/v1/session/renew/{lease_id}')
        return answer.status == HTTP_OK

    def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_seconds: float = 0,
    ) -> Answer:
        call = Call(
            method,
            f'{self._base_url}{path}',
            body=body if method == 'GET' else body or b'',
            connect_timeout_seconds=self._timeout_seconds,
            timeout_seconds=self._timeout_seconds + wait_seconds,
        )
        try:
            answer = self._client.call(call)
        except ClientError as error:
            raise _turn(error) from error
        return _checked(answer)


def _checked(answer: Answer) -> Answer:
    if answer.status in {HTTP_OK, HTTP_NOT_FOUND}:
        return answer
    if answer.status == 429:
        raise StoreRateLimitedError('The store refused the call: rate limit.')
    # The interface's word for 5xx is that the call failed, not that it was
    # left undone: a write behind it is read back before anything follows.
    raise StoreAnswerLostError(f'The store answered {answer.status}.')


def _turn(error: ClientError) -> StoreError:
    if error.request_sent:
        return StoreAnswerLostError(f'No answer from the store: {error}')
    return StoreUnavailableError(f'The store is out of reach: {error}')


def _entry(answer: Answer) -> Entry | None:
    if answer.status == HTTP_NOT_FOUND:
        return None
    found: Any = answer.json()[0]
    return Entry(
        int(found['ModifyIndex']),
        base64.b64decode(found['Value'] or ''),
        found.get('Session', ''),
    )
