"""Tell other hosts where streams began, and ask them."""

import asyncio
import itertools
from collections.abc import Callable

from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement.software_versions import SoftwareVersions
from jacinthfold.streams.holders import Holders
from jacinthfold.streams.messages import (
    OriginAnswer,
    OriginDatagram,
    OriginNotice,
    OriginQuery,
    decode,
    encode,
)
from jacinthfold.streams.table import OriginTable

Endpoint = tuple[str, int]
# Three round trips to another region: a datagram or its answer may be lost.
QUERY_TIMEOUT_SECONDS = 0.35
QUERY_RESEND_SECONDS = 0.12
# A datagram of so many attempts has some 9 kB.
MAX_NOTICE_ATTEMPTS = 1000
MAX_PENDING_QUERIES = 2000
REFRESH_SECONDS = 0.4


class _PendingQuery:
    """Hold a query and the hosts that have not answered it."""

    __slots__ = ('open_endpoints', 'result')

    def __init__(self, endpoints: set[Endpoint]) -> None:
        self.open_endpoints = endpoints
        self.result: asyncio.Future[str | None] = (
            asyncio.get_running_loop().create_future()
        )

    def apply(self, endpoint: Endpoint, version: str | None) -> None:
        self.open_endpoints.discard(endpoint)
        is_last = not self.open_endpoints
        if not self.result.done() and (version is not None or is_last):
            self.result.set_result(version)


class OriginExchange:
    """Send and receive notices, queries and answers by datagrams."""

    def __init__(
        self,
        hosts: HostTable,
        table: OriginTable,
        versions: SoftwareVersions,
        clock: Clock,
    ) -> None:
        """Use the table that is filled and asked."""
        self._hosts = hosts
        self._versions = versions
        self._table = table
        self._clock = clock
        self._holders = Holders(hosts)
        self._refreshed_at = float('-inf')
        self._numbers = itertools.count()
        self._pending: dict[int, _PendingQuery] = {}
        self.send: Callable[[bytes, Endpoint], None] = _drop

    def tell(self, service: str, version: str, attempts: list[int]) -> None:
        """Tell the holders of attempts where their streams began."""
        self._refresh()
        by_host: dict[str, list[int]] = {}
        for attempt in attempts:
            for name in self._holders.to_tell(attempt):
                by_host.setdefault(name, []).append(attempt)
        for name, held in by_host.items():
            endpoint = self._hosts.endpoint_of(name)
            if endpoint is not None:
                notice = OriginNotice(service, version, held)
                self.send(encode(OriginDatagram(notices=[notice])), endpoint)

    async def ask(self, service: str, attempt: int) -> str | None:
        """Return the version that began a stream, None if no host knows."""
        self._refresh()
        endpoints = {
            endpoint
            for name in self._holders.to_ask(attempt)
            if (endpoint := self._hosts.endpoint_of(name)) is not None
        }
        if not endpoints or len(self._pending) >= MAX_PENDING_QUERIES:
            return None
        query = OriginQuery(next(self._numbers), service, attempt)
        pending = _PendingQuery(endpoints)
        self._pending[query.number] = pending
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                return await self._resend_until_answered(query, pending)
        except TimeoutError:
            return None
        finally:
            self._pending.pop(query.number)

    def handle_datagram(self, content: bytes, sender: Endpoint) -> None:
        """Apply a datagram of another host; raise ValueError."""
        datagram = decode(content)
        for notice in datagram.notices:
            for attempt in notice.attempts[:MAX_NOTICE_ATTEMPTS]:
                self._table.record(attempt, notice.service, notice.version)
        answers = [
            OriginAnswer(one.number, self._version(one))
            for one in datagram.queries
        ]
        if answers:
            self.send(encode(OriginDatagram(answers=answers)), sender)
        for answer in datagram.answers:
            pending = self._pending.get(answer.number)
            if pending is not None and sender in pending.open_endpoints:
                pending.apply(sender, answer.version)

    async def _resend_until_answered(
        self, query: OriginQuery, pending: _PendingQuery
    ) -> str | None:
        while True:
            content = encode(OriginDatagram(queries=[query]))
            for endpoint in list(pending.open_endpoints):
                self.send(content, endpoint)
            done, _ = await asyncio.wait(
                [pending.result], timeout=QUERY_RESEND_SECONDS
            )
            if done:
                return pending.result.result()

    def _version(self, query: OriginQuery) -> str | None:
        found = self._table.version(query.attempt, query.service)
        return found or self._versions.proven_only(query.service)

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now - self._refreshed_at > REFRESH_SECONDS:
            self._refreshed_at = now
            self._holders.refresh()


def _drop(_content: bytes, _endpoint: Endpoint) -> None:
    """Discard a datagram, since there is no socket yet."""
