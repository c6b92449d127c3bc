"""Bound the bytes of answers that a host holds before it passes them on."""

from jacinthfold.transport.errors import MalformedResponseError
from jacinthfold.transport.memory import Reservation


class BodyBuffer:
    """Hold one answer, whose bytes a reservation counts.

    A target that fails may send bytes without end.
    """

    __slots__ = ('_content', '_limit_bytes', '_reservation')

    def __init__(self, reservation: Reservation, limit_bytes: int) -> None:
        """Start empty, with a limit of its own."""
        self._reservation = reservation
        self._limit_bytes = limit_bytes
        # Chunks of a few bytes would each cost an object.
        self._content = bytearray()

    def add(self, chunk: bytes) -> None:
        """Append bytes.

        Raise MalformedResponseError if the answer is too large, and
        MemoryScarceError if all answers together are.
        """
        if len(self._content) + len(chunk) > self._limit_bytes:
            raise MalformedResponseError(f'body over {self._limit_bytes} bytes')
        self._reservation.grow(len(chunk))
        self._content += chunk

    def content(self) -> bytes:
        """Return all bytes."""
        return bytes(self._content)
