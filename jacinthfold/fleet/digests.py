"""Apply the digests of the data centres of this host's region."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping

from jacinthfold.catalogue.host_codec import host_from_document
from jacinthfold.clock import Clock
from jacinthfold.fleet.digest_message import Digest, HostSummary
from jacinthfold.fleet.heartbeat_message import LoadFigures
from jacinthfold.fleet.table import HostStatus, HostTable
from jacinthfold.placement import limit_reports, limits, trial_reports
from jacinthfold.placement.target import Load
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.crashes import SuspectReport

# The first collector of a data centre sends every 0.2 s. After three missing
# digests the one of another collector is used.
DIGEST_TIMEOUT_SECONDS = 0.7
# A host that no digest includes for this long sends to all others itself,
# because they would drop it after two seconds.
MAX_INCLUSION_AGE_SECONDS = 1.0
# A collector that covers a tenth fewer hosts than another one is cut off from
# some of them.
MIN_COVERAGE_RATIO = 0.9
# Two seconds of this host's heartbeats.
MAX_REMEMBERED_HEARTBEATS = 10


class OwnLoads:
    """Remember the loads that this host's latest heartbeats reported."""

    # The sums of a digest include the loads that this host reported some
    # heartbeats ago. They are subtracted, or its requests would count twice.

    __slots__ = ('_sent',)

    def __init__(self) -> None:
        """Start without heartbeats."""
        self._sent: deque[tuple[int, Mapping[str, LoadFigures]]] = deque(
            maxlen=MAX_REMEMBERED_HEARTBEATS
        )

    def record(self, count: int, loads: Mapping[str, LoadFigures]) -> None:
        """Record the loads of this host's heartbeat with a number."""
        self._sent.append((count, loads))

    def at(self, count: int) -> Mapping[str, LoadFigures]:
        """Return the loads of a heartbeat, none if it is forgotten."""
        return dict(self._sent).get(count, {})


class _ReceivedDigest:
    """Hold a digest and the times at which it was made and received."""

    __slots__ = ('included', 'digest', 'made_at', 'received_at')

    def __init__(self, digest: Digest, now: float) -> None:
        self.digest = digest
        self.received_at = now
        self.made_at = now - digest.age_ms / 1000
        self.included = frozenset(
            summary.name
            for summary in digest.hosts
            if summary.age_ms < limits.REPORT_LIFETIME_SECONDS * 1000
        )


class DigestView:
    """Choose the best digest of each data centre and apply it."""

    def __init__(
        self, hosts: HostTable, targets: TargetTable, clock: Clock
    ) -> None:
        """Initialize a view that updates hosts and targets."""
        self._hosts = hosts
        self._targets = targets
        self._clock = clock
        self._current: dict[str, _ReceivedDigest] = {}
        self.own_loads = OwnLoads()
        self.on_suspects: Callable[[list[SuspectReport]], None] = (
            _ignore_suspects
        )

    def apply(self, digest: Digest) -> None:
        """Apply a digest if it is better than the one in use."""
        if digest.region != self._hosts.own.region:
            return
        # Reports of suspects add up, whichever collector sent them.
        self.on_suspects(digest.suspects)
        now = self._clock.monotonic()
        candidate = _ReceivedDigest(digest, now)
        limit_reports.apply_reports(
            self._targets, digest.collector, digest.limits, candidate.made_at
        )
        trial_reports.apply_reports(
            self._targets, digest.trials, candidate.made_at
        )
        known = self._current.get(digest.data_centre)
        if known is not None and not _is_better(candidate, known, now):
            return
        self._current[digest.data_centre] = candidate
        self._update_hosts(candidate)
        before = known.included if known else frozenset()
        self._targets.drop_reports(candidate.included - before)
        self._update_loads(candidate)

    def includes(self, name: str) -> bool:
        """Return whether current digests include a host's loads."""
        now = self._clock.monotonic()
        return any(
            name in current.included
            for current in self._current.values()
            if now - current.made_at < limits.REPORT_LIFETIME_SECONDS
        )

    def includes_own(self) -> bool:
        """Return whether its data centre's digest includes this host."""
        own = self._hosts.own
        current = self._current.get(own.data_centre)
        if current is None or own.name not in current.included:
            return False
        return (
            self._clock.monotonic() - current.made_at
            < MAX_INCLUSION_AGE_SECONDS
        )

    def digests_to_forward(self) -> list[Digest]:
        """Return current digests of other data centres for forwarding."""
        now = self._clock.monotonic()
        found = []
        for name, current in self._current.items():
            age_seconds = now - current.made_at
            is_other = name != self._hosts.own.data_centre
            if is_other and age_seconds < MAX_INCLUSION_AGE_SECONDS:
                current.digest.age_ms = round(age_seconds * 1000)
                found.append(current.digest)
        return found

    def _update_hosts(self, current: _ReceivedDigest) -> None:
        for document in current.digest.places:
            self._hosts.add_record(host_from_document(document))
        for summary in current.digest.hosts:
            heard_at = current.made_at - summary.age_ms / 1000
            self._hosts.record_report(
                summary.name, summary.incarnation, _status(summary), heard_at
            )

    def _update_loads(self, current: _ReceivedDigest) -> None:
        digest, targets = current.digest, self._targets
        own = self._own_loads_in(digest.hosts)
        loads = {
            incarnation_id: _subtract(figures, own.get(incarnation_id))
            for incarnation_id, figures in digest.loads.items()
        }
        reporter = f'sum of {digest.data_centre}'
        targets.update_loads(reporter, loads, current.made_at)
        # This host's prefills and responses are in both sums and count twice,
        # which is acceptable because they are a small share.
        targets.update_cached_prefixes(reporter, {}, digest.uses)
        if digest.is_full:
            collector_incarnation = (digest.collector, digest.incarnation)
            targets.update_prefill_totals(
                digest.data_centre, collector_incarnation, digest.read_tokens
            )
        targets.latency_models.update_peer_sums(
            reporter, digest.laws, current.made_at
        )

    def _own_loads_in(
        self, summaries: Iterable[HostSummary]
    ) -> Mapping[str, LoadFigures]:
        own = self._hosts.own
        for summary in summaries:
            if (summary.name, summary.incarnation) == (
                own.name,
                own.incarnation,
            ):
                return self.own_loads.at(summary.heartbeat_number)
        return {}


def _is_better(
    candidate: _ReceivedDigest, known: _ReceivedDigest, now: float
) -> bool:
    one, other = candidate.digest, known.digest
    if (one.collector, one.incarnation) == (other.collector, other.incarnation):
        return one.count > other.count
    if now - known.received_at > DIGEST_TIMEOUT_SECONDS:
        return True
    # A collector with few hosts is cut off or has just started, whatever its
    # rank.
    if len(known.included) < len(candidate.included) * MIN_COVERAGE_RATIO:
        return True
    is_covering = (
        len(candidate.included) >= len(known.included) * MIN_COVERAGE_RATIO
    )
    return is_covering and one.rank < other.rank


def _status(summary: HostSummary) -> HostStatus:
    return HostStatus(
        summary.state,
        summary.catalogue_revision,
        reaches_store=summary.reaches_store,
        supports_compression=summary.supports_compression,
        supports_digests=summary.supports_digests,
    )


def _subtract(figures: LoadFigures, own: LoadFigures | None) -> Load:
    if own is None:
        return Load(*figures)
    return Load(
        max(0, figures[0] - own[0]),
        max(0, figures[1] - own[1]),
        max(0, figures[2] - own[2]),
        max(0, figures[3] - own[3]),
    )


def _ignore_suspects(_: list[SuspectReport]) -> None:
    """Drop reports of suspects until a handler is set."""
