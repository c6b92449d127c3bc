"""Define the metrics of requests that are sent more than once."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from jacinthfold.placement.budget import RetryBudgets


class RepeatMetrics:
    """Hold the metrics of repeats and of their budget."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.repeats = Counter(
            'jacinthfold_gateway_repeats_total',
            'Sends of a request after its first one, by what made them '
            'necessary and by what they were charged to',
            ('service', 'reason', 'charge'),
            registry=registry,
        )
        self._left = Gauge(
            'jacinthfold_gateway_retry_budget_left',
            'Repeats that this host may still send now',
            ('service',),
            registry=registry,
        )
        self._hosts = Gauge(
            'jacinthfold_gateway_retry_budget_hosts',
            'Hosts among which this host divides the fixed part of the budget',
            registry=registry,
        )

    def follow(self, budgets: RetryBudgets) -> None:
        """Show the state of the budgets."""
        self._hosts.set_function(lambda: budgets.sharing_hosts)

    def follow_service(self, budgets: RetryBudgets, service: str) -> None:
        """Show the state of a service's budget."""
        self._left.labels(service).set_function(lambda: budgets.left(service))
