"""Make single calls over HTTP: to the metadata store and to entry hosts."""

import asyncio

from jacinthfold.clock import Clock
from jacinthfold.request.messages import (
    AnswerFacts,
    AnswerHead,
    Headers,
    Request,
    RequestFacts,
)
from jacinthfold.transport.errors import MalformedAnswerError, ProxyError
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.pool import Pool

CONNECT_SECONDS = 0.6
BODY_LIMIT_BYTES = 33554432
_OK = 200


class CallTimeoutError(ProxyError):
    """Report that no answer came in time; the call may yet be carried out."""


class CallAnswer:
    """Hold the answer to a call."""

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: bytes) -> None:
        """Take status and body."""
        self.status = status
        self.body = body


class _PlainDialect:
    """Read answers that carry no headers of note."""

    def read_request(self, headers: Headers) -> RequestFacts:
        return RequestFacts('', '')

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        return AnswerFacts()

    def target_headers(
        self,
        request: Request,
        *,
        instance: str,
        left_seconds: float,
        last_event_id: str,
    ) -> Headers:
        return []

    def without_credentials(self, headers: Headers) -> Headers:
        return headers

    def copy_headers(self, address: tuple[str, int]) -> Headers:
        return []

    def own_headers(self, request_id: str) -> Headers:
        return []

    def retry_headers(self, after_seconds: float) -> Headers:
        return []


class HttpCaller:
    """Call one address at a time, over kept connections."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._pool = Pool(clock)
        self._dialect = _PlainDialect()

    async def call(
        self,
        place: tuple[str, int],
        method: str,
        target: str,
        body: bytes,
        timeout_seconds: float,
    ) -> CallAnswer:
        """Return the answer; raise ProxyError."""
        self._pool.sweep()
        kept = (*place, '')
        channel = await self._pool.take(
            kept, CONNECT_SECONDS, must_be_fresh=False
        )
        exchange = Exchange(channel, self._dialect)
        is_reusable = False
        try:
            async with asyncio.timeout(timeout_seconds):
                head, content = await self._carry(
                    exchange, place, method, target, body
                )
            is_reusable = exchange.may_reuse()
        except TimeoutError as error:
            raise CallTimeoutError(
                f'no answer in {timeout_seconds} s'
            ) from error
        finally:
            if is_reusable:
                self._pool.give_back(kept, channel, None)
            else:
                channel.abort()
        return CallAnswer(head.status, content)

    async def get(
        self, place: tuple[str, int], target: str, timeout_seconds: float
    ) -> bytes:
        """Return the body of a good answer; raise ProxyError."""
        answer = await self.call(place, 'GET', target, b'', timeout_seconds)
        if answer.status != _OK:
            raise MalformedAnswerError(f'status {answer.status}')
        return answer.body

    async def _carry(
        self,
        exchange: Exchange,
        place: tuple[str, int],
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[AnswerHead, bytes]:
        headers: Headers = [(b'Host', f'{place[0]}:{place[1]}'.encode())]
        if body:
            headers.append((b'Content-Type', b'application/json'))
        await exchange.send(method.encode(), target.encode(), headers, body, '')
        head = await exchange.head()
        content = await exchange.whole(BODY_LIMIT_BYTES)
        return head, content
