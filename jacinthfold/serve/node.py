"""Run an entry host: put its parts together, start and stop them."""

import random
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve import inspection
from jacinthfold.serve.admission import Admission
from jacinthfold.serve.client import HttpClient
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.directory import Directory
from jacinthfold.serve.engines import HttpTargetClient
from jacinthfold.serve.front import CallerApp, Frame
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.keys import Claims, KeyIssuer, KeyTable
from jacinthfold.serve.limits import Limiter
from jacinthfold.serve.members import Member, MemberState, MemberTable
from jacinthfold.serve.metrics import Metrics
from jacinthfold.serve.once import OnceServer
from jacinthfold.serve.operators import ControlApp
from jacinthfold.serve.orders import OrderKeeper, OrderLease
from jacinthfold.serve.peers import Knowledge, PeerLoop, Peers
from jacinthfold.serve.polling import HostListReader, Poller
from jacinthfold.serve.relay import Relay
from jacinthfold.serve.relayed import RelayedApp
from jacinthfold.serve.revisions import Revisions
from jacinthfold.serve.routing import make_policy
from jacinthfold.serve.server import Listener, ListenerSettings
from jacinthfold.serve.serving import Server
from jacinthfold.serve.spill import Spill
from jacinthfold.serve.spread import StoreWatcher
from jacinthfold.serve.store import HttpStore
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.work import InFlight

BEAT_SECONDS = 0.25
PAUSE_LIMIT_SECONDS = 2
SPARE_THREADS = 32
CONTROL_THREADS = 8
START_PAUSE_SECONDS = 0.3
CLOSE_GRACE_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05


class Node:
    """Hold every part of one entry host."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Put the parts together; nothing runs yet."""
        self.settings = settings
        self.clock = clock
        self.started_at = clock.monotonic()
        self._last_beat_at = 0.0
        self._is_joined = False
        self._stopped = threading.Event()
        self._stop_asked = threading.Event()
        self._pool = ThreadPoolExecutor(8, 'duty')
        self._duties: list[Future[None]] = []
        self.metrics = Metrics()
        self.members = MemberTable(_own_member(settings), settings, clock)
        self.configuration = Configuration(clock)
        self.targets = TargetTable(settings.host.region, settings, clock)
        self._build_control()
        self._build_serving()
        self._wire()

    def run(self) -> bool:
        """Serve until asked to stop; tell whether nothing was cut off."""
        self.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._ask_to_stop)
        self._stop_asked.wait()
        return self.stop()

    def start(self) -> None:
        """Listen, join the other hosts and begin all duties."""
        self.peers.start()
        for listener in (self._control, self._relayed, self._callers):
            listener.start()
        self._begin(self._join)
        self._begin(self._beat)
        self._begin(self.poller.run)
        self._begin(self.watcher.run)
        self._begin(self.order_keeper.run)
        self._begin(self._read_host_list)
        logs.event(
            'host_started',
            region=self.members.own.region,
            data_centre=self.members.own.data_centre,
            caller_url=self.members.own.caller_url,
        )

    def stop(self) -> bool:
        """Leave, finish what is in flight, close; tell whether all ended."""
        host = self.settings.host
        logs.event('host_leaving', in_flight=len(self.in_flight))
        self._advance(MemberState.LEAVING)
        self.peers.hurry()
        # Callers hold a directory answer that still names this host; it
        # serves them until the news has reached the other hosts.
        time.sleep(host.leave_notice_seconds)
        self.in_flight.is_stopping = True
        ended = self._drain(host.stop_timeout_seconds)
        time.sleep(CLOSE_GRACE_SECONDS)
        self._stopped.set()
        self.peers.stop()
        for listener in (self._callers, self._relayed, self._control):
            listener.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        logs.event('host_stopped', cut_off=len(self.in_flight))
        self._raise_failures()
        return ended

    def is_ready(self) -> bool:
        """Tell whether callers may be served."""
        # After a pause (a stopped process, a suspended machine) what this
        # host believes may be long past. It serves again after a beat and
        # an exchange with its peers.
        paused_seconds = self.clock.monotonic() - self._last_beat_at
        return self._is_joined and paused_seconds < PAUSE_LIMIT_SECONDS

    def status(self) -> dict[str, Any]:
        """Return a short summary."""
        return inspection.status(self)

    def dump(self) -> dict[str, Any]:
        """Return the whole state."""
        return inspection.dump(self)

    def _ask_to_stop(self, *_: object) -> None:
        self._stop_asked.set()

    def _build_control(self) -> None:
        settings = self.settings
        platform = settings.platform
        http_client = HttpClient()
        self._store = HttpStore(
            platform.store_url,
            http_client,
            timeout_seconds=platform.store_timeout_seconds,
        )
        self.revisions = Revisions(self._store, self.configuration, self.clock)
        self.watcher = StoreWatcher(
            self.revisions, self.configuration, self.members, settings
        )
        target_client = HttpTargetClient(
            http_client,
            order_key=settings.targets.order_key,
            timeout_seconds=settings.targets.connect_timeout_seconds,
        )
        self.poller = Poller(
            self.targets, self.members, target_client, settings, self.clock
        )
        self._host_list = HostListReader(self.targets, settings, http_client)
        self.order_lease = OrderLease(
            self._store,
            settings.host.name,
            settings.host.data_centre,
            settings,
            self.clock,
        )
        self.order_keeper = OrderKeeper(
            self.order_lease,
            self.configuration,
            self.targets,
            self.members,
            target_client,
            settings,
        )
        self.guard = Guard(settings.peers.secret, self.clock)
        knowledge = Knowledge(
            self.members, self.configuration, self.targets, self.guard
        )
        self._peer_loop = PeerLoop()
        self.peers = Peers(knowledge, settings, self._peer_loop)

    def _build_serving(self) -> None:
        settings = self.settings
        clock = self.clock
        source = random.Random()
        self.in_flight = InFlight(settings.callers.max_requests)
        self.admission = Admission(
            self.targets, make_policy(settings, source), settings, clock
        )
        self.limiter = Limiter(self.members, settings, clock)
        relay = Relay()
        spill = Spill(self.members, self.configuration, settings, source)
        self.server = Server(
            self.targets,
            self.admission,
            spill,
            relay,
            settings,
            clock,
            self.metrics,
            self.guard,
        )
        incarnation = self.members.own.incarnation
        self.key_table = KeyTable(settings, clock)
        self._once = OnceServer(
            KeyIssuer(incarnation, settings, clock),
            self.key_table,
            Claims(self._store, incarnation, settings, clock),
            self.server,
            relay,
            spill,
            self.members,
            clock,
        )

    def _wire(self) -> None:
        settings = self.settings
        frame = Frame(self.metrics)
        caller_app = CallerApp(
            frame,
            self.configuration,
            Directory(self.members, settings),
            self.limiter,
            self.server,
            self._once,
            self.in_flight,
            settings,
        )
        caller_app.clock = self.clock
        caller_app.is_ready = self.is_ready
        relayed_app = RelayedApp(
            frame,
            self.configuration,
            self.server,
            self._once,
            self.in_flight,
            self.members,
            settings,
            self.clock,
        )
        relayed_app.is_ready = self.is_ready
        control_app = ControlApp(
            self.revisions,
            self.configuration,
            self,
            self.metrics,
            settings,
            self.clock,
            self.is_ready,
        )
        host = settings.host
        threads = settings.callers.max_requests + SPARE_THREADS
        self._callers = self._listen(host.caller_port, caller_app, threads)
        self._relayed = self._listen(host.relay_port, relayed_app, threads)
        self._control = self._listen(
            host.control_port, control_app, CONTROL_THREADS
        )
        self.configuration.subscribe(self._on_revision)
        self.targets.on_urgent = self.peers.hurry
        self.guard.on_end = self.peers.hurry
        self.targets.on_room = self.admission.wake
        self._watch_gauges()

    def _listen(
        self, port: int, application: Any, thread_count: int
    ) -> Listener:
        callers = self.settings.callers
        return Listener(
            ListenerSettings(
                self.settings.host.address,
                port,
                thread_count=thread_count,
                head_timeout_seconds=callers.head_timeout_seconds,
                body_timeout_seconds=callers.body_timeout_seconds,
                write_timeout_seconds=callers.write_timeout_seconds,
            ),
            application,
        )

    def _watch_gauges(self) -> None:
        watch = self.metrics.watch
        watch(
            'requests_in_flight',
            'Requests being served',
            lambda: len(self.in_flight),
        )
        watch(
            'requests_waiting',
            'Requests in the queue',
            lambda: self.admission.waiting_count,
        )
        watch(
            'configuration_revision',
            'Revision in force',
            lambda: self.configuration.revision,
        )
        watch(
            'members_live',
            'Live entry hosts known',
            lambda: len(self.members.live()),
        )

    def _on_revision(self) -> None:
        deployment = self.configuration.deployment
        self.targets.follow(deployment)
        self.peers.hurry()
        logs.event('configuration_applied', revision=deployment.revision)

    def _begin(self, duty: Callable[[threading.Event], None]) -> None:
        self._duties.append(self._pool.submit(self._guarded, duty))

    def _guarded(self, duty: Callable[[threading.Event], None]) -> None:
        try:
            duty(self._stopped)
        except Exception as error:
            # A duty that ends unseen leaves a host that looks well and
            # follows nothing. Better to stop and be replaced.
            logs.error('duty_failed', duty=duty.__name__, reason=repr(error))
            self._stop_asked.set()
            raise

    def _join(self, stopped: threading.Event) -> None:
        """Become ready once the newest reachable configuration is in force."""
        while not stopped.is_set():
            self._host_list.read()
            self.peers.extra_seeds = self._host_list.entry_hosts
            answered = self.peers.meet()
            # Members that the first answers named are asked as well: one of
            # them may hold a revision that the seeds have not seen.
            answered += self.peers.meet()
            store_answered = self.watcher.read_once()
            if answered or store_answered:
                break
            logs.warning('no_configuration_yet')
            stopped.wait(START_PAUSE_SECONDS)
        self._last_beat_at = self.clock.monotonic()
        self._is_joined = True
        self.peers.run()
        logs.event('host_ready', revision=self.configuration.revision)

    def _beat(self, stopped: threading.Event) -> None:
        while not stopped.wait(BEAT_SECONDS):
            now = self.clock.monotonic()
            if self._is_joined and (
                now - self._last_beat_at > PAUSE_LIMIT_SECONDS
            ):
                logs.warning('pause_noticed', seconds=now - self._last_beat_at)
                self.peers.meet()
            self._last_beat_at = self.clock.monotonic()
            state = (
                MemberState.ACTIVE if self._is_joined else MemberState.STARTING
            )
            self._advance(state)

    def _advance(self, state: MemberState) -> None:
        self.members.beat(
            state, self.configuration.revision, self.targets.free_slots()
        )

    def _read_host_list(self, stopped: threading.Event) -> None:
        while not stopped.wait(self.settings.platform.host_list_seconds):
            self._host_list.read()
            self.peers.extra_seeds = self._host_list.entry_hosts

    def _drain(self, timeout_seconds: float) -> bool:
        deadline = self.clock.monotonic() + timeout_seconds
        while self.in_flight.works():
            if self.clock.monotonic() > deadline:
                for work in self.in_flight.works():
                    logs.error('request_cut_off', request_id=work.request_id)
                return False
            time.sleep(DRAIN_POLL_SECONDS)
        return True

    def _raise_failures(self) -> None:
        failures = [
            error
            for duty in self._duties
            if duty.done()
            and not duty.cancelled()
            and isinstance(error := duty.exception(), Exception)
        ]
        if failures:
            raise ExceptionGroup('duties failed', failures)


def _own_member(settings: Settings) -> Member:
    host = settings.host
    # Wall-clock nanoseconds: a later start has the larger number, and no
    # two processes under one name share it.
    return Member(
        host.name,
        time.time_ns(),
        (host.region, host.data_centre),
        host.address,
        (
            host.caller_port,
            host.control_port,
            host.advertised_peer_port or host.peer_port,
            host.advertised_relay_port or host.relay_port,
        ),
    )
