"""Account for the load of requests in flight at a target."""

from collections.abc import Callable

from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.place_shares import report_age_seconds
from jacinthfold.placement.target import Target
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.request.messages import Request

FULL_REASON = 'target_refused_503'


class InFlightLoad:
    """Add a request's load to its target while the request is in flight."""

    def __init__(self, estimate: Estimate, request: Request) -> None:
        """Add the estimated load of the request to its target."""
        # Called when the load is released: a place of the target is free again.
        self.on_released: Callable[[Target], None] = _ignore_target
        facts = request.facts
        target = estimate.target
        self._target = target
        self._prefill_tokens = round(estimate.token_cost)
        self._held_tokens = facts.prompt_tokens + facts.output_tokens
        target.own.requests += 1
        target.own.pending_prefill_tokens += self._prefill_tokens
        self._urgent_tokens = self._prefill_tokens if request.is_urgent else 0
        target.own.urgent_tokens += self._urgent_tokens
        target.own.held_tokens += self._held_tokens

    def record_prefilled(self) -> None:
        """Remove the pending prefill tokens: the prompt has been prefilled."""
        self._target.own.pending_prefill_tokens -= self._prefill_tokens
        self._target.own.urgent_tokens -= self._urgent_tokens
        self._target.freed_count += 1
        self._prefill_tokens = 0
        self._urgent_tokens = 0

    def release(self) -> None:
        """Remove the load of the request, which has ended."""
        self.record_prefilled()
        self._target.own.requests -= 1
        self._target.own.held_tokens -= self._held_tokens
        self.on_released(self._target)


def learn_places(estimate: Estimate, outcome: Outcome, now: float) -> bool:
    """Update a target's learned limit; tell whether the target was full."""
    in_flight_before = estimate.in_flight_before
    if in_flight_before is None:
        return False
    target = estimate.target
    slots = max(1, target.record.slots)
    limit = target.concurrency_limit
    age_seconds = report_age_seconds(target, now)
    if outcome.ending is Ending.DELIVERED:
        limit.record_accepted(in_flight_before, slots, age_seconds)
        return False
    if outcome.reason != FULL_REASON or outcome.is_pushback:
        return False
    in_flight = target.load(now).requests
    limit.record_full(in_flight, slots, now, age_seconds)
    return True


def call_seconds(estimate: Estimate, seconds: float, now: float) -> float:
    """Return the time of a plain call in a slot, when it has ended.

    If the places of the target are shared, the share of its wait in the queue
    is taken off, since they are computed from the time in a slot.
    """
    if estimate.in_flight_before is None:
        return seconds
    # What was in flight when the call was sent is reported while it runs. The
    # larger figure is closer: a queue that no report shows yet would make the
    # target look slow.
    target = estimate.target
    in_flight = max(estimate.in_flight_before, target.load(now).requests)
    slots = max(1, target.record.slots)
    return seconds * slots / max(slots, in_flight + 1)


def _ignore_target(_: Target) -> None:
    """Do nothing when a place of a target is free again."""
