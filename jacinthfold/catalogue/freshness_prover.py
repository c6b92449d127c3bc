"""Prove on demand that this host's records are newer than a moment."""

import asyncio

from jacinthfold import logs
from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.metadata import MetadataError, MetadataStore
from jacinthfold.clock import Clock

# A host that doesn't watch the store gets changes from its neighbours later.
MAX_WAIT_SECONDS = 2.0
POLL_SECONDS = 0.02
# All that wait at this host share a call.
CALL_INTERVAL_SECONDS = 0.2
# Refused calls are charged too.
FAILED_CALL_DELAY_SECONDS = 1.0


class FreshnessProver:
    """Ask the store for its revision when somebody waits for a proof."""

    def __init__(
        self, store: MetadataStore, freshness: Freshness, clock: Clock
    ) -> None:
        """Set the store to ask and the proofs to add to."""
        self._store = store
        self._freshness = freshness
        self._clock = clock
        self._call: asyncio.Task[None] | None = None
        self._next_call_at = float('-inf')
        self._called_at = float('-inf')

    async def prove(
        self, as_of: float, wait_seconds: float = MAX_WAIT_SECONDS
    ) -> bool:
        """Return whether the records are as new as a boot time in seconds.

        A proof of a neighbour counts too.
        """
        until = self._clock.boottime() + wait_seconds
        while self._freshness.proof.as_of < as_of:
            now = self._clock.boottime()
            if now >= until:
                return False
            if self._called_at < as_of and now >= self._next_call_at:
                self._start_call(now)
            await asyncio.sleep(POLL_SECONDS)
        return True

    def _start_call(self, now: float) -> None:
        if self._call is not None and not self._call.done():
            return
        self._called_at = now
        self._next_call_at = now + CALL_INTERVAL_SECONDS
        loop = asyncio.get_running_loop()
        self._call = loop.create_task(self._record_revision(now))

    async def _record_revision(self, sent_at: float) -> None:
        try:
            revision = await self._store.current_revision()
        except MetadataError as error:
            logs.warning('proof_failed', reason=str(error))
            self._called_at = float('-inf')
            self._next_call_at = (
                self._clock.boottime() + FAILED_CALL_DELAY_SECONDS
            )
            return
        self._freshness.record_revision(sent_at, revision)
