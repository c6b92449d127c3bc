"""Hold what an entry host believes, and keep it up to date."""

import asyncio
import random
from typing import Any

from jacinthfold import logs
from jacinthfold.catalogue.follower import Follower, Registration
from jacinthfold.catalogue.host_codec import decode_host
from jacinthfold.catalogue.model import (
    CallerLimits,
    HostRecord,
    RouteTable,
    TargetRecord,
)
from jacinthfold.catalogue.records import Catalogue, Record
from jacinthfold.clock import Clock
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.snapshots import SnapshotFetcher
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.fleet.watchers import Watchers
from jacinthfold.gateway.adapter import Adapter
from jacinthfold.gateway.organisations import OrganisationDuties
from jacinthfold.gateway.settings import GatewaySettings
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.pace import ColdPace
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.transport.http_call import HttpCaller
from jacinthfold.transport.pool import Pool

HOUSEKEEPING_SECONDS = 0.1
# Who paces cold targets and shares budgets is followed this often: walking
# through 195 hosts at each tick took 31 of the 650 ms that a calm one was busy.
HOSTS_FOLLOWED_SECONDS = 0.4
# What engines were learned to do is logged this often.
LAWS_TOLD_SECONDS = 10.0


class Knowledge:
    """Hold catalogue, targets, entry hosts and what is decided by them."""

    def __init__(
        self,
        own: HostRecord,
        settings: GatewaySettings,
        adapter: Adapter,
        caller: HttpCaller,
        clock: Clock,
    ) -> None:
        """Put the parts together; nothing is known yet."""
        self.own = own
        self._clock = clock
        self._idle_limits = [CallerLimits().idle_timeout_seconds]
        source = random.Random()
        self.pool = Pool(clock)
        self.hosts = HostTable(own, clock)
        self.targets = TargetTable(settings.data_centres, clock)
        self.catalogue = Catalogue(adapter.reader, decode_host, clock)
        self.catalogue.subscribe(self)
        self.follower = Follower(adapter.store, self.catalogue, clock)
        self.registration = Registration(adapter.store, own)
        self.organisations = OrganisationDuties(
            settings, adapter.store, self.catalogue, self.hosts, clock
        )
        self.regions = RegionView(own.region, clock)
        self.regions.laws = self.targets.laws
        self._laws_told_at = clock.monotonic()
        self._followed_at = float('-inf')
        self._pace = ColdPace(own.name, clock)
        self.placer = Placer(
            own.region, self.targets, self._pace, self.regions, clock, source
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
        self.organisations.join(self.follower, self.heartbeats)
        self.snapshots = SnapshotFetcher(
            self.hosts, self.catalogue, caller, clock
        )
        watchers = Watchers(self.hosts)
        self.follower.watches = watchers.own_watches
        self.follower.is_standby = watchers.own_is_standby
        self.snapshots.watches = watchers.own_watches
        retries = settings.retries
        self.budgets = RetryBudgets(
            retries.ratio, retries.slack, retries.window_seconds, clock
        )
        self.quarantine = Quarantine(self.targets, adapter.store, clock)
        self.quarantine.key_maker.may_make = lambda: (
            self.catalogue.routes is not None and watchers.own_watches()
        )
        self.heartbeats.builder.suspects = self.quarantine.suspects
        self.use(settings)

    def use(self, settings: GatewaySettings) -> None:
        """Take settings that may change while running."""
        self.heartbeats.seeds = settings.peers.seeds
        self.snapshots.seeds = settings.peers.seeds

    def is_ready(self) -> bool:
        """Tell whether callers may be served."""
        is_active = self.hosts.own_state is HostState.ACTIVE
        return is_active and self.catalogue.routes is not None

    def limits(self) -> CallerLimits:
        """Return the limits that callers' connections are held to."""
        table = self.catalogue.routes
        if table is None:
            return CallerLimits()
        limits = table.limits
        # A caller whose connection was idle under the limit before goes by
        # that one still.
        return CallerLimits(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout_seconds,
            max(self._idle_limits),
        )

    def on_routes(self, table: RouteTable) -> None:
        """Take a newer configuration."""
        self.targets.follow_services(table.services)
        self.organisations.follow(table)
        latest = table.limits.idle_timeout_seconds
        self._idle_limits = [self._idle_limits[-1], latest]
        self._become_ready()

    def on_target(self, record: TargetRecord) -> None:
        """Take a target that came or changed."""
        self.targets.put(record)

    def on_target_removed(self, instance: str) -> None:
        """Take that a target's record is gone."""
        self.targets.remove(instance)

    def on_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        """Take that a data centre is evacuated or taken back."""
        self.targets.evacuate(data_centre, is_evacuated=is_evacuated)

    def on_host(self, record: HostRecord | None, name: str) -> None:
        """Take an entry host's record, or that it is gone."""
        self.hosts.register(record, name)

    def on_quarantine(self, name: str, content: bytes | None) -> None:
        """Take a record on requests under which targets ended."""
        self.quarantine.take_record(name, content)

    def on_issuer(self, name: str, record: Record) -> None:
        """Take which host issues shares of caps, or that none does."""
        self.organisations.quota.issuers.take_record(name, record)

    async def keep_house(self) -> None:
        """Become ready, and drop what is gone, until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._become_ready()
            self._follow_hosts_at_times()
            for target in self.targets.forget_gone():
                self.pool.forget(target.place)
                self.quarantine.witness.forget(target)
                logs.event('target_gone', target=target.record.instance)
            self._tell_laws()
            self.quarantine.suspects.forget_at_times()

    def dump(self) -> dict[str, Any]:
        """Return what this host believes."""
        now = self._clock.monotonic()
        table = self.catalogue.routes
        return {
            'host': self.own.name,
            'state': self.hosts.own_state.value,
            'revision': self.catalogue.revision,
            'revision_age_seconds': now - self.catalogue.changed_at,
            'store_reached': self.follower.is_reached,
            'version': table.version if table else None,
            'evacuated': sorted(self.catalogue.evacuated),
            **self.organisations.dump(),
            'hosts': [
                {
                    'name': entry.record.name,
                    'state': entry.state.value,
                    'silent_seconds': now - entry.heard_at,
                }
                for entry in self.hosts.others()
            ],
            'engine_laws': {
                service: law.fields()
                for service, law in self.targets.laws.all().items()
            },
            'quarantined': self.quarantine.suspects.refused(),
            'targets': [
                {
                    'instance': target.record.instance,
                    'service': target.record.service,
                    'requests': target.load(now).requests,
                    'cold_seconds': max(0.0, target.cold_until - now),
                    'is_leaving': target.last_resort_until is not None,
                    'failing_share': target.failing_share,
                    'limit_per_second': target.pushback.limit.per_second,
                }
                for target in self.targets.all()
            ],
        }

    def reaches_store(self) -> bool:
        """Tell whether this host has a way to the store."""
        # A host that leaves watching to others learns from its lease alone.
        is_followed = self.follower.is_reached or not self.follower.watches()
        return is_followed and self.registration.is_reached

    def _tell_laws(self) -> None:
        now = self._clock.monotonic()
        if now - self._laws_told_at < LAWS_TOLD_SECONDS:
            return
        self._laws_told_at = now
        for service, law in self.targets.laws.all().items():
            logs.event('engine_law', service=service, **law.fields())

    def _become_ready(self) -> None:
        if self.hosts.own_state is not HostState.STARTING:
            return
        if self.catalogue.routes is None:
            return
        self.hosts.own_state = HostState.ACTIVE
        # Not to all: of 195 hosts that start together each would hear 194.
        self.heartbeats.send_heartbeats()
        logs.event('host_ready', revision=self.catalogue.revision)

    def _follow_hosts_at_times(self) -> None:
        now = self._clock.monotonic()
        if now - self._followed_at >= HOSTS_FOLLOWED_SECONDS:
            self._followed_at = now
            self._follow_hosts()

    def _follow_hosts(self) -> None:
        self._pace.follow_hosts(self.hosts.names_in(self.own.region))
        serving = self.hosts.serving(self.own.region)
        self.placer.limit_shares.follow_hosts(host.name for host in serving)
        self.budgets.follow_hosts(1 + len(self.hosts.others()))
