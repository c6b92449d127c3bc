"""Send requests over pooled connections and read what comes back."""

import asyncio
from collections.abc import Awaitable
from http import HTTPStatus

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.proxy import request_log
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import (
    UNREACHABLE,
    Ending,
    Outcome,
    outcome_from_head,
)
from jacinthfold.proxy.sending import Sending
from jacinthfold.request.messages import ResponseHead
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.errors import ConnectFailedError, ProxyError
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.memory import SMALL_BYTES, process_memory
from jacinthfold.transport.pool import ConnectionPool

# Rejections have short bodies, if any.
REJECTION_LIMIT_BYTES = 65536


class Sender:
    """Take a send through its steps, and release its connection."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        metrics: ProxyMetrics,
    ) -> None:
        """Store the connections and how requests are written on them."""
        self._pool = pool
        self._dialect = dialect
        self._metrics = metrics

    async def run(
        self,
        sending: Sending,
        opening: asyncio.Task[Outcome | None] | None = None,
    ) -> Outcome:
        """Send, or wait for what was sent, and deliver the response."""
        try:
            outcome = await (opening or self.open(sending))
            if outcome is None:
                outcome = await self._guard(sending, _deliver(sending))
        finally:
            self.end(sending)
        if outcome is None:
            raise TypeError('a response was delivered without an outcome')
        if sending.exchange is not None:
            channel = sending.exchange.channel
            outcome.connection_requests = channel.sent_requests.count
        sending.on_outcome(outcome)
        return outcome

    async def open(self, sending: Sending) -> Outcome | None:
        """Connect, send and read the head; return None if it is to deliver."""
        request = sending.request
        must_be_fresh = request.route.retry_policy is RetryPolicy.NEVER
        try:
            channel = await self._pool.acquire(
                sending.endpoint,
                sending.connect_seconds,
                must_be_fresh=must_be_fresh,
                request_id=request.facts.request_id,
            )
        except ConnectFailedError as error:
            return Outcome(Ending.NOT_RUN, f'{UNREACHABLE}: {error}')
        sending.exchange = Exchange(channel, self._dialect)
        sending.delivery.channel = channel
        return await self._guard(sending, _send(sending, sending.exchange))

    def end(self, sending: Sending) -> None:
        """Release what a send holds."""
        sending.delivery.record_end()
        exchange = sending.exchange
        if exchange is not None:
            # A connection whose request was abandoned may still deliver its
            # response, which no other request may receive.
            if exchange.may_reuse():
                self._pool.release(
                    sending.endpoint, exchange.channel, exchange.idle_seconds
                )
            else:
                exchange.channel.abort()
        sending.on_end()

    async def _guard(
        self, sending: Sending, step: Awaitable[Outcome | None]
    ) -> Outcome | None:
        """Return the outcome of a step that its connection may end."""
        delivery = sending.delivery
        try:
            return await step
        except ProxyError as error:
            return delivery.broken_outcome(error)
        except TimeoutError:
            self._record_silence(sending)
            return delivery.broken_outcome(ProxyError('silent'))

    def _record_silence(self, sending: Sending) -> None:
        delivery = sending.delivery
        delivery.is_given_up = True
        service = sending.request.service_name
        self._metrics.answers.given_up.labels(service, delivery.phase).inc()
        request_log.log_silence(sending.request, sending.endpoint, delivery)


async def _send(sending: Sending, exchange: Exchange) -> Outcome | None:
    delivery = sending.delivery
    request = sending.request
    reason = delivery.rejection_reason
    if reason:
        # Checked again, since the wait for a connection may have been long.
        return Outcome(Ending.NOT_RUN, reason, is_rejected_locally=True)
    # From here on the request may have run, however this attempt ends, also by
    # its deadline or because the caller disconnects.
    delivery.mark_in_flight()
    exchange.channel.sent_requests.add(
        request.facts.request_id, request.deadline, delivery.last_bytes_at
    )
    await exchange.send(
        request.method,
        request.target,
        sending.headers,
        request.body,
        request.facts.request_id,
    )
    if len(request.body) > SMALL_BYTES and process_memory.requests.is_scarce:
        # The request has one try, so that others have room.
        sending.on_release()
        request.release_body()
    sending.head = await delivery.read_head(exchange)
    outcome = outcome_from_head(sending.head, is_peer=delivery.is_peer)
    if delivery.is_prepared:
        return outcome or _failure(sending.head)
    if outcome is not None:
        await exchange.read_body(REJECTION_LIMIT_BYTES)
    return outcome


async def _deliver(sending: Sending) -> Outcome | None:
    if sending.exchange is None or sending.head is None:
        raise TypeError('there is no response to deliver')
    return await sending.delivery.deliver(sending.exchange, sending.head)


def _failure(head: ResponseHead) -> Outcome | None:
    # The answer that this one would replace may still be a whole one.
    if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return None
    return Outcome(Ending.FAILED, f'status_{head.status}')
