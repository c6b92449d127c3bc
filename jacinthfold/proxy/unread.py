"""Count a request's load on a target while it is there."""

from jacinthfold.placement.estimates import Estimate
from jacinthfold.request.messages import Request


class UnreadPrompt:
    """Count a request's load on a target while it is there."""

    def __init__(self, estimate: Estimate, request: Request) -> None:
        """Take what is expected of it, and count it."""
        facts = request.facts
        target = estimate.target
        self._target = target
        self._unread = round(estimate.token_cost)
        self._held = facts.prompt_tokens + facts.output_tokens
        target.own.requests += 1
        target.own.pending_prefill_tokens += self._unread
        self._urgent = self._unread if request.is_urgent else 0
        target.own.urgent_tokens += self._urgent
        target.own.held_tokens += self._held

    def note_read(self) -> None:
        """Take that the prompt has been read."""
        self._target.own.pending_prefill_tokens -= self._unread
        self._target.own.urgent_tokens -= self._urgent
        self._unread = 0
        self._urgent = 0

    def release(self) -> None:
        """Take that the request has ended."""
        self.note_read()
        self._target.own.requests -= 1
        self._target.own.held_tokens -= self._held
