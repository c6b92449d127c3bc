"""Follow the era of the store from its answers."""

import asyncio

from jacinthfold import logs
from jacinthfold.catalogue.metadata import OutdatedAnswerError


class EraTracker:
    """Hold the latest era that an answer of the store named."""

    def __init__(self) -> None:
        """Start in era 0, which stands for a store that names none."""
        self.era = 0
        self._is_known = False
        self._risen = asyncio.Event()

    def observe(self, era: int | None) -> int:
        """Return the era of an answer; raise OutdatedAnswerError.

        An answer that names no era counts for the latest one.
        """
        if era is None:
            return self.era
        if era < self.era:
            raise OutdatedAnswerError(
                f'an answer of era {era} after one of era {self.era}'
            )
        if era > self.era:
            self._rise(era)
        self._is_known = True
        return era

    async def wait_above(self, era: int) -> None:
        """Return once an answer has named an era above the given one."""
        while self.era <= era:
            await self._risen.wait()

    def _rise(self, era: int) -> None:
        if self._is_known:
            logs.warning('store_era', era=era, before=self.era)
        self.era = era
        # Each waiter has been woken when a new one waits for the new event.
        self._risen.set()
        self._risen = asyncio.Event()
