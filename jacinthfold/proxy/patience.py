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


class Patience:
    """Wait longer for those that are heard by others than for the silent."""

    __slots__ = (
        '_clock',
        '_hang_seconds',
        '_last_heard',
        '_may_leave',
        'silence_seconds',
    )

    def __init__(
        self,
        silence_seconds: float | None,
        hang_seconds: float,
        last_heard: Callable[[], float],
        may_leave: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Take both limits, and who knows the other end and other ways."""
        self.silence_seconds = silence_seconds
        self._hang_seconds = hang_seconds
        self._last_heard = last_heard
        self._may_leave = may_leave
        self._clock = clock

    def now(self) -> float:
        """Return the time by the clock that waits are measured with."""
        return self._clock.monotonic()

    async def wait(
        self,
        coming: Coroutine[Any, Any, Result],
        silence_seconds: float | None,
    ) -> Result:
        """Return what comes; raise TimeoutError on silence."""
        task = asyncio.current_task()
        if silence_seconds is None or task is None:
            return await coming
        watch = _Watch(task, silence_seconds, self)
        try:
            return await coming
        except asyncio.CancelledError:
            if watch.is_expired and task.uncancel() <= watch.asked_before:
                raise TimeoutError from None
            raise
        finally:
            watch.end()

    def is_over(self, began_at: float, silence_seconds: float) -> bool:
        """Tell whether a wait that found only silence is to end."""
        # Without another attempt to follow the caller would only lose what the
        # silent one may still bring.
        if not self._may_leave():
            return False
        # One that answers others is busy and not dead: its work on this
        # request is worth more than a new start elsewhere. Requests that a
        # failing target never answers end at the second limit.
        now = self._clock.monotonic()
        is_heard = now - self._last_heard() < silence_seconds
        return not is_heard or now - began_at >= self._hang_seconds


class _Watch:
    """End a wait in the task that waits."""

    # Not in a task of its own for each wait: streams wait once an event, and
    # by a profile of a host that passed 900 events on, 41 ms of the 91 ms that
    # they took went to making, awaiting and ending tasks.

    __slots__ = (
        '_began_at',
        '_handle',
        '_patience',
        '_silence_seconds',
        '_task',
        'asked_before',
        'is_expired',
    )

    def __init__(
        self,
        task: asyncio.Task[Any],
        silence_seconds: float,
        patience: Patience,
    ) -> None:
        self._task = task
        self._silence_seconds = silence_seconds
        self._patience = patience
        self._began_at = patience.now()
        # Others may have asked the task to end before: their wish counts.
        self.asked_before = task.cancelling()
        self.is_expired = False
        self._handle = self._armed()

    def end(self) -> None:
        self._handle.cancel()

    def _armed(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(self._silence_seconds, self._check)

    def _check(self) -> None:
        if self._patience.is_over(self._began_at, self._silence_seconds):
            self.is_expired = True
            self._task.cancel()
        else:
            self._handle = self._armed()
