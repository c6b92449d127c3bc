"""Describe how an attempt ended."""

from enum import Enum
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.proxy import relay_header
from jacinthfold.request.messages import ResponseHead, first_header
from jacinthfold.request.numbers import excerpt, parse_decimal

UNREACHABLE = 'unreachable'
# A wrong value of a peer must not keep callers away for longer.
MAX_PEER_RETRY_AFTER_SECONDS = 60.0


class Ending(Enum):
    """Name how an attempt ended, which decides about a retry."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    CUT = 'cut'


class Outcome:
    """Hold the ending of an attempt, its reason and its failed response."""

    __slots__ = (
        'after_seconds',
        'body',
        'connection_requests',
        'ending',
        'head',
        'is_rejected_locally',
        'is_pushback',
        'reason',
    )

    def __init__(
        self,
        ending: Ending,
        reason: str = '',
        *,
        head: ResponseHead | None = None,
        body: bytes = b'',
        after_seconds: float | None = None,
        is_rejected_locally: bool = False,
        is_pushback: bool = False,
    ) -> None:
        """Store the ending, the reason, and the failed response if any."""
        self.ending = ending
        self.reason = reason
        self.head = head
        self.body = body
        # The Retry-After of a peer that rejected the request.
        self.after_seconds = after_seconds
        # Requests that its connection has carried, with this one; 0 if none.
        self.connection_requests = 0
        # Not sent, for a reason unrelated to the target's health.
        self.is_rejected_locally = is_rejected_locally
        # Rejected with a Retry-After by a target that is healthy.
        self.is_pushback = is_pushback

    @property
    def is_unreachable(self) -> bool:
        """Tell whether no connection could be made."""
        return self.reason.startswith(UNREACHABLE)

    @property
    def is_unsent(self) -> bool:
        """Tell whether no byte of the request has left this host."""
        return self.is_rejected_locally or self.is_unreachable


def outcome_from_head(head: ResponseHead, *, is_peer: bool) -> Outcome | None:
    """Return the outcome if the response head alone determines it."""
    outcome = _peer_outcome(head) if is_peer else None
    outcome = outcome or _not_run_outcome(head)
    is_not_run = outcome is not None and outcome.ending is Ending.NOT_RUN
    if is_not_run and not head.is_attributed:
        return Outcome(Ending.UNKNOWN, 'rejection_without_id')
    return outcome


def _peer_outcome(head: ResponseHead) -> Outcome | None:
    outcome = first_header(head.headers, relay_header.OUTCOME_HEADER)
    if outcome == relay_header.OUTCOME_NOT_RUN:
        is_final = relay_header.is_marked_quarantined(head.headers)
        return Outcome(
            Ending.NOT_RUN,
            'quarantined' if is_final else 'region_refused',
            after_seconds=_peer_retry_after(head),
        )
    if outcome == relay_header.OUTCOME_UNKNOWN:
        return Outcome(Ending.UNKNOWN, 'region_failed')
    return None


def _peer_retry_after(head: ResponseHead) -> float | None:
    content = first_header(head.headers, b'retry-after')
    if not content:
        return None
    seconds = parse_decimal(content)
    if seconds is None:
        logs.warning(
            'peer_header_unreadable',
            header='Retry-After',
            content=excerpt(content),
        )
        return None
    return min(seconds, MAX_PEER_RETRY_AFTER_SECONDS)


def _not_run_outcome(head: ResponseHead) -> Outcome | None:
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Outcome(Ending.NOT_RUN, 'wrong_instance')
    if head.facts.is_not_run:
        return Outcome(
            Ending.NOT_RUN,
            f'target_refused_{head.status}',
            is_pushback=head.facts.backoff_seconds is not None,
        )
    return None
