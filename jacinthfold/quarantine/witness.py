"""See targets end, and which requests were there when they did.

A connection that breaks says little: a link may have been reset, or one
answer spoiled. A target has ended when nothing listens at its address any
more, or when its record is gone though it was not leaving.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.quarantine.heads import HeadTiming
from jacinthfold.quarantine.presence import (
    Attempt,
    Cause,
    Life,
    Presence,
    TargetEnd,
)
from jacinthfold.request.messages import Request
from jacinthfold.transport.channel import connect
from jacinthfold.transport.errors import ConnectFailedError

# After the first broken connection: the others of the same end break within a
# few milliseconds.
GATHER_SECONDS = 0.05
# A process that has ended refuses at once; one more look catches those whose
# listening socket outlived the connections.
LOOK_PAUSE_SECONDS = 0.5
LOOK_CONNECT_SECONDS = 0.4
# Records of ended targets lapse after three of their heartbeats, and are heard
# of a second later.
RECORD_SECONDS = 8.0
# Targets of one data centre whose connections break this close to each other
# lost a rack or a link; two that each run the same request may do so too.
TOGETHER_SECONDS = 0.05
# Sends to a cold target beyond its pace, in one second, that it may die of.
OVERRUN_SHARE = 1.5
SENDS_KEPT_SECONDS = 1.0
LINES_PER_END = 16


class Witness:
    """Follow what is at targets and report their ends."""

    def __init__(
        self, targets: TargetTable, fingerprints: Fingerprints, clock: Clock
    ) -> None:
        """Take the targets and what requests are known by."""
        self._targets = targets
        self._fingerprints = fingerprints
        self._clock = clock
        self._heads = HeadTiming()
        self._lives: dict[str, Life] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_end: Callable[[TargetEnd], None] = _hear_nothing
        self.listens: Callable[[Target], Awaitable[bool | None]] = _listens

    def begin(
        self, request: Request, target: Target, withdraw: Callable[[], None]
    ) -> Attempt:
        """Take that a request leaves for a target."""
        life = self._lives.setdefault(target.record.incarnation_id, Life())
        if life.is_ended:
            # It listens again under the same name, and another end may come.
            life = Life()
            self._lives[target.record.incarnation_id] = life
        attempt = Attempt(request, target, life, withdraw)
        now = self._clock.monotonic()
        service = self._targets.service(target.record.service)
        # Plain services say nothing until they answer, and take calls up as
        # long as they have slots.
        is_free = target.load(now).requests <= target.record.slots
        attempt.is_begun = is_free and not service.is_engine
        life.attempts.append(attempt)
        if target.cold_until > now:
            limit = now - SENDS_KEPT_SECONDS
            life.sent_at = [one for one in life.sent_at if one > limit]
            life.sent_at.append(now)
        return attempt

    def note_over(
        self, attempt: Attempt, first_event_at: float, *, is_broken: bool
    ) -> None:
        """Take that an attempt is over, and when its first event came.

        The time is 0 where none came; broken means by the other side.
        """
        attempt.first_event_at = first_event_at or None
        target = attempt.target
        life = attempt.life
        life.attempts.remove(attempt)
        self._learn_head(attempt)
        if is_broken:
            self._note_broken(life, attempt)
        elif not life.attempts and not life.broken and not life.sent_at:
            self._drop(target, life)

    def attempts(self) -> list[Attempt]:
        """Return all requests that are at targets."""
        return [one for life in self._lives.values() for one in life.attempts]

    def forget(self, target: Target) -> None:
        """Drop a life that is gone."""
        life = self._lives.get(target.record.incarnation_id)
        if life is None or life.attempts:
            return
        if life.is_ended or not life.broken:
            self._drop(target, life)

    def _drop(self, target: Target, life: Life) -> None:
        if self._lives.get(target.record.incarnation_id) is life:
            self._lives.pop(target.record.incarnation_id)

    def _learn_head(self, attempt: Attempt) -> None:
        if attempt.begun_at is None or attempt.first_event_at is None:
            return
        lead_seconds = attempt.first_event_at - attempt.begun_at
        self._heads.note(attempt.target.record.service, lead_seconds)

    def _heads_tell(self, target: Target) -> bool:
        service = self._targets.service(target.record.service)
        return not service.is_engine or self._heads.tells(service.name)

    def _note_broken(self, life: Life, attempt: Attempt) -> None:
        target = attempt.target
        if life.is_ended:
            # Noticed late: the others of this end were told already.
            if life.cause is Cause.UNKNOWN:
                self._tell(target, [attempt], Cause.UNKNOWN)
            return
        life.broken.append(attempt)
        if len(life.broken) > 1:
            return
        life.broke_at = self._clock.monotonic()
        if target.last_resort_until is not None:
            # It was leaving: its end is planned, and nobody's fault.
            life.broken.clear()
            return
        task = asyncio.get_running_loop().create_task(
            self._look(target, life),
            name=f'look {target.record.incarnation_id}',
        )
        self._tasks.add(task)
        task.add_done_callback(self._on_looked)

    def _on_looked(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.error('look_failed', reason=repr(task.exception()))

    async def _look(self, target: Target, life: Life) -> None:
        """Find out whether a target whose connections broke has ended."""
        listens = await self._listens_after(target, GATHER_SECONDS)
        if listens is not False:
            listens = await self._listens_after(target, LOOK_PAUSE_SECONDS)
        if listens is False:
            self._note_ended(target, life)
            return
        # Nobody answers, neither yes nor no: its record will tell.
        limit = life.broke_at + RECORD_SECONDS
        while listens is None and self._clock.monotonic() < limit:
            await asyncio.sleep(LOOK_CONNECT_SECONDS)
            if target.is_removed:
                self._note_ended(target, life)
                return
        life.broken.clear()

    async def _listens_after(
        self, target: Target, pause_seconds: float
    ) -> bool | None:
        await asyncio.sleep(pause_seconds)
        return await self.listens(target)

    def _note_ended(self, target: Target, life: Life) -> None:
        cause, present = self._explain(target, life)
        life.cause = cause
        self._tell(target, present, cause)

    def _explain(
        self, target: Target, life: Life
    ) -> tuple[Cause, list[Attempt]]:
        """Return the cause, and the requests that may have been it."""
        service = self._targets.service(target.record.service)
        pace = service.cold_requests_per_second * OVERRUN_SHARE
        since = life.broke_at - SENDS_KEPT_SECONDS
        sends = sum(1 for one in life.sent_at if one > since)
        if target.cold_until > life.broke_at and 0 < pace < sends:
            return Cause.COLD_OVERRUN, []
        together = self._broken_together(target, life)
        if not together:
            return Cause.UNKNOWN, life.broken
        elsewhere = {
            self._fingerprints.of(attempt.request) for attempt in together
        }
        common = [
            attempt
            for attempt in life.broken
            if self._fingerprints.of(attempt.request) in elsewhere
        ]
        return Cause.SEVERAL_TOGETHER, common

    def _broken_together(self, target: Target, life: Life) -> list[Attempt]:
        """Return what was at other targets that broke at the same moment."""
        return [
            attempt
            for other in self._lives.values()
            if other is not life
            and abs(other.broke_at - life.broke_at) < TOGETHER_SECONDS
            for attempt in other.broken
            if attempt.target.record.data_centre == target.record.data_centre
        ]

    def _tell(
        self, target: Target, attempts: Iterable[Attempt], cause: Cause
    ) -> None:
        present = [
            Presence(
                attempt,
                self._fingerprints.of(attempt.request),
                is_begun=attempt.is_begun or not self._heads_tell(target),
            )
            for attempt in attempts
        ]
        # Noted in this order: what a likelier one explains is not refused.
        present.sort(key=_likeliest_first)
        end = TargetEnd(target, cause, present)
        logs.warning(
            'target_ended',
            target=target.record.instance,
            life=end.life,
            service=end.service,
            cause=cause.value,
            present=len(present),
            begun=sum(one.is_begun for one in present),
        )
        for one in present[:LINES_PER_END]:
            logs.warning(
                'request_at_end',
                request=one.request_id,
                fingerprint=one.fingerprint,
                target=target.record.instance,
                begun=one.is_begun,
                events=one.has_events,
            )
        self.on_end(end)


def _likeliest_first(one: Presence) -> tuple[bool, bool]:
    return not one.is_begun, one.has_events


async def _listens(target: Target) -> bool | None:
    """Tell whether something listens at a target, None if nobody says."""
    try:
        channel = await connect(target.record.address, LOOK_CONNECT_SECONDS)
    except ConnectFailedError as error:
        return False if error.is_refused else None
    channel.close()
    return True


def _hear_nothing(_: TargetEnd) -> None:
    """Hear of an end and do nothing."""
