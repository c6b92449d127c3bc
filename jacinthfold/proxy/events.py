"""Split a stream of server-sent events, so that only whole ones are passed."""

_BLANK_LINES = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


class EventSplitter:
    """Collect bytes into whole events and follow their identifiers."""

    def __init__(self, last_event_id: str = '') -> None:
        """Take the identifier after which events are wanted."""
        self._rest = b''
        self.last_event_id = last_event_id
        self.count = 0

    @property
    def rest(self) -> bytes:
        """Return bytes of an event that is not whole."""
        return self._rest

    def feed(self, content: bytes) -> bytes:
        """Return the whole events that bytes have completed."""
        self._rest += content
        passed: list[bytes] = []
        while True:
            end = _event_end(self._rest)
            if end < 0:
                return b''.join(passed)
            event = self._rest[:end]
            self._rest = self._rest[end:]
            if self._is_wanted(event):
                passed.append(event)

    def _is_wanted(self, event: bytes) -> bool:
        number = _event_id(event)
        if not number:
            return True
        # A target that goes on with a stream may begin with the event that
        # the caller has; passed on, the text would repeat.
        if _is_seen(number, self.last_event_id):
            return False
        self.last_event_id = number
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


def _is_seen(number: str, last: str) -> bool:
    if number.isdigit() and last.isdigit():
        return int(number) <= int(last)
    return bool(last) and number == last
