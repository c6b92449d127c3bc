"""Know which entry hosts there are and which of them serve."""

from collections.abc import Iterable
from enum import Enum

from jacinthfold import logs
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.clock import Clock

# Heartbeats come every 200 ms in a region and every 400 ms across: five lost
# in a row are no chance on links that lose 3 in 100.
SILENCE_SECONDS = 2.0
# A host that fell silent is dropped after this; until then its name still
# counts for what is split among hosts.
FORGET_SECONDS = 30.0


class HostState(Enum):
    """Say what an entry host is doing."""

    STARTING = 'starting'
    ACTIVE = 'active'
    LEAVING = 'leaving'


class HostEntry:
    """Hold a host and what its last heartbeat said."""

    __slots__ = (
        'heard_at',
        'is_registered',
        'reaches_store',
        'reads_packed',
        'record',
        'revision',
        'state',
    )

    def __init__(self, record: HostRecord) -> None:
        """Take how the host is reached."""
        self.record = record
        self.state = HostState.STARTING
        self.heard_at = float('-inf')
        self.revision = 0
        self.is_registered = False
        self.reaches_store = True
        self.reads_packed = False


class HostTable:
    """Hold the entry hosts by name."""

    def __init__(self, own: HostRecord, clock: Clock) -> None:
        """Start alone."""
        self.own = own
        self.own_state = HostState.STARTING
        self._clock = clock
        self._entries: dict[str, HostEntry] = {}

    def register(self, record: HostRecord | None, name: str) -> None:
        """Take a host's record from the store, or that it is gone."""
        if name == self.own.name:
            return
        entry = self._entries.get(name)
        if record is None:
            if entry is not None:
                entry.is_registered = False
            return
        self._enter(record).is_registered = True

    def note_heartbeat(
        self,
        record: HostRecord,
        state: HostState,
        revision: int,
        *,
        reaches_store: bool = True,
        reads_packed: bool = False,
    ) -> None:
        """Take a heartbeat; one of an earlier incarnation changes nothing."""
        if record.name == self.own.name:
            return
        entry = self._enter(record)
        if entry.record.incarnation > record.incarnation:
            return
        was_live = self._is_live(entry)
        if entry.state is not state or not was_live:
            logs.event(
                'host_heard',
                peer=record.name,
                region=record.region,
                state=state.value,
                revision=revision,
            )
        # A late datagram must not make a leaving host active again.
        if entry.state is not HostState.LEAVING or not was_live:
            entry.state = state
        entry.heard_at = self._clock.monotonic()
        entry.revision = revision
        entry.reaches_store = reaches_store
        entry.reads_packed = reads_packed

    def others(self) -> list[HostEntry]:
        """Return all other hosts that may be alive."""
        now = self._clock.monotonic()
        for name, entry in list(self._entries.items()):
            is_old = now - entry.heard_at > FORGET_SECONDS
            if is_old and not entry.is_registered:
                self._entries.pop(name)
        return list(self._entries.values())

    def serving(self, region: str) -> list[HostRecord]:
        """Return hosts of a region that take requests, the own one too."""
        found = [
            entry.record
            for entry in self._entries.values()
            if entry.record.region == region
            and entry.state is HostState.ACTIVE
            and self._is_live(entry)
        ]
        if self.own.region == region and self.own_state is HostState.ACTIVE:
            found.append(self.own)
        return found

    def regions(self) -> set[str]:
        """Return the regions of all hosts known."""
        return {
            self.own.region,
            *(entry.record.region for entry in self._entries.values()),
        }

    def names_in(self, region: str) -> list[str]:
        """Return the names of a region's hosts, live or not."""
        return [
            entry.record.name
            for entry in self._entries.values()
            if entry.record.region == region
            and (entry.is_registered or self._is_live(entry))
        ]

    def heard_at(self, name: str) -> float:
        """Return when a host was last heard, by the clock of this table."""
        entry = self._entries.get(name)
        return entry.heard_at if entry else float('-inf')

    def reaching_store(self, data_centre: str) -> list[str]:
        """Return names of live hosts of a data centre that reach the store."""
        return [
            entry.record.name
            for entry in self._entries.values()
            if entry.record.data_centre == data_centre
            and entry.reaches_store
            and entry.state is HostState.ACTIVE
            and self._is_live(entry)
        ]

    def ahead_of(self, revision: int) -> list[HostEntry]:
        """Return live hosts that know a newer revision of the store."""
        return [
            entry
            for entry in self._entries.values()
            if self._is_live(entry) and entry.revision > revision
        ]

    def _enter(self, record: HostRecord) -> HostEntry:
        entry = self._entries.get(record.name)
        if entry is None:
            entry = HostEntry(record)
            self._entries[record.name] = entry
        if record.incarnation > entry.record.incarnation:
            entry.record = record
            entry.state = HostState.STARTING
        return entry

    def _is_live(self, entry: HostEntry) -> bool:
        return self._clock.monotonic() - entry.heard_at < SILENCE_SECONDS


def names(records: Iterable[HostRecord]) -> list[str]:
    """Return the names of hosts."""
    return [record.name for record in records]
