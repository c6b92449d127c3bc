"""Hold one request that is sent to a target or to another region's host."""

import asyncio
from collections.abc import Callable

from jacinthfold.placement.decision import Choice
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.outcome import Outcome
from jacinthfold.quota.permits import Permit
from jacinthfold.request.messages import Headers, Request, ResponseHead
from jacinthfold.transport.exchange import Exchange
from jacinthfold.transport.pool import Endpoint


class Sending:
    """Hold what one send needs, from its connection to its outcome."""

    __slots__ = (
        'connect_seconds',
        'delivery',
        'endpoint',
        'exchange',
        'head',
        'headers',
        'on_end',
        'on_outcome',
        'on_release',
        'request',
    )

    def __init__(
        self,
        request: Request,
        endpoint: Endpoint,
        connect_seconds: float,
        headers: Headers,
        delivery: Delivery,
    ) -> None:
        """Store where the request goes and how its response is delivered."""
        self.request = request
        self.endpoint = endpoint
        self.connect_seconds = connect_seconds
        self.headers = headers
        self.delivery = delivery
        # None before there is a connection.
        self.exchange: Exchange | None = None
        # None before a response has begun.
        self.head: ResponseHead | None = None
        # Called once when the send is over, however it ended.
        self.on_end: Callable[[], None] = _ignore_end
        # Called before the body is released, as memory is scarce.
        self.on_release: Callable[[], None] = _ignore_end
        # Called with the outcome of a send that was not withdrawn.
        self.on_outcome: Callable[[Outcome], None] = _ignore_outcome


class PreparedAttempt:
    """Hold an attempt that begins while the one before it is still open."""

    __slots__ = ('choice', 'opening', 'permit', 'sending')

    def __init__(
        self,
        choice: Choice,
        sending: Sending,
        opening: asyncio.Task[Outcome | None],
        permit: Permit | None,
    ) -> None:
        """Store the choice, and the task that sends and reads the head.

        The task returns None when a response to deliver has begun.
        """
        self.choice = choice
        self.sending = sending
        self.opening = opening
        self.permit = permit


def _ignore_end() -> None:
    """Do nothing at the end of a send."""


def _ignore_outcome(_: Outcome) -> None:
    """Do nothing with an outcome."""
