"""Know which entry hosts there are and which of them serve."""

from collections.abc import Iterable
from enum import Enum

from jacinthfold import logs
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.clock import Clock

# Heartbeats come every 200 ms in a region and every 400 ms across: five lost
# in a row are no chance on links that lose 3 in 100.
HOST_TIMEOUT_SECONDS = 2.0
# A host that fell silent is dropped after this; until then its name still
# counts for what is split among hosts.
EXPIRY_SECONDS = 30.0
# How often that is looked at.
EXPIRY_CHECK_INTERVAL_SECONDS = 1.0


class HostState(Enum):
    """Say what an entry host is doing."""

    STARTING = 'starting'
    ACTIVE = 'active'
    LEAVING = 'leaving'


class HostStatus:
    """Hold what a host says of itself."""

    __slots__ = (
        'reaches_store',
        'supports_digests',
        'supports_compression',
        'revision',
        'state',
    )

    def __init__(
        self,
        state: HostState,
        revision: int = 0,
        *,
        reaches_store: bool = True,
        supports_compression: bool = False,
        supports_digests: bool = False,
    ) -> None:
        """Take its state, the store's revision it knows, what it can do."""
        self.state = state
        self.revision = revision
        self.reaches_store = reaches_store
        self.supports_compression = supports_compression
        self.supports_digests = supports_digests


class HostEntry:
    """Hold a host and what its last heartbeat said."""

    __slots__ = ('heard_at', 'is_registered', 'record', 'status')

    def __init__(self, record: HostRecord) -> None:
        """Take how the host is reached."""
        self.record = record
        self.status = HostStatus(HostState.STARTING)
        self.heard_at = float('-inf')
        self.is_registered = False

    @property
    def state(self) -> HostState:
        """Return what the host is doing."""
        return self.status.state

    @property
    def supports_compression(self) -> bool:
        """Tell whether the host reads packed heartbeats."""
        return self.status.supports_compression


class HostTable:
    """Hold the entry hosts by name."""

    def __init__(self, own: HostRecord, clock: Clock) -> None:
        """Start alone."""
        self.own = own
        self.own_state = HostState.STARTING
        self._clock = clock
        self._entries: dict[str, HostEntry] = {}
        self._expiry_checked_at = clock.monotonic()

    def register(self, record: HostRecord | None, name: str) -> None:
        """Take a host's record from the store, or that it is gone."""
        if name == self.own.name:
            return
        entry = self._entries.get(name)
        if record is None:
            if entry is not None:
                entry.is_registered = False
            return
        self._upsert(record).is_registered = True

    def record_heartbeat(
        self,
        record: HostRecord,
        state: HostState,
        revision: int,
        *,
        reaches_store: bool = True,
        supports_compression: bool = False,
        supports_digests: bool = False,
    ) -> None:
        """Take a heartbeat; one of an earlier incarnation changes nothing."""
        if record.name == self.own.name:
            return
        entry = self._upsert(record)
        if entry.record.incarnation > record.incarnation:
            return
        status = HostStatus(
            state,
            revision,
            reaches_store=reaches_store,
            supports_compression=supports_compression,
            supports_digests=supports_digests,
        )
        self._update(entry, status, self._clock.monotonic())

    def add_record(self, record: HostRecord) -> None:
        """Take how a host is reached, of which nothing was heard directly."""
        if record.name != self.own.name:
            self._upsert(record)

    def record_report(
        self,
        name: str,
        incarnation: int,
        status: HostStatus,
        heard_at: float,
    ) -> None:
        """Take what another host heard of a host, and when."""
        entry = self._entries.get(name)
        if entry is None or entry.record.incarnation != incarnation:
            return
        now = self._clock.monotonic()
        if heard_at <= entry.heard_at or now - heard_at >= HOST_TIMEOUT_SECONDS:
            return
        is_live = now - entry.heard_at < HOST_TIMEOUT_SECONDS
        if is_live and entry.status.state is status.state:
            # Nearly always: 65 hosts are told of five times a second.
            entry.status = status
            entry.heard_at = heard_at
        else:
            self._update(entry, status, heard_at)

    def others(self) -> list[HostEntry]:
        """Return all other hosts that may be alive."""
        now = self._clock.monotonic()
        if now - self._expiry_checked_at > EXPIRY_CHECK_INTERVAL_SECONDS:
            self._expiry_checked_at = now
            self._expire(now)
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

    def registered(self) -> list[str]:
        """Return names of other hosts that the store lists."""
        return [
            name for name, entry in self._entries.items() if entry.is_registered
        ]

    def endpoint_of(self, name: str) -> tuple[str, int] | None:
        """Return where a host takes datagrams, None where it isn't known."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return entry.record.address, entry.record.relay_port

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
            and entry.status.reaches_store
            and entry.state is HostState.ACTIVE
            and self._is_live(entry)
        ]

    def active_in(self, data_centre: str, seconds: float) -> list[str]:
        """Return names of hosts of a data centre heard as active lately."""
        limit = self._clock.monotonic() - seconds
        found = [
            entry.record.name
            for entry in self._entries.values()
            if entry.heard_at > limit
            and entry.record.data_centre == data_centre
            and entry.state is HostState.ACTIVE
        ]
        is_own = self.own.data_centre == data_centre
        if is_own and self.own_state is HostState.ACTIVE:
            found.append(self.own.name)
        return found

    def entries(self, names: Iterable[str]) -> list[HostEntry]:
        """Return what is known of other hosts by their names."""
        found = [self._entries.get(name) for name in names]
        return [entry for entry in found if entry is not None]

    def others_in_own_region(self) -> list[HostEntry]:
        """Return the other hosts of the own region that may be alive."""
        region = self.own.region
        return [one for one in self.others() if one.record.region == region]

    def all_live_support_digests(self) -> bool:
        """Tell whether every live host of the region reads digests."""
        return all(
            entry.status.supports_digests
            for entry in self._entries.values()
            if entry.record.region == self.own.region and self._is_live(entry)
        )

    def ahead_of(self, revision: int) -> list[HostEntry]:
        """Return live hosts that know a newer revision of the store."""
        return [
            entry
            for entry in self._entries.values()
            if self._is_live(entry) and entry.status.revision > revision
        ]

    def _upsert(self, record: HostRecord) -> HostEntry:
        entry = self._entries.get(record.name)
        if entry is None:
            entry = HostEntry(record)
            self._entries[record.name] = entry
        if record.incarnation > entry.record.incarnation:
            entry.record = record
            entry.status = HostStatus(HostState.STARTING)
        return entry

    def _expire(self, now: float) -> None:
        for name, entry in list(self._entries.items()):
            is_expired = now - entry.heard_at > EXPIRY_SECONDS
            if is_expired and not entry.is_registered:
                self._entries.pop(name)

    def _update(
        self, entry: HostEntry, status: HostStatus, heard_at: float
    ) -> None:
        was_live = self._is_live(entry)
        # Of a large region far away each host is heard once in half a minute:
        # told each time, it would be five lines a second that say nothing.
        is_near = entry.record.region == self.own.region
        is_back = is_near and not was_live
        if entry.state is not status.state or is_back:
            logs.event(
                'host_heard',
                peer=entry.record.name,
                region=entry.record.region,
                state=status.state.value,
                revision=status.revision,
            )
        # A late datagram must not make a leaving host active again.
        if entry.state is HostState.LEAVING and was_live:
            status.state = HostState.LEAVING
        entry.status = status
        entry.heard_at = heard_at

    def _is_live(self, entry: HostEntry) -> bool:
        return self._clock.monotonic() - entry.heard_at < HOST_TIMEOUT_SECONDS
