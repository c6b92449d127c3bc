"""Build the heartbeats of this host."""

from collections.abc import Callable
from typing import Protocol

from jacinthfold.catalogue.host_codec import document_from_host
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.catalogue.revision import counter_of, era_of
from jacinthfold.clock import Clock
from jacinthfold.fleet.heartbeat_message import (
    CapacityFigures,
    Heartbeat,
    LoadFigures,
)
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement import limit_reports, trial_reports
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.suspects import Suspects


class CapacitySource(Protocol):
    """Report the spare capacity of this region."""

    def least_wait_seconds(
        self, service: str, *, is_urgent: bool
    ) -> float | None:
        """Return the least expected wait, None if no target serves."""


class HeartbeatBuilder:
    """Build heartbeats from the current state of this host."""

    def __init__(
        self,
        hosts: HostTable,
        catalogue: Catalogue,
        targets: TargetTable,
        capacity_source: CapacitySource,
        clock: Clock,
    ) -> None:
        """Initialize a builder with the sources of heartbeats."""
        self._hosts = hosts
        self._catalogue = catalogue
        self._targets = targets
        self._capacity_source = capacity_source
        self._clock = clock
        self._own = document_from_host(hosts.own)
        self.reaches_store: Callable[[], bool] = lambda: True
        self.suspects = Suspects(clock)

    def for_own_region(self, count: int, *, is_full: bool) -> Heartbeat:
        """Return a heartbeat for hosts of this region."""
        heartbeat = self._heartbeat(count)
        heartbeat.loads = self._loads()
        heartbeat.limits = limit_reports.own_reports(
            self._targets, self._clock.monotonic()
        )
        now = self._clock.monotonic()
        heartbeat.trials = trial_reports.own_reports(self._targets, now)
        heartbeat.uses = self._targets.recent_uses.by_incarnation(now)
        heartbeat.suspects = self.suspects.reports_to_send(
            is_near=True, is_full=is_full
        )
        if is_full:
            heartbeat.read_tokens = self._targets.own_prefilled_tokens()
            heartbeat.laws = self._targets.latency_models.own_sums()
        return heartbeat

    def for_other_regions(self, count: int) -> Heartbeat:
        """Return a heartbeat for hosts of other regions."""
        # The waits of all targets are computed only here, because hosts of
        # this region do not use them.
        heartbeat = self._heartbeat(count)
        heartbeat.rooms = self._capacities()
        heartbeat.suspects = self.suspects.reports_to_send(
            is_near=False, is_full=True
        )
        return heartbeat

    def _heartbeat(self, count: int) -> Heartbeat:
        return Heartbeat(
            self._own,
            self._hosts.own_state,
            counter_of(self._catalogue.revision),
            self.reaches_store(),
            {},
            {},
            packs=True,
            digests=True,
            count=count,
            era=era_of(self._catalogue.revision),
        )

    def _loads(self) -> dict[str, LoadFigures]:
        return {
            incarnation_id: (
                load.requests,
                load.pending_prefill_tokens,
                load.held_tokens,
                load.urgent_tokens,
            )
            for incarnation_id, load in self._targets.own_loads().items()
        }

    def _capacities(self) -> dict[str, CapacityFigures]:
        if self._catalogue.routes is None:
            return {}
        region = self._hosts.own.region
        capacities = {}
        for service in self._catalogue.routes.services:
            ordinary = self._capacity_source.least_wait_seconds(
                service, is_urgent=False
            )
            urgent = self._capacity_source.least_wait_seconds(
                service, is_urgent=True
            )
            if ordinary is not None and urgent is not None:
                count = len(self._targets.of(service, region))
                capacities[service] = (
                    round(ordinary, 3),
                    round(urgent, 3),
                    count,
                )
        return capacities
