"""Learn from the outcomes of requests that were sent to targets."""

from collections.abc import Callable

from jacinthfold.clock import Clock
from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.latency_model import LatencySample
from jacinthfold.placement.regions import RegionView
from jacinthfold.placement.target import Target
from jacinthfold.proxy import in_flight_load
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.request.messages import Request
from jacinthfold.request.silence_limits import SOUND_SILENCE_SECONDS

# Requests that a target left waiting while it was silent to all end within this
# time of each other.
SAME_SILENCE_SECONDS = 0.1


class TargetOutcomes:
    """Update the statistics of targets and the metrics of attempts."""

    def __init__(
        self, regions: RegionView, metrics: ProxyMetrics, clock: Clock
    ) -> None:
        """Store what is updated."""
        self._regions = regions
        self._metrics = metrics
        self._clock = clock
        # Receives the seconds to each first event of an answer.
        self.on_first_event: Callable[[Request, Estimate, float], None] = (
            _ignore_first_event
        )

    def record(
        self,
        request: Request,
        estimate: Estimate,
        delivery: Delivery,
        began_at: float,
        outcome: Outcome,
    ) -> None:
        """Record how a request that was sent to a target ended."""
        if outcome.ending is Ending.DELIVERED and delivery.first_event_at:
            seconds = delivery.first_event_at - began_at
            self.on_first_event(request, estimate, seconds)
        self._update_target(estimate, outcome, delivery, began_at)
        self.count(request, delivery, outcome)

    def count(
        self, request: Request, delivery: Delivery, outcome: Outcome
    ) -> None:
        """Count an attempt by how it ended."""
        service, ending = request.service_name, outcome.ending.value
        self._metrics.attempts.labels(service, ending).inc()
        body_end = delivery.body_end
        if body_end is not None:
            self._metrics.answers.ends.labels(
                service, body_end.value, ending
            ).inc()

    def record_first_event(
        self,
        load: in_flight_load.InFlightLoad,
        target: Target,
        began_at: float,
        record_begun: Callable[[], None],
    ) -> None:
        """Record that the first event of a stream has arrived."""
        load.record_prefilled()
        record_begun()
        target.record_first_event(began_at, self._clock.monotonic())

    def _update_target(
        self,
        estimate: Estimate,
        outcome: Outcome,
        delivery: Delivery,
        began_at: float,
    ) -> None:
        target = estimate.target
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
        if delivery.is_given_up and not _is_failing(target, delivery):
            return
        target.record_failure(
            now,
            is_unreachable=outcome.is_unreachable,
            sent_at=began_at,
            is_cut=delivery.first_event_at > 0,
        )

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


def _is_failing(target: Target, delivery: Delivery) -> bool:
    """Tell whether a silence shows that a target fails."""
    silent_seconds = delivery.silent_seconds
    sender_silent_seconds = delivery.sender_silent_seconds
    if sender_silent_seconds < silent_seconds - SAME_SILENCE_SECONDS:
        # It answered others meanwhile.
        return True
    if not target.activity.has_answered:
        return True
    return sender_silent_seconds >= SOUND_SILENCE_SECONDS


def _ignore_first_event(
    _request: Request, _estimate: Estimate, _seconds: float
) -> None:
    """Do nothing with the time to a first event."""
