"""Log what was decided for a request, and from what."""

from jacinthfold import logs
from jacinthfold.placement.decision import Choice, PassTo, Refuse, SendTo
from jacinthfold.proxy.outcome import Outcome
from jacinthfold.proxy.progress import QUARANTINED, Progress
from jacinthfold.quarantine.quarantine import Refusal
from jacinthfold.request.messages import Request


def log_choice(request: Request, choice: Choice, progress: Progress) -> None:
    """Log where a request goes, and what was expected."""
    if isinstance(choice, SendTo):
        estimate = choice.estimate
        logs.event(
            'request_placed',
            request=request.facts.request_id,
            attempt=progress.sends + 1,
            service=request.service_name,
            target=estimate.target.record.instance,
            wait_seconds=estimate.wait_seconds,
            expected_seconds=estimate.seconds,
            prompt_tokens=request.facts.prompt_tokens,
            cached_tokens=estimate.cached_tokens,
            copied_from=estimate.keeper_name,
            failing_share=estimate.target.failing_share,
        )
    if isinstance(choice, PassTo):
        logs.event(
            'request_passed_on',
            request=request.facts.request_id,
            attempt=progress.sends + 1,
            service=request.service_name,
            region=choice.region.name,
            expected_seconds=choice.region.seconds,
        )


def log_refusal(request: Request, refusal: Refuse) -> None:
    """Log that nothing could be chosen, and what was expected."""
    here, elsewhere = refusal.here, refusal.elsewhere
    logs.event(
        'request_refused',
        request=request.facts.request_id,
        reason=refusal.reason,
        aim_seconds=request.route.latency_objective_seconds,
        prompt_tokens=request.facts.prompt_tokens,
        wait_seconds=here.wait_seconds if here else None,
        expected_seconds=here.seconds if here else None,
        region=elsewhere.name if elsewhere else '',
        region_seconds=elsewhere.seconds if elsewhere else None,
    )


def log_failure(request: Request, progress: Progress, outcome: Outcome) -> None:
    """Log how an attempt failed."""
    logs.warning(
        'attempt_failed',
        request=request.facts.request_id,
        attempt=progress.sends,
        at=progress.last_place,
        ending=outcome.ending.value,
        reason=outcome.reason,
        runs=progress.runs,
        last_event_id=progress.last_event_id,
    )


def log_quarantined(request: Request, refusal: Refusal) -> None:
    """Log that a request is refused for what it did to targets."""
    logs.event(
        'request_refused',
        request=request.facts.request_id,
        reason=QUARANTINED,
        service=request.service_name,
        fingerprint=refusal.fingerprint,
        after_seconds=refusal.seconds,
    )
