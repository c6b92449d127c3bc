"""Hold what is at targets, and what was there when one ended."""

from collections.abc import Callable
from enum import Enum

from jacinthfold.clock import Clock
from jacinthfold.placement.target import Target
from jacinthfold.request.messages import Request


class Cause(Enum):
    """Say of what a target ended, as far as this host can tell."""

    UNKNOWN = 'unknown'
    SEVERAL_TOGETHER = 'several_together'
    COLD_OVERRUN = 'cold_overrun'


class Life:
    """Hold what is at one life of a target, and how it broke."""

    __slots__ = ('attempts', 'broke_at', 'broken', 'cause', 'sent_at')

    def __init__(self) -> None:
        """Start with nothing there."""
        self.attempts: list['Attempt'] = []
        self.sent_at: list[float] = []
        self.broken: list['Attempt'] = []
        self.broke_at = 0.0
        # Of what it has ended, None while it has not.
        self.cause: Cause | None = None

    @property
    def is_ended(self) -> bool:
        """Tell whether this life is known to have ended."""
        return self.cause is not None


class Attempt:
    """Hold one request that is at a target."""

    __slots__ = (
        'begun_at',
        'first_event_at',
        'is_begun',
        'life',
        'request',
        'target',
        'withdraw',
    )

    def __init__(
        self,
        request: Request,
        target: Target,
        life: Life,
        withdraw: Callable[[], None],
    ) -> None:
        """Take the request, where it is and how to take it back."""
        self.request = request
        self.target = target
        self.life = life
        self.withdraw = withdraw
        self.is_begun = False
        # By the clock of this host, None before.
        self.begun_at: float | None = None
        self.first_event_at: float | None = None

    def note_heard(self, clock: Clock) -> None:
        """Take that something of the answer came."""
        now = clock.monotonic()
        self.target.heard_at = now
        self.is_begun = True
        if self.begun_at is None:
            self.begun_at = now


class Presence:
    """Hold a request that was at a target when it ended."""

    __slots__ = ('fingerprint', 'has_events', 'is_begun', 'request_id')

    def __init__(
        self, attempt: Attempt, fingerprint: str, *, is_begun: bool
    ) -> None:
        """Take the attempt, and what its request is known by."""
        self.fingerprint = fingerprint
        self.request_id = attempt.request.facts.request_id
        self.is_begun = is_begun
        self.has_events = attempt.first_event_at is not None


class TargetEnd:
    """Hold one target's end as this host saw it."""

    __slots__ = ('cause', 'life', 'present', 'service')

    def __init__(
        self, target: Target, cause: Cause, present: list[Presence]
    ) -> None:
        """Take which life ended, of what, and what was there."""
        self.life = target.record.incarnation_id
        self.service = target.record.service
        self.cause = cause
        self.present = present
