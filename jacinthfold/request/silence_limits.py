"""Compute after how much silence a request is offered to another target."""

from jacinthfold.catalogue.model import RetryPolicy, Route

# The soft limit, in latency objectives: repeatable requests move from a silent
# target to another one while their caller still waits.
SOFT_FACTOR = 1.5
MIN_SOFT_SECONDS = 0.8
# The hard limit, for a target that answers other requests meanwhile: callers
# abandon a stream without an event after four objectives, and the last of them
# is left for another attempt.
HARD_FACTOR = 3.0
# Between the events of a stream, in the longest pauses that callers accept, for
# a target that can't be connected to.
GONE_GAP_FACTOR = 3.0
MIN_GONE_GAP_SECONDS = 0.9
# A sound target may be silent for a second or so.
SOUND_SILENCE_SECONDS = 2.0
# Callers abandon a stream after the longest of these pauses.
CALLER_PATIENCE_SECONDS = 2.0
CALLER_PATIENCE_OBJECTIVES = 4.0
CALLER_PATIENCE_GAPS = 8.0
# A host that relays waits longer than the one beside the target, which moves
# the request within this time.
RELAY_MARGIN_SECONDS = 0.5


class SilenceLimits:
    """Hold the limits of one attempt."""

    __slots__ = (
        'gap_seconds',
        'gone_gap_seconds',
        'hard_seconds',
        'soft_seconds',
    )

    def __init__(self, route: Route, margin_seconds: float = 0.0) -> None:
        """Compute the limits from the route's objectives."""
        objective_seconds = route.latency_objective_seconds
        gap_objective_seconds = route.gap_objective_seconds
        # None for requests that may not be sent twice.
        self.soft_seconds: float | None = None
        if route.retry_policy is not RetryPolicy.NEVER:
            self.soft_seconds = margin_seconds + max(
                SOFT_FACTOR * objective_seconds, MIN_SOFT_SECONDS
            )
        self.hard_seconds = margin_seconds + max(
            HARD_FACTOR * objective_seconds, 2 * MIN_SOFT_SECONDS
        )
        self.gone_gap_seconds = margin_seconds + max(
            GONE_GAP_FACTOR * gap_objective_seconds, MIN_GONE_GAP_SECONDS
        )
        patience_seconds = max(
            CALLER_PATIENCE_SECONDS,
            CALLER_PATIENCE_OBJECTIVES * objective_seconds,
            CALLER_PATIENCE_GAPS * gap_objective_seconds,
        )
        # Half of the patience is left for the next attempt.
        self.gap_seconds = margin_seconds + max(
            min(SOUND_SILENCE_SECONDS, patience_seconds / 2),
            GONE_GAP_FACTOR * gap_objective_seconds,
        )
