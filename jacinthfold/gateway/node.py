"""Start and stop an entry host that follows a store."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import SettingsError
from jacinthfold.fleet.directory import Directory
from jacinthfold.fleet.table import HostState
from jacinthfold.gateway import (
    fleet_metrics,
    handlers,
    memory_bounds,
    request_handlers,
)
from jacinthfold.gateway import settings as gateway_settings
from jacinthfold.gateway.adapter import Adapter
from jacinthfold.gateway.cluster_view import ClusterView
from jacinthfold.gateway.drain import Drain
from jacinthfold.gateway.own_record import own_record
from jacinthfold.gateway.settings import GatewaySettings
from jacinthfold.proxy.attempts import Attempts
from jacinthfold.proxy.forwarding import Forwarder
from jacinthfold.proxy.listener import Handler, Listener
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.streams.origins import StreamOrigins
from jacinthfold.transport.http_call import PooledHttpClient

SETTINGS_CHECK_SECONDS = 2.0
# Fraction of the grace period after which no connection is accepted. Callers
# query the directory every few seconds; the remaining time is for requests in
# flight.
ACCEPT_GRACE_FRACTION = 0.75
# Idle connections stay open this long, until callers have received a directory
# response without this host.
IDLE_CLOSE_DELAY_SECONDS = 2.5
DRAIN_POLL_SECONDS = 0.05
# Delay before a failed background task is restarted: short compared with the
# seconds within which changes must be applied, long enough to bound the log.
TASK_RESTART_SECONDS = 0.3

BackgroundTask = Callable[[], Coroutine[Any, Any, None]]


class GatewayNode:
    """Hold all components of one entry host."""

    def __init__(
        self,
        settings: GatewaySettings,
        settings_path: Path,
        adapter: Adapter,
        http_client: PooledHttpClient,
        clock: Clock,
    ) -> None:
        """Create and connect the components; nothing runs yet."""
        self.settings = settings
        self._settings_path = settings_path
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_requested = asyncio.Event()
        self.metrics = ProxyMetrics()
        self._drain = Drain(clock)
        own = own_record(settings)
        self._view = ClusterView(own, settings, adapter, http_client, clock)
        self._origins = StreamOrigins(
            self._view.hosts,
            self._view.targets.versions,
            adapter.store,
            self._view.stored_origins,
            clock,
        )
        self._origins.connect(self._view.heartbeats, self._view.follower)
        self._build_listeners(adapter)
        self.metrics.in_flight.set_function(self._in_flight_count)
        self.metrics.store.follow(self._view.catalogue)
        fleet_metrics.register(
            self.metrics.registry, self._view.heartbeats, self._view.hosts
        )
        fleet_metrics.register_lag(
            self.metrics.registry, self._view.snapshots.lag
        )
        self._view.targets.on_failure_event = lambda service, event: (
            self.metrics.target_failure_events.labels(service, event).inc()
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._start()
        await self._stop_requested.wait()
        await self._stop()

    def _build_listeners(self, adapter: Adapter) -> None:
        view, listen = self._view, self.settings.listen
        dialect = adapter.dialect
        forwarder = Forwarder(
            view.placer,
            self._build_attempts(adapter),
            view.budgets,
            view.quarantine,
            view.organisations.build_admission(view.quarantine, self.metrics),
            dialect,
            self.metrics,
            self._clock,
        )
        forwarder.resolve_origin = self._origins.resolve
        forwarder.on_stream_served = self._drain.record_stream
        self._time_limits = forwarder.time_limits
        self._waiting = forwarder.placement.waiting
        self._waiting.set_limit(self.settings.overload.waiting_requests)
        self._waiting.may_start = self._drain.may_start
        caller_handler = request_handlers.CallerHandler(
            view.catalogue,
            view.organisations.key_gate,
            view.follower.denials,
            forwarder,
            dialect,
            self._drain,
            self._clock,
        )
        caller_handler.behind_seconds = lambda: view.snapshots.lag.seconds
        relay_handler = request_handlers.RelayHandler(
            view.organisations.key_gate,
            forwarder,
            dialect,
            self._drain,
            self._clock,
        )
        readiness_handler = handlers.ReadinessHandler(
            adapter.api, view.is_ready
        )
        directory = Directory(view.hosts, view.catalogue, Random())
        directory.own_reaches_store = view.reaches_store
        directory_handler = handlers.DirectoryHandler(adapter.api, directory)
        control_handler = handlers.ControlHandler(
            view.catalogue, view.dump_state
        )
        metrics_handler = handlers.MetricsHandler(self.metrics)
        address = view.own.address
        self._callers = self._listener(
            'callers', listen.callers, caller_handler
        )
        self._relay = Listener(
            'relay',
            (address, listen.relay_port),
            relay_handler,
            view.relay_limits,
        )
        memory_bounds.bound(
            self.settings.memory.limit_mb,
            self._callers,
            self._relay,
            dialect,
            self.metrics.registry,
        )
        self._listeners = [
            self._listener('ready', listen.ready, readiness_handler),
            self._listener('directory', listen.directory, directory_handler),
            self._listener('control', listen.control, control_handler),
            self._listener(
                'metrics', (address, listen.metrics_port), metrics_handler
            ),
            self._relay,
            self._callers,
        ]

    def _build_attempts(self, adapter: Adapter) -> Attempts:
        view = self._view
        attempts = Attempts(
            view.pool,
            view.hosts,
            view.regions,
            adapter.dialect,
            self.metrics,
            view.quarantine.crash_detector,
            self._clock,
        )
        attempts.hooks.on_begin = self._origins.record_begin
        attempts.outcomes.on_first_event = view.placer.record_first_event
        view.placer.on_answer_lag = self.metrics.set_answer_lag
        attempts.hooks.refuses_version = view.quarantine.refuses_version
        return attempts

    def _listener(
        self, name: str, endpoint: tuple[str, int], handler: Handler
    ) -> Listener:
        return Listener(name, endpoint, handler, self._view.limits)

    async def _start(self) -> None:
        view = self._view
        await view.heartbeats.start()
        await asyncio.gather(
            *(listener.start() for listener in self._listeners)
        )
        for background_task in (
            view.follower.run,
            view.organisations.freshness_checker.run,
            view.organisations.quota.issuers.run,
            view.organisations.quota.pools.run,
            view.registration.run,
            view.heartbeats.run,
            view.heartbeats.socket.keep_open,
            view.snapshots.run,
            view.pool.run,
            view.run_housekeeping,
            view.quarantine.key_creator.run,
            view.quarantine.writer.run,
            self._origins.version_writer.run,
            self._origins.origin_writer.run,
            self.metrics.process.watch_loop,
            self._watch_settings,
        ):
            self._start_task(supervised(background_task))
        logs.event(
            'host_started',
            region=view.own.region,
            data_centre=view.own.data_centre,
            address=view.own.address,
            incarnation=view.own.incarnation,
        )

    def _start_task(self, background_task: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(background_task)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logs.error('duty_failed', reason=repr(task.exception()))

    async def _watch_settings(self) -> None:
        changed_at = _modified_at(self._settings_path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            latest = _modified_at(self._settings_path)
            if latest != changed_at:
                changed_at = latest
                self._reload()

    def _reload(self) -> None:
        try:
            settings = gateway_settings.load(self._settings_path)
        except SettingsError as error:
            logs.error('reload_failed', reason=str(error))
            return
        self.settings = settings
        self._view.apply_settings(settings)
        self._waiting.set_limit(settings.overload.waiting_requests)
        logs.event('settings_reloaded', path=str(self._settings_path))

    async def _stop(self) -> None:
        view, grace = self._view, self.settings.stop.grace_seconds
        self._drain.begin(grace)
        self._waiting.begin_drain(self._drain.ends_at)
        self._time_limits.begin_drain(self._drain.ends_at)
        logs.event(
            'host_leaving',
            in_flight=self._in_flight_count(),
            grace_seconds=grace,
        )
        view.hosts.own_state = HostState.LEAVING
        view.heartbeats.broadcast()
        self._callers.is_leaving = True
        self._relay.is_leaving = True
        self._start_task(view.registration.leave())
        self._start_task(view.organisations.quota.issuers.leave())
        await self._wait_until_drained(grace)
        for listener in self._listeners:
            listener.end()
        logs.event('host_stopped', cut_off=self._in_flight_count())

    async def _wait_until_drained(self, grace_seconds: float) -> None:
        while self._clock.monotonic() < self._drain.ends_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            elapsed = self._drain.elapsed_seconds
            if elapsed < IDLE_CLOSE_DELAY_SECONDS:
                continue
            self._callers.close_idle()
            is_closing = elapsed >= grace_seconds * ACCEPT_GRACE_FRACTION
            if is_closing:
                self._callers.stop_accepting()
                self._relay.stop_accepting()
            is_unused = is_closing or not self._callers.connection_count
            if is_unused and not self._in_flight_count():
                return

    def _in_flight_count(self) -> int:
        return (
            self._callers.active_request_count
            + self._relay.active_request_count
        )


async def supervised(background_task: BackgroundTask) -> None:
    """Run a background task, restarting it after each failure."""
    # If a task died unnoticed, the host would look healthy but apply no more
    # changes and send requests to targets that left long ago. Exiting instead
    # would cut off all responses in flight, on every host with the same input.
    while True:
        try:
            await background_task()
        except Exception as error:
            logs.error(
                'duty_failed',
                duty=background_task.__qualname__,
                reason=repr(error),
            )
            await asyncio.sleep(TASK_RESTART_SECONDS)
        else:
            return


def _modified_at(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError as error:
        logs.warning('settings_unreadable', reason=str(error))
        return 0.0
