"""Hold what is at targets, and what was there when one ended."""

from collections.abc import Callable
from enum import Enum

from jacinthfold.clock import Clock
from jacinthfold.placement.target import Target
from jacinthfold.request.messages import Request


class CrashCause(Enum):
    """Say of what a target ended, as far as this host can tell."""

    UNKNOWN = 'unknown'
    SEVERAL_TOGETHER = 'several_together'
    COLD_OVERRUN = 'cold_overrun'


class TargetIncarnation:
    """Hold what is at one life of a target, and how it broke."""

    __slots__ = ('attempts', 'broken_at', 'broken', 'cause', 'send_times')

    def __init__(self) -> None:
        """Start with nothing there."""
        self.attempts: list['Attempt'] = []
        self.send_times: list[float] = []
        self.broken: list['Attempt'] = []
        self.broken_at = 0.0
        # Of what it has ended, None while it has not.
        self.cause: CrashCause | None = None

    @property
    def has_crashed(self) -> bool:
        """Tell whether this life is known to have ended."""
        return self.cause is not None


class Attempt:
    """Hold one request that is at a target."""

    __slots__ = (
        'started_at',
        'first_event_at',
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
        """Take the request, where it is and how to take it back."""
        self.request = request
        self.target = target
        self.incarnation = incarnation
        self.withdraw = withdraw
        self.is_started = False
        # By the clock of this host, None before.
        self.started_at: float | None = None
        self.first_event_at: float | None = None

    def record_activity(self, clock: Clock) -> None:
        """Take that something of the answer came."""
        now = clock.monotonic()
        self.target.heard_at = now
        self.is_started = True
        if self.started_at is None:
            self.started_at = now


class PresentRequest:
    """Hold a request that was at a target when it ended."""

    __slots__ = ('fingerprint', 'has_events', 'is_started', 'request_id')

    def __init__(
        self, attempt: Attempt, fingerprint: str, *, is_started: bool
    ) -> None:
        """Take the attempt, and what its request is known by."""
        self.fingerprint = fingerprint
        self.request_id = attempt.request.facts.request_id
        self.is_started = is_started
        self.has_events = attempt.first_event_at is not None


class TargetCrash:
    """Hold one target's end as this host saw it."""

    __slots__ = ('cause', 'incarnation_id', 'present', 'service')

    def __init__(
        self, target: Target, cause: CrashCause, present: list[PresentRequest]
    ) -> None:
        """Take which life ended, of what, and what was there."""
        self.incarnation_id = target.record.life
        self.service = target.record.service
        self.cause = cause
        self.present = present
