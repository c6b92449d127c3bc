"""Know which entry hosts there are, by heartbeats that peers pass on."""

import threading
from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum

from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.hashing import rank

# A failed member stays in the table this many timeouts. Dropped sooner, an
# old heartbeat from a peer that still trusts it would bring it back to life.
FORGET_AFTER_TIMEOUTS = 15
WATCHER_KEY = 'configuration watcher'


class MemberState(IntEnum):
    """Say what an entry host is doing."""

    STARTING = 1
    ACTIVE = 2
    LEAVING = 3


class Member:
    """Hold what never changes about one incarnation of an entry host."""

    __slots__ = (
        'address',
        'caller_port',
        'control_port',
        'data_centre',
        'incarnation',
        'name',
        'peer_port',
        'region',
        'relay_port',
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        place: tuple[str, str],
        address: str,
        ports: tuple[int, int, int, int],
    ) -> None:
        """Take the name, (region, data centre), address and the ports."""
        self.name = name
        self.incarnation = incarnation
        self.region = place[0]
        self.data_centre = place[1]
        self.address = address
        self.caller_port = ports[0]
        self.control_port = ports[1]
        self.peer_port = ports[2]
        self.relay_port = ports[3]

    @property
    def caller_url(self) -> str:
        """Return where callers reach the host."""
        return f'http://{self._host}:{self.caller_port}'

    @property
    def relay_url(self) -> str:
        """Return where peers pass requests on."""
        return f'http://{self._host}:{self.relay_port}'

    @property
    def _host(self) -> str:
        return f'[{self.address}]' if ':' in self.address else self.address


class Heartbeat:
    """Hold what changes about a member."""

    __slots__ = ('free_slots', 'incarnation', 'revision', 'sequence', 'state')

    def __init__(
        self,
        incarnation: int,
        sequence: int = 0,
        state: MemberState = MemberState.STARTING,
        revision: int = 0,
        free_slots: Mapping[str, int] | None = None,
    ) -> None:
        """Take the sequence number and what holds as of it."""
        self.incarnation = incarnation
        self.sequence = sequence
        self.state = state
        self.revision = revision
        self.free_slots = dict(free_slots or {})


class _Record:
    """Hold a member, its newest heartbeat and when that came."""

    __slots__ = ('advanced_at', 'heartbeat', 'member')

    def __init__(
        self, member: Member, heartbeat: Heartbeat, advanced_at: float
    ) -> None:
        self.member = member
        self.heartbeat = heartbeat
        self.advanced_at = advanced_at


class MemberTable:
    """Keep the members of the own data centre and contacts elsewhere."""

    def __init__(self, own: Member, settings: Settings, clock: Clock) -> None:
        """Start alone."""
        self.own = own
        self._timeout_seconds = settings.peers.member_timeout_seconds
        self._contact_limit = settings.peers.contacts_per_data_centre
        self._watcher_count = settings.platform.watchers_per_data_centre
        self._clock = clock
        self._guard = threading.RLock()
        self._records: dict[int, _Record] = {}
        self._unknown: set[int] = set()
        self._beat = Heartbeat(own.incarnation)
        self._records[own.incarnation] = _Record(own, self._beat, 0)

    @property
    def state(self) -> MemberState:
        """Return the own state."""
        return self._beat.state

    def beat(
        self,
        state: MemberState,
        revision: int,
        free_slots: Mapping[str, int],
    ) -> None:
        """Advance the own heartbeat."""
        with self._guard:
            # A host that began to leave never says active again: callers
            # would be sent to a listener about to close.
            self._beat.state = max(state, self._beat.state)
            self._beat.sequence += 1
            self._beat.revision = revision
            self._beat.free_slots = dict(free_slots)

    def merge(
        self, members: Iterable[Member], heartbeats: Iterable[Heartbeat]
    ) -> None:
        """Take in what a peer knows; older knowledge changes nothing."""
        now = self._clock.monotonic()
        with self._guard:
            known = {member.incarnation: member for member in members}
            for heartbeat in heartbeats:
                self._merge_one(heartbeat, known, now)
            self._forget(now)

    def unknown(self) -> list[int]:
        """Return incarnations that were heard of and not met."""
        with self._guard:
            return list(self._unknown)

    def find(self, incarnation: int) -> Member | None:
        """Return a member by incarnation, also when it has failed."""
        record = self._records.get(incarnation)
        return record.member if record else None

    def is_live(self, incarnation: int) -> bool:
        """Tell whether a member's heartbeats still come."""
        record = self._records.get(incarnation)
        return record is not None and self._is_live(record)

    def live(self) -> list[tuple[Member, Heartbeat]]:
        """Return live members, the own one included."""
        with self._guard:
            return [
                (record.member, record.heartbeat)
                for record in self._records.values()
                if self._is_live(record)
            ]

    def active_in(self, data_centre: str) -> list[Member]:
        """Return members that take callers in a data centre."""
        return [
            member
            for member, heartbeat in self.live()
            if member.data_centre == data_centre
            and heartbeat.state == MemberState.ACTIVE
        ]

    def neighbours(self) -> list[Member]:
        """Return the other live members of the own data centre."""
        return self._others(lambda place: place == self.own.data_centre)

    def contacts(self) -> list[Member]:
        """Return live members of other data centres."""
        return self._others(lambda place: place != self.own.data_centre)

    def known_members(self) -> list[Member]:
        """Return every member in the table, failed ones included."""
        with self._guard:
            return [record.member for record in self._records.values()]

    def heartbeats_for(self, data_centre: str) -> list[Heartbeat]:
        """Return what a peer in a data centre is to hear."""
        chosen: list[Heartbeat] = []
        grouped: dict[str, list[tuple[Member, Heartbeat]]] = {}
        for member, heartbeat in self.live():
            grouped.setdefault(member.data_centre, []).append(
                (member, heartbeat)
            )
        for place, pairs in grouped.items():
            if place != data_centre or place != self.own.data_centre:
                pairs = self._contacts_of(pairs)
            chosen.extend(pair[1] for pair in pairs)
        return chosen

    def is_watcher(self) -> bool:
        """Tell whether this host is to watch the store."""
        # Each host decides alone: two views that differ give a watcher more
        # or fewer for a while, and exchanges between peers fill the gap.
        names = [self.own.name, *(peer.name for peer in self.neighbours())]
        first = rank(WATCHER_KEY, names)[: self._watcher_count]
        return self.own.name in first

    def _others(self, accept: Callable[[str], bool]) -> list[Member]:
        return [
            member
            for member, _ in self.live()
            if member is not self.own and accept(member.data_centre)
        ]

    def _contacts_of(
        self, pairs: list[tuple[Member, Heartbeat]]
    ) -> list[tuple[Member, Heartbeat]]:
        by_name = {member.name: (member, beat) for member, beat in pairs}
        first = rank('contact', by_name)[: self._contact_limit]
        return [by_name[name] for name in first]

    def _merge_one(
        self, heartbeat: Heartbeat, known: Mapping[int, Member], now: float
    ) -> None:
        incarnation = heartbeat.incarnation
        if incarnation == self.own.incarnation:
            return
        record = self._records.get(incarnation)
        if record is None:
            member = known.get(incarnation)
            if member is None:
                self._unknown.add(incarnation)
            elif self._is_newest(member):
                self._unknown.discard(incarnation)
                self._records[incarnation] = _Record(member, heartbeat, now)
            return
        if heartbeat.sequence > record.heartbeat.sequence:
            record.heartbeat = heartbeat
            record.advanced_at = now

    def _is_newest(self, member: Member) -> bool:
        for record in list(self._records.values()):
            if record.member.name != member.name:
                continue
            if record.member.incarnation > member.incarnation:
                return False
            if record.member is not self.own:
                self._records.pop(record.member.incarnation)
        return True

    def _is_live(self, record: _Record) -> bool:
        if record.member is self.own:
            return True
        age = self._clock.monotonic() - record.advanced_at
        return age < self._timeout_seconds

    def _forget(self, now: float) -> None:
        limit = self._timeout_seconds * FORGET_AFTER_TIMEOUTS
        for incarnation, record in list(self._records.items()):
            is_own = record.member is self.own
            if not is_own and now - record.advanced_at > limit:
                self._records.pop(incarnation)
        if len(self._unknown) > len(self._records) + 64:
            self._unknown.clear()
