"""Start and stop an entry host that follows a store."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

from jacinthfold import logs
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.clock import Clock
from jacinthfold.config import SettingsError
from jacinthfold.fleet.directory import Directory
from jacinthfold.fleet.table import HostState
from jacinthfold.gateway import handlers, request_handlers
from jacinthfold.gateway import settings as gateway_settings
from jacinthfold.gateway.adapter import Adapter
from jacinthfold.gateway.knowledge import Knowledge
from jacinthfold.gateway.leaving import Leaving
from jacinthfold.gateway.settings import GatewaySettings
from jacinthfold.proxy.attempts import Attempts
from jacinthfold.proxy.forwarding import Forwarder
from jacinthfold.proxy.listener import Handler, Listener
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.transport.http_call import HttpCaller

SETTINGS_CHECK_SECONDS = 2.0
# Share of the grace after which no connection is accepted any more: callers
# ask the directory every few seconds, and the rest is for what is in flight.
ACCEPT_SHARE = 0.75
# Idle connections are closed after this, when callers have had an answer of
# the directory that no longer names this host.
LINGER_SECONDS = 2.5
DRAIN_POLL_SECONDS = 0.05
# Between a duty's failure and its next try: short beside the seconds within
# which changes must be followed, long enough to bound the log.
DUTY_PAUSE_SECONDS = 0.3

Duty = Callable[[], Coroutine[Any, Any, None]]


class GatewayNode:
    """Hold every part of one entry host."""

    def __init__(
        self,
        settings: GatewaySettings,
        settings_path: Path,
        adapter: Adapter,
        caller: HttpCaller,
        clock: Clock,
    ) -> None:
        """Put the parts together; nothing runs yet."""
        self.settings = settings
        self._settings_path = settings_path
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_asked = asyncio.Event()
        self.metrics = ProxyMetrics()
        self._leaving = Leaving(clock)
        own = _own_record(settings)
        self._knowledge = Knowledge(own, settings, adapter, caller, clock)
        self._build_listeners(adapter)
        self.metrics.in_flight.set_function(self._in_service)
        self.metrics.store_revision.set_function(
            lambda: self._knowledge.catalogue.revision
        )
        self.metrics.lines_left_out.set_function(logs.lines_left_out)

    async def run(self) -> None:
        """Serve until asked to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._start()
        await self._stop_asked.wait()
        await self._stop()

    def _build_listeners(self, adapter: Adapter) -> None:
        known, listen = self._knowledge, self.settings.listen
        dialect = adapter.dialect
        forwarder = Forwarder(
            known.placer,
            Attempts(
                known.pool,
                known.hosts,
                known.regions,
                known.budgets,
                dialect,
                self.metrics,
                known.quarantine.witness,
                self._clock,
            ),
            known.budgets,
            known.quarantine,
            known.organisations.admission(known.quarantine, self.metrics),
            dialect,
            self.metrics,
            self._clock,
        )
        caller_handler = request_handlers.CallerHandler(
            known.catalogue,
            known.organisations.key_gate,
            forwarder,
            dialect,
            self._leaving,
            self._clock,
        )
        relay_handler = request_handlers.RelayHandler(
            known.organisations.key_gate,
            forwarder,
            dialect,
            self._leaving,
            self._clock,
        )
        ready_handler = handlers.ReadyHandler(adapter.calls, known.is_ready)
        directory = Directory(known.hosts, known.catalogue, Random())
        directory.own_reaches_store = known.reaches_store
        directory_handler = handlers.DirectoryHandler(adapter.calls, directory)
        control_handler = handlers.ControlHandler(known.catalogue, known.dump)
        metrics_handler = handlers.MetricsHandler(self.metrics)
        address = known.own.address
        self._callers = self._listener(
            'callers', listen.callers, caller_handler
        )
        self._relay = self._listener(
            'relay', (address, listen.relay_port), relay_handler
        )
        self._listeners = [
            self._listener('ready', listen.ready, ready_handler),
            self._listener('directory', listen.directory, directory_handler),
            self._listener('control', listen.control, control_handler),
            self._listener(
                'metrics', (address, listen.metrics_port), metrics_handler
            ),
            self._relay,
            self._callers,
        ]

    def _listener(
        self, name: str, place: tuple[str, int], handler: Handler
    ) -> Listener:
        return Listener(name, place, handler, self._knowledge.limits)

    async def _start(self) -> None:
        known = self._knowledge
        await known.heartbeats.start()
        await asyncio.gather(
            *(listener.start() for listener in self._listeners)
        )
        for duty in (
            known.follower.run,
            known.organisations.prover.run,
            known.organisations.quota.issuers.run,
            known.organisations.quota.pools.run,
            known.registration.run,
            known.heartbeats.run,
            known.snapshots.run,
            known.pool.run,
            known.keep_house,
            known.quarantine.key_maker.run,
            known.quarantine.writer.run,
            self._watch_settings,
        ):
            self._begin(supervised(duty))
        logs.event(
            'host_started',
            region=known.own.region,
            data_centre=known.own.data_centre,
            address=known.own.address,
            incarnation=known.own.incarnation,
        )

    def _begin(self, duty: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(duty)
        self._tasks.add(task)
        task.add_done_callback(self._on_duty_end)

    def _on_duty_end(self, task: asyncio.Task[None]) -> None:
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
        self._knowledge.use(settings)
        logs.event('settings_reloaded', path=str(self._settings_path))

    async def _stop(self) -> None:
        known, grace = self._knowledge, self.settings.stop.grace_seconds
        self._leaving.begin(grace)
        logs.event(
            'host_leaving', in_flight=self._in_service(), grace_seconds=grace
        )
        known.hosts.own_state = HostState.LEAVING
        known.heartbeats.broadcast()
        self._callers.is_leaving = True
        self._relay.is_leaving = True
        self._begin(known.registration.leave())
        self._begin(known.organisations.quota.issuers.leave())
        await self._linger(grace)
        logs.event('host_stopped', cut_off=self._in_service())

    async def _linger(self, grace_seconds: float) -> None:
        while self._clock.monotonic() < self._leaving.ends_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            elapsed = self._leaving.elapsed_seconds
            if elapsed < LINGER_SECONDS:
                continue
            self._callers.close_idle()
            is_closing = elapsed >= grace_seconds * ACCEPT_SHARE
            if is_closing:
                self._callers.stop_accepting()
                self._relay.stop_accepting()
            is_unused = is_closing or not self._callers.connection_count
            if is_unused and not self._in_service():
                return

    def _in_service(self) -> int:
        return self._callers.in_service_count + self._relay.in_service_count


async def supervised(duty: Duty) -> None:
    """Run a duty again whenever it fails, until cancelled."""
    # A duty that ends unseen leaves a host that looks well and follows
    # nothing: requests go to targets that left long ago. Ending the process
    # cuts every answer on its way, at each host that met the same input.
    while True:
        try:
            await duty()
        except Exception as error:
            logs.error(
                'duty_failed', duty=duty.__qualname__, reason=repr(error)
            )
            await asyncio.sleep(DUTY_PAUSE_SECONDS)
        else:
            return


def _own_record(settings: GatewaySettings) -> HostRecord:
    host, listen = settings.host, settings.listen
    # Wall-clock nanoseconds: a later start has the larger number. A clock
    # that was set back costs one lease of the earlier record.
    return HostRecord(
        host.name,
        time.time_ns(),
        (host.region, host.data_centre),
        host.address,
        (listen.callers[1], listen.relay_port, listen.control[1]),
    )


def _modified_at(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError as error:
        logs.warning('settings_unreadable', reason=str(error))
        return 0.0
