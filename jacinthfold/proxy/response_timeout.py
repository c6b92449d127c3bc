"""Decide how long an answer that may be had elsewhere is waited for.

Load pattern: at a peak a prompt of 20,000 tokens waits behind others and has
its first event after two seconds. Taken away from its engine after one and a
half it is read again from its start at another one, which is late as well then.
Worth of five loaded days, three to five seeds each: 0.603 when silence alone
decided, 0.641 with both limits.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from jacinthfold.clock import Clock

Result = TypeVar('Result')


class ResponseTimeout:
    """Wait longer for those that are heard by others than for the silent."""

    __slots__ = (
        '_clock',
        '_hard_timeout_seconds',
        '_last_activity_at',
        '_may_fail_over',
        'soft_timeout_seconds',
    )

    def __init__(
        self,
        soft_timeout_seconds: float | None,
        hard_timeout_seconds: float,
        last_activity_at: Callable[[], float],
        may_fail_over: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Take both limits, and who knows the other end and other ways."""
        self.soft_timeout_seconds = soft_timeout_seconds
        self._hard_timeout_seconds = hard_timeout_seconds
        self._last_activity_at = last_activity_at
        self._may_fail_over = may_fail_over
        self._clock = clock

    def now(self) -> float:
        """Return the time by the clock that waits are measured with."""
        return self._clock.monotonic()

    async def wait(
        self,
        awaitable: Coroutine[Any, Any, Result],
        soft_timeout_seconds: float | None,
    ) -> Result:
        """Return what comes; raise TimeoutError on silence."""
        task = asyncio.current_task()
        if soft_timeout_seconds is None or task is None:
            return await awaitable
        timer = _SoftTimer(task, soft_timeout_seconds, self)
        try:
            return await awaitable
        except asyncio.CancelledError:
            if (
                timer.is_expired
                and task.uncancel() <= timer.cancellations_before
            ):
                raise TimeoutError from None
            raise
        finally:
            timer.stop()

    def should_expire(
        self, began_at: float, soft_timeout_seconds: float
    ) -> bool:
        """Tell whether a wait that found only silence is to end."""
        # Without another attempt to follow the caller would only lose what the
        # silent one may still bring.
        if not self._may_fail_over():
            return False
        # One that answers others is busy and not dead: its work on this
        # request is worth more than a new start elsewhere. Requests that a
        # failing target never answers end at the second limit.
        now = self._clock.monotonic()
        is_active = now - self._last_activity_at() < soft_timeout_seconds
        return not is_active or now - began_at >= self._hard_timeout_seconds


class _SoftTimer:
    """End a wait in the task that waits."""

    # Not in a task of its own for each wait: streams wait once an event, and
    # by a profile of a host that passed 900 events on, 41 ms of the 91 ms that
    # they took went to making, awaiting and ending tasks.

    __slots__ = (
        '_began_at',
        '_handle',
        '_timeout',
        '_soft_timeout_seconds',
        '_task',
        'cancellations_before',
        'is_expired',
    )

    def __init__(
        self,
        task: asyncio.Task[Any],
        soft_timeout_seconds: float,
        timeout: ResponseTimeout,
    ) -> None:
        self._task = task
        self._soft_timeout_seconds = soft_timeout_seconds
        self._timeout = timeout
        self._began_at = timeout.now()
        # Others may have asked the task to end before: their wish counts.
        self.cancellations_before = task.cancelling()
        self.is_expired = False
        self._handle = self._schedule_check()

    def stop(self) -> None:
        self._handle.cancel()

    def _schedule_check(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(self._soft_timeout_seconds, self._check)

    def _check(self) -> None:
        if self._timeout.should_expire(
            self._began_at, self._soft_timeout_seconds
        ):
            self.is_expired = True
            self._task.cancel()
        else:
            self._handle = self._schedule_check()
