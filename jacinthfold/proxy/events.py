"""Split a stream of server-sent events, so that only whole ones are passed."""

_BLANK_LINES = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


class EventSplitter:
    """Collect bytes into whole events and follow their identifiers."""

    def __init__(self, last_event_id: str = '') -> None:
        """Take the identifier after which events are wanted."""
        self._incomplete = b''
        self.last_event_id = last_event_id
        self.count = 0

    @property
    def incomplete(self) -> bytes:
        """Return bytes of an event that is not whole."""
        return self._incomplete

    def feed(self, content: bytes) -> bytes:
        """Return the whole events that bytes have completed."""
        self._incomplete += content
        passed: list[bytes] = []
        while True:
            end = _event_end(self._incomplete)
            if end < 0:
                return b''.join(passed)
            event = self._incomplete[:end]
            self._incomplete = self._incomplete[end:]
            if self._is_wanted(event):
                passed.append(event)

    def _is_wanted(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if not event_id:
            return True
        # A target that goes on with a stream may begin with the event that
        # the caller has; passed on, the text would repeat.
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
