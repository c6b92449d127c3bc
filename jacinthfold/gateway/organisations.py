"""Put together what keeps organisations to their keys and caps."""

from jacinthfold.catalogue.follower import Follower
from jacinthfold.catalogue.freshness_checker import FreshnessChecker
from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.catalogue.model import RouteTable
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.table import HostTable
from jacinthfold.gateway.settings import GatewaySettings
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.key_gate import KeyGate
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quota.bounds import Window
from jacinthfold.quota.messages import QUOTA_MARK
from jacinthfold.quota.office import QuotaOffice

_MS = 1000


class OrganisationDuties:
    """Hold keys, proofs of what is known of them, and caps."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: MetadataStore,
        catalogue: Catalogue,
        hosts: HostTable,
        clock: Clock,
    ) -> None:
        """Put the parts together."""
        found = settings.organisations
        bound_seconds = found.revocation_ms / _MS or None
        self.key_gate = KeyGate(catalogue, bound_seconds)
        window = Window(found.window_seconds, found.excess_ratio, found.slack)
        self.quota = QuotaOffice(hosts, store, window, clock)
        self.prover = FreshnessChecker(store, catalogue, clock)
        self._heartbeats: Heartbeats | None = None

    def join(self, follower: Follower, heartbeats: Heartbeats) -> None:
        """Take who watches the store, and whose socket carries messages."""
        self.prover.watches = lambda: follower.watches()
        heartbeats.datagram_handlers[QUOTA_MARK] = self.quota.take
        self.quota.post.send = heartbeats.send
        self._heartbeats = heartbeats

    def follow(self, table: RouteTable) -> None:
        """Take newer organisations."""
        self.quota.pools.follow(table)
        # Reads and bytes are spent on it only where keys must end in time.
        is_needed = bool(len(table.organisations)) and self.key_gate.is_bounded
        self.prover.is_needed = is_needed
        if self._heartbeats is not None:
            self._heartbeats.freshness_exchange.is_enabled = is_needed

    def admission(
        self, quarantine: Quarantine, metrics: ProxyMetrics
    ) -> Admission:
        """Return what looks at requests before each send."""
        quota = self.quota
        metrics.knowledge_age.set_function(lambda: self.key_gate.age_seconds)
        metrics.shares_held.set_function(
            lambda: sum(quota.pools.held().values())
        )
        metrics.parts_issued.set_function(lambda: len(quota.issuers.parts()))
        return Admission(self.key_gate, quarantine, quota.permits, metrics)

    def dump(self) -> dict[str, object]:
        """Return what this host believes of keys and caps."""
        return {
            'knowledge_age_seconds': self.key_gate.age_seconds,
            'cap_shares': self.quota.pools.held(),
            'cap_parts': self.quota.issuers.parts(),
        }
