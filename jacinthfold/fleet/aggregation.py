"""Aggregate the heartbeats of this host's data centre into digests."""

from collections.abc import Iterable, Mapping

from jacinthfold.catalogue.host_codec import HostDocument
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.fleet.digest_message import Digest, HostSummary
from jacinthfold.fleet.heartbeat_message import Heartbeat, LoadFigures
from jacinthfold.fleet.table import HOST_TIMEOUT_SECONDS
from jacinthfold.placement import limits, trial_reports
from jacinthfold.placement.failure_rate import TrialReport
from jacinthfold.placement.latency_model import PEER_SUMS_LIFETIME_SECONDS
from jacinthfold.placement.prefix_cache import RecentPrefixUses
from jacinthfold.placement.request_limit import LimitReport

# A digest includes a host's endpoint for this long after its first heartbeat;
# after that only every fifth digest does.
NEW_HOST_SECONDS = 2.0
ENDPOINT_INTERVAL_DIGESTS = 5
# Latency models and prefilled tokens change only over seconds.
FULL_INTERVAL_DIGESTS = 5


class _Member:
    """Hold the latest heartbeat of one host."""

    __slots__ = (
        'first_heard_at',
        'heard_at',
        'heartbeat',
        'latency_sums',
        'latency_sums_at',
        'prefilled_tokens',
    )

    def __init__(self, heartbeat: Heartbeat, now: float) -> None:
        self.first_heard_at = now
        self.heard_at = now
        self.heartbeat = heartbeat
        self.latency_sums: Mapping[str, list[float]] = {}
        self.latency_sums_at = now
        self.prefilled_tokens: dict[str, float] = {}

    def update(self, heartbeat: Heartbeat, now: float) -> None:
        self.heard_at = now
        self.heartbeat = heartbeat
        if heartbeat.laws:
            self.latency_sums = heartbeat.laws
            self.latency_sums_at = now


class HeartbeatAggregator:
    """Hold the latest heartbeats of a data centre and sum them up."""

    def __init__(self, own: HostRecord) -> None:
        """Initialize an aggregator on a host that may be a collector."""
        self._own = own
        self._members: dict[str, _Member] = {}
        self._uses = RecentPrefixUses()
        # Tokens that targets prefilled for members since this host first
        # received their heartbeats.
        self._prefilled_tokens: dict[str, float] = {}
        self._count = 0

    def add(self, heartbeat: Heartbeat, now: float) -> None:
        """Add a heartbeat of a host of this data centre."""
        name = heartbeat.host.name
        member = self._members.get(name)
        if member is None or _is_older(member, heartbeat):
            member = _Member(heartbeat, now)
            self._members[name] = member
            # Other collectors reported what was prefilled before.
            member.prefilled_tokens = dict(heartbeat.read_tokens)
        elif heartbeat.host.incarnation != member.heartbeat.host.incarnation:
            return
        member.update(heartbeat, now)
        self._add_prefilled_tokens(member, heartbeat.read_tokens)
        for incarnation_id, names in heartbeat.uses.items():
            for segment_name in names:
                self._uses.record_reported(incarnation_id, segment_name, now)

    def make_digest(self, now: float, rank: int) -> Digest:
        """Return the next digest of this host as a collector of a rank."""
        self._drop_silent(now)
        self._count += 1
        own = self._own
        digest = Digest(
            own.region,
            own.data_centre,
            own.name,
            own.incarnation,
            own.address,
            rank,
            self._count,
            0,
            [_summary(member, now) for member in self._members.values()],
            places=self._endpoints(now),
            loads=self._loads(now),
            uses=self._uses.by_incarnation(now),
            limits=self._limits(now),
            trials=self._trials(now),
        )
        digest.is_full = self._count % FULL_INTERVAL_DIGESTS == 0
        if digest.is_full:
            digest.read_tokens = self._current_prefilled_tokens()
            digest.laws = self._latency_models(now)
        return digest

    def _drop_silent(self, now: float) -> None:
        for name, member in list(self._members.items()):
            if now - member.heard_at >= HOST_TIMEOUT_SECONDS:
                self._members.pop(name)

    def _add_prefilled_tokens(
        self, member: _Member, read_tokens: Mapping[str, float]
    ) -> None:
        for incarnation_id, tokens in read_tokens.items():
            growth = tokens - member.prefilled_tokens.get(incarnation_id, 0.0)
            total = self._prefilled_tokens.get(incarnation_id, 0.0)
            self._prefilled_tokens[incarnation_id] = total + max(0.0, growth)
            member.prefilled_tokens[incarnation_id] = tokens

    def _current_prefilled_tokens(self) -> dict[str, float]:
        # Incarnations that no member reports any more are gone.
        reported = {
            incarnation_id
            for member in self._members.values()
            for incarnation_id in member.prefilled_tokens
        }
        self._prefilled_tokens = {
            incarnation_id: tokens
            for incarnation_id, tokens in self._prefilled_tokens.items()
            if incarnation_id in reported
        }
        return self._prefilled_tokens

    def _endpoints(self, now: float) -> list[HostDocument]:
        is_due = self._count % ENDPOINT_INTERVAL_DIGESTS == 0
        return [
            member.heartbeat.host
            for member in self._members.values()
            if is_due or now - member.first_heard_at < NEW_HOST_SECONDS
        ]

    def _loads(self, now: float) -> dict[str, LoadFigures]:
        sums: dict[str, LoadFigures] = {}
        for member in self._members.values():
            if now - member.heard_at < limits.REPORT_LIFETIME_SECONDS:
                _add_loads(sums, member.heartbeat.loads)
        return sums

    def _limits(self, now: float) -> dict[str, LimitReport]:
        """Return the members' newest report of each target's limit."""
        newest: dict[str, LimitReport] = {}
        for member in self._members.values():
            held_ms = round((now - member.heard_at) * 1000)
            for incarnation_id, reported in member.heartbeat.limits.items():
                report = (reported[0], reported[1] + held_ms, reported[2])
                known = newest.get(incarnation_id)
                if known is None or report[1] < known[1]:
                    newest[incarnation_id] = report
        return newest

    def _trials(self, now: float) -> dict[str, TrialReport]:
        """Return the members' newest event of each target."""
        merged: dict[str, TrialReport] = {}
        for member in self._members.values():
            held_ms = round((now - member.heard_at) * 1000)
            trial_reports.merge(merged, member.heartbeat.trials, held_ms)
        return trial_reports.newest(merged)

    def _latency_models(self, now: float) -> dict[str, list[float]]:
        sums: dict[str, list[float]] = {}
        for member in self._members.values():
            if now - member.latency_sums_at < PEER_SUMS_LIFETIME_SECONDS:
                for service, reported in member.latency_sums.items():
                    sums[service] = _add_sums(sums.get(service), reported)
        return sums


def _is_older(member: _Member, heartbeat: Heartbeat) -> bool:
    known = member.heartbeat.host.incarnation
    return known < heartbeat.host.incarnation


def _summary(member: _Member, now: float) -> HostSummary:
    heartbeat = member.heartbeat
    return HostSummary(
        heartbeat.host.name,
        heartbeat.host.incarnation,
        round((now - member.heard_at) * 1000),
        heartbeat.state,
        heartbeat.revision,
        heartbeat.store,
        heartbeat.packs,
        heartbeat.digests,
        heartbeat.count,
        heartbeat.era,
    )


def _add_loads(
    sums: dict[str, LoadFigures], loads: Mapping[str, LoadFigures]
) -> None:
    for incarnation_id, figures in loads.items():
        known = sums.get(incarnation_id)
        if known is None:
            sums[incarnation_id] = figures
            continue
        sums[incarnation_id] = (
            known[0] + figures[0],
            known[1] + figures[1],
            known[2] + figures[2],
            known[3] + figures[3],
        )


def _add_sums(
    known: Iterable[float] | None, reported: list[float]
) -> list[float]:
    if known is None:
        return reported
    return [one + two for one, two in zip(known, reported, strict=False)]
