"""Requests in flight at targets, and those present at a crash."""

from collections.abc import Callable
from enum import Enum

from jacinthfold.clock import Clock
from jacinthfold.placement.target import Target
from jacinthfold.request.messages import Request


class CrashCause(Enum):
    """Cause of a crash, as far as this host can tell."""

    UNKNOWN = 'unknown'
    SEVERAL_TOGETHER = 'several_together'
    COLD_OVERRUN = 'cold_overrun'


class TargetIncarnation:
    """Attempts at one incarnation of a target, in flight and broken."""

    __slots__ = ('attempts', 'broken_at', 'broken', 'cause', 'send_times')

    def __init__(self) -> None:
        """Start without attempts."""
        self.attempts: list['Attempt'] = []
        self.send_times: list[float] = []
        self.broken: list['Attempt'] = []
        self.broken_at = 0.0
        # None unless it has crashed.
        self.cause: CrashCause | None = None

    @property
    def is_ending(self) -> bool:
        """Return whether connections to this incarnation broke just now."""
        return bool(self.broken) or self.has_crashed

    @property
    def has_crashed(self) -> bool:
        """Return whether this incarnation is known to have crashed."""
        return self.cause is not None


class Attempt:
    """Request that was sent to a target."""

    __slots__ = (
        'finished_at',
        'started_at',
        'first_event_at',
        'is_broken',
        'is_complete',
        'is_started',
        'incarnation',
        'request',
        'target',
        'withdraw',
    )

    def __init__(
        self,
        request: Request,
        target: Target,
        incarnation: TargetIncarnation,
        withdraw: Callable[[], None],
    ) -> None:
        """Set the request, its target and the call that withdraws it."""
        self.request = request
        self.target = target
        self.incarnation = incarnation
        self.withdraw = withdraw
        self.is_started = False
        # By the monotonic clock of this host; None until it happens.
        self.started_at: float | None = None
        self.first_event_at: float | None = None
        self.finished_at: float | None = None
        # Whether the target closed the connection before the answer ended, or
        # marked the end of a whole one.
        self.is_broken = False
        self.is_complete = False

    def had_just_begun(self, seconds: float) -> bool:
        """Check whether it ended shortly after its first event, or before."""
        if self.first_event_at is None or self.finished_at is None:
            return True
        return self.finished_at - self.first_event_at < seconds

    def record_activity(self, clock: Clock) -> None:
        """Record that data of the response arrived."""
        now = clock.monotonic()
        self.target.activity.received_at = now
        self.is_started = True
        if self.started_at is None:
            self.started_at = now


class PresentRequest:
    """Request that was present at a crash."""

    __slots__ = (
        'fingerprint',
        'has_events',
        'is_started',
        'part_fingerprints',
        'request_id',
    )

    def __init__(
        self,
        attempt: Attempt,
        fingerprint: str,
        part_fingerprints: list[str],
        *,
        is_started: bool,
    ) -> None:
        """Set the attempt and the fingerprints of its request and parts."""
        self.fingerprint = fingerprint
        # Those of the parts of its prompt that may have crashed the target.
        self.part_fingerprints = part_fingerprints
        self.request_id = attempt.request.facts.request_id
        self.is_started = is_started
        self.has_events = attempt.first_event_at is not None


class TargetCrash:
    """Crash of a target as this host observed it."""

    __slots__ = ('cause', 'incarnation_id', 'present', 'service')

    def __init__(
        self, target: Target, cause: CrashCause, present: list[PresentRequest]
    ) -> None:
        """Set the crashed incarnation, the cause and the requests present."""
        self.incarnation_id = target.record.incarnation_id
        self.service = target.record.service
        self.cause = cause
        self.present = present
