"""Bound the bytes of answers that a host holds before it passes them on."""

from jacinthfold.transport.errors import MalformedResponseError

# Answers of this size are held however many there are.
FREE_BYTES = 262144
# Of larger answers, over all requests of this host. Small hosts have 160 MB.
MAX_TOTAL_BYTES = 33554432


class BodyBuffers:
    """Count the bytes of large answers that are held at the same time."""

    __slots__ = ('max_bytes', 'total_bytes')

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES) -> None:
        """Start with nothing held."""
        self.max_bytes = max_bytes
        self.total_bytes = 0


class BodyBuffer:
    """Hold one answer; raise MalformedResponseError if it is too large.

    A target that fails may send bytes without end.
    """

    __slots__ = ('_all', '_chunks', '_counted_bytes', '_limit_bytes', '_size')

    def __init__(self, buffers: BodyBuffers, limit_bytes: int) -> None:
        """Start empty, with a limit of its own and one shared with others."""
        self._all = buffers
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size = 0
        self._counted_bytes = 0

    def __enter__(self) -> 'BodyBuffer':
        """Return the buffer, which counts until the end of the block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Count the bytes no longer."""
        self._all.total_bytes -= self._counted_bytes
        self._counted_bytes = 0

    def add(self, chunk: bytes) -> None:
        """Append bytes."""
        self._chunks.append(chunk)
        self._size += len(chunk)
        size = self._size
        if size > self._limit_bytes:
            raise MalformedResponseError(f'body over {self._limit_bytes} bytes')
        if size <= FREE_BYTES:
            return
        self._all.total_bytes += size - self._counted_bytes
        self._counted_bytes = size
        if self._all.total_bytes > self._all.max_bytes:
            raise MalformedResponseError(
                f'{self._all.total_bytes} bytes of large answers are held'
            )

    def content(self) -> bytes:
        """Return all bytes."""
        return b''.join(self._chunks)


# All answers of this process share its memory.
process_buffers = BodyBuffers()
