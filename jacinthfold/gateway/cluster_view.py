"""Keep an entry host's view of the cluster up to date."""

import asyncio
import random

from jacinthfold import logs
from jacinthfold.catalogue import host_codec, record
from jacinthfold.catalogue.follower import Follower, Registration
from jacinthfold.catalogue.model import (
    CallerLimits,
    HostRecord,
    RouteTable,
    TargetRecord,
)
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.snapshots import SnapshotFetcher
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.fleet.watchers import Watchers
from jacinthfold.gateway.adapter import Adapter
from jacinthfold.gateway.organisations import OrganisationAccess
from jacinthfold.gateway.settings import GatewaySettings
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.pace import ColdTargetPacer
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.streams.stored_origins import StoredOrigins
from jacinthfold.transport.http_call import PooledHttpClient
from jacinthfold.transport.pool import ConnectionPool

HOUSEKEEPING_SECONDS = 0.1
# Interval for updating the hosts that share warm-up pacing and retry budgets.
# Iterating over 195 hosts in every housekeeping run took 31 of the 650 ms that
# an idle host was busy.
HOSTS_REFRESH_SECONDS = 0.4
# Added to a caller's head by the host that relays: the route with its home
# regions, the organisation's name and where a stream began.
RELAY_HEADER_BYTES = 16384
# Interval for logging the latency models learned from engines.
LATENCY_MODELS_LOG_SECONDS = 10.0


class ClusterView:
    """Hold the catalogue, targets and hosts, and what depends on them."""

    def __init__(
        self,
        own: HostRecord,
        settings: GatewaySettings,
        adapter: Adapter,
        http_client: PooledHttpClient,
        clock: Clock,
    ) -> None:
        """Create and connect the components; the view is empty."""
        self.own = own
        self._clock = clock
        self._idle_timeouts_seconds = [CallerLimits().idle_timeout_seconds]
        source = random.Random()
        self.pool = ConnectionPool(clock)
        self.hosts = HostTable(own, clock)
        self.stored_origins = StoredOrigins()
        self.targets = TargetTable(
            settings.data_centres, clock, settings.leaving_limit
        )
        self.catalogue = Catalogue(
            adapter.reader, host_codec.decode_host, clock
        )
        self.catalogue.subscribe(self)
        self.targets.origin = lambda: self.catalogue.origin
        self.targets.knowledge_age = lambda: (
            self.catalogue.freshness.age_seconds
        )
        self.targets.versions.knowledge_age = lambda: (
            self.catalogue.freshness.age_seconds
        )
        self.follower = Follower(adapter.store, self.catalogue, clock)
        self.registration = Registration(adapter.store, own)
        self.organisations = OrganisationAccess(
            settings, adapter.store, self.catalogue, self.hosts, clock
        )
        self.regions = RegionView(own.region, clock)
        self.regions.latency_models = self.targets.latency_models
        self._latency_models_logged_at = clock.monotonic()
        self._hosts_refreshed_at = float('-inf')
        self._pace = ColdTargetPacer(own.name, clock)
        self.placer = Placer(
            own.region,
            self.targets,
            self._pace,
            self.regions,
            clock,
            source,
            settings.overload,
        )
        self.heartbeats = Heartbeats(
            self.hosts,
            self.catalogue,
            self.targets,
            self.regions,
            self.placer,
            clock,
        )
        self.heartbeats.builder.reaches_store = self.reaches_store
        self.organisations.connect(self.follower, self.heartbeats)
        self.snapshots = SnapshotFetcher(
            self.hosts, self.catalogue, http_client, clock
        )
        watchers = Watchers(self.hosts)
        watchers.own_era = lambda: self.catalogue.era
        self.follower.watches = watchers.own_watches
        self.follower.is_standby = watchers.own_is_standby
        self.snapshots.watches = watchers.own_watches
        retries = settings.retries
        self.budgets = RetryBudgets(
            retries.ratio, retries.slack, retries.window_seconds, clock
        )
        self.quarantine = Quarantine(self.targets, adapter.store, clock)
        self.quarantine.key_creator.may_create = lambda: (
            self.catalogue.routes is not None and watchers.own_watches()
        )
        self.heartbeats.builder.suspects = self.quarantine.suspects
        self.apply_settings(settings)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change while running."""
        self.heartbeats.seeds = settings.peers.seeds
        self.snapshots.seeds = settings.peers.seeds

    def is_ready(self) -> bool:
        """Return whether this host can serve callers."""
        is_active = self.hosts.own_state is HostState.ACTIVE
        return is_active and self.catalogue.routes is not None

    def limits(self) -> CallerLimits:
        """Return the limits for callers' connections."""
        table = self.catalogue.routes
        if table is None:
            return CallerLimits()
        limits = table.limits
        # Connections opened under the previous configuration may still rely
        # on its idle timeout, so the longer of the two applies.
        return CallerLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout_seconds,
            max(self._idle_timeouts_seconds),
        )

    def relay_limits(self) -> CallerLimits:
        """Return the limits for requests that other hosts relay."""
        limits = self.limits()
        limits.head_bytes += RELAY_HEADER_BYTES
        return limits

    def on_routes(self, table: RouteTable) -> None:
        """Apply a newer configuration."""
        self.targets.update_services(table.services)
        self.targets.versions.cover_timeout(
            max((one.timeout_seconds for one in table.routes), default=0.0)
        )
        self.organisations.apply_routes(table)
        latest = table.limits.idle_timeout_seconds
        self._idle_timeouts_seconds = [self._idle_timeouts_seconds[-1], latest]
        self._activate_when_ready()

    def on_target(self, record: TargetRecord) -> None:
        """Add or update a target."""
        self.targets.put(record)

    def on_target_removed(self, instance: str) -> None:
        """Remove a target whose record was deleted."""
        self.targets.remove(instance)

    def on_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        """Start or end the evacuation of a data centre."""
        self.targets.evacuate(data_centre, is_evacuated=is_evacuated)

    def on_host(self, record: HostRecord | None, name: str) -> None:
        """Register an entry host, or remove it if its record was deleted."""
        if name == self.own.name:
            self.registration.observe(record)
        self.hosts.register(record, name)

    def on_quarantine(self, name: str, content: bytes | None) -> None:
        """Apply a quarantine record of requests that crashed targets."""
        self.quarantine.apply_record(name, content)

    def on_issuer(self, name: str, issuer: record.Record) -> None:
        """Apply the record of the host that issues cap shares, if any."""
        self.organisations.quota.issuers.apply_record(name, issuer)

    def on_versions(self, service: str, versions: tuple[str, ...]) -> None:
        """Apply the record of a service's software versions."""
        self.targets.versions.apply_record(service, versions)

    def on_origins(self, name: str, content: bytes | None) -> None:
        """Apply a record of where streams began."""
        self.stored_origins.apply(name, content)

    def on_restored(self) -> None:
        """Write again what a store that came back from a copy has lost."""
        self.quarantine.write_again()

    async def run_housekeeping(self) -> None:
        """Activate the host and drop expired state until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self.targets.resume_guard.tick()
            self.catalogue.settle()
            self._activate_when_ready()
            self._refresh_hosts_when_due()
            self._refresh_place_shares()
            for target in self.targets.drop_expired():
                self.pool.close_idle(target.connection_key)
                self.quarantine.crash_detector.forget(target)
                logs.event('target_gone', target=target.record.instance)
            self._log_latency_models()
            self.quarantine.suspects.expire_if_due()

    def dump_state(self) -> dict[str, object]:
        """Return the state of this host for operators."""
        now = self._clock.monotonic()
        table = self.catalogue.routes
        return {
            'host': self.own.name,
            'state': self.hosts.own_state.value,
            **self.catalogue.revision_fields(),
            'store_restorations': self.catalogue.restoration_count,
            'revision_age_seconds': now - self.catalogue.changed_at,
            'store_reached': self.follower.is_reached,
            'version': table.version if table else None,
            'evacuated': sorted(self.catalogue.evacuated),
            'datagrams_dropped': self.heartbeats.socket.dropped_count,
            'peer_socket_open': self.heartbeats.socket.is_open,
            'heartbeats_reduced': self.heartbeats.reduced_count,
            **self.organisations.dump_state(),
            'hosts': [
                {
                    'name': entry.record.name,
                    'state': entry.state.value,
                    'silent_seconds': now - entry.heard_at,
                }
                for entry in self.hosts.others()
            ],
            'engine_laws': {
                service: model.fields()
                for service, model in self.targets.latency_models.all().items()
            },
            'quarantined': self.quarantine.suspects.refused(),
            'targets': [
                {
                    'instance': target.record.instance,
                    'service': target.record.service,
                    'requests': target.load(now).requests,
                    'cold_seconds': max(0.0, target.cold_until - now),
                    'is_leaving': target.last_resort_until is not None,
                    'failing_share': target.failure_rate.share(now),
                    'is_ejected': target.is_ejected,
                    'limit_per_second': target.pushback.limit.per_second,
                    'places': target.concurrency_limit.places(
                        target.record.slots
                    ),
                }
                for target in self.targets.all()
            ],
        }

    def reaches_store(self) -> bool:
        """Return whether this host has contact with the store."""
        # A host that doesn't watch the store itself can only tell from its
        # lease.
        is_followed = self.follower.is_reached or not self.follower.watches()
        return is_followed and self.registration.is_reached

    def _log_latency_models(self) -> None:
        now = self._clock.monotonic()
        if now - self._latency_models_logged_at < LATENCY_MODELS_LOG_SECONDS:
            return
        self._latency_models_logged_at = now
        for service, latency_model in self.targets.latency_models.all().items():
            logs.event('engine_law', service=service, **latency_model.fields())

    def _activate_when_ready(self) -> None:
        if self.hosts.own_state is not HostState.STARTING:
            return
        if self.catalogue.routes is None:
            return
        self.hosts.own_state = HostState.ACTIVE
        # Not sent to all hosts: if 195 hosts start together, each would
        # receive 194 heartbeats at once.
        self.heartbeats.send_heartbeats()
        logs.event('host_ready', **self.catalogue.revision_fields())

    def _refresh_hosts_when_due(self) -> None:
        now = self._clock.monotonic()
        if now - self._hosts_refreshed_at >= HOSTS_REFRESH_SECONDS:
            self._hosts_refreshed_at = now
            self._refresh_hosts()

    def _refresh_place_shares(self) -> None:
        # In each run, so that the places of a host that is gone are used again
        # within the time after which it counts as gone.
        shares = self.placer.place_shares
        if shares.is_enabled:
            serving = self.hosts.serving(self.own.region)
            shares.update_hosts(host.name for host in serving)

    def _refresh_hosts(self) -> None:
        self._pace.update_hosts(self.hosts.names_in(self.own.region))
        serving = self.hosts.serving(self.own.region)
        self.placer.limit_shares.update_hosts(host.name for host in serving)
        self.budgets.update_hosts(
            1 + len(self.hosts.others()), is_current=self.reaches_store()
        )
