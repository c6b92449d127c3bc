"""Account for the load of requests in flight at a target."""

from jacinthfold.placement.estimates import Estimate
from jacinthfold.request.messages import Request


class InFlightLoad:
    """Add a request's load to its target while the request is in flight."""

    def __init__(self, estimate: Estimate, request: Request) -> None:
        """Add the estimated load of the request to its target."""
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
