"""Decide whether a request may be attempted again."""

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import Request


def may_retry(
    request: Request,
    progress: Progress,
    outcome: Outcome,
    response: CallerResponse,
) -> bool:
    """Tell whether an attempt that ended this way may be followed."""
    if progress.is_quarantined or request.is_body_released:
        return False
    if outcome.ending is Ending.NOT_RUN:
        return not response.has_started or (
            request.route.retry_policy is RetryPolicy.RESUMED
        )
    if progress.runs >= request.route.max_attempts:
        return False
    if response.has_started:
        return request.route.retry_policy is RetryPolicy.RESUMED
    return request.route.retry_policy is not RetryPolicy.NEVER
