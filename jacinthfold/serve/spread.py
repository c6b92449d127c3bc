"""Bring new revisions from the platform's store to this host."""

import random
import threading

from jacinthfold import logs
from jacinthfold.config import Settings
from jacinthfold.serve.configuration import Configuration, ConfigurationError
from jacinthfold.serve.members import MemberTable
from jacinthfold.serve.revisions import Revisions
from jacinthfold.serve.store import StoreError

IDLE_SECONDS = 0.5
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 5


class StoreWatcher:
    """Watch the store where that falls to this host."""

    def __init__(
        self,
        revisions: Revisions,
        configuration: Configuration,
        members: MemberTable,
        settings: Settings,
    ) -> None:
        """Take where revisions come from and who shares the duty."""
        self._revisions = revisions
        self._configuration = configuration
        self._members = members
        self._wait_seconds = settings.platform.watch_seconds
        self._index = 0
        self._pause_seconds = FIRST_PAUSE_SECONDS
        self.is_store_reachable = False
        self.has_read = False

    def read_once(self) -> bool:
        """Read the newest revision; tell whether the store answered."""
        try:
            head = self._revisions.read_head()
            self._revisions.bring_up_to(head)
        except (StoreError, ConfigurationError, ValueError) as error:
            self._note_failure(error)
            return False
        self._note_success(head.index, head.revision)
        return True

    def run(self, stopped: threading.Event) -> None:
        """Watch until stopped."""
        while not stopped.is_set():
            # A host that never heard from the store asks once, also when
            # others watch: it must not serve on what neighbours alone say.
            if self._members.is_watcher() or not self.has_read:
                self._watch(stopped)
            else:
                stopped.wait(IDLE_SECONDS)

    def _watch(self, stopped: threading.Event) -> None:
        try:
            head = self._revisions.watch_head(self._index, self._wait_seconds)
            self._revisions.bring_up_to(head)
        except (StoreError, ConfigurationError, ValueError) as error:
            self._note_failure(error)
            stopped.wait(random.uniform(0.5, 1.0) * self._pause_seconds)
            self._pause_seconds = min(
                LONGEST_PAUSE_SECONDS, self._pause_seconds * 2
            )
            return
        self._note_success(head.index, head.revision)
        if not head.index:
            stopped.wait(IDLE_SECONDS)

    def _note_success(self, index: int, revision: int) -> None:
        if not self.is_store_reachable:
            logs.event('store_reached', revision=revision)
        if revision < self._configuration.revision:
            logs.error(
                'store_is_behind',
                store_revision=revision,
                revision=self._configuration.revision,
            )
        self.is_store_reachable = True
        self.has_read = True
        self._index = index
        self._pause_seconds = FIRST_PAUSE_SECONDS

    def _note_failure(self, error: Exception) -> None:
        if self.is_store_reachable:
            logs.warning('store_lost', reason=str(error))
        self.is_store_reachable = False
