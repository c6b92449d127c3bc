"""Sum what the hosts of the own data centre tell."""

from collections.abc import Iterable, Mapping

from jacinthfold.catalogue.host_codec import HostDocument
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.fleet.digest_message import Digest, HostWord
from jacinthfold.fleet.heartbeat_message import Heartbeat, LoadFigures
from jacinthfold.fleet.table import SILENCE_SECONDS
from jacinthfold.placement import limits
from jacinthfold.placement.latency_model import PEER_SUMS_LIFETIME_SECONDS
from jacinthfold.placement.prefix_cache import RecentPrefixUses
from jacinthfold.placement.request_limit import LimitReport

# A host's address is told in each digest for this long after it was first
# heard, and in every fifth one after that.
NEW_SECONDS = 2.0
PLACES_EVERY = 5
# Laws and read tokens change over seconds.
SLOW_EVERY = 5


class _Member:
    """Hold one host's latest heartbeat."""

    __slots__ = ('first_at', 'heard_at', 'heartbeat', 'laws', 'laws_at', 'read')

    def __init__(self, heartbeat: Heartbeat, now: float) -> None:
        self.first_at = now
        self.heard_at = now
        self.heartbeat = heartbeat
        self.laws: Mapping[str, list[float]] = {}
        self.laws_at = now
        self.read: dict[str, float] = {}

    def take(self, heartbeat: Heartbeat, now: float) -> None:
        self.heard_at = now
        self.heartbeat = heartbeat
        if heartbeat.laws:
            self.laws = heartbeat.laws
            self.laws_at = now


class Gathering:
    """Keep the latest heartbeats of a data centre, and make its digests."""

    def __init__(self, own: HostRecord) -> None:
        """Take the host that may be asked to make digests."""
        self._own = own
        self._members: dict[str, _Member] = {}
        self._uses = RecentPrefixUses()
        # Tokens that targets have read for members since they were first
        # heard here.
        self._read_tokens: dict[str, float] = {}
        self._count = 0

    def take(self, heartbeat: Heartbeat, now: float) -> None:
        """Take a heartbeat of a host of the own data centre."""
        name = heartbeat.host.name
        member = self._members.get(name)
        if member is None or _is_older(member, heartbeat):
            member = _Member(heartbeat, now)
            self._members[name] = member
            # What it has read before was told by others.
            member.read = dict(heartbeat.read_tokens)
        elif heartbeat.host.incarnation != member.heartbeat.host.incarnation:
            return
        member.take(heartbeat, now)
        self._add_read(member, heartbeat.read_tokens)
        for life, names in heartbeat.uses.items():
            for part in names:
                self._uses.record_reported(life, part, now)

    def digest(self, now: float, rank: int) -> Digest:
        """Return what was heard, as told by a collector of a rank."""
        self._drop_silent(now)
        self._count += 1
        own = self._own
        made = Digest(
            own.region,
            own.data_centre,
            own.name,
            own.incarnation,
            own.address,
            rank,
            self._count,
            0,
            [_word(member, now) for member in self._members.values()],
            places=self._places(now),
            loads=self._loads(now),
            uses=self._uses.by_incarnation(now),
            limits=self._limits(now),
        )
        made.is_full = self._count % SLOW_EVERY == 0
        if made.is_full:
            made.read_tokens = self._told_read_tokens()
            made.laws = self._laws(now)
        return made

    def _drop_silent(self, now: float) -> None:
        for name, member in list(self._members.items()):
            if now - member.heard_at >= SILENCE_SECONDS:
                self._members.pop(name)

    def _add_read(
        self, member: _Member, read_tokens: Mapping[str, float]
    ) -> None:
        for life, tokens in read_tokens.items():
            grown = tokens - member.read.get(life, 0.0)
            total = self._read_tokens.get(life, 0.0)
            self._read_tokens[life] = total + max(0.0, grown)
            member.read[life] = tokens

    def _told_read_tokens(self) -> dict[str, float]:
        # Lives that no member names any more are gone.
        named = {
            life for member in self._members.values() for life in member.read
        }
        self._read_tokens = {
            life: tokens
            for life, tokens in self._read_tokens.items()
            if life in named
        }
        return self._read_tokens

    def _places(self, now: float) -> list[HostDocument]:
        is_due = self._count % PLACES_EVERY == 0
        return [
            member.heartbeat.host
            for member in self._members.values()
            if is_due or now - member.first_at < NEW_SECONDS
        ]

    def _loads(self, now: float) -> dict[str, LoadFigures]:
        sums: dict[str, LoadFigures] = {}
        for member in self._members.values():
            if now - member.heard_at < limits.REPORT_LIFETIME_SECONDS:
                _add_loads(sums, member.heartbeat.loads)
        return sums

    def _limits(self, now: float) -> dict[str, LimitReport]:
        """Return the newest word of all members on each target's limit."""
        newest: dict[str, LimitReport] = {}
        for member in self._members.values():
            held_ms = round((now - member.heard_at) * 1000)
            for life, told in member.heartbeat.limits.items():
                word = (told[0], told[1] + held_ms, told[2])
                known = newest.get(life)
                if known is None or word[1] < known[1]:
                    newest[life] = word
        return newest

    def _laws(self, now: float) -> dict[str, list[float]]:
        sums: dict[str, list[float]] = {}
        for member in self._members.values():
            if now - member.laws_at < PEER_SUMS_LIFETIME_SECONDS:
                for service, told in member.laws.items():
                    sums[service] = _added(sums.get(service), told)
        return sums


def _is_older(member: _Member, heartbeat: Heartbeat) -> bool:
    known = member.heartbeat.host.incarnation
    return known < heartbeat.host.incarnation


def _word(member: _Member, now: float) -> HostWord:
    heartbeat = member.heartbeat
    return HostWord(
        heartbeat.host.name,
        heartbeat.host.incarnation,
        round((now - member.heard_at) * 1000),
        heartbeat.state,
        heartbeat.revision,
        heartbeat.store,
        heartbeat.packs,
        heartbeat.digests,
        heartbeat.count,
    )


def _add_loads(
    sums: dict[str, LoadFigures], loads: Mapping[str, LoadFigures]
) -> None:
    for life, figures in loads.items():
        known = sums.get(life)
        if known is None:
            sums[life] = figures
            continue
        sums[life] = (
            known[0] + figures[0],
            known[1] + figures[1],
            known[2] + figures[2],
            known[3] + figures[3],
        )


def _added(known: Iterable[float] | None, told: list[float]) -> list[float]:
    if known is None:
        return told
    return [one + two for one, two in zip(known, told, strict=False)]
