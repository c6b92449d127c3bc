"""Define the metrics of requests, attempts, keys and caps."""

from collections.abc import Iterable
from functools import partial

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from jacinthfold.catalogue.records import Catalogue
from jacinthfold.catalogue.revision import counter_of
from jacinthfold.proxy.process_metrics import ProcessMetrics
from jacinthfold.proxy.repeat_metrics import RepeatMetrics
from jacinthfold.transport.memory import MemoryBudget

# From the first event of an idle engine to the longest time a caller waits.
SECONDS_BUCKETS = (
    0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 15.0,
)  # fmt: skip


class StoreMetrics:
    """Hold the gauges of this host's copy of the metadata store."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the gauges."""
        self._revision = Gauge(
            'jacinthfold_gateway_store_revision',
            'Revision of the metadata store that this host knows',
            registry=registry,
        )
        self._era = Gauge(
            'jacinthfold_gateway_store_era',
            'Era of the metadata store, which rises when it loses changes',
            registry=registry,
        )
        self._restorations = Gauge(
            'jacinthfold_gateway_store_restorations',
            'Returns of the store from a copy that this host has seen',
            registry=registry,
        )

    def follow(self, catalogue: Catalogue) -> None:
        """Show the state of a catalogue."""
        self._revision.set_function(lambda: counter_of(catalogue.revision))
        self._era.set_function(lambda: catalogue.era)
        self._restorations.set_function(lambda: catalogue.restoration_count)


class CapMetrics:
    """Hold the gauges of the caps that this host lends and may spend."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the gauges."""
        self.shares_held = Gauge(
            'jacinthfold_gateway_cap_shares_held',
            'Shares of caps that this host may spend, added up',
            registry=registry,
        )
        self.shards_issued = Gauge(
            'jacinthfold_gateway_cap_parts_issued',
            'Parts of the organisations whose shares this host lends',
            registry=registry,
        )


class PlaceMetrics:
    """Hold the counters of requests that found targets full."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the counters."""
        self.full_answers = Counter(
            'jacinthfold_gateway_target_full_total',
            'Answers of targets that say that they are full, by service',
            ('service',),
            registry=registry,
        )
        self.no_place = Counter(
            'jacinthfold_gateway_requests_without_place_total',
            'Requests rejected since this host had no free place at a target',
            ('service',),
            registry=registry,
        )


class AnswerMetrics:
    """Hold the counters of the answers of targets and regions."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the counters."""
        self.ends = Counter(
            'jacinthfold_gateway_answers_total',
            'Responses of targets and regions by what marked their end',
            ('service', 'body_end', 'ending'),
            registry=registry,
        )
        self.given_up = Counter(
            'jacinthfold_gateway_answers_given_up_total',
            'Answers given up since they did not go on, by their phase',
            ('service', 'phase'),
            registry=registry,
        )
        self.handovers = Counter(
            'jacinthfold_gateway_handovers_total',
            'Tries to move requests of silent targets, by what came of them',
            ('service', 'result'),
            registry=registry,
        )
        self.repeats = RepeatMetrics(registry)


class StreamMetrics:
    """Hold the counters of streams that begin, or that go on."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the counters."""
        self.beginnings = Counter(
            'jacinthfold_gateway_streams_total',
            'Streams of callers by whether they were taken up, and by how they '
            'began or why they did not',
            ('service', 'is_taken_up', 'beginning'),
            registry=registry,
        )
        self.resumed = Counter(
            'jacinthfold_gateway_streams_resumed_total',
            'Attempts to go on with a stream, by who resumed it and by outcome',
            ('service', 'by', 'ending'),
            registry=registry,
        )


class MemoryMetrics:
    """Hold the metrics of the memory that callers and targets use."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.no_room = Counter(
            'jacinthfold_gateway_requests_without_memory_total',
            'Requests refused since there was no room for their bodies',
            ('listener',),
            registry=registry,
        )
        self.unread_ended = Counter(
            'jacinthfold_gateway_unread_answers_ended_total',
            'Answers ended since their callers did not read them, by reason',
            ('reason',),
            registry=registry,
        )
        self._held = Gauge(
            'jacinthfold_gateway_memory_held_bytes',
            'Bytes that callers and targets make this host hold, by holder',
            ('holder',),
            registry=registry,
        )
        self._limit = Gauge(
            'jacinthfold_gateway_memory_limit_bytes',
            'Bytes that each holder may have',
            ('holder',),
            registry=registry,
        )

    def follow(self, budgets: Iterable[MemoryBudget]) -> None:
        """Show the state of budgets."""
        for budget in budgets:
            holder = budget.holder.value
            self._held.labels(holder).set_function(
                partial(getattr, budget, 'held_bytes')
            )
            self._limit.labels(holder).set_function(
                partial(getattr, budget, 'limit_bytes')
            )


class ProxyMetrics:
    """Hold the metrics in their own registry."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'jacinthfold_gateway_requests_total',
            'Requests by service and how they ended',
            ['service', 'ending'],
            registry=self.registry,
        )
        self.attempts = Counter(
            'jacinthfold_gateway_attempts_total',
            'Sends to targets and other regions by how they ended',
            ['service', 'ending'],
            registry=self.registry,
        )
        self.target_failure_events = Counter(
            'jacinthfold_gateway_target_failure_events_total',
            'Ejections, trials and returns of targets, by service',
            ['service', 'event'],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            'jacinthfold_gateway_request_seconds',
            'Time from the whole request to the end of its answer',
            ['service'],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.first_event_seconds = Histogram(
            'jacinthfold_gateway_first_event_seconds',
            'Time from the send to the first event or the whole answer',
            ['service'],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.streams = StreamMetrics(self.registry)
        self.answers = AnswerMetrics(self.registry)
        self.places = PlaceMetrics(self.registry)
        self.quarantined = Counter(
            'jacinthfold_gateway_requests_quarantined_total',
            'Requests refused because targets ended under them',
            ['service'],
            registry=self.registry,
        )
        self.rejected = Counter(
            'jacinthfold_gateway_requests_turned_away_total',
            'Requests that key or cap did not let run, by reason',
            ['reason'],
            registry=self.registry,
        )
        self.waiting = Gauge(
            'jacinthfold_gateway_requests_waiting',
            'Requests that wait at this host for capacity',
            ['service', 'priority'],
            registry=self.registry,
        )
        self.waited_seconds = Histogram(
            'jacinthfold_gateway_waited_seconds',
            'Time that requests waited for capacity, by how the wait ended',
            ['service', 'ending'],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.wait_refusals = Counter(
            'jacinthfold_gateway_wait_refusals_total',
            'Requests that could not wait for capacity, by reason',
            ['service', 'reason'],
            registry=self.registry,
        )
        self.key_age = Gauge(
            'jacinthfold_gateway_knowledge_age_seconds',
            'How old the knowledge of keys may be',
            registry=self.registry,
        )
        self.caps = CapMetrics(self.registry)
        self.answer_lag = Gauge(
            'jacinthfold_gateway_answer_lag_seconds',
            'By how much first events come later than expected',
            ['service', 'urgent'],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            'jacinthfold_gateway_requests_in_flight',
            'Requests being served',
            registry=self.registry,
        )
        self.store = StoreMetrics(self.registry)
        self.process = ProcessMetrics(self.registry)

    def set_answer_lag(
        self, service: str, seconds: float, *, is_urgent: bool
    ) -> None:
        """Set by how much first events of a service come late."""
        self.answer_lag.labels(service, is_urgent).set(seconds)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
