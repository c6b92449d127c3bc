"""Tell other hosts where streams began, and ask them."""

import asyncio
import itertools
from collections.abc import Callable
from contextlib import suppress

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


class Testimony:
    """Hold what other hosts have answered about a stream."""

    __slots__ = (
        'answer_count',
        'asked_count',
        'inferred',
        'is_mixed',
        'version',
    )

    def __init__(self, asked_count: int = 0) -> None:
        """Start without answers of the hosts that are asked."""
        self.asked_count = asked_count
        self.answer_count = 0
        # The version that a host has recorded.
        self.version: str | None = None
        # Versions that hosts take for the only one.
        self.inferred: set[str] = set()
        # Whether any host knows of several versions.
        self.is_mixed = False

    def add(self, answer: OriginAnswer) -> None:
        """Add the answer of a host."""
        self.answer_count += 1
        self.is_mixed = self.is_mixed or answer.is_mixed
        if answer.version is None:
            return
        if answer.is_inferred:
            self.inferred.add(answer.version)
        else:
            self.version = answer.version

    def admits_only(self, version: str) -> bool:
        """Tell whether no host knows another version than the given one."""
        return not self.is_mixed and self.inferred <= {version}


class _PendingQuery:
    """Hold a query and the hosts that have not answered it."""

    __slots__ = ('is_over', 'open_endpoints', 'testimony')

    def __init__(self, endpoints: set[Endpoint]) -> None:
        self.open_endpoints = endpoints
        self.testimony = Testimony(len(endpoints))
        self.is_over = asyncio.Event()

    def apply(self, endpoint: Endpoint, answer: OriginAnswer) -> None:
        self.open_endpoints.discard(endpoint)
        self.testimony.add(answer)
        if not self.open_endpoints or self.testimony.version is not None:
            self.is_over.set()


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

    async def ask(self, service: str, attempt: int) -> Testimony:
        """Return what the hosts that may know tell of a stream."""
        self._refresh()
        endpoints = {
            endpoint
            for name in self._holders.to_ask(attempt)
            if (endpoint := self._hosts.endpoint_of(name)) is not None
        }
        if not endpoints or len(self._pending) >= MAX_PENDING_QUERIES:
            return Testimony()
        query = OriginQuery(next(self._numbers), service, attempt)
        pending = _PendingQuery(endpoints)
        self._pending[query.number] = pending
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                await self._resend_until_answered(query, pending)
        except TimeoutError:
            return pending.testimony
        finally:
            self._pending.pop(query.number)
        return pending.testimony

    def handle_datagram(self, content: bytes, sender: Endpoint) -> None:
        """Apply a datagram of another host; raise ValueError."""
        datagram = decode(content)
        for notice in datagram.notices:
            for attempt in notice.attempts[:MAX_NOTICE_ATTEMPTS]:
                self._table.record(attempt, notice.service, notice.version)
        answers = [self._answer(one) for one in datagram.queries]
        if answers:
            self.send(encode(OriginDatagram(answers=answers)), sender)
        for answer in datagram.answers:
            pending = self._pending.get(answer.number)
            if pending is not None and sender in pending.open_endpoints:
                pending.apply(sender, answer)

    async def _resend_until_answered(
        self, query: OriginQuery, pending: _PendingQuery
    ) -> None:
        while not pending.is_over.is_set():
            content = encode(OriginDatagram(queries=[query]))
            for endpoint in list(pending.open_endpoints):
                self.send(content, endpoint)
            with suppress(TimeoutError):
                async with asyncio.timeout(QUERY_RESEND_SECONDS):
                    await pending.is_over.wait()

    def _answer(self, query: OriginQuery) -> OriginAnswer:
        recorded = self._table.version(query.attempt, query.service)
        only = self._versions.proven_only(query.service)
        return OriginAnswer(
            query.number,
            recorded or only,
            is_inferred=recorded is None,
            is_mixed=self._versions.is_mixed(query.service),
        )

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now - self._refreshed_at > REFRESH_SECONDS:
            self._refreshed_at = now
            self._holders.refresh()


def _drop(_content: bytes, _endpoint: Endpoint) -> None:
    """Discard a datagram, since there is no socket yet."""
