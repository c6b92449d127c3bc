"""Connect the components that enforce organisations' keys and caps."""

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
from jacinthfold.quota.coordinator import QuotaCoordinator
from jacinthfold.quota.messages import QUOTA_MARK

_MS = 1000


class OrganisationAccess:
    """Hold the key gate, its freshness checks, and the caps."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: MetadataStore,
        catalogue: Catalogue,
        hosts: HostTable,
        clock: Clock,
    ) -> None:
        """Create the components."""
        options = settings.organisations
        bound_seconds = options.revocation_ms / _MS or None
        self.key_gate = KeyGate(catalogue, bound_seconds)
        window = Window(
            options.window_seconds, options.excess_ratio, options.slack
        )
        self.quota = QuotaCoordinator(hosts, store, window, clock)
        self.freshness_checker = FreshnessChecker(store, catalogue, clock)
        self._heartbeats: Heartbeats | None = None

    def connect(self, follower: Follower, heartbeats: Heartbeats) -> None:
        """Connect to the store follower and the socket for quota messages."""
        self.freshness_checker.watches = lambda: follower.watches()
        heartbeats.datagram_handlers[QUOTA_MARK] = self.quota.handle_datagram
        self.quota.outbox.send = heartbeats.send
        self._heartbeats = heartbeats

    def apply_routes(self, table: RouteTable) -> None:
        """Apply the organisations of a newer configuration."""
        self.quota.pools.update_routes(table)
        # The use of leaving targets is bounded by the age of the records, also
        # where no organisation has keys.
        self.freshness_checker.is_needed = True
        self.freshness_checker.has_bounded_keys = (
            bool(len(table.organisations)) and self.key_gate.is_bounded
        )
        if self._heartbeats is not None:
            self._heartbeats.freshness_exchange.is_enabled = True

    def build_admission(
        self, quarantine: Quarantine, metrics: ProxyMetrics
    ) -> Admission:
        """Return the check that each request passes before it is sent."""
        quota = self.quota
        metrics.key_age.set_function(lambda: self.key_gate.age_seconds)
        metrics.caps.shares_held.set_function(
            lambda: sum(quota.pools.held().values())
        )
        metrics.caps.shards_issued.set_function(
            lambda: len(quota.issuers.issued_shards())
        )
        return Admission(self.key_gate, quarantine, quota.permits, metrics)

    def dump_state(self) -> dict[str, object]:
        """Return the state of keys and caps for operators."""
        return {
            'knowledge_age_seconds': self.key_gate.age_seconds,
            'cap_shares': self.quota.pools.held(),
            'cap_parts': self.quota.issuers.issued_shards(),
        }
