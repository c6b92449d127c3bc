"""Bridge the time until writers have repeated what the store lost.

A store that comes back from a copy lacks its newest changes until the operator,
the targets and the hosts have written them again. A host that knows them must
not fall back to the copy meanwhile, nor keep for good what nobody repeats.
"""

from collections.abc import Iterable, Mapping

from jacinthfold.catalogue.record import (
    Record,
    RecordKind,
    RecordReader,
    UnreadableRecordError,
)
from jacinthfold.catalogue.revision import era_of

# Targets and hosts write their records again within about two seconds; the
# rest is for the batches in which changes arrive.
MISSING_SECONDS = 2.5
# A target that is gone may stand in the copy again. Its record expires after
# three heartbeats of 1.2 s that are missing.
OVERRULED_SECONDS = 5.0
# Kinds of records that a copy may show again after their end.
_ENDING_KINDS = frozenset(
    (RecordKind.TARGET, RecordKind.HOST, RecordKind.EVACUATION)
)


class Restoration:
    """Decide between this host's records and those of a restored store."""

    __slots__ = (
        '_began_at',
        '_overruled',
        '_reader',
        '_removed',
        'has_dropped_missing',
        'revision',
    )

    def __init__(
        self,
        reader: RecordReader,
        revision: int,
        removed: Iterable[Record],
        now: float,
    ) -> None:
        """Begin with the revision of a list and the removals known here."""
        self._reader = reader
        self.revision = revision
        self._removed = {one.key: one.revision for one in removed}
        self._overruled: dict[str, Record] = {}
        self._began_at = now
        self.has_dropped_missing = False

    @property
    def overruled(self) -> Mapping[str, Record]:
        """Return records of the store that don't count yet, by key."""
        return self._overruled

    def elapsed_seconds(self, now: float) -> float:
        """Return the time since this host learned of the restored store."""
        return now - self._began_at

    def is_missing_due(self, now: float) -> bool:
        """Return whether records that nobody repeated must be dropped now."""
        is_due = self.elapsed_seconds(now) >= MISSING_SECONDS
        return is_due and not self.has_dropped_missing

    def is_over(self, now: float) -> bool:
        """Return whether the store's records count as they are."""
        return self.elapsed_seconds(now) >= OVERRULED_SECONDS

    def overrules(self, known: Record | None, record: Record) -> bool:
        """Return whether what is known here wins over a record for now."""
        if record.content is None or record.revision > self.revision:
            # It was written after the store came back.
            self._removed.pop(record.key, None)
            self._overruled.pop(record.key, None)
            return False
        if era_of(record.revision) < era_of(self.revision):
            # Another host keeps it and may have missed its removal.
            return record.revision <= self._removed.get(record.key, 0)
        if known is None:
            is_overruled = self._has_ended(record)
        else:
            is_overruled = self._is_ahead(known, record)
        if is_overruled:
            self._overruled[record.key] = record
        return is_overruled

    def _has_ended(self, record: Record) -> bool:
        kind, _ = self._reader.kind_of(record.key)
        return kind in _ENDING_KINDS and record.key in self._removed

    def _is_ahead(self, known: Record, record: Record) -> bool:
        if known.content == record.content:
            return False
        kind, _ = self._reader.kind_of(record.key)
        return kind is RecordKind.TARGET and is_target_ahead(
            self._reader, known, record
        )


def is_target_ahead(
    reader: RecordReader, known: Record, record: Record
) -> bool:
    """Return whether a target has gone on since a record of it was written."""
    return _target_progress(reader, known) > _target_progress(reader, record)


def is_older_configuration(
    reader: RecordReader, version: int, record: Record
) -> bool:
    """Return whether a record has an older configuration than a version."""
    if reader.kind_of(record.key)[0] is not RecordKind.ROUTES:
        return False
    if record.content is None:
        return False
    try:
        return reader.read_routes(record.content).version < version
    except UnreadableRecordError:
        return False


def _target_progress(
    reader: RecordReader, record: Record
) -> tuple[float, bool]:
    """Return what only grows: a target's start, and whether it leaves."""
    _, name = reader.kind_of(record.key)
    try:
        target = reader.read_target(name, record.content or b'')
    except UnreadableRecordError:
        return -1, False
    return target.started_at_ms or 0, target.is_draining
