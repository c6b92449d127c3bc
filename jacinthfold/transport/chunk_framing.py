"""Bound the framing of chunked bodies against their content."""

import h11

# Chunks of one to three bytes take more framing than content, and each of them
# costs as much as a large one. Servers that write byte by byte do so for short
# bodies only.
FREE_CHUNKS = 500
MIN_MEAN_CHUNK_BYTES = 4


class ChunkFraming:
    """Count the chunks of a body and the bytes that they hold."""

    __slots__ = ('_chunks', '_content_bytes')

    def __init__(self) -> None:
        """Start before the first chunk."""
        self._chunks = 0
        self._content_bytes = 0

    def add(self, event: h11.Data) -> None:
        """Count what has arrived of a body."""
        self._chunks += event.chunk_start
        self._content_bytes += len(event.data)

    @property
    def excess(self) -> str:
        """Return how the framing outweighs the content, '' if it doesn't."""
        if self._chunks <= FREE_CHUNKS:
            return ''
        if self._content_bytes >= self._chunks * MIN_MEAN_CHUNK_BYTES:
            return ''
        return f'{self._chunks} chunks hold {self._content_bytes} bytes'
