"""Hold what a target asks of this host in its answers."""

from copy import copy
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.placement.request_limit import RequestLimit
from jacinthfold.placement.rest import Rest
from jacinthfold.request.messages import ResponseHead

# Lives whose records are gone; the oldest are dropped first.
LIVES_KEPT = 4096


class Pushback:
    """Hold what one life of a target asks for."""

    __slots__ = (
        '_instance',
        '_unreadable',
        'leaving_since',
        'limit',
        'rest',
    )

    def __init__(self, instance: str) -> None:
        """Start with a target that asks for nothing."""
        self._instance = instance
        # Headers that could not be read, logged once each.
        self._unreadable: set[str] = set()
        # When an answer first said that the target will end.
        self.leaving_since: float | None = None
        self.limit = RequestLimit(instance)
        self.rest = Rest(instance)

    def note_answer(
        self, head: ResponseHead, sent_at: float, now: float
    ) -> None:
        """Take the head of an answer to a request that was sent at a time."""
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another target has the address now.
            return
        facts = head.facts
        self._log_unreadable(facts.invalid_headers)
        if facts.is_leaving and self.leaving_since is None:
            self.leaving_since = now
            logs.event('target_leaving', target=self._instance, source='answer')
        if facts.backoff_seconds is not None:
            self.rest.note_refused(facts.backoff_seconds, now)
        elif head.status != HTTPStatus.SERVICE_UNAVAILABLE:
            self.rest.note_taken(sent_at)
        # What fails may come from a process that no longer says what it needs.
        is_failure = head.status >= HTTPStatus.BAD_REQUEST
        if facts.limit_per_second is not None or not is_failure:
            self.limit.note_answer(facts.limit_per_second, sent_at, now)

    def of_next_life(self, began_at: float) -> 'Pushback':
        """Return what the next life asks for, which began at a time."""
        # Its record may come later than its first answers, and what they
        # asked for was noted here. Leaving is not taken over: a late answer of
        # this life would take the next one away for good, while rests and
        # limits end.
        following = Pushback(self._instance)
        if self.rest.asked_at >= began_at:
            following.rest = copy(self.rest)
        if self.limit.named_at >= began_at:
            following.limit = copy(self.limit)
        return following

    def barrier_reason(self, now: float, *, is_counted: bool) -> str:
        """Return why a request may not be sent now, nothing if it may."""
        if now < self.rest.until:
            return 'target_rests'
        if self.limit.per_second is not None and not is_counted:
            return 'target_limit'
        return ''

    def _log_unreadable(self, unreadable: dict[str, str]) -> None:
        for name in unreadable.keys() - self._unreadable:
            self._unreadable.add(name)
            logs.warning(
                'target_header_unreadable',
                target=self._instance,
                header=name,
                content=unreadable[name],
            )


class KeptPushback:
    """Keep what lives of targets asked for after their records are gone."""

    # Records lapse while the store is away, and come back with it: the life
    # has gone on, and what it asked for holds.

    __slots__ = ('_by_life',)

    def __init__(self) -> None:
        """Start without any."""
        self._by_life: dict[str, Pushback] = {}

    def keep(self, life: str, pushback: Pushback) -> None:
        """Take what a life whose record is gone asked for."""
        self._by_life[life] = pushback
        if len(self._by_life) > LIVES_KEPT:
            self._by_life.pop(next(iter(self._by_life)))

    def take(self, life: str, instance: str) -> Pushback:
        """Return what a life asked for, nothing for a new one."""
        return self._by_life.pop(life, None) or Pushback(instance)
