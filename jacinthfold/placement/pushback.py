"""Hold the pushback in a target's answers: leaving, rate limit and backoff."""

from copy import copy
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.placement.backoff import Backoff
from jacinthfold.placement.request_limit import RequestLimit
from jacinthfold.request.messages import ResponseHead

# Incarnations without records; the oldest are dropped first.
MAX_RETAINED = 4096


class Pushback:
    """Hold the pushback of one incarnation of a target."""

    __slots__ = (
        '_instance',
        '_logged_headers',
        'answer_until',
        'confirmed_at',
        'drained_until',
        'leaving_since',
        'limit',
        'backoff',
    )

    def __init__(self, instance: str) -> None:
        """Start without pushback."""
        self._instance = instance
        # Names of malformed headers, logged once each.
        self._logged_headers: set[str] = set()
        # When an answer first announced that the target leaves.
        self.leaving_since: float | None = None
        # End of the last resort after that answer.
        self.answer_until: float | None = None
        # End of the last resort if its record said once that it drains. Its
        # record may be removed, and a late heartbeat of it may say ready.
        self.drained_until: float | None = None
        # When the newest request was sent whose answer didn't announce leaving.
        self.confirmed_at = float('-inf')
        self.limit = RequestLimit(instance)
        self.backoff = Backoff(instance)

    def record_answer(
        self, head: ResponseHead, sent_at: float, now: float
    ) -> None:
        """Apply the head of an answer to a request sent at a given time."""
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another target has the address now.
            return
        facts = head.facts
        self._log_invalid_headers(facts.invalid_headers)
        if facts.is_leaving and self.leaving_since is None:
            self.leaving_since = now
            logs.event('target_leaving', target=self._instance, source='answer')
        if not facts.is_leaving:
            self.confirmed_at = max(self.confirmed_at, sent_at)
        if facts.backoff_seconds is not None:
            self.backoff.record_rejected(facts.backoff_seconds, now)
        elif head.status != HTTPStatus.SERVICE_UNAVAILABLE:
            self.backoff.record_accepted(sent_at)
        # A failing process may omit the header of a limit that still holds.
        is_failure = head.status >= HTTPStatus.BAD_REQUEST
        if facts.limit_per_second is not None or not is_failure:
            self.limit.record_answer(facts.limit_per_second, sent_at, now)

    def for_next_incarnation(self, started_at: float) -> 'Pushback':
        """Return the initial pushback of the next incarnation."""
        # The first answers of an incarnation may arrive before its record, so
        # that their pushback was recorded here. The announcement of leaving is
        # not inherited: unlike backoffs and limits it never ends, and a late
        # answer of this incarnation would disable the next one.
        successor = Pushback(self._instance)
        if self.backoff.requested_at >= started_at:
            successor.backoff = copy(self.backoff)
        if self.limit.reported_at >= started_at:
            successor.limit = copy(self.limit)
        return successor

    def rejection_reason(self, now: float, *, is_counted: bool) -> str:
        """Return why a request may not be sent now, empty if it may."""
        if now < self.backoff.until:
            return 'target_rests'
        if self.limit.per_second is not None and not is_counted:
            return 'target_limit'
        return ''

    def _log_invalid_headers(self, invalid_headers: dict[str, str]) -> None:
        for name in invalid_headers.keys() - self._logged_headers:
            self._logged_headers.add(name)
            logs.warning(
                'target_header_unreadable',
                target=self._instance,
                header=name,
                content=invalid_headers[name],
            )


class RetainedPushback:
    """Hold the pushback of incarnations whose records are gone."""

    # Records lapse while the store is unreachable and return with it: the
    # incarnation has kept running, and its pushback still holds.

    __slots__ = ('_by_incarnation',)

    def __init__(self) -> None:
        """Start empty."""
        self._by_incarnation: dict[str, Pushback] = {}

    def add(self, incarnation_id: str, pushback: Pushback) -> None:
        """Store the pushback of an incarnation whose record is gone."""
        self._by_incarnation[incarnation_id] = pushback
        if len(self._by_incarnation) > MAX_RETAINED:
            self._by_incarnation.pop(next(iter(self._by_incarnation)))

    def restore(self, incarnation_id: str, instance: str) -> Pushback:
        """Return and remove an incarnation's pushback, or a new one."""
        return self._by_incarnation.pop(incarnation_id, None) or Pushback(
            instance
        )
