"""Send messages about caps, those to one host together."""

import asyncio
from collections.abc import Callable

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.quota.messages import Message, QuotaDatagram, encode

Place = tuple[str, int]
# Messages of one datagram: each is some 40 bytes.
MESSAGES_LIMIT = 200


class Post:
    """Gather messages within one turn of the loop, and send them."""

    __slots__ = ('_counts', '_is_due', '_life', '_name', '_open', 'send')

    def __init__(self, own: HostRecord) -> None:
        """Take who sends."""
        self._name = own.name
        self._life = own.incarnation
        self._open: dict[Place, QuotaDatagram] = {}
        self._counts: dict[Place, int] = {}
        self._is_due = False
        self.send: Callable[[bytes, Place], None] = _drop

    def put(self, place: Place, message: Message) -> None:
        """Send a message with the others of this turn."""
        datagram = self._open.get(place)
        if datagram is None:
            datagram = QuotaDatagram(self._name, self._life)
            self._open[place] = datagram
            self._counts[place] = 0
        datagram.add(message)
        self._counts[place] += 1
        if self._counts[place] >= MESSAGES_LIMIT:
            self._open.pop(place)
            self.send(encode(datagram), place)
        elif not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_due = False
        leaving = self._open
        self._open = {}
        for place, datagram in leaving.items():
            self.send(encode(datagram), place)


def _drop(_content: bytes, _place: Place) -> None:
    """Send nothing: there is no socket yet."""
