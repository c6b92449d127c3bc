"""Hold what is reported and believed about one target."""

from enum import IntEnum

from jacinthfold.serve.deployment import Target, TargetState

TYPICAL_FIRST_TOKEN_SECONDS = 0.2
DEFAULT_SLOTS = 8


class ReportState(IntEnum):
    """Say how a target was found."""

    UNKNOWN = 0
    ACTIVE = 1
    LEAVING = 2
    STOPPED = 3
    UNREACHABLE = 4


class TargetReport:
    """Hold what one reading of a target showed."""

    __slots__ = (
        'models',
        'name',
        'resumes',
        'running',
        'slots',
        'state',
        'version',
        'waiting',
    )

    def __init__(
        self,
        name: str,
        version: int,
        state: int,
        *,
        running: int = 0,
        waiting: int = 0,
        slots: int = 0,
        models: tuple[str, ...] = (),
        resumes: bool = False,
    ) -> None:
        """Take the reading; the version orders readings of one target."""
        self.name = name
        self.version = version
        self.state = ReportState(state)
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.models = models
        self.resumes = resumes


class TargetView:
    """Hold what this host believes about one target."""

    __slots__ = (
        'broken_until',
        'failure_count',
        'first_token_seconds',
        'in_flight',
        'own_peak',
        'pending_bytes',
        'own_peak_before',
        'is_listed_leaving',
        'latency_at',
        'limit_share',
        'news_at',
        'received_at',
        'report',
        'returned_at',
        'target',
    )

    def __init__(self, target: Target, now: float) -> None:
        """Start with no reading."""
        self.target = target
        self.report = TargetReport(target.name, 0, ReportState.UNKNOWN)
        self.received_at = now
        self.news_at = now
        self.returned_at = now
        self.in_flight = 0
        self.own_peak = 0
        self.pending_bytes = 0
        self.limit_share = 1.0
        self.own_peak_before = 0
        self.failure_count = 0
        self.broken_until = now
        self.first_token_seconds = TYPICAL_FIRST_TOKEN_SECONDS
        self.latency_at = now
        self.is_listed_leaving = False

    @property
    def slots(self) -> int:
        """Return how many requests the target serves at once."""
        return self.report.slots or DEFAULT_SLOTS

    @property
    def load(self) -> int:
        """Return the requests at the target, the own newest included."""
        # Reports lag, and all hosts see the same idle target at once. What
        # this host has sent since the report is known here and added. Of the
        # reported requests as many may be own ones as there were of late;
        # taken for others', they would fill a target that is long idle.
        reported = self.report.running + self.report.waiting
        own_then = max(self.own_peak, self.own_peak_before)
        return max(0, reported - own_then) + self.in_flight

    def heard_at(self, ever: bool) -> float:
        """Return when a report came, or when one last was news."""
        return self.received_at if ever else self.news_at

    @property
    def takes_work(self) -> bool:
        """Tell whether new requests may be sent."""
        return (
            self.target.state == TargetState.ACTIVE
            and not self.is_listed_leaving
            and self.report.state in {ReportState.ACTIVE, ReportState.UNKNOWN}
        )
