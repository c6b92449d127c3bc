"""Count a request's load on a target while it is there."""

from jacinthfold.placement.estimates import Estimate
from jacinthfold.request.messages import Request


class InFlightLoad:
    """Count a request's load on a target while it is there."""

    def __init__(self, estimate: Estimate, request: Request) -> None:
        """Take what is expected of it, and count it."""
        facts = request.facts
        target = estimate.target
        self._target = target
        self._prefill_tokens = round(estimate.work)
        self._held_tokens = facts.prompt_tokens + facts.output_tokens
        target.own.requests += 1
        target.own.unread_tokens += self._prefill_tokens
        self._urgent_tokens = self._prefill_tokens if request.is_urgent else 0
        target.own.urgent_tokens += self._urgent_tokens
        target.own.held_tokens += self._held_tokens

    def record_prefilled(self) -> None:
        """Take that the prompt has been read."""
        self._target.own.unread_tokens -= self._prefill_tokens
        self._target.own.urgent_tokens -= self._urgent_tokens
        self._prefill_tokens = 0
        self._urgent_tokens = 0

    def release(self) -> None:
        """Take that the request has ended."""
        self.record_prefilled()
        self._target.own.requests -= 1
        self._target.own.held_tokens -= self._held_tokens
