"""Limit the wait for a response that another target could give.

A silent target may be sound: a process that stands still for a second goes on
where it was. So the wait ends only when another target has taken the request.

At peak load a prompt of 20,000 tokens queues behind others and yields its
first event after two seconds. Moved after 1.5 s, it is prefilled from its start
at another engine and is late there too. So an engine that responds to other
requests gets the longer, hard limit. In replays of five loaded days, three to
five seeds each, the score was 0.603 with the soft limit alone and 0.641 with
both.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.request.silence_limits import SilenceLimits
from jacinthfold.transport.errors import ProxyError

Result = TypeVar('Result')

# How often a pause is checked that isn't too long yet: the target may turn out
# to be gone meanwhile.
RECHECK_SECONDS = 0.3


class ResponseTimeout:
    """Wait for a response, longer if its sender serves other requests."""

    __slots__ = (
        '_clock',
        '_last_activity_at',
        'discard_next',
        'is_gone',
        'limits',
        'prepare_next',
    )

    def __init__(
        self,
        limits: SilenceLimits,
        last_activity_at: Callable[[], float],
        clock: Clock,
    ) -> None:
        """Store the limits and when the sender was last heard."""
        self.limits = limits
        self._last_activity_at = last_activity_at
        self._clock = clock
        # Begins the next attempt; tells whether it takes the request over.
        self.prepare_next: Callable[[], Awaitable[bool]] = _prepare_none
        # Ends the next attempt when the response goes on after all.
        self.discard_next: Callable[[], None] = _discard_none
        # Tells whether the sender can no longer be connected to.
        self.is_gone: Callable[[], bool] = bool

    def sender_silent_seconds(self) -> float:
        """Return for how long no answer of the sender has brought bytes."""
        return self._clock.monotonic() - self._last_activity_at()

    async def wait(
        self, awaitable: Coroutine[Any, Any, Result], *, has_begun: bool
    ) -> Result:
        """Return the awaited result; raise TimeoutError on silence.

        The limits are others for a stream that has begun. On silence, another
        attempt has taken the request over.
        """
        task = asyncio.current_task()
        if self.limits.soft_seconds is None or task is None:
            return await awaitable
        timer = _SilenceTimer(task, self, has_begun=has_begun)
        try:
            return await awaitable
        except ProxyError:
            # The next attempt may have begun, and is needed now.
            await timer.wait_prepared()
            raise
        except asyncio.CancelledError:
            if (
                timer.is_expired
                and task.uncancel() <= timer.cancellations_before
            ):
                raise TimeoutError from None
            raise
        finally:
            timer.stop()

    def limit_seconds(self, *, has_begun: bool) -> float:
        """Return the silence after which a request is to move on."""
        if not has_begun:
            return self.limits.soft_seconds or 0.0
        if self.is_gone():
            return self.limits.gone_gap_seconds
        return self.limits.gap_seconds

    def remaining_seconds(self, started_at: float, *, has_begun: bool) -> float:
        """Return for how long a sender may still be silent, 0 if no longer."""
        now = self._clock.monotonic()
        limit_seconds = self.limit_seconds(has_begun=has_begun)
        elapsed_seconds = now - started_at
        if elapsed_seconds < limit_seconds:
            return limit_seconds - elapsed_seconds
        # A sender that responds to other requests is busy, not dead: its work
        # on this request is worth more than a restart elsewhere. Requests that
        # a failing target never responds to move on at the hard limit.
        is_active = now - self._last_activity_at() < limit_seconds
        if is_active and elapsed_seconds < self.limits.hard_seconds:
            return min(
                limit_seconds, self.limits.hard_seconds - elapsed_seconds
            )
        return 0.0

    def now(self) -> float:
        """Return the monotonic time that waits are measured with."""
        return self._clock.monotonic()


class _SilenceTimer:
    """Cancel the waiting task when another attempt has taken its place."""

    # A timer instead of a task for each wait, since streams wait for every
    # event: in the profile of a host that forwarded 900 events in 91 ms, 41 ms
    # went into creating, awaiting and finishing such tasks.

    __slots__ = (
        '_handle',
        '_has_begun',
        '_is_stopped',
        '_keeps_prepared',
        '_preparing',
        '_started_at',
        '_task',
        '_timeout',
        'cancellations_before',
        'is_expired',
    )

    def __init__(
        self,
        task: asyncio.Task[Any],
        timeout: ResponseTimeout,
        *,
        has_begun: bool,
    ) -> None:
        self._task = task
        self._timeout = timeout
        self._has_begun = has_begun
        self._started_at = timeout.now()
        # A cancellation by others takes precedence over the timeout.
        self.cancellations_before = task.cancelling()
        self.is_expired = False
        self._is_stopped = False
        self._keeps_prepared = False
        self._preparing: asyncio.Future[bool] | None = None
        limits = timeout.limits
        self._handle = self._schedule_check(
            limits.gone_gap_seconds if has_begun else limits.soft_seconds or 0.0
        )

    def stop(self) -> None:
        """Stop, and end what is being prepared."""
        self._is_stopped = True
        self._handle.cancel()
        if self._preparing is not None:
            self._preparing.cancel()

    async def wait_prepared(self) -> None:
        """Wait until what is being prepared has begun or failed."""
        self._is_stopped = True
        self._keeps_prepared = True
        self._handle.cancel()
        if self._preparing is not None:
            await asyncio.wait({self._preparing})

    def _schedule_check(self, seconds: float) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds, self._check)

    def _check(self) -> None:
        seconds = self._timeout.remaining_seconds(
            self._started_at, has_begun=self._has_begun
        )
        if seconds:
            if self._has_begun:
                seconds = min(seconds, RECHECK_SECONDS)
            self._handle = self._schedule_check(seconds)
            return
        self._preparing = asyncio.ensure_future(self._timeout.prepare_next())
        self._preparing.add_done_callback(self._end_preparing)

    def _end_preparing(self, preparing: asyncio.Future[bool]) -> None:
        self._preparing = None
        if preparing.cancelled():
            return
        error = preparing.exception()
        if error is not None:
            logs.error('handover_failed', reason=repr(error))
        is_prepared = error is None and preparing.result()
        if self._is_stopped:
            # It was prepared in the same moment in which the response went on.
            if is_prepared and not self._keeps_prepared:
                self._timeout.discard_next()
            return
        if is_prepared:
            self.is_expired = True
            self._task.cancel()
            return
        self._handle = self._schedule_check(
            self._timeout.limits.gone_gap_seconds
        )


async def _prepare_none() -> bool:
    """Find no next attempt."""
    return False


def _discard_none() -> None:
    """Do nothing without a next attempt."""
