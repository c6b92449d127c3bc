"""Send a request to a target or to another region's host, once."""

import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

from jacinthfold.catalogue.model import HostRecord, RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.law import Answer
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.placement.target import Target
from jacinthfold.proxy import relay_header, unread
from jacinthfold.proxy.caller_answer import CallerAnswer
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome, told_outcome
from jacinthfold.proxy.patience import Patience
from jacinthfold.proxy.progress import Progress
from jacinthfold.quarantine.witness import Witness
from jacinthfold.request.messages import Headers, Request
from jacinthfold.transport.dialect import Dialect
from jacinthfold.transport.errors import ConnectFailedError, ProxyError
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.pool import Place, Pool

# Targets are in the same region, under 1 ms away: three lost packets' worth.
CONNECT_SECONDS = 0.4
# Other regions are 110 ms there and back.
REGION_CONNECT_SECONDS = 0.7
# Repeatable requests are taken away from a target that says nothing for
# this many times the aim, while the caller still has time for another.
SILENCE_AIMS = 1.5
SILENCE_AT_LEAST_SECONDS = 0.8
# The same for a target that answers others meanwhile: callers leave a stream
# without an event after four aims, and the last one is left for another try.
HANG_AIMS = 3.0


class RegionHosts(Protocol):
    """Know the entry hosts of other regions."""

    def serving(self, region: str) -> list[HostRecord]:
        """Return hosts of a region that take requests."""

    def heard_at(self, name: str) -> float:
        """Return when a host was last heard."""


class Attempts:
    """Carry out single attempts and note what they showed of targets."""

    def __init__(
        self,
        pool: Pool,
        hosts: RegionHosts,
        regions: RegionView,
        budgets: RetryBudgets,
        dialect: Dialect,
        metrics: ProxyMetrics,
        witness: Witness,
        clock: Clock,
    ) -> None:
        """Take the connections and the parts that learn from attempts."""
        self._pool = pool
        self._hosts = hosts
        self._regions = regions
        self._budgets = budgets
        self._dialect = dialect
        self._metrics = metrics
        self._witness = witness
        self._clock = clock
        self._random = random.Random()

    async def at_target(
        self,
        request: Request,
        answer: CallerAnswer,
        progress: Progress,
        estimate: Estimate,
    ) -> Outcome:
        """Send a request to a target and deliver its answer."""
        target = estimate.target
        headers = self._dialect.target_headers(
            request,
            instance=target.record.instance,
            left_seconds=request.deadline - self._clock.monotonic(),
            last_event_id=progress.last_event_id,
        )
        headers = relay_header.without_internal(headers)
        if estimate.keeper is not None:
            place = estimate.keeper.record.address
            headers.extend(self._dialect.copy_headers(place))
        patience = self._patience(request, progress, lambda: target.heard_at)
        delivery = Delivery(request, answer, progress, patience, self._clock)
        attempt = self._witness.begin(request, target, delivery.withdraw)
        delivery.on_heard = partial(attempt.note_heard, self._clock)
        began_at = self._clock.monotonic()
        prompt = unread.UnreadPrompt(estimate, request)
        delivery.on_first_event = prompt.note_read
        delivery.target_barrier = lambda: target.barrier_reason(
            self._clock.monotonic(), is_counted=estimate.is_counted
        )
        delivery.on_head = lambda head: target.pushback.note_answer(
            head, began_at, self._clock.monotonic()
        )
        try:
            outcome = await self._exchange(
                target.place, CONNECT_SECONDS, request, headers, delivery
            )
        finally:
            prompt.release()
            self._witness.note_over(
                attempt,
                delivery.first_event_at,
                is_broken=delivery.is_broken,
            )
        self._learn(target, outcome, delivery, began_at, estimate)
        self._count(request, outcome)
        return outcome

    async def at_region(
        self,
        request: Request,
        answer: CallerAnswer,
        progress: Progress,
        region: RemoteRegion,
    ) -> Outcome:
        """Pass a request to a host of another region."""
        host = self._choose_host(region)
        if host is None:
            return Outcome(Ending.NOT_RUN, 'no_host_in_region')
        self._regions.note_passed(request, region)
        now = self._clock.monotonic()
        headers = self._dialect.target_headers(
            request,
            instance='',
            left_seconds=request.deadline - now,
            last_event_id=progress.last_event_id,
        )
        headers = relay_header.without_internal(headers)
        headers.extend(
            relay_header.write(
                request,
                request.deadline - now,
                now - request.received_at,
                is_paid=progress.permit is not None,
            )
        )
        patience = self._patience(
            request, progress, lambda: self._hosts.heard_at(host.name)
        )
        delivery = Delivery(request, answer, progress, patience, self._clock)
        delivery.is_at_peer = True
        place = (host.address, host.relay_port, host.name)
        outcome = await self._exchange(
            place, REGION_CONNECT_SECONDS, request, headers, delivery
        )
        self._count(request, outcome)
        return outcome

    def _choose_host(self, region: RemoteRegion) -> HostRecord | None:
        names = set(region.hosts)
        found = [
            host
            for host in self._hosts.serving(region.name)
            if host.name in names
        ]
        return self._random.choice(found) if found else None

    def _patience(
        self,
        request: Request,
        progress: Progress,
        last_heard: Callable[[], float],
    ) -> Patience:
        aim = request.route.latency_objective_seconds
        silence = max(SILENCE_AIMS * aim, SILENCE_AT_LEAST_SECONDS)
        hang = max(HANG_AIMS * aim, 2 * SILENCE_AT_LEAST_SECONDS)
        is_once = request.route.retry_policy is RetryPolicy.NEVER
        return Patience(
            None if is_once else silence,
            hang,
            last_heard,
            lambda: self._may_leave(request, progress),
            self._clock,
        )

    def _may_leave(self, request: Request, progress: Progress) -> bool:
        if progress.runs + 1 >= request.route.max_attempts:
            return False
        return self._budgets.has_room(request.service_name)

    async def _exchange(
        self,
        place: Place,
        connect_seconds: float,
        request: Request,
        headers: Headers,
        delivery: Delivery,
    ) -> Outcome:
        must_be_fresh = request.route.retry_policy is RetryPolicy.NEVER
        try:
            channel = await self._pool.take(
                place, connect_seconds, must_be_fresh=must_be_fresh
            )
        except ConnectFailedError as error:
            return Outcome(Ending.NOT_RUN, f'unreachable: {error}')
        exchange = Exchange(channel, self._dialect)
        delivery.channel = channel
        try:
            return await self._carry(exchange, request, headers, delivery)
        except ProxyError as error:
            return delivery.broken(error)
        except TimeoutError:
            return delivery.broken(ProxyError('silent'))
        finally:
            self._release(place, exchange)

    async def _carry(
        self,
        exchange: Exchange,
        request: Request,
        headers: Headers,
        delivery: Delivery,
    ) -> Outcome:
        reason = delivery.barrier_reason
        if reason:
            # The wait for a connection may have been long.
            return Outcome(Ending.NOT_RUN, reason, is_barred=True)
        # From here on nobody can say that the request has not run, whatever
        # ends this attempt: a deadline or the caller's leaving too.
        delivery.note_leaves()
        await exchange.send(
            request.method,
            request.target,
            headers,
            request.body,
            request.facts.request_id,
        )
        head = await delivery.head_of(exchange)
        outcome = told_outcome(head, is_peer=delivery.is_at_peer)
        if outcome is None:
            return await delivery.deliver(exchange, head)
        await exchange.whole(delivery.limit_bytes)
        return outcome

    def _release(self, place: Place, exchange: Exchange) -> None:
        # A connection whose request was given up on may still bring its
        # answer; nobody else may be given that.
        if exchange.may_reuse():
            self._pool.give_back(place, exchange.channel, exchange.idle_seconds)
        else:
            exchange.channel.abort()

    def _count(self, request: Request, outcome: Outcome) -> None:
        service, ending = request.service_name, outcome.ending.value
        self._metrics.attempts.labels(service, ending).inc()

    def _learn(
        self,
        target: Target,
        outcome: Outcome,
        delivery: Delivery,
        began_at: float,
        estimate: Estimate,
    ) -> None:
        now = self._clock.monotonic()
        if outcome.ending is Ending.DELIVERED:
            first_at = delivery.first_event_at or now
            seconds = first_at - began_at
            service = target.record.service
            self._metrics.first_event_seconds.labels(service).observe(seconds)
            target.note_success(seconds, estimate.seconds)
            if delivery.first_event_at:
                self._learn_law(estimate, seconds, now)
                self._learn_hold(estimate, now - first_at)
            else:
                target.seconds_per_call += 0.1 * (
                    seconds - target.seconds_per_call
                )
            return
        if outcome.is_barred or outcome.is_pushback:
            return
        if outcome.reason == 'wrong_instance':
            target.follow_record(now)
        is_unreachable = outcome.reason.startswith('unreachable')
        target.note_failure(now, is_unreachable=is_unreachable)

    def _learn_law(
        self, estimate: Estimate, seconds: float, now: float
    ) -> None:
        target = estimate.target
        if target.cold_until > now or estimate.keeper is not None:
            return
        tokens = estimate.ahead + estimate.unread_tokens
        answer = Answer(
            tokens, estimate.pairs, seconds - estimate.running_seconds
        )
        self._regions.laws.of(target.record.service).note(answer, now)

    def _learn_hold(self, estimate: Estimate, streamed_seconds: float) -> None:
        law = self._regions.laws.of(estimate.target.record.service)
        law.note_hold(streamed_seconds + law.reading_seconds(estimate.work))
