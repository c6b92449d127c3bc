"""Say how an attempt at a target ended."""

from enum import Enum

from jacinthfold.proxy.messages import AnswerHead


class Ending(Enum):
    """Tell what may follow an attempt."""

    DELIVERED = 'delivered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    CUT = 'cut'


class Outcome:
    """Hold the ending of an attempt and what came of it."""

    __slots__ = ('after_seconds', 'body', 'ending', 'head', 'reason')

    def __init__(
        self,
        ending: Ending,
        reason: str = '',
        *,
        head: AnswerHead | None = None,
        body: bytes = b'',
        after_seconds: float | None = None,
    ) -> None:
        """Take the ending, why, and the failed answer if there is one."""
        self.ending = ending
        self.reason = reason
        self.head = head
        self.body = body
        # When a peer that refused says that a return may meet room.
        self.after_seconds = after_seconds
