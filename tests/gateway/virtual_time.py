"""Run coroutines in virtual time: waiting takes no real time."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Advance the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('all tasks wait for something without a time')
        # A little more than asked, so that rounding can't stop the clock.
        if timeout > 0:
            self._clock.advance(timeout + 1e-6)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Take the time of a clock that the loop itself advances."""

    def __init__(self, clock):
        self._clock = clock
        super().__init__(_Selector(clock))

    def time(self):
        return self._clock.monotonic()


def run(clock, coroutine):
    """Run a coroutine to its end in the time of a clock."""
    loop = VirtualTimeLoop(clock)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
