"""Track the other entry hosts and their liveness."""

from collections.abc import Iterable
from enum import Enum

from jacinthfold import logs
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.revision import era_of, log_fields
from jacinthfold.clock import Clock

# Heartbeats come every 200 ms within a region and every 400 ms across regions.
# At a packet loss of 3 % five in a row are not lost by chance.
HOST_TIMEOUT_SECONDS = 2.0
# A silent host is removed after this time. Until then its name still counts
# where something is divided among hosts.
EXPIRY_SECONDS = 30.0
EXPIRY_CHECK_INTERVAL_SECONDS = 1.0


class HostState(Enum):
    """Name the lifecycle states of an entry host."""

    STARTING = 'starting'
    ACTIVE = 'active'
    LEAVING = 'leaving'


class HostStatus:
    """Hold the state and capabilities that a host reports."""

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
        """Initialize a status at a revision of the metadata store."""
        self.state = state
        self.revision = revision
        self.reaches_store = reaches_store
        self.supports_compression = supports_compression
        self.supports_digests = supports_digests


class HostEntry:
    """Hold a host and its last reported status."""

    __slots__ = (
        'earlier_record',
        'heard_at',
        'heard_incarnation',
        'is_registered',
        'record',
        'status',
    )

    def __init__(self, record: HostRecord) -> None:
        """Initialize the entry of a host not heard from yet."""
        self.record = record
        self.status = HostStatus(HostState.STARTING)
        self.heard_at = float('-inf')
        # Of the last heartbeat, 0 before the first one.
        self.heard_incarnation = 0
        # What the record replaced; None if there was none.
        self.earlier_record: HostRecord | None = None
        self.is_registered = False

    @property
    def state(self) -> HostState:
        """Return the lifecycle state of the host."""
        return self.status.state

    @property
    def supports_compression(self) -> bool:
        """Return whether the host accepts compressed heartbeats."""
        return self.status.supports_compression

    @property
    def is_confirmed(self) -> bool:
        """Return whether the host itself has told of this incarnation."""
        return self.heard_incarnation >= self.record.incarnation

    def replace(self, record: HostRecord) -> None:
        """Take the record of another incarnation."""
        self.earlier_record = self.record
        self.record = record
        self.status = HostStatus(HostState.STARTING)

    def restore(self, incarnation: int) -> bool:
        """Take the earlier record back if the host never told of this one."""
        earlier = self.earlier_record
        if earlier is None or earlier.incarnation != incarnation:
            return False
        if self.is_confirmed:
            return False
        self.replace(earlier)
        return True


class HostTable:
    """Hold the other entry hosts by name."""

    def __init__(self, own: HostRecord, clock: Clock) -> None:
        """Start without other hosts."""
        self.own = own
        self.own_state = HostState.STARTING
        self._clock = clock
        self._entries: dict[str, HostEntry] = {}
        self._expiry_checked_at = clock.monotonic()

    def register(self, record: HostRecord | None, name: str) -> None:
        """Apply a host's record of the store, None if it was removed."""
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
        """Record a heartbeat, unless it is of an earlier incarnation."""
        if record.name == self.own.name:
            return
        entry = self._upsert(record)
        if entry.record.incarnation > record.incarnation:
            # The store may hold what another writer put in the place of the
            # host's record.
            if entry.is_confirmed:
                return
            entry.replace(record)
        elif not entry.record.has_endpoint_of(record):
            entry.record = record
        entry.heard_incarnation = record.incarnation
        status = HostStatus(
            state,
            revision,
            reaches_store=reaches_store,
            supports_compression=supports_compression,
            supports_digests=supports_digests,
        )
        self._update(entry, status, self._clock.monotonic())

    def add_record(self, record: HostRecord) -> None:
        """Add a host that sent nothing to this one directly."""
        if record.name != self.own.name:
            self._upsert(record)

    def record_report(
        self,
        name: str,
        incarnation: int,
        status: HostStatus,
        heard_at: float,
    ) -> None:
        """Record a status that another host received at a time."""
        entry = self._entries.get(name)
        if entry is None:
            return
        is_known = entry.record.incarnation == incarnation
        if not is_known and not entry.restore(incarnation):
            return
        entry.heard_incarnation = incarnation
        now = self._clock.monotonic()
        if heard_at <= entry.heard_at or now - heard_at >= HOST_TIMEOUT_SECONDS:
            return
        is_live = now - entry.heard_at < HOST_TIMEOUT_SECONDS
        if is_live and entry.status.state is status.state:
            # The usual case, kept fast: 65 hosts are reported five times a
            # second.
            entry.status = status
            entry.heard_at = heard_at
        else:
            self._update(entry, status, heard_at)

    def others(self) -> list[HostEntry]:
        """Return all other hosts that have not expired."""
        now = self._clock.monotonic()
        if now - self._expiry_checked_at > EXPIRY_CHECK_INTERVAL_SECONDS:
            self._expiry_checked_at = now
            self._expire(now)
        return list(self._entries.values())

    def serving(self, region: str) -> list[HostRecord]:
        """Return a region's live active hosts, including this one."""
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

    def live_count(self) -> int:
        """Return how many other hosts are live."""
        return sum(self._is_live(entry) for entry in self._entries.values())

    def regions(self) -> set[str]:
        """Return the regions of all known hosts."""
        return {
            self.own.region,
            *(entry.record.region for entry in self._entries.values()),
        }

    def names_in(self, region: str) -> list[str]:
        """Return the names of a region's other hosts, registered or live."""
        return [
            entry.record.name
            for entry in self._entries.values()
            if entry.record.region == region
            and (entry.is_registered or self._is_live(entry))
        ]

    def registered(self) -> list[str]:
        """Return the names of other hosts that the store lists."""
        return [
            name for name, entry in self._entries.items() if entry.is_registered
        ]

    def endpoint_of(self, name: str) -> tuple[str, int] | None:
        """Return the datagram endpoint of a host, None if unknown."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return entry.record.address, entry.record.relay_port

    def heard_at(self, name: str) -> float:
        """Return the monotonic time of a host's last status in seconds."""
        entry = self._entries.get(name)
        return entry.heard_at if entry else float('-inf')

    def reaching_store(self, data_centre: str, era: int = 0) -> list[str]:
        """Return names of a data centre's active hosts that reach the store.

        Hosts that know only an earlier era of it are left out.
        """
        return [
            entry.record.name
            for entry in self._entries.values()
            if entry.record.data_centre == data_centre
            and entry.status.reaches_store
            and era_of(entry.status.revision) >= era
            and entry.state is HostState.ACTIVE
            and self._is_live(entry)
        ]

    def active_in(self, data_centre: str, seconds: float) -> list[str]:
        """Return names of a data centre's hosts active in the last seconds."""
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
        """Return the entries of those names that are known."""
        found = [self._entries.get(name) for name in names]
        return [entry for entry in found if entry is not None]

    def others_in_own_region(self) -> list[HostEntry]:
        """Return this region's other hosts that have not expired."""
        region = self.own.region
        return [one for one in self.others() if one.record.region == region]

    def all_live_support_digests(self) -> bool:
        """Return whether all live hosts of the region accept digests."""
        return all(
            entry.status.supports_digests
            for entry in self._entries.values()
            if entry.record.region == self.own.region and self._is_live(entry)
        )

    def ahead_of(self, revision: int) -> list[HostEntry]:
        """Return live hosts that are at a newer revision of the store."""
        return [
            entry
            for entry in self._entries.values()
            if self._is_live(entry) and entry.status.revision > revision
        ]

    def newest_revision(self) -> int:
        """Return the newest revision that live hosts tell of, 0 if none do."""
        return max(
            (
                entry.status.revision
                for entry in self._entries.values()
                if self._is_live(entry)
            ),
            default=0,
        )

    def _upsert(self, record: HostRecord) -> HostEntry:
        entry = self._entries.get(record.name)
        if entry is None:
            entry = HostEntry(record)
            self._entries[record.name] = entry
        if record.incarnation > entry.record.incarnation:
            entry.replace(record)
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
        # Each host of a large remote region is heard from about twice a minute;
        # logging each return would add five useless lines a second.
        is_near = entry.record.region == self.own.region
        is_back = is_near and not was_live
        if entry.state is not status.state or is_back:
            logs.event(
                'host_heard',
                peer=entry.record.name,
                region=entry.record.region,
                state=status.state.value,
                **log_fields(status.revision),
            )
        # A late datagram must not make a leaving host active again.
        if entry.state is HostState.LEAVING and was_live:
            status.state = HostState.LEAVING
        entry.status = status
        entry.heard_at = heard_at

    def _is_live(self, entry: HostEntry) -> bool:
        return self._clock.monotonic() - entry.heard_at < HOST_TIMEOUT_SECONDS
