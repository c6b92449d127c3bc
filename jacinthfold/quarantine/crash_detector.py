"""Detect crashes of targets and the requests that were present.

A broken connection alone proves no crash: a link may have been reset, or one
response malformed. A target has crashed when nothing listens at its address any
more, or when its record is gone though the target was not leaving.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.crash_model import (
    Attempt,
    CrashCause,
    PresentRequest,
    TargetCrash,
    TargetIncarnation,
)
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.quarantine.head_timing import HeadTiming
from jacinthfold.quarantine.prompt_parts import PromptParts
from jacinthfold.request.messages import Request
from jacinthfold.transport.channel import connect
from jacinthfold.transport.errors import ConnectFailedError

# Wait after the first broken connection: the others of the same crash break
# within a few milliseconds.
SETTLE_SECONDS = 0.05
# A dead process refuses connections at once. A second probe after this time
# finds those whose listening socket closed after the connections.
RECHECK_DELAY_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.4
# Records of crashed targets expire after three missed heartbeats of theirs, and
# hosts learn of it a second later.
RECORD_EXPIRY_SECONDS = 8.0
# Targets of one data centre whose connections break within this time have lost
# a rack or a link, unless each of them was running the same request.
SIMULTANEOUS_SECONDS = 0.05
# Multiple of a cold target's permitted rate that may crash it by overload.
OVERRUN_FACTOR = 1.5
SEND_WINDOW_SECONDS = 1.0
MAX_LOG_LINES_PER_CRASH = 16
MAX_LOGGED_PARTS = 4


class CrashDetector:
    """Track the requests at targets and report crashes."""

    def __init__(
        self, targets: TargetTable, fingerprints: Fingerprints, clock: Clock
    ) -> None:
        """Set the targets and the fingerprints of requests."""
        self._targets = targets
        self._fingerprints = fingerprints
        self._clock = clock
        self.parts = PromptParts(fingerprints, clock)
        self._heads = HeadTiming()
        self._incarnations: dict[str, TargetIncarnation] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_crash: Callable[[TargetCrash], None] = _ignore_crash
        self.is_listening: Callable[[Target], Awaitable[bool | None]] = (
            _is_listening
        )

    def start_attempt(
        self, request: Request, target: Target, withdraw: Callable[[], None]
    ) -> Attempt:
        """Record that a request is sent to a target."""
        incarnation = self._incarnations.setdefault(
            target.record.incarnation_id, TargetIncarnation()
        )
        if incarnation.has_crashed:
            # The target listens again under the same name and may crash again.
            incarnation = TargetIncarnation()
            self._incarnations[target.record.incarnation_id] = incarnation
        attempt = Attempt(request, target, incarnation, withdraw)
        now = self._clock.monotonic()
        service = self._targets.service(target.record.service)
        # Plain services send nothing before their response, and start requests
        # at once while they have free slots.
        is_free = target.load(now).requests <= target.record.slots
        attempt.is_started = is_free and not service.is_engine
        incarnation.attempts.append(attempt)
        if target.cold_until > now:
            oldest = now - SEND_WINDOW_SECONDS
            incarnation.send_times = [
                one for one in incarnation.send_times if one > oldest
            ]
            incarnation.send_times.append(now)
        return attempt

    def keep_fingerprint(self, request: Request) -> None:
        """Keep the fingerprint of a request whose body will be released."""
        self._fingerprints.keep(request)

    def record_finish(
        self,
        attempt: Attempt,
        first_event_at: float,
        *,
        is_broken: bool,
        is_complete: bool = False,
    ) -> None:
        """Record the end of an attempt and the time of its first event.

        The time is 0 without an event. An attempt is broken if the target
        closed the connection, and complete if it marked the end of its answer.
        """
        attempt.first_event_at = first_event_at or None
        attempt.finished_at = self._clock.monotonic()
        attempt.is_broken = is_broken
        attempt.is_complete = is_complete
        target = attempt.target
        incarnation = attempt.incarnation
        incarnation.attempts.remove(attempt)
        self._record_head(attempt)
        if is_broken:
            self._fingerprints.keep(attempt.request)
            self._record_broken(incarnation, attempt)
        elif (
            not incarnation.attempts
            and not incarnation.broken
            and not incarnation.send_times
        ):
            self._drop(target, incarnation)

    def attempts(self) -> list[Attempt]:
        """Return all attempts in flight."""
        return [
            one
            for incarnation in self._incarnations.values()
            for one in incarnation.attempts
        ]

    def forget(self, target: Target) -> None:
        """Drop the state of an incarnation that is gone."""
        incarnation = self._incarnations.get(target.record.incarnation_id)
        if incarnation is None or incarnation.attempts:
            return
        if incarnation.has_crashed or not incarnation.broken:
            self._drop(target, incarnation)

    def _drop(self, target: Target, incarnation: TargetIncarnation) -> None:
        if self._incarnations.get(target.record.incarnation_id) is incarnation:
            self._incarnations.pop(target.record.incarnation_id)

    def _record_head(self, attempt: Attempt) -> None:
        if attempt.started_at is None or attempt.first_event_at is None:
            return
        lead_seconds = attempt.first_event_at - attempt.started_at
        self._heads.record(attempt.target.record.service, lead_seconds)

    def _heads_are_early(self, target: Target) -> bool:
        service = self._targets.service(target.record.service)
        return not service.is_engine or self._heads.are_early(service.name)

    def _record_broken(
        self, incarnation: TargetIncarnation, attempt: Attempt
    ) -> None:
        target = attempt.target
        if incarnation.has_crashed:
            # Noticed late, after the other requests were reported.
            if incarnation.cause is CrashCause.UNKNOWN:
                self._report(target, [attempt], CrashCause.UNKNOWN)
            return
        incarnation.broken.append(attempt)
        if len(incarnation.broken) > 1:
            return
        incarnation.broken_at = self._clock.monotonic()
        if target.last_resort_until is not None:
            # The target was leaving: its end is planned and no crash.
            incarnation.broken.clear()
            return
        task = asyncio.get_running_loop().create_task(
            self._confirm_crash(target, incarnation),
            name=f'look {target.record.incarnation_id}',
        )
        self._tasks.add(task)
        task.add_done_callback(self._on_confirmed)

    def _on_confirmed(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.error('look_failed', reason=repr(task.exception()))

    async def _confirm_crash(
        self, target: Target, incarnation: TargetIncarnation
    ) -> None:
        """Report a crash if a target with broken connections is gone."""
        is_listening = await self._is_listening_after(target, SETTLE_SECONDS)
        if is_listening is not False:
            is_listening = await self._is_listening_after(
                target, RECHECK_DELAY_SECONDS
            )
        if is_listening is False:
            self._record_crash(target, incarnation)
            return
        # The address neither accepts nor refuses, so wait for the removal of
        # the target's record.
        deadline = incarnation.broken_at + RECORD_EXPIRY_SECONDS
        while is_listening is None and self._clock.monotonic() < deadline:
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS)
            if target.is_removed:
                self._record_crash(target, incarnation)
                return
        incarnation.broken.clear()

    async def _is_listening_after(
        self, target: Target, pause_seconds: float
    ) -> bool | None:
        await asyncio.sleep(pause_seconds)
        return await self.is_listening(target)

    def _record_crash(
        self, target: Target, incarnation: TargetIncarnation
    ) -> None:
        cause, present = self._find_cause(target, incarnation)
        incarnation.cause = cause
        self._report(target, present, cause)

    def _find_cause(
        self, target: Target, incarnation: TargetIncarnation
    ) -> tuple[CrashCause, list[Attempt]]:
        """Return the cause, and the attempts that may have caused it."""
        service = self._targets.service(target.record.service)
        overrun_rate = service.cold_requests_per_second * OVERRUN_FACTOR
        since = incarnation.broken_at - SEND_WINDOW_SECONDS
        send_count = sum(1 for one in incarnation.send_times if one > since)
        if (
            target.cold_until > incarnation.broken_at
            and 0 < overrun_rate < send_count
        ):
            return CrashCause.COLD_OVERRUN, []
        simultaneous = self._broken_simultaneously(target, incarnation)
        if not simultaneous:
            return CrashCause.UNKNOWN, incarnation.broken
        elsewhere = {
            identity
            for attempt in simultaneous
            for identity in self._identities(attempt)
        }
        common = [
            attempt
            for attempt in incarnation.broken
            if not elsewhere.isdisjoint(self._identities(attempt))
        ]
        return CrashCause.SEVERAL_TOGETHER, common

    def _identities(self, attempt: Attempt) -> list[str]:
        own = self._fingerprints.of(attempt.request)
        return [own, *self.parts.suspected(attempt)]

    def _broken_simultaneously(
        self, target: Target, incarnation: TargetIncarnation
    ) -> list[Attempt]:
        """Return attempts that broke at other targets at the same time."""
        return [
            attempt
            for other in self._incarnations.values()
            if other is not incarnation
            and abs(other.broken_at - incarnation.broken_at)
            < SIMULTANEOUS_SECONDS
            for attempt in other.broken
            if attempt.target.record.data_centre == target.record.data_centre
        ]

    def _report(
        self, target: Target, attempts: Iterable[Attempt], cause: CrashCause
    ) -> None:
        present = [
            PresentRequest(
                attempt,
                self._fingerprints.of(attempt.request),
                self.parts.suspected(attempt),
                is_started=attempt.is_started
                or not self._heads_are_early(target),
            )
            for attempt in attempts
        ]
        # Likeliest culprit first: the crashes that it explains then don't get
        # the others refused.
        present.sort(key=_likeliest_first)
        crash = TargetCrash(target, cause, present)
        logs.warning(
            'target_ended',
            target=target.record.instance,
            life=crash.incarnation_id,
            service=crash.service,
            cause=cause.value,
            present=len(present),
            begun=sum(one.is_started for one in present),
        )
        for one in present[:MAX_LOG_LINES_PER_CRASH]:
            logs.warning(
                'request_at_end',
                request=one.request_id,
                fingerprint=one.fingerprint,
                target=target.record.instance,
                begun=one.is_started,
                events=one.has_events,
                parts=','.join(one.part_fingerprints[:MAX_LOGGED_PARTS]),
            )
        self.on_crash(crash)


def _likeliest_first(one: PresentRequest) -> tuple[bool, bool]:
    return not one.is_started, one.has_events


async def _is_listening(target: Target) -> bool | None:
    """Return whether a target's port is open, None if it is unknown."""
    try:
        channel = await connect(target.record.address, PROBE_TIMEOUT_SECONDS)
    except ConnectFailedError as error:
        return False if error.is_refused else None
    channel.close()
    return True


def _ignore_crash(_: TargetCrash) -> None:
    """Ignore the crash."""
