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

    async def wait(
        self,
        coming: Coroutine[Any, Any, Result],
        silence_seconds: float | None,
    ) -> Result:
        """Return what comes; raise TimeoutError on silence."""
        if silence_seconds is None:
            return await coming
        began_at = self._clock.monotonic()
        task = asyncio.ensure_future(coming)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=silence_seconds)
                if not task.done() and self._is_over(began_at, silence_seconds):
                    raise TimeoutError
        finally:
            task.cancel()
        return task.result()

    def _is_over(self, began_at: float, silence_seconds: float) -> bool:
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
