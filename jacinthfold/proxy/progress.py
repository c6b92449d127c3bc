"""Hold what has happened to a request so far."""

from collections.abc import Callable
from http import HTTPStatus

from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.quota.permits import Permit
from jacinthfold.request.messages import Request

DEFAULT_RETURN_SECONDS = 0.5
# The reason of a refusal because targets ended under the request.
QUARANTINED = 'quarantined'


class Progress:
    """Follow a request through its attempts."""

    __slots__ = (
        'after_seconds',
        'barrier_reason',
        'ending',
        'failed',
        'first_seconds',
        'is_out',
        'last_event_id',
        'last_place',
        'permit',
        'reason',
        'refusal_status',
        'runs',
        'sends',
        'tried',
        'tried_regions',
        'turned_down',
    )

    def __init__(self, request: Request) -> None:
        """Start with no attempt."""
        self.tried: set[str] = set()
        self.tried_regions: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.turned_down = 0
        self.last_event_id = request.facts.last_event_id
        self.last_place = ''
        # From the whole request to its first event, None before that.
        self.first_seconds: float | None = None
        self.reason = ''
        # Set while an attempt is under way whose outcome is not known.
        self.is_out = False
        self.ending: Ending | None = None
        self.failed: Outcome | None = None
        self.after_seconds = DEFAULT_RETURN_SECONDS
        # Of an answer that says that the request has not run.
        self.refusal_status = HTTPStatus.SERVICE_UNAVAILABLE
        # Says why the request may not be sent now, nothing while it may.
        self.barrier_reason: Callable[[], str] = _no_reason
        # Allows one run; None where none is needed or it was used.
        self.permit: Permit | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether any target may have begun to work on the request."""
        return self.is_out or self.runs > 0

    def note_refused(self, refusal: Reject) -> None:
        """Take that nothing could be chosen."""
        self.reason = self.reason or refusal.reason
        self.after_seconds = refusal.after_seconds

    def note_turned_away(
        self, reason: str, status: HTTPStatus, after_seconds: float
    ) -> None:
        """Take that key or cap don't let the request be sent."""
        self.reason = reason
        self.refusal_status = status
        self.after_seconds = after_seconds

    @property
    def is_quarantined(self) -> bool:
        """Tell whether the request is refused for what it did to targets."""
        return self.reason == QUARANTINED

    def note_quarantined(self, seconds: float) -> None:
        """Take that the request is refused for some time."""
        self.reason = QUARANTINED
        self.after_seconds = seconds

    def note(self, choice: Choice, outcome: Outcome) -> None:
        """Take how an attempt ended."""
        self.sends += 1
        self.is_out = False
        if isinstance(choice, SendTo):
            self.last_place = choice.estimate.target.record.instance
            self.tried.add(self.last_place)
        if isinstance(choice, RelayTo):
            self.last_place = choice.region.name
            self.tried_regions.add(choice.region.name)
        self.reason = outcome.reason
        self.ending = outcome.ending
        if outcome.after_seconds is not None:
            self.after_seconds = outcome.after_seconds
        if outcome.ending is Ending.NOT_RUN:
            self.turned_down += 1
            return
        self.permit = None
        self.runs += 1
        if outcome.ending is Ending.FAILED:
            self.failed = outcome


def _no_reason() -> str:
    return ''
