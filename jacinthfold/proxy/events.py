"""Split a stream of server-sent events to forward only complete ones."""

from jacinthfold.transport.errors import MalformedResponseError

# A line ends with LF, CRLF or CR; the second one also ends CRLF CRLF.
_BLANK_LINES = (b'\n\n', b'\n\r\n', b'\r\r')
# Far above any event; a target that fails may send one without end.
MAX_EVENT_BYTES = 1048576
_ID_FIELD = b'id:'
_COMMENT = b':'


class EventSplitter:
    """Assemble bytes into complete events and track their identifiers."""

    def __init__(self, last_event_id: str = '') -> None:
        """Start after the event with this identifier."""
        self._incomplete = b''
        self.last_event_id = last_event_id
        self.count = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the last, incomplete event."""
        return self._incomplete

    @property
    def is_inside_event(self) -> bool:
        """Check whether an event has begun that isn't complete."""
        return any(
            line and not line.startswith(_COMMENT)
            for line in self._incomplete.splitlines()
        )

    def feed(self, content: bytes) -> bytes:
        """Return the events that these bytes complete.

        Raise MalformedResponseError if an event is too large.
        """
        self._incomplete += content
        wanted_events: list[bytes] = []
        while True:
            end = _event_end(self._incomplete)
            if end < 0:
                break
            event = self._incomplete[:end]
            self._incomplete = self._incomplete[end:]
            if self._is_wanted(event):
                wanted_events.append(event)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise MalformedResponseError(f'event over {MAX_EVENT_BYTES} bytes')
        return b''.join(wanted_events)

    def _is_wanted(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if not event_id:
            return True
        # A target that resumes a stream may begin with an event that the
        # caller already has; forwarded again, the text would repeat.
        if _is_seen(event_id, self.last_event_id):
            return False
        self.last_event_id = event_id
        self.count += 1
        return True


def _event_end(content: bytes) -> int:
    ends = [
        found + len(mark)
        for mark in _BLANK_LINES
        if (found := content.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('latin-1')
    return ''


def _is_seen(event_id: str, last_event_id: str) -> bool:
    if event_id.isdigit() and last_event_id.isdigit():
        return int(event_id) <= int(last_event_id)
    return bool(last_event_id) and event_id == last_event_id
