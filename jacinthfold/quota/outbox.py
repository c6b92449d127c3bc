"""Batch messages about caps by receiving host."""

import asyncio
from collections.abc import Callable

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.quota.messages import Message, QuotaDatagram, encode

Endpoint = tuple[str, int]
# Each message takes some 40 bytes.
MAX_DATAGRAM_MESSAGES = 200


class Outbox:
    """Collect messages within one turn of the event loop and send them."""

    __slots__ = (
        '_counts',
        '_is_flush_scheduled',
        '_incarnation',
        '_name',
        '_pending',
        'send',
    )

    def __init__(self, own: HostRecord) -> None:
        """Set the sending host."""
        self._name = own.name
        self._incarnation = own.incarnation
        self._pending: dict[Endpoint, QuotaDatagram] = {}
        self._counts: dict[Endpoint, int] = {}
        self._is_flush_scheduled = False
        self.send: Callable[[bytes, Endpoint], None] = _drop

    def put(self, endpoint: Endpoint, message: Message) -> None:
        """Queue a message for this turn of the event loop."""
        datagram = self._pending.get(endpoint)
        if datagram is None:
            datagram = QuotaDatagram(self._name, self._incarnation)
            self._pending[endpoint] = datagram
            self._counts[endpoint] = 0
        datagram.add(message)
        self._counts[endpoint] += 1
        if self._counts[endpoint] >= MAX_DATAGRAM_MESSAGES:
            self._pending.pop(endpoint)
            self.send(encode(datagram), endpoint)
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        batch = self._pending
        self._pending = {}
        for endpoint, datagram in batch.items():
            self.send(encode(datagram), endpoint)


def _drop(_content: bytes, _endpoint: Endpoint) -> None:
    """Discard a datagram, since there is no socket yet."""
