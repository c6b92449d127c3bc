"""Connect the budgets of memory to listeners, settings and metrics."""

import random
from functools import partial

from prometheus_client import CollectorRegistry

from jacinthfold.proxy import relay_header
from jacinthfold.proxy.listener import Listener
from jacinthfold.proxy.metrics import MemoryMetrics
from jacinthfold.proxy.unread_answers import UnreadAnswers
from jacinthfold.request.messages import Headers
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.memory import process_memory

# Retry-After of a host without room for a body. Spread, so that those that were
# refused together don't return together.
RETRY_SECONDS = (0.5, 1.5)


def bound(
    limit_mb: int,
    callers: Listener,
    relay: Listener,
    dialect: Dialect,
    registry: CollectorRegistry,
) -> None:
    """Share out the memory of a process of so many MB."""
    process_memory.set_limit(limit_mb)
    metrics = MemoryMetrics(registry)
    metrics.follow(process_memory.budgets)
    unread = UnreadAnswers(process_memory.unread)
    unread.make_room_in(process_memory)
    unread.idle_seconds = lambda: callers.limits.idle_timeout_seconds
    unread.on_ended = lambda reason: metrics.unread_ended.labels(reason).inc()
    for listener in (callers, relay):
        listener.unread = unread
        listener.no_room_headers = partial(
            _no_room_headers, dialect, is_relay=listener is relay
        )
        listener.on_no_room = metrics.no_room.labels(listener.name).inc


def _no_room_headers(
    dialect: Dialect, headers: Headers, *, is_relay: bool
) -> Headers:
    try:
        request_id = dialect.read_request(headers).request_id
    except ValueError:
        request_id = ''
    answer = dialect.gateway_headers(request_id)
    answer += dialect.retry_headers(random.uniform(*RETRY_SECONDS))
    if is_relay:
        answer += relay_header.outcome_header(relay_header.OUTCOME_NOT_RUN)
    return answer
