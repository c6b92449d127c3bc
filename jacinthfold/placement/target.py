"""Hold the state of one target, as this host knows it."""

from collections.abc import Callable, Iterable

from jacinthfold import logs
from jacinthfold.catalogue.model import TargetRecord
from jacinthfold.catalogue.origin import ChangeOrigin
from jacinthfold.catalogue.revision import log_fields
from jacinthfold.placement import limits
from jacinthfold.placement.concurrency_limit import ConcurrencyLimit
from jacinthfold.placement.failure_rate import FailureRate
from jacinthfold.placement.leaving_limit import LeavingLimit
from jacinthfold.placement.prefix_cache import CachedPrefixes
from jacinthfold.placement.pushback import Pushback
from jacinthfold.placement.target_activity import TargetActivity
from jacinthfold.request.messages import PromptPrefix, ResponseHead

# Weight of the newest answer in the moving averages, and their initial value:
# the time of three answers of an idle engine.
SPEED_WEIGHT = 0.15
SPEED_START_SECONDS = 0.2
SLOWNESS_LIMIT = 8.0
# A plain target that was measured slow gets no requests while others are as
# idle, and without answers it would count as slow for ever. Half of the time
# within which a target that serves again gets its share.
CALL_SPEED_LIFETIME_SECONDS = 2.5


class Load:
    """Hold requests in flight, pending prefill tokens and memory in use."""

    __slots__ = (
        'held_tokens',
        'requests',
        'pending_prefill_tokens',
        'urgent_tokens',
    )

    def __init__(
        self,
        requests: int = 0,
        pending_prefill_tokens: int = 0,
        held_tokens: int = 0,
        urgent_tokens: int = 0,
    ) -> None:
        """Set the figures; the pending tokens include the urgent ones."""
        self.requests = requests
        self.pending_prefill_tokens = pending_prefill_tokens
        self.held_tokens = held_tokens
        self.urgent_tokens = urgent_tokens

    def add(self, other: 'Load') -> None:
        """Add another host's load."""
        self.requests += other.requests
        self.pending_prefill_tokens += other.pending_prefill_tokens
        self.held_tokens += other.held_tokens
        self.urgent_tokens += other.urgent_tokens


class Target:
    """Hold one incarnation of a target and what this host observed of it."""

    __slots__ = (
        '_expected_seconds',
        '_leaving_limit',
        '_record_expires_at',
        '_actual_seconds',
        '_call_measured_at',
        'activity',
        'cold_until',
        'concurrency_limit',
        'failure_rate',
        'freed_count',
        'on_failure_event',
        'is_removed',
        'is_resuming',
        'knowledge_age',
        'leaving_heard_at',
        'leaving_origin',
        'cached_prefixes',
        'own',
        'own_prefilled_tokens',
        'paced_at',
        'pushback',
        'record',
        'reported',
        'seconds_per_call',
        'unreachable_until',
    )

    def __init__(
        self,
        record: TargetRecord,
        pushback: Pushback | None = None,
        leaving_limit: LeavingLimit | None = None,
    ) -> None:
        """Start from a record and the pushback that is known already."""
        self.record = record
        self.own = Load()
        # How often load of this host ended; waits computed before are too long.
        self.freed_count = 0
        self.own_prefilled_tokens = 0.0
        self.reported: dict[str, tuple[float, Load]] = {}
        self.cold_until = 0.0
        # When this host last sent a request while the target was cold.
        self.paced_at = float('-inf')
        self.unreachable_until = 0.0
        self.activity = TargetActivity()
        self.failure_rate = FailureRate()
        # Called at each ejection, trial and return.
        self.on_failure_event: Callable[[Target, str], None] = _ignore_event
        self.seconds_per_call = limits.CALL_SECONDS
        # None while its record stays; else the end of its use as a last resort.
        self._record_expires_at: float | None = None
        self.is_removed = False
        # Returns the maximum age of this host's records.
        self.knowledge_age: Callable[[], float] = float
        # Returns whether this host has just resumed from a pause.
        self.is_resuming: Callable[[], bool] = bool
        self._leaving_limit = leaving_limit or LeavingLimit()
        # Where its leaving was learned from, and when; None while it stays.
        self.leaving_origin: ChangeOrigin | None = None
        self.leaving_heard_at = float('-inf')
        self.pushback = pushback or Pushback(record.instance)
        self.concurrency_limit = ConcurrencyLimit(record.instance)
        self.cached_prefixes = CachedPrefixes()
        # Moving averages of the actual and the expected time of answers.
        self._actual_seconds = SPEED_START_SECONDS
        self._expected_seconds = SPEED_START_SECONDS
        # When the speed of a plain target was last measured.
        self._call_measured_at = float('-inf')

    @property
    def connection_key(self) -> tuple[str, int, str]:
        """Return address, port and incarnation: the key of its connections."""
        return (*self.record.address, self.record.incarnation_id)

    @property
    def is_ejected(self) -> bool:
        """Return whether it gets trial requests only."""
        return self.failure_rate.is_ejected

    @property
    def ejected_until(self) -> float:
        """Return when an ejected target may be tried, 0 if it never was."""
        return self.failure_rate.next_trial_at

    @property
    def last_resort_until(self) -> float | None:
        """Return until when it may be used as a last resort.

        None while neither its record nor its answers say that it leaves.
        """
        # An answer overrides a record that still says ready, since records
        # can't change while the store is unreachable.
        pushback = self.pushback
        until = _earlier(self._record_expires_at, pushback.drained_until)
        if pushback.leaving_since is None:
            return until
        notice_until = pushback.leaving_since + limits.LAST_RESORT_SECONDS
        until = _earlier(until, notice_until)
        return _earlier(until, pushback.answer_until)

    @property
    def slowness(self) -> float:
        """Return the ratio of the actual to the expected time of answers."""
        # A ratio of averages: in an average of ratios a small prompt with an
        # unforeseen wait weighs as much as a large one, and drives load away
        # from a target that prefills large prompts at its usual speed.
        ratio = self._actual_seconds / self._expected_seconds
        return min(SLOWNESS_LIMIT, max(1 / SLOWNESS_LIMIT, ratio))

    def call_slowness(self, now: float) -> float:
        """Return the slowness of a plain target, 1 if it is not recent."""
        age_seconds = now - self._call_measured_at
        return self.slowness if age_seconds < CALL_SPEED_LIFETIME_SECONDS else 1

    def load(self, now: float) -> Load:
        """Return the load of this host and of all recent reports."""
        total = Load()
        total.add(self.own)
        for received_at, load in self.reported.values():
            if now - received_at < limits.REPORT_LIFETIME_SECONDS:
                total.add(load)
        return total

    def record_sent(
        self, prefixes: Iterable[PromptPrefix], tokens_to_prefill: float
    ) -> None:
        """Count a prompt that was sent, and its tokens to prefill."""
        self.own_prefilled_tokens += tokens_to_prefill
        self.cached_prefixes.add_prefilled(tokens_to_prefill)
        self.cached_prefixes.record_use(prefix.name for prefix in prefixes)

    def record_success(self, seconds: float, expected_seconds: float) -> None:
        """Learn the speed from a request's actual and expected time."""
        self._actual_seconds += SPEED_WEIGHT * (seconds - self._actual_seconds)
        self._expected_seconds += SPEED_WEIGHT * (
            expected_seconds - self._expected_seconds
        )

    def record_call(
        self, seconds: float, expected_seconds: float, now: float
    ) -> None:
        """Learn the speed of a plain target from a served call."""
        if now - self._call_measured_at >= CALL_SPEED_LIFETIME_SECONDS:
            self.forget_speed()
        self._call_measured_at = now
        self.record_success(seconds, expected_seconds)

    def forget_speed(self) -> None:
        """Start the averages of the times of answers anew."""
        self._actual_seconds = SPEED_START_SECONDS
        self._expected_seconds = SPEED_START_SECONDS
        self.seconds_per_call = limits.CALL_SECONDS

    def set_record_expiry(self, until: float | None) -> None:
        """Set until when its record allows its use; None while it stays."""
        self._record_expires_at = until

    def record_leaving(
        self, origin: ChangeOrigin, now: float, remaining_seconds: float
    ) -> None:
        """Bound the use of a target whose record drains or is gone."""
        is_draining = self.record.is_draining
        age_seconds = origin.age_seconds
        if not is_draining:
            # Its record may have lapsed with the store. An answer that does not
            # announce leaving shows that the target still served.
            age_seconds = min(age_seconds, now - self.pushback.confirmed_at)
        until = now + self._leaving_limit.last_resort_seconds(age_seconds)
        if is_draining:
            self.pushback.drained_until = until
        else:
            self._record_expires_at = until
        self.leaving_origin = origin
        self.leaving_heard_at = now
        logs.event(
            'target_leaving',
            target=self.record.instance,
            source='record',
            draining=is_draining,
            remaining_seconds=remaining_seconds,
            **log_fields(origin.revision),
            learned_from=origin.source,
            age_seconds=age_seconds,
        )

    def record_answer(
        self, head: ResponseHead, sent_at: float, now: float
    ) -> None:
        """Apply the head of an answer to a request sent at a given time."""
        pushback = self.pushback
        confirmed_at = pushback.confirmed_at
        pushback.record_answer(head, sent_at, now)
        if pushback.leaving_since is not None and pushback.answer_until is None:
            # Its record may have said so earlier than this answer.
            age_seconds = min(self.knowledge_age(), now - confirmed_at)
            pushback.answer_until = (
                now + self._leaving_limit.last_resort_seconds(age_seconds)
            )

    def log_rejected_send(self, now: float) -> None:
        """Log what this host knows of a target that leaves or may have left."""
        origin = self.leaving_origin
        heard_at = self.leaving_heard_at
        if origin is None:
            is_answer = self.pushback.leaving_since is not None
            origin = ChangeOrigin(0, 'answer' if is_answer else 'nothing')
            heard_at = self.pushback.leaving_since or now
        logs.event(
            'send_rejected_leaving',
            target=self.record.instance,
            **log_fields(origin.revision),
            learned_from=origin.source,
            learned_seconds_ago=now - heard_at,
            age_seconds=origin.age_seconds,
            knowledge_age_seconds=self.knowledge_age(),
        )

    def rejection_reason(self, now: float, *, is_counted: bool) -> str:
        """Return why a request may not be sent now, empty if it may."""
        until = self.last_resort_until
        is_resuming = self.is_resuming()
        if until is not None and (
            is_resuming or now > until + limits.LAST_SEND_SECONDS
        ):
            return 'target_left'
        max_age_seconds = self._leaving_limit.max_send_age_seconds
        if is_resuming and self.knowledge_age() > max_age_seconds:
            return 'target_unconfirmed'
        return self.pushback.rejection_reason(now, is_counted=is_counted)

    def record_served(self, sent_at: float, now: float) -> None:
        """Count a served request."""
        if self.failure_rate.record_success(sent_at, now):
            self._record_return('answers', now)

    def record_first_event(self, sent_at: float, now: float) -> None:
        """Count the first event of a stream."""
        if self.failure_rate.record_first_event(sent_at, now):
            self._record_return('answers', now)

    def record_trial(self, now: float) -> None:
        """Count a trial request that is sent."""
        rate = self.failure_rate
        rate.record_trial(now)
        logs.event(
            'target_trial',
            target=self.record.instance,
            round=rate.round,
            seconds_since_failure=now - rate.last_failed_at,
            seconds_since_report=now - rate.heard_at,
        )
        self.on_failure_event(self, 'trial')

    def record_failure(
        self,
        now: float,
        *,
        is_unreachable: bool,
        sent_at: float | None = None,
        is_cut: bool = False,
    ) -> None:
        """Count a failed request; eject the target after several in a row.

        An unreachable target is ejected at once.
        """
        is_ejected = self.failure_rate.record_failure(
            now if sent_at is None else sent_at,
            now,
            is_unreachable=is_unreachable,
            is_cut=is_cut,
        )
        if is_unreachable:
            self.unreachable_until = self.failure_rate.next_trial_at
        if is_ejected:
            self._record_ejection(now, is_unreachable=is_unreachable)

    def apply_trial_report(
        self, event: int, event_at: float, trial_round: int, now: float
    ) -> None:
        """Apply an ejection, trial or return that another host reported."""
        rate = self.failure_rate
        if not rate.apply_report(event, event_at, trial_round, now):
            return
        if self.is_ejected:
            self._record_ejection(event_at, is_unreachable=False)
        else:
            self._record_return('report', event_at)

    def _record_ejection(self, now: float, *, is_unreachable: bool) -> None:
        rate = self.failure_rate
        logs.warning(
            'target_set_aside',
            target=self.record.instance,
            failures=rate.failures_in_row,
            seconds=rate.next_trial_at - now,
            unreachable=is_unreachable,
            share=rate.share(now),
        )
        self.on_failure_event(self, 'ejected')

    def _record_return(self, source: str, now: float) -> None:
        self.unreachable_until = 0.0
        logs.event(
            'target_returned',
            target=self.record.instance,
            source=source,
            round=self.failure_rate.round,
            seconds_since_failure=now - self.failure_rate.last_failed_at,
        )
        self.on_failure_event(self, 'returned')


def _ignore_event(_target: Target, _event: str) -> None:
    """Drop events until a handler is set."""


def _earlier(first: float | None, second: float | None) -> float | None:
    if first is None:
        return second
    return first if second is None else min(first, second)
