"""Hold the state of a request across its attempts."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.quota.permits import Permit
from jacinthfold.request.messages import BodyEnd, Request

if TYPE_CHECKING:
    from jacinthfold.proxy.sending import PreparedAttempt

DEFAULT_RETRY_AFTER_SECONDS = 0.5
# The reason of a rejection because targets crashed under the request.
QUARANTINED = 'quarantined'


class AnswerEnd:
    """Describe the end of the last response, for logs and metrics."""

    __slots__ = (
        'body_end',
        'is_left_open',
        'is_orderly',
        'partial_event_bytes',
    )

    def __init__(self) -> None:
        """Start before the head of a response."""
        self.body_end: BodyEnd | None = None
        # Whether the caller was not told that this is the end.
        self.is_left_open = False
        # Whether its connection ended without a reset.
        self.is_orderly = False
        # Bytes after its last complete event.
        self.partial_event_bytes = 0

    @property
    def reason(self) -> str:
        """Return why the caller's response was left open, or ''."""
        return 'end_unknown' if self.is_left_open else ''

    def log_fields(self) -> dict[str, object]:
        """Return the fields for the log, none before the head."""
        if self.body_end is None:
            return {}
        return {
            'body_end': self.body_end.value,
            'orderly_end': self.is_orderly,
            'partial_event_bytes': self.partial_event_bytes,
        }


class NextAttempt:
    """Hold what is known of the attempt after the current one."""

    __slots__ = ('is_preparing', 'is_retry', 'missing_reason', 'prepared')

    def __init__(self) -> None:
        """Start without one."""
        # What takes the place of a silent attempt.
        self.prepared: 'PreparedAttempt | None' = None
        self.is_preparing = False
        # Whether something of the request has left this host before.
        self.is_retry = False
        # Why none followed the last one, '' if it was served or one did.
        self.missing_reason = ''


class Progress:
    """Track a request across its attempts."""

    __slots__ = (
        'after_seconds',
        'answer_end',
        'rejection_reason',
        'ending',
        'failed_outcome',
        'first_event_seconds',
        'is_in_flight',
        'is_past_deadline',
        'last_event_id',
        'last_destination',
        'permit',
        'next_attempt',
        'reason',
        'refusal_status',
        'runs',
        'sends',
        'tried',
        'tried_regions',
        'not_run_count',
        'waited_seconds',
    )

    def __init__(self, request: Request) -> None:
        """Start before the first attempt."""
        self.tried: set[str] = set()
        self.tried_regions: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.not_run_count = 0
        self.last_event_id = request.facts.last_event_id
        self.last_destination = ''
        # From the complete request to its first event, None before that.
        self.first_event_seconds: float | None = None
        self.reason = ''
        # Whether an attempt is running whose outcome is unknown.
        self.is_in_flight = False
        self.ending: Ending | None = None
        self.failed_outcome: Outcome | None = None
        self.after_seconds = DEFAULT_RETRY_AFTER_SECONDS
        # Whether that time is past the deadline on purpose.
        self.is_past_deadline = False
        # How long the request has waited at this host for capacity.
        self.waited_seconds = 0.0
        # Status of the response if the request has not run.
        self.refusal_status = HTTPStatus.SERVICE_UNAVAILABLE
        # Returns why the request may not be sent now, or ''.
        self.rejection_reason: Callable[[], str] = _no_reason
        self.answer_end = AnswerEnd()
        self.next_attempt = NextAttempt()
        # Allows one run; None when none is needed or it was used.
        self.permit: Permit | None = None

    @property
    def may_have_run(self) -> bool:
        """Check whether any target may have started to run the request."""
        return self.is_in_flight or self.runs > 0

    def record_placement_rejection(self, rejection: Reject) -> None:
        """Record that no target or region could be chosen."""
        self.reason = self.reason or rejection.reason
        self.after_seconds = rejection.after_seconds
        self.is_past_deadline = rejection.is_past_deadline

    def record_admission_rejection(
        self, reason: str, status: HTTPStatus, after_seconds: float
    ) -> None:
        """Record that residency, key or cap doesn't admit the request."""
        self.reason = reason
        self.refusal_status = status
        self.after_seconds = after_seconds

    @property
    def is_quarantined(self) -> bool:
        """Check whether the request is rejected for crashing targets."""
        return self.reason == QUARANTINED

    def record_quarantined(self, seconds: float) -> None:
        """Record that the request is quarantined for some time."""
        self.reason = QUARANTINED
        self.after_seconds = seconds

    def record_attempt(self, choice: Choice, outcome: Outcome) -> None:
        """Record how an attempt ended."""
        self.is_in_flight = False
        self._record_destination(choice, outcome)
        self.reason = outcome.reason
        self.ending = outcome.ending
        if outcome.after_seconds is not None:
            self.after_seconds = outcome.after_seconds
        if outcome.ending is Ending.NOT_RUN:
            self.not_run_count += 1
            return
        self.permit = None
        self.runs += 1
        if outcome.ending is Ending.FAILED:
            self.failed_outcome = outcome

    def record_prepared_end(self, choice: Choice, outcome: Outcome) -> None:
        """Record how an attempt ended while the one before it goes on."""
        self._record_destination(choice, outcome)
        if outcome.ending is Ending.NOT_RUN:
            self.not_run_count += 1
        else:
            self.runs += 1

    def take_prepared(self) -> 'PreparedAttempt | None':
        """Return the attempt that was prepared, to be run or withdrawn."""
        prepared = self.next_attempt.prepared
        self.next_attempt.prepared = None
        return prepared

    def _record_destination(self, choice: Choice, outcome: Outcome) -> None:
        self.sends += 1
        if not outcome.is_unsent:
            self.next_attempt.is_retry = True
        if isinstance(choice, SendTo):
            self.last_destination = choice.estimate.target.record.instance
            self.tried.add(self.last_destination)
        if isinstance(choice, RelayTo):
            self.last_destination = choice.region.name
            self.tried_regions.add(choice.region.name)


def _no_reason() -> str:
    return ''
