"""Hold the state of one target, as this host knows it."""

from collections.abc import Callable, Iterable

from jacinthfold import logs
from jacinthfold.catalogue.model import TargetRecord
from jacinthfold.catalogue.origin import ChangeOrigin
from jacinthfold.placement import limits
from jacinthfold.placement.concurrency_limit import ConcurrencyLimit
from jacinthfold.placement.prefix_cache import CachedPrefixes
from jacinthfold.placement.pushback import Pushback
from jacinthfold.request.messages import PromptPrefix, ResponseHead

# Weight of the newest answer in the moving averages, and their initial value:
# the time of three answers of an idle engine.
SPEED_WEIGHT = 0.15
SPEED_START_SECONDS = 0.2
SLOWNESS_LIMIT = 8.0
FAILURE_WEIGHT = 0.25
# How old a target's leaving may be when a request is sent to it.
_MAX_SEND_AGE_SECONDS = (
    limits.MAX_USE_AFTER_LEAVING_SECONDS - limits.SEND_MARGIN_SECONDS
)


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
        '_record_expires_at',
        '_actual_seconds',
        'cold_until',
        'concurrency_limit',
        'ejected_until',
        'failing_share',
        'failures',
        'freed_count',
        'last_received_at',
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
        self, record: TargetRecord, pushback: Pushback | None = None
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
        self.ejected_until = 0.0
        self.unreachable_until = 0.0
        # When this host last received bytes of any answer of the target.
        self.last_received_at = float('-inf')
        self.failures = 0
        self.failing_share = 0.0
        self.seconds_per_call = limits.CALL_SECONDS
        # None while its record stays; else the end of its use as a last resort.
        self._record_expires_at: float | None = None
        self.is_removed = False
        # Returns the maximum age of this host's records.
        self.knowledge_age: Callable[[], float] = float
        # Returns whether this host has just resumed from a pause.
        self.is_resuming: Callable[[], bool] = bool
        # Where its leaving was learned from, and when; None while it stays.
        self.leaving_origin: ChangeOrigin | None = None
        self.leaving_heard_at = float('-inf')
        self.pushback = pushback or Pushback(record.instance)
        self.concurrency_limit = ConcurrencyLimit(record.instance)
        self.cached_prefixes = CachedPrefixes()
        # Moving averages of the actual and the expected time of answers.
        self._actual_seconds = SPEED_START_SECONDS
        self._expected_seconds = SPEED_START_SECONDS

    @property
    def connection_key(self) -> tuple[str, int, str]:
        """Return address, port and incarnation: the key of its connections."""
        return (*self.record.address, self.record.incarnation_id)

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
        """Count a served request, with its actual and expected time."""
        self.failures = 0
        self.failing_share *= 1 - FAILURE_WEIGHT
        self._actual_seconds += SPEED_WEIGHT * (seconds - self._actual_seconds)
        self._expected_seconds += SPEED_WEIGHT * (
            expected_seconds - self._expected_seconds
        )

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
        until = now + _last_resort_seconds(age_seconds)
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
            revision=origin.revision,
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
            pushback.answer_until = now + _last_resort_seconds(age_seconds)

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
            revision=origin.revision,
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
        if is_resuming and self.knowledge_age() > _MAX_SEND_AGE_SECONDS:
            return 'target_unconfirmed'
        return self.pushback.rejection_reason(now, is_counted=is_counted)

    def record_failure(self, now: float, *, is_unreachable: bool) -> None:
        """Count a failed request; eject the target after several in a row.

        An unreachable target is ejected at once.
        """
        self.failures += 1
        self.failing_share += FAILURE_WEIGHT * (1 - self.failing_share)
        if is_unreachable or self.failures >= limits.FAILURES_TO_EJECT:
            doublings = min(self.failures - 1, 3)
            seconds = min(
                limits.EJECT_SECONDS * 2**doublings,
                limits.EJECT_LIMIT_SECONDS,
            )
            self._eject(now, seconds, is_unreachable=is_unreachable)

    def _eject(
        self, now: float, seconds: float, *, is_unreachable: bool
    ) -> None:
        was_ejected = self.ejected_until > now
        self.ejected_until = now + seconds
        if is_unreachable:
            self.unreachable_until = now + seconds
        if not was_ejected:
            logs.warning(
                'target_set_aside',
                target=self.record.instance,
                failures=self.failures,
                seconds=seconds,
                unreachable=is_unreachable,
            )


def _earlier(first: float | None, second: float | None) -> float | None:
    if first is None:
        return second
    return first if second is None else min(first, second)


def _last_resort_seconds(age_seconds: float) -> float:
    """Return for how long a target may be used that left so long ago.

    Negative if it may not be used any more.
    """
    bound_seconds = _MAX_SEND_AGE_SECONDS - limits.LAST_SEND_SECONDS
    return min(limits.LAST_RESORT_SECONDS, bound_seconds - age_seconds)
