"""Log the decisions made for a request and their inputs."""

from jacinthfold import logs
from jacinthfold.placement.decision import Choice, Reject, RelayTo, SendTo
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.outcome import Outcome
from jacinthfold.proxy.progress import QUARANTINED, Progress
from jacinthfold.quarantine.quarantine import Refusal
from jacinthfold.request.messages import Request
from jacinthfold.transport.pool import Endpoint

# Callers make up identifiers of any length.
MAX_LOGGED_ID_CHARACTERS = 64


def log_choice(
    request: Request,
    choice: Choice,
    progress: Progress,
    now: float,
    *,
    is_next: bool = False,
) -> None:
    """Log the chosen target or region and its estimate."""
    # The next attempt is chosen while the one before it has not ended.
    attempt = progress.sends + 1 + is_next
    if isinstance(choice, SendTo):
        estimate = choice.estimate
        logs.event(
            'request_placed',
            request=request.facts.request_id,
            attempt=attempt,
            service=request.service_name,
            target=estimate.target.record.instance,
            software_version=estimate.target.record.software_version,
            last_event_id=progress.last_event_id,
            resumes=request.facts.resumed_id[:MAX_LOGGED_ID_CHARACTERS],
            wait_seconds=estimate.wait_seconds,
            expected_seconds=estimate.seconds,
            prompt_tokens=request.facts.prompt_tokens,
            cached_tokens=estimate.cached_tokens,
            copied_from=estimate.copy_source_name,
            lag_seconds=estimate.lag_seconds,
            failing_share=estimate.target.failure_rate.share(now),
            is_trial=estimate.is_trial,
        )
    if isinstance(choice, RelayTo):
        logs.event(
            'request_passed_on',
            request=request.facts.request_id,
            attempt=attempt,
            service=request.service_name,
            region=choice.region.name,
            last_event_id=progress.last_event_id,
            resumes=request.facts.resumed_id[:MAX_LOGGED_ID_CHARACTERS],
            expected_seconds=choice.region.seconds,
        )


def log_placement_rejection(request: Request, rejection: Reject) -> None:
    """Log that nothing could be chosen, with the rejected estimates."""
    here, elsewhere = rejection.local_estimate, rejection.remote_region
    logs.event(
        'request_refused',
        request=request.facts.request_id,
        reason=rejection.reason,
        aim_seconds=request.route.latency_objective_seconds,
        prompt_tokens=request.facts.prompt_tokens,
        wait_seconds=here.wait_seconds if here else None,
        expected_seconds=here.seconds if here else None,
        lag_seconds=here.lag_seconds if here else None,
        region=elsewhere.name if elsewhere else '',
        region_seconds=elsewhere.seconds if elsewhere else None,
        **rejection.inputs,
    )


def log_failure(request: Request, progress: Progress, outcome: Outcome) -> None:
    """Log how an attempt failed."""
    logs.warning(
        'attempt_failed',
        request=request.facts.request_id,
        attempt=progress.sends,
        at=progress.last_destination,
        ending=outcome.ending.value,
        reason=outcome.reason,
        runs=progress.runs,
        last_event_id=progress.last_event_id,
        connection_requests=outcome.connection_requests,
    )


def log_silence(
    request: Request, endpoint: Endpoint, delivery: Delivery
) -> None:
    """Log that an attempt is given up since its answer doesn't go on."""
    logs.warning(
        'answer_given_up',
        request=request.facts.request_id,
        at=endpoint[2],
        phase=delivery.phase,
        silent_seconds=delivery.silent_seconds,
        sender_silent_seconds=delivery.sender_silent_seconds,
        limit_seconds=delivery.limit_seconds,
        relayed=request.is_relayed,
    )


def log_quarantined(request: Request, refusal: Refusal) -> None:
    """Log that a request is rejected for crashing targets."""
    logs.event(
        'request_refused',
        request=request.facts.request_id,
        reason=QUARANTINED,
        service=request.service_name,
        fingerprint=refusal.fingerprint,
        part=refusal.is_of_part,
        after_seconds=refusal.seconds,
    )
