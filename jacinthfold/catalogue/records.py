"""Hold this host's copy of the metadata store's records."""

from collections import deque
from collections.abc import Callable, Iterable

from jacinthfold import logs
from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.listeners import CatalogueListener, Notifier
from jacinthfold.catalogue.model import HostRecord, RouteTable
from jacinthfold.catalogue.origin import (
    RESTORATION_SOURCE,
    STORE_SOURCE,
    ChangeOrigin,
)
from jacinthfold.catalogue.record import (
    Record,
    RecordKind,
    RecordReader,
    UnreadableRecordError,
)
from jacinthfold.catalogue.restoration import (
    Restoration,
    is_older_configuration,
)
from jacinthfold.catalogue.revision import (
    counter_of,
    era_of,
    log_fields,
)
from jacinthfold.clock import Clock

# Removals remembered to answer hosts that request changes.
MAX_REMEMBERED_REMOVALS = 500
# Keys of other writers may be long; log lines show no more than this.
MAX_LOGGED_KEY_CHARACTERS = 80
MAX_LOGGED_KEYS = 10


class Catalogue:
    """Hold records by key and notify listeners of changes."""

    def __init__(
        self,
        reader: RecordReader,
        read_host: Callable[[bytes], HostRecord],
        clock: Clock,
    ) -> None:
        """Start without records."""
        self._reader = reader
        self._clock = clock
        self._records: dict[str, Record] = {}
        self._notifier = Notifier(reader, read_host)
        self._listeners = self._notifier.listeners
        self._removals: deque[Record] = deque()
        # All removals after this revision are in the queue.
        self._removals_since = 0
        self._restoration: Restoration | None = None
        self.revision = 0
        self.restoration_count = 0
        # Records that were dropped because nobody repeated them.
        self.dropped_count = 0
        self.changed_at = clock.monotonic()
        self.freshness = Freshness(clock)

    @property
    def origin(self) -> ChangeOrigin:
        """Return where the change came from that listeners hear of."""
        return self._notifier.origin

    @property
    def routes(self) -> RouteTable | None:
        """Return the operator's configuration in force, None before it."""
        return self._notifier.routes

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres that are being evacuated."""
        return self._notifier.evacuated

    @property
    def era(self) -> int:
        """Return the store's era at this host's revision."""
        return era_of(self.revision)

    def revision_fields(self) -> dict[str, int]:
        """Return the revision as fields of a log line or dump."""
        return log_fields(self.revision)

    def subscribe(self, listener: CatalogueListener) -> None:
        """Notify a listener of each change from now on."""
        self._listeners.append(listener)

    def records(self) -> list[Record]:
        """Return all records.

        While a store that came back from a copy is not trusted for a key yet,
        this includes both its record and the one in use.
        """
        held_back = self._restoration.overruled if self._restoration else {}
        return [*self._records.values(), *held_back.values()]

    def changes_since(self, revision: int) -> list[Record] | None:
        """Return changes after a revision, None if some are forgotten."""
        if revision < self._removals_since:
            return None
        known = [*self._records.values(), *self._removals]
        return [record for record in known if record.revision > revision]

    def apply(
        self,
        records: Iterable[Record],
        revision: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Apply changes up to a revision of the store."""
        # Changes alone don't lead from one era to the next.
        if self.revision and era_of(revision) != self.era:
            self._log_outdated(revision, source)
            return
        # All records at this host's revision are known, so an older one that is
        # missing was removed. A watch that hangs returns such a record after a
        # snapshot with its removal, which the store doesn't send again.
        newer = [record for record in records if self._is_newer(record)]
        self._apply_all(newer, revision, source)

    def replace(
        self,
        records: Iterable[Record],
        revision: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Replace all records by a list read at a revision or later."""
        # A list older than the current records would restore removed ones,
        # and requests would be sent to targets that are gone.
        if revision < self.revision:
            self._log_outdated(revision, source)
            return
        listed = list(records)
        is_restored = self._is_restored(listed, revision)
        before = self.revision
        if is_restored:
            self._restoration = Restoration(
                self._reader, revision, self._removals, self._clock.boottime()
            )
        # Removals before the list was read are not in it.
        self._removals_since = max(self._removals_since, revision)
        listed_keys = {record.key for record in listed}
        missing = [
            known
            for key, known in self._records.items()
            if key not in listed_keys and known.revision <= revision
        ]
        # What is missing in a copy is written again or dropped later.
        removed = [
            Record(known.key, revision, None)
            for known in missing
            if era_of(known.revision) == era_of(revision)
        ]
        self._apply_all([*listed, *removed], revision, source)
        if is_restored:
            self._report_restored(before, len(missing) - len(removed))

    def settle(self) -> None:
        """Drop what no writer has repeated since the store came back."""
        restoration = self._restoration
        if restoration is None:
            return
        now = self._clock.boottime()
        if restoration.is_missing_due(now):
            restoration.has_dropped_missing = True
            self._drop_unconfirmed(restoration, now)
        if restoration.is_over(now):
            self._end_restoration(restoration, now)

    def _log_outdated(self, revision: int, source: str) -> None:
        logs.warning(
            'records_outdated',
            **log_fields(revision),
            known=counter_of(self.revision),
            known_era=self.era,
            learned_from=source,
        )

    def _is_restored(self, listed: list[Record], revision: int) -> bool:
        era = era_of(revision)
        if self.revision and era > self.era:
            return True
        # The list is another host's, which keeps records that are missing in
        # the copy.
        return self._restoration is None and any(
            era_of(record.revision) < era for record in listed
        )

    def _report_restored(self, before: int, missing_count: int) -> None:
        restoration = self._restoration
        self.restoration_count += 1
        logs.warning(
            'store_restored',
            **log_fields(self.revision),
            era_before=era_of(before),
            revision_before=counter_of(before),
            records=len(self._records),
            missing=missing_count,
            overruled=len(restoration.overruled) if restoration else 0,
        )
        self._notifier.notify_restored()

    def _drop_unconfirmed(self, restoration: Restoration, now: float) -> None:
        """Drop records of earlier eras, but for those of operators."""
        # An evacuation that was missed would send requests to targets that are
        # being shut down, so it ends only with the restoration. A configuration
        # stays until a newer one is written.
        kinds = {RecordKind.ROUTES}
        if not restoration.is_over(now):
            kinds.add(RecordKind.EVACUATION)
        dropped = [
            known
            for key, known in self._records.items()
            if era_of(known.revision) < self.era
            and key not in restoration.overruled
            and self._reader.kind_of(key)[0] not in kinds
        ]
        self._notifier.origin = self._restoration_origin(restoration, now)
        for known in dropped:
            self._apply_one(Record(known.key, self.revision, None))
        if dropped:
            self.dropped_count += len(dropped)
            logs.event(
                'records_not_repeated',
                count=len(dropped),
                keys=','.join(one.key for one in dropped[:MAX_LOGGED_KEYS]),
            )

    def _end_restoration(self, restoration: Restoration, now: float) -> None:
        self._drop_unconfirmed(restoration, now)
        self._restoration = None
        self._notifier.origin = self._restoration_origin(restoration, now)
        for record in restoration.overruled.values():
            self._apply_one(record)
        logs.event(
            'store_restoration_over',
            **log_fields(self.revision),
            taken=len(restoration.overruled),
        )

    def _restoration_origin(
        self, restoration: Restoration, now: float
    ) -> ChangeOrigin:
        return ChangeOrigin(
            self.revision, RESTORATION_SOURCE, restoration.elapsed_seconds(now)
        )

    def _is_newer(self, record: Record) -> bool:
        return record.revision > self.revision or record.key in self._records

    def _apply_all(
        self, records: Iterable[Record], revision: int, source: str
    ) -> None:
        for record in sorted(records, key=_by_revision):
            self._notifier.origin = ChangeOrigin(
                record.revision,
                source,
                self.freshness.age_before(record.revision),
            )
            self._apply_one(record)
        self._advance(revision)

    def _remember_removal(self, record: Record) -> None:
        self._removals.append(record)
        if len(self._removals) > MAX_REMEMBERED_REMOVALS:
            self._removals_since = self._removals.popleft().revision

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            self.changed_at = self._clock.monotonic()
            self.freshness.advance(revision)

    def _apply_one(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is not None and known.revision >= record.revision:
            return
        if self._is_overruled(known, record):
            return
        if record.content is None:
            # Remembered even if the record was never known here: a host that
            # knows it may fetch its removal from this one.
            self._remember_removal(record)
            if known is None:
                return
            self._records.pop(record.key)
        else:
            self._records[record.key] = record
        try:
            self._notifier.notify(record)
        except UnreadableRecordError as error:
            logs.error(
                'record_unreadable',
                key=record.key[:MAX_LOGGED_KEY_CHARACTERS],
                **log_fields(record.revision),
                reason=str(error),
            )
            if known is not None:
                self._notifier.withdraw(record)

    def _is_overruled(self, known: Record | None, record: Record) -> bool:
        """Return whether the record is of a copy and known to be outdated."""
        if self._restoration and self._restoration.overrules(known, record):
            return True
        is_other_era = known is not None and (
            era_of(known.revision) < era_of(record.revision)
        )
        version = self.routes.version if self.routes else 0
        return is_other_era and is_older_configuration(
            self._reader, version, record
        )


def _by_revision(record: Record) -> int:
    return record.revision
