"""Read the targets of the own data centre, shared out between hosts."""

import random
import threading
from concurrent.futures import Future, ThreadPoolExecutor

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.hashing import rank
from jacinthfold.serve.client import ClientError, HttpClient
from jacinthfold.serve.deployment import Target
from jacinthfold.serve.engines import (
    EngineError,
    MisplacedTargetError,
    TargetClient,
)
from jacinthfold.serve.members import MemberTable
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import ReportState

POLL_THREADS = 8
FAILURES_TO_DOWN = 2
UNREADABLE = (ClientError, LookupError, TypeError, ValueError)


class Poller:
    """Read each target that falls to this host, again and again."""

    def __init__(
        self,
        targets: TargetTable,
        members: MemberTable,
        client: TargetClient,
        settings: Settings,
        clock: Clock,
    ) -> None:
        """Take the table to fill and the members to share with."""
        self._targets = targets
        self._members = members
        self._client = client
        self._settings = settings
        self._clock = clock
        self._pool = ThreadPoolExecutor(POLL_THREADS, 'poll')
        self._busy: dict[str, Future[None]] = {}
        self._failures: dict[str, int] = {}
        self.read_count = 0

    def run(self, stopped: threading.Event) -> None:
        """Read targets until stopped."""
        pause = self._settings.targets.poll_seconds
        while not stopped.wait(random.uniform(0.9, 1.1) * pause):
            for target in self.assigned():
                self._begin(target)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def assigned(self) -> list[Target]:
        """Return the targets that this host reads."""
        own = self._members.own
        names = [own.name, *(one.name for one in self._members.neighbours())]
        count = self._settings.targets.pollers_per_target
        return [
            view.target
            for view in self._targets.views()
            if view.target.data_centre == own.data_centre
            and own.name in rank(view.target.name, names)[:count]
        ]

    def read(self, target: Target) -> None:
        """Read one target and note what it shows."""
        self.read_count += 1
        version = self._targets.version()
        try:
            report = self._client.read(target, version)
        except MisplacedTargetError as error:
            # Its data would lie outside the region that it is meant for.
            logs.error(
                'target_misplaced', target=target.name, reason=str(error)
            )
            self._targets.observe(target.name, ReportState.STOPPED)
        except EngineError as error:
            self._note_failure(target, error)
        else:
            self._failures.pop(target.name, None)
            self._targets.note_reading(report)

    def _begin(self, target: Target) -> None:
        # A frozen target holds its reader until the timeout. One reader a
        # target at a time keeps it from holding them all.
        running = self._busy.get(target.name)
        if running is None or running.done():
            self._busy[target.name] = self._pool.submit(self.read, target)

    def _note_failure(self, target: Target, error: EngineError) -> None:
        count = self._failures.get(target.name, 0) + 1
        self._failures[target.name] = count
        if count == FAILURES_TO_DOWN:
            logs.warning(
                'target_unreachable', target=target.name, reason=str(error)
            )
        if count >= FAILURES_TO_DOWN:
            self._targets.observe(target.name, ReportState.UNREACHABLE)


class HostListReader:
    """Read the platform's list of hosts, which lags."""

    def __init__(
        self, targets: TargetTable, settings: Settings, http_client: HttpClient
    ) -> None:
        """Take the table to mark and where the list is."""
        self._targets = targets
        self._settings = settings
        self._client = http_client
        self.entry_hosts: list[tuple[str, int]] = []

    def read(self) -> None:
        """Read the list once; keep the last one when that fails."""
        try:
            listed = self._client.call_json(
                'GET',
                f'{self._settings.platform.host_list_url}/v1/catalog/hosts',
                timeout_seconds=self._settings.platform.store_timeout_seconds,
            ).json()
            leaving = {
                entry['name'] for entry in listed if entry['state'] == 'leaving'
            }
            self.entry_hosts = [
                (entry['address'], int(entry['peer_port']))
                for entry in listed
                if entry.get('kind') == 'entry_host'
            ]
        except UNREADABLE:
            return
        self._targets.list_leaving(leaving)
