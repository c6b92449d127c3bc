"""Hold what is believed of one target."""

from collections.abc import Iterable

from jacinthfold import logs
from jacinthfold.catalogue.model import TargetRecord
from jacinthfold.placement import limits
from jacinthfold.placement.kept import KeptParts
from jacinthfold.placement.pushback import Pushback
from jacinthfold.request.messages import ChainLink

# Weight of the newest answer, and the seconds that are expected and taken
# before the first one: three answers of an idle engine.
SPEED_WEIGHT = 0.15
SPEED_START_SECONDS = 0.2
SLOWNESS_LIMIT = 8.0
FAILURE_WEIGHT = 0.25


class Load:
    """Hold requests, unread prompt tokens and memory in use."""

    __slots__ = ('held_tokens', 'requests', 'unread_tokens', 'urgent_tokens')

    def __init__(
        self,
        requests: int = 0,
        unread_tokens: int = 0,
        held_tokens: int = 0,
        urgent_tokens: int = 0,
    ) -> None:
        """Take the figures; urgent tokens are a part of the unread ones."""
        self.requests = requests
        self.unread_tokens = unread_tokens
        self.held_tokens = held_tokens
        self.urgent_tokens = urgent_tokens

    def add(self, other: 'Load') -> None:
        """Add another host's load."""
        self.requests += other.requests
        self.unread_tokens += other.unread_tokens
        self.held_tokens += other.held_tokens
        self.urgent_tokens += other.urgent_tokens


class Target:
    """Hold one life of a target and what this host saw of it."""

    __slots__ = (
        '_expected_seconds',
        '_record_until',
        '_taken_seconds',
        'cold_until',
        'ejected_until',
        'failing_share',
        'failures',
        'heard_at',
        'is_removed',
        'kept',
        'own',
        'own_read_tokens',
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
        """Take what the target tells of itself, and what it asked for."""
        self.record = record
        self.own = Load()
        self.own_read_tokens = 0.0
        self.reported: dict[str, tuple[float, Load]] = {}
        self.cold_until = 0.0
        # When this host last sent something here while the target was cold.
        self.paced_at = float('-inf')
        self.ejected_until = 0.0
        self.unreachable_until = 0.0
        # When any answer of the target last brought something here.
        self.heard_at = float('-inf')
        self.failures = 0
        self.failing_share = 0.0
        self.seconds_per_call = limits.CALL_SECONDS
        # None while its record stays; else until when it may be used if nothing
        # else is left.
        self._record_until: float | None = None
        self.is_removed = False
        self.pushback = pushback or Pushback(record.instance)
        self.kept = KeptParts()
        # Seconds that answers took and that were expected, the latest most.
        self._taken_seconds = SPEED_START_SECONDS
        self._expected_seconds = SPEED_START_SECONDS

    @property
    def place(self) -> tuple[str, int, str]:
        """Return address, port and life, under which connections are kept."""
        return (*self.record.address, self.record.incarnation_id)

    @property
    def last_resort_until(self) -> float | None:
        """Return until when it may be used if nothing else is left.

        None while it stays, by its record and by its answers.
        """
        # A record that still says ready proves nothing against an answer: it
        # can't change while the store is away.
        since = self.pushback.leaving_since
        if since is None:
            return self._record_until
        told_until = since + limits.LAST_RESORT_SECONDS
        if self._record_until is None:
            return told_until
        return min(told_until, self._record_until)

    @property
    def slowness(self) -> float:
        """Return how much longer answers take than was expected."""
        # A ratio of sums: in a mean of ratios a small prompt that waited
        # unforeseen weighs as much as a large one, and drives work away from
        # a target that reads large prompts at its usual pace.
        ratio = self._taken_seconds / self._expected_seconds
        return min(SLOWNESS_LIMIT, max(1 / SLOWNESS_LIMIT, ratio))

    def load(self, now: float) -> Load:
        """Return the load of this host and of all that reported lately."""
        total = Load()
        total.add(self.own)
        for heard_at, load in self.reported.values():
            if now - heard_at < limits.REPORT_SECONDS:
                total.add(load)
        return total

    def note_sent(self, chain: Iterable[ChainLink], unread: float) -> None:
        """Take that a prompt was sent, of which so much will be read."""
        self.own_read_tokens += unread
        self.kept.note_read(unread)
        self.kept.note(link.name for link in chain)

    def note_success(self, seconds: float, expected_seconds: float) -> None:
        """Take how long an answer took against what was expected."""
        self.failures = 0
        self.failing_share *= 1 - FAILURE_WEIGHT
        self._taken_seconds += SPEED_WEIGHT * (seconds - self._taken_seconds)
        self._expected_seconds += SPEED_WEIGHT * (
            expected_seconds - self._expected_seconds
        )

    def follow_record(self, until: float | None) -> None:
        """Take until when the record lets it be used; None while it stays."""
        self._record_until = until

    def barrier_reason(self, now: float, *, is_counted: bool) -> str:
        """Return why a request may not be sent now, nothing if it may."""
        until = self.last_resort_until
        if until is not None and now > until + limits.LAST_SEND_SECONDS:
            return 'target_left'
        return self.pushback.barrier_reason(now, is_counted=is_counted)

    def note_failure(self, now: float, *, is_unreachable: bool) -> None:
        """Take that the target failed a request."""
        self.failures += 1
        self.failing_share += FAILURE_WEIGHT * (1 - self.failing_share)
        if is_unreachable or self.failures >= limits.FAILURES_TO_EJECT:
            doublings = min(self.failures - 1, 3)
            seconds = min(
                limits.EJECT_SECONDS * 2**doublings,
                limits.EJECT_LIMIT_SECONDS,
            )
            self._set_aside(now, seconds, is_unreachable=is_unreachable)

    def _set_aside(
        self, now: float, seconds: float, *, is_unreachable: bool
    ) -> None:
        was_aside = self.ejected_until > now
        self.ejected_until = now + seconds
        if is_unreachable:
            self.unreachable_until = now + seconds
        if not was_aside:
            logs.warning(
                'target_set_aside',
                target=self.record.instance,
                failures=self.failures,
                seconds=seconds,
                unreachable=is_unreachable,
            )
