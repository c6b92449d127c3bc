"""Bound the bytes of answers that a host holds before it passes them on."""

from jacinthfold.transport.errors import MalformedResponseError
from jacinthfold.transport.memory import Reservation


class BodyBuffer:
    """Hold one answer, whose bytes a reservation counts.

    A target that fails may send bytes without end.
    """

    __slots__ = ('_chunks', '_limit_bytes', '_reservation', '_size')

    def __init__(self, reservation: Reservation, limit_bytes: int) -> None:
        """Start empty, with a limit of its own."""
        self._reservation = reservation
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Append bytes.

        Raise MalformedResponseError if the answer is too large, and
        MemoryScarceError if all answers together are.
        """
        self._size += len(chunk)
        if self._size > self._limit_bytes:
            raise MalformedResponseError(f'body over {self._limit_bytes} bytes')
        self._reservation.grow(len(chunk))
        self._chunks.append(chunk)

    def content(self) -> bytes:
        """Return all bytes."""
        return b''.join(self._chunks)
