"""Count what a process does."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

FIRST_TOKEN_BUCKETS = (
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
)  # fmt: skip


class Metrics:
    """Hold the process's metrics in a registry of its own."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = CollectorRegistry()
        self.endings = Counter(
            'jacinthfold_requests_total',
            'Requests by how they ended',
            ['ending'],
            registry=self.registry,
        )
        self.first_token_seconds = Histogram(
            'jacinthfold_first_token_seconds',
            'Time from the send to a target to its first byte',
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.retries = Counter(
            'jacinthfold_retries_total',
            'Attempts after the first',
            registry=self.registry,
        )
        self.spilled_requests = Counter(
            'jacinthfold_spilled_requests_total',
            'Requests sent to another region',
            ['region'],
            registry=self.registry,
        )
        self.shed_requests = Counter(
            'jacinthfold_shed_requests_total',
            'Requests given up because of load',
            ['priority'],
            registry=self.registry,
        )

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when asked for."""
        gauge = Gauge(f'jacinthfold_{name}', text, registry=self.registry)
        gauge.set_function(read)

    def exposition(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)
