"""Define the metrics of this process and its event loop."""

import asyncio

from prometheus_client import CollectorRegistry, Gauge, Histogram

from jacinthfold import logs
from jacinthfold.transport.turns import process_turns

WATCH_INTERVAL_SECONDS = 0.25
DELAY_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class ProcessMetrics:
    """Hold the metrics of a process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        dropped_log_lines = Gauge(
            'jacinthfold_log_lines_left_out',
            'Log lines that were left out since the start',
            registry=registry,
        )
        dropped_log_lines.set_function(logs.dropped_line_count)
        self._loop_delay = Histogram(
            'jacinthfold_gateway_loop_delay_seconds',
            'How late the event loop runs what is due',
            buckets=DELAY_BUCKETS,
            registry=registry,
        )
        long_turns = Gauge(
            'jacinthfold_gateway_long_turns',
            'Pauses of connections whose bytes took long, since the start',
            registry=registry,
        )
        long_turns.set_function(lambda: process_turns.long_count)

    async def watch_loop(self) -> None:
        """Measure how late the event loop is, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + WATCH_INTERVAL_SECONDS
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            self._loop_delay.observe(max(0.0, loop.time() - due_at))
