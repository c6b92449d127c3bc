"""Make one attempt: send a request to a target or to another region's host."""

import random
from collections.abc import Callable, Collection
from functools import partial
from typing import Protocol

from jacinthfold.catalogue.model import HostRecord, RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.latency_model import LatencySample
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.placement.target import Target
from jacinthfold.proxy import in_flight_load, relay_header, request_log
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome, outcome_from_head
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.response_timeout import ResponseTimeout
from jacinthfold.quarantine.crash_detector import CrashDetector
from jacinthfold.request.messages import Headers, Request
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.errors import ConnectFailedError, ProxyError
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.pool import ConnectionPool, Endpoint

# The reason of a rejection since a part crashes this version of the software.
QUARANTINED_PART = 'quarantined_part'
# Targets are in the same region, under 1 ms away; this leaves time for three
# lost packets.
CONNECT_TIMEOUT_SECONDS = 0.4
# The round trip to other regions takes 110 ms.
REGION_CONNECT_TIMEOUT_SECONDS = 0.7
# The soft timeout, in latency objectives: repeatable requests move from a
# silent target to another one while their caller still waits.
SOFT_TIMEOUT_FACTOR = 1.5
MIN_SOFT_TIMEOUT_SECONDS = 0.8
# The hard timeout, for a target that answers other requests meanwhile: callers
# abandon a stream without an event after four objectives, and the last of them
# is left for another attempt.
HARD_TIMEOUT_FACTOR = 3.0


class RegionHosts(Protocol):
    """Look up the entry hosts of other regions."""

    def serving(self, region: str) -> list[HostRecord]:
        """Return the hosts of a region that accept requests."""

    def heard_at(self, name: str) -> float:
        """Return when the last message from a host arrived."""


class Attempts:
    """Make single attempts and update the targets' statistics from them."""

    def __init__(
        self,
        pool: ConnectionPool,
        hosts: RegionHosts,
        regions: RegionView,
        budgets: RetryBudgets,
        dialect: Dialect,
        metrics: ProxyMetrics,
        crash_detector: CrashDetector,
        clock: Clock,
    ) -> None:
        """Store the connections and what is updated from attempts."""
        self._pool = pool
        self._hosts = hosts
        self._regions = regions
        self._budgets = budgets
        self._dialect = dialect
        self._metrics = metrics
        self._crash_detector = crash_detector
        self._clock = clock
        self._random = random.Random()
        # Receives the seconds to each first event of an answer.
        self.on_first_event: Callable[[Request, Estimate, float], None] = (
            _ignore_first_event
        )
        # Tells whether a request could be sent elsewhere now, given the targets
        # and regions that were tried.
        self.has_alternative: Callable[
            [Request, Collection[str], Collection[str]], bool
        ] = _always
        # Called before a caller gets the first event of a stream, with the
        # version of the software that made it, None if that is unknown.
        self.on_begin: Callable[[Request, str | None], None] = _ignore_begin
        # Tells whether a part of a prompt crashes targets of a version.
        self.refuses_version: Callable[[Request, str], bool] = _refuse_none
        # Called when a request has ended at a target, however it ended: its
        # place is free again.
        self.on_place_freed: Callable[[Target], None] | None = None

    async def send_to_target(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        estimate: Estimate,
    ) -> Outcome:
        """Send a request to a target and deliver its response."""
        target = estimate.target
        headers = self._dialect.target_headers(
            request,
            instance=target.record.instance,
            remaining_seconds=request.deadline - self._clock.monotonic(),
            last_event_id=progress.last_event_id,
        )
        headers = relay_header.without_internal(headers)
        if estimate.copy_source is not None:
            source_address = estimate.copy_source.record.address
            headers.extend(self._dialect.prefix_copy_headers(source_address))
        timeout = self._response_timeout(
            request,
            progress,
            lambda: target.last_received_at,
            target=target.record.instance,
        )
        delivery = Delivery(request, response, progress, timeout, self._clock)
        attempt = self._crash_detector.start_attempt(
            request, target, delivery.withdraw
        )
        delivery.on_activity = partial(attempt.record_activity, self._clock)
        began_at = self._clock.monotonic()
        load = in_flight_load.InFlightLoad(estimate, request)
        if self.on_place_freed is not None:
            load.on_released = self.on_place_freed
        delivery.on_first_event = partial(
            self._record_first_event,
            load,
            target,
            began_at,
            partial(self._crash_detector.parts.record_begun, attempt),
        )
        # Records of this incarnation that come later may tell another version.
        version = target.record.software_version
        delivery.on_begin = lambda: self.on_begin(request, version)
        delivery.target_rejection = lambda: self._rejection_reason(
            request, estimate
        )
        delivery.on_head = lambda head: target.record_answer(
            head, began_at, self._clock.monotonic()
        )
        try:
            outcome = await self._connect_and_send(
                target.connection_key,
                CONNECT_TIMEOUT_SECONDS,
                request,
                headers,
                delivery,
            )
        finally:
            load.release()
            self._crash_detector.record_finish(
                attempt,
                delivery.first_event_at,
                is_broken=delivery.is_broken,
                is_complete=delivery.is_complete,
            )
        if outcome.ending is Ending.DELIVERED and delivery.first_event_at:
            seconds = delivery.first_event_at - began_at
            self.on_first_event(request, estimate, seconds)
        self._update_target(target, outcome, delivery, began_at, estimate)
        self._count(request, outcome, progress)
        return outcome

    async def relay_to_region(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        region: RemoteRegion,
    ) -> Outcome:
        """Relay a request to a host of another region."""
        host = self._choose_host(request, region)
        if host is None:
            return Outcome(Ending.NOT_RUN, 'no_host_in_region')
        self._regions.record_relayed(request, region)
        now = self._clock.monotonic()
        headers = self._dialect.target_headers(
            request,
            instance='',
            remaining_seconds=request.deadline - now,
            last_event_id=progress.last_event_id,
        )
        headers = relay_header.without_internal(headers)
        headers.extend(
            relay_header.route_header(
                request,
                request.deadline - now,
                now - request.received_at,
                has_permit=progress.permit is not None,
            )
        )
        timeout = self._response_timeout(
            request,
            progress,
            lambda: self._hosts.heard_at(host.name),
            region=region.name,
        )
        delivery = Delivery(request, response, progress, timeout, self._clock)
        delivery.is_peer = True
        delivery.on_begin = lambda: self.on_begin(
            request, delivery.peer_version
        )
        endpoint = (host.address, host.relay_port, host.name)
        outcome = await self._connect_and_send(
            endpoint, REGION_CONNECT_TIMEOUT_SECONDS, request, headers, delivery
        )
        self._count(request, outcome, progress)
        return outcome

    def _rejection_reason(self, request: Request, estimate: Estimate) -> str:
        target = estimate.target
        if not request.may_run_at(target.record.software_version):
            return 'other_version'
        if self.refuses_version(request, target.record.software_version):
            return QUARANTINED_PART
        return target.rejection_reason(
            self._clock.monotonic(), is_counted=estimate.is_counted
        )

    def _choose_host(
        self, request: Request, region: RemoteRegion
    ) -> HostRecord | None:
        names = set(region.hosts)
        found = [
            host
            for host in self._hosts.serving(region.name)
            if host.name in names
            # Others would let the stream go on at any version.
            and (request.origin is None or host.keeps_origins)
        ]
        return self._random.choice(found) if found else None

    def _response_timeout(
        self,
        request: Request,
        progress: Progress,
        last_activity_at: Callable[[], float],
        *,
        target: str = '',
        region: str = '',
    ) -> ResponseTimeout:
        objective_seconds = request.route.latency_objective_seconds
        soft_seconds = max(
            SOFT_TIMEOUT_FACTOR * objective_seconds, MIN_SOFT_TIMEOUT_SECONDS
        )
        hard_seconds = max(
            HARD_TIMEOUT_FACTOR * objective_seconds,
            2 * MIN_SOFT_TIMEOUT_SECONDS,
        )
        is_unrepeatable = request.route.retry_policy is RetryPolicy.NEVER
        return ResponseTimeout(
            None if is_unrepeatable else soft_seconds,
            hard_seconds,
            last_activity_at,
            lambda: self._may_fail_over(
                request,
                progress,
                {*progress.tried, target},
                {*progress.tried_regions, region},
            ),
            self._clock,
        )

    def _may_fail_over(
        self,
        request: Request,
        progress: Progress,
        tried: Collection[str],
        tried_regions: Collection[str],
    ) -> bool:
        if progress.runs + 1 >= request.route.max_attempts:
            return False
        if not self._budgets.can_spend(request.service_name):
            return False
        # Otherwise an answer of a target that is only slow would be lost.
        return self.has_alternative(request, tried, tried_regions)

    async def _connect_and_send(
        self,
        endpoint: Endpoint,
        connect_seconds: float,
        request: Request,
        headers: Headers,
        delivery: Delivery,
    ) -> Outcome:
        must_be_fresh = request.route.retry_policy is RetryPolicy.NEVER
        try:
            channel = await self._pool.acquire(
                endpoint, connect_seconds, must_be_fresh=must_be_fresh
            )
        except ConnectFailedError as error:
            return Outcome(Ending.NOT_RUN, f'unreachable: {error}')
        exchange = Exchange(channel, self._dialect)
        delivery.channel = channel
        try:
            return await self._send_and_deliver(
                exchange, request, headers, delivery
            )
        except ProxyError as error:
            return delivery.broken_outcome(error)
        except TimeoutError:
            self._record_silence(endpoint, request, delivery)
            return delivery.broken_outcome(ProxyError('silent'))
        finally:
            delivery.record_end()
            self._release(endpoint, exchange)

    async def _send_and_deliver(
        self,
        exchange: Exchange,
        request: Request,
        headers: Headers,
        delivery: Delivery,
    ) -> Outcome:
        reason = delivery.rejection_reason
        if reason:
            # Checked again, since the wait for a connection may have been long.
            return Outcome(Ending.NOT_RUN, reason, is_rejected_locally=True)
        # From here on the request may have run, however this attempt ends,
        # also by its deadline or because the caller disconnects.
        delivery.mark_in_flight()
        await exchange.send(
            request.method,
            request.target,
            headers,
            request.body,
            request.facts.request_id,
        )
        head = await delivery.read_head(exchange)
        outcome = outcome_from_head(head, is_peer=delivery.is_peer)
        if outcome is None:
            return await delivery.deliver(exchange, head)
        await exchange.read_body(delivery.limit_bytes)
        return outcome

    def _record_silence(
        self, endpoint: Endpoint, request: Request, delivery: Delivery
    ) -> None:
        given_up = self._metrics.answers.given_up
        given_up.labels(request.service_name, delivery.phase).inc()
        now = self._clock.monotonic()
        request_log.log_silence(request, endpoint, delivery, now)

    def _release(self, endpoint: Endpoint, exchange: Exchange) -> None:
        # A connection whose request was abandoned may still deliver its
        # response, which no other request may receive.
        if exchange.may_reuse():
            self._pool.release(
                endpoint, exchange.channel, exchange.idle_seconds
            )
        else:
            exchange.channel.abort()

    def _count(
        self, request: Request, outcome: Outcome, progress: Progress
    ) -> None:
        service, ending = request.service_name, outcome.ending.value
        self._metrics.attempts.labels(service, ending).inc()
        body_end = progress.answer_end.body_end
        if body_end is not None:
            self._metrics.answers.ends.labels(
                service, body_end.value, ending
            ).inc()

    def _update_target(
        self,
        target: Target,
        outcome: Outcome,
        delivery: Delivery,
        began_at: float,
        estimate: Estimate,
    ) -> None:
        now = self._clock.monotonic()
        if in_flight_load.learn_places(estimate, outcome, now):
            self._metrics.places.full_answers.labels(
                target.record.service
            ).inc()
        if outcome.ending is Ending.DELIVERED:
            first_at = delivery.first_event_at or now
            seconds = first_at - began_at
            service = target.record.service
            self._metrics.first_event_seconds.labels(service).observe(seconds)
            if outcome.reason:
                target.record_failure(
                    now, is_unreachable=False, sent_at=began_at
                )
                return
            target.record_served(began_at, now)
            if delivery.first_event_at:
                target.record_success(seconds, estimate.seconds)
                self._update_latency_model(estimate, seconds, now)
                self._record_hold_time(estimate, now - first_at)
            else:
                target.record_call(seconds, estimate.seconds, now)
                in_slot_seconds = in_flight_load.call_seconds(
                    estimate, seconds, now
                )
                target.seconds_per_call += 0.1 * (
                    in_slot_seconds - target.seconds_per_call
                )
            return
        if outcome.reason in {'target_left', 'target_unconfirmed'}:
            target.log_rejected_send(now)
        if outcome.is_rejected_locally:
            return
        if outcome.is_pushback:
            target.failure_rate.record_backoff(
                target.pushback.backoff.until - now, now
            )
            return
        if outcome.reason == 'wrong_instance':
            target.set_record_expiry(now)
        is_unreachable = outcome.reason.startswith('unreachable')
        target.record_failure(
            now,
            is_unreachable=is_unreachable,
            sent_at=began_at,
            is_cut=delivery.first_event_at > 0,
        )

    def _record_first_event(
        self,
        load: in_flight_load.InFlightLoad,
        target: Target,
        began_at: float,
        record_begun: Callable[[], None],
    ) -> None:
        load.record_prefilled()
        record_begun()
        target.record_first_event(began_at, self._clock.monotonic())

    def _update_latency_model(
        self, estimate: Estimate, seconds: float, now: float
    ) -> None:
        target = estimate.target
        if target.cold_until > now or estimate.copy_source is not None:
            return
        tokens = estimate.tokens_ahead + estimate.tokens_to_prefill
        sample = LatencySample(
            tokens, estimate.pairs, seconds - estimate.running_seconds
        )
        self._regions.latency_models.of(target.record.service).add_sample(
            sample, now
        )

    def _record_hold_time(
        self, estimate: Estimate, streamed_seconds: float
    ) -> None:
        model = self._regions.latency_models.of(estimate.target.record.service)
        model.record_slot_hold(
            streamed_seconds + model.prefill_seconds(estimate.token_cost)
        )


def _ignore_first_event(
    _request: Request, _estimate: Estimate, _seconds: float
) -> None:
    """Do nothing with the time to a first event."""


def _ignore_begin(_request: Request, _version: str | None) -> None:
    """Do nothing when a stream begins."""


def _refuse_none(_request: Request, _version: str) -> bool:
    return False


def _always(
    _request: Request, _tried: Collection[str], _regions: Collection[str]
) -> bool:
    return True
