"""Find in the metadata store's records where a stream began."""

from jacinthfold import logs
from jacinthfold.streams import origin_record

# Attempts of one record, with the service and version of each.
_Origins = dict[int, tuple[str, str]]


class StoredOrigins:
    """Hold the records of all hosts, those of earlier incarnations too.

    Records are decoded when they are first searched: streams are taken up
    rarely, and records come with every second.
    """

    __slots__ = ('_contents', '_decoded')

    def __init__(self) -> None:
        """Start without records."""
        self._contents: dict[str, bytes] = {}
        self._decoded: dict[str, _Origins] = {}

    def apply(self, name: str, content: bytes | None) -> None:
        """Replace a record; None if it is gone."""
        self._decoded.pop(name, None)
        if content is None:
            self._contents.pop(name, None)
        else:
            self._contents[name] = content

    def version(self, attempt: int, service: str) -> str | None:
        """Return the version that began a stream, None if not one is known."""
        found = set()
        for name in self._contents:
            origin = self._origins(name).get(attempt)
            if origin is not None and origin[0] == service:
                found.add(origin[1])
        return found.pop() if len(found) == 1 else None

    def _origins(self, name: str) -> _Origins:
        decoded = self._decoded.get(name)
        if decoded is None:
            decoded = _decode(name, self._contents[name])
            self._decoded[name] = decoded
        return decoded


def _decode(name: str, content: bytes) -> _Origins:
    try:
        notices = origin_record.decode(content)
    except ValueError as error:
        logs.warning('origins_unreadable', record=name, reason=str(error))
        return {}
    return {
        attempt: (notice.service, notice.version)
        for notice in notices
        for attempt in notice.attempts
    }
