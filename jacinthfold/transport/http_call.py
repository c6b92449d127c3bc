"""Make HTTP calls to the metadata store and to entry hosts."""

import asyncio

from jacinthfold.clock import Clock
from jacinthfold.request.messages import (
    Headers,
    Request,
    RequestFacts,
    ResponseFacts,
    ResponseHead,
)
from jacinthfold.transport.errors import MalformedResponseError, ProxyError
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.memory import process_memory
from jacinthfold.transport.pool import ConnectionPool

CONNECT_TIMEOUT_SECONDS = 0.6
BODY_LIMIT_BYTES = 33554432
_OK = 200


class CallTimeoutError(ProxyError):
    """Report that a call timed out; it may still be executed."""


class CallResponse:
    """Hold the response to a call."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Store status, headers and body."""
        self.status = status
        self.headers = headers
        self.body = body


class _PlainDialect:
    """Ignore all headers except those of HTTP itself."""

    def read_request(self, headers: Headers) -> RequestFacts:
        return RequestFacts('', '')

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        return ResponseFacts()

    def target_headers(
        self,
        request: Request,
        *,
        instance: str,
        remaining_seconds: float,
        last_event_id: str,
    ) -> Headers:
        return []

    def without_credentials(self, headers: Headers) -> Headers:
        return headers

    def prefix_copy_headers(self, address: tuple[str, int]) -> Headers:
        return []

    def gateway_headers(self, request_id: str) -> Headers:
        return []

    def retry_headers(self, after_seconds: float) -> Headers:
        return []


class PooledHttpClient:
    """Make HTTP calls over pooled connections."""

    def __init__(self, clock: Clock) -> None:
        """Start with an empty pool."""
        self._pool = ConnectionPool(clock)
        self._dialect = _PlainDialect()

    async def call(
        self,
        endpoint: tuple[str, int],
        method: str,
        target: str,
        body: bytes,
        timeout_seconds: float,
    ) -> CallResponse:
        """Return the response; raise ProxyError."""
        self._pool.sweep()
        pool_key = (*endpoint, '')
        channel = await self._pool.acquire(
            pool_key, CONNECT_TIMEOUT_SECONDS, must_be_fresh=False
        )
        exchange = Exchange(channel, self._dialect)
        is_reusable = False
        try:
            async with asyncio.timeout(timeout_seconds):
                head, content = await self._exchange(
                    exchange, endpoint, method, target, body
                )
            is_reusable = exchange.may_reuse()
        except TimeoutError as error:
            raise CallTimeoutError(
                f'no response in {timeout_seconds} s'
            ) from error
        finally:
            if is_reusable:
                self._pool.release(pool_key, channel, None)
            else:
                channel.abort()
        return CallResponse(head.status, head.headers, content)

    async def get(
        self, endpoint: tuple[str, int], target: str, timeout_seconds: float
    ) -> bytes:
        """Return the body of a response with status 200; raise ProxyError."""
        response = await self.call(
            endpoint, 'GET', target, b'', timeout_seconds
        )
        if response.status != _OK:
            raise MalformedResponseError(f'status {response.status}')
        return response.body

    async def _exchange(
        self,
        exchange: Exchange,
        endpoint: tuple[str, int],
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[ResponseHead, bytes]:
        headers: Headers = [(b'Host', f'{endpoint[0]}:{endpoint[1]}'.encode())]
        if body:
            headers.append((b'Content-Type', b'application/json'))
        await exchange.send(method.encode(), target.encode(), headers, body, '')
        head = await exchange.read_head()
        with process_memory.calls.reserve() as reservation:
            content = await exchange.read_body(BODY_LIMIT_BYTES, reservation)
        return head, content
