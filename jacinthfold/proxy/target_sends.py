"""Build the sends of requests to targets of this region."""

from functools import partial

from jacinthfold.clock import Clock
from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.target import Target
from jacinthfold.proxy import in_flight_load, relay_header
from jacinthfold.proxy.attempt_hooks import AttemptHooks
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.response_timeout import ResponseTimeout
from jacinthfold.proxy.sending import Sending
from jacinthfold.proxy.target_outcomes import TargetOutcomes
from jacinthfold.quarantine.crash_detector import CrashDetector
from jacinthfold.quarantine.crash_model import Attempt
from jacinthfold.request.messages import Headers, Request
from jacinthfold.request.silence_limits import SilenceLimits
from jacinthfold.transport.dialect import Dialect

# The reason of a rejection since a part crashes this version of the software.
QUARANTINED_PART = 'quarantined_part'
# Targets are in the same region, under 1 ms away; this leaves time for three
# lost packets.
CONNECT_TIMEOUT_SECONDS = 0.4


class TargetSends:
    """Build sends to targets, with what is recorded of each of them."""

    def __init__(
        self,
        dialect: Dialect,
        crash_detector: CrashDetector,
        outcomes: TargetOutcomes,
        hooks: AttemptHooks,
        clock: Clock,
    ) -> None:
        """Store what writes requests and what learns from them."""
        self._dialect = dialect
        self._crash_detector = crash_detector
        self._outcomes = outcomes
        self._hooks = hooks
        self._clock = clock

    def build(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        estimate: Estimate,
    ) -> Sending:
        """Return the send of a request, whose load counts from now on."""
        target = estimate.target
        delivery = self._delivery(request, response, progress, target)
        attempt = self._crash_detector.start_attempt(
            request, target, delivery.withdraw
        )
        delivery.on_activity = partial(attempt.record_activity, self._clock)
        began_at = self._clock.monotonic()
        target.activity.record_send(began_at, is_first=not target.own.requests)
        load = in_flight_load.InFlightLoad(estimate, request)
        record_begun = partial(self._crash_detector.parts.record_begun, attempt)
        delivery.on_whole = record_begun
        delivery.on_first_event = partial(
            self._outcomes.record_first_event,
            load,
            target,
            began_at,
            record_begun,
        )
        # Records of this incarnation that come later may tell another version.
        version = target.record.software_version
        delivery.on_begin = lambda: self._hooks.on_begin(request, version)
        delivery.target_rejection = lambda: self._rejection_reason(
            request, estimate
        )
        delivery.on_head = lambda head: target.record_answer(
            head, began_at, self._clock.monotonic()
        )
        sending = Sending(
            request,
            target.connection_key,
            CONNECT_TIMEOUT_SECONDS,
            self._headers(request, progress, estimate),
            delivery,
        )
        sending.on_release = partial(
            self._crash_detector.keep_fingerprint, request
        )
        sending.on_end = partial(self._end, load, attempt, delivery)
        sending.on_outcome = partial(
            self._outcomes.record, request, estimate, delivery, began_at
        )
        return sending

    def _delivery(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        target: Target,
    ) -> Delivery:
        timeout = ResponseTimeout(
            SilenceLimits(request.route),
            lambda: target.activity.received_at,
            self._clock,
        )
        timeout.is_gone = lambda: (
            target.unreachable_until > self._clock.monotonic()
        )
        timeout.discard_next = lambda: self._hooks.discard_next(
            request, progress
        )
        timeout.prepare_next = lambda: self._hooks.prepare_next(
            request,
            response,
            progress,
            {*progress.tried, target.record.instance},
            progress.tried_regions,
        )
        return Delivery(request, response, progress, timeout, self._clock)

    def _headers(
        self, request: Request, progress: Progress, estimate: Estimate
    ) -> Headers:
        headers = self._dialect.target_headers(
            request,
            instance=estimate.target.record.instance,
            remaining_seconds=request.deadline - self._clock.monotonic(),
            last_event_id=progress.last_event_id,
        )
        headers = relay_header.without_internal(headers)
        if estimate.copy_source is not None:
            source_address = estimate.copy_source.record.address
            headers.extend(self._dialect.prefix_copy_headers(source_address))
        return headers

    def _rejection_reason(self, request: Request, estimate: Estimate) -> str:
        target = estimate.target
        if not request.may_run_at(target.record.software_version):
            return 'other_version'
        if self._hooks.refuses_version(request, target.record.software_version):
            return QUARANTINED_PART
        return target.rejection_reason(
            self._clock.monotonic(), is_counted=estimate.is_counted
        )

    def _end(
        self,
        load: in_flight_load.InFlightLoad,
        attempt: Attempt,
        delivery: Delivery,
    ) -> None:
        load.release()
        self._crash_detector.record_finish(
            attempt,
            delivery.first_event_at,
            is_broken=delivery.is_broken,
            is_complete=delivery.is_complete,
        )
