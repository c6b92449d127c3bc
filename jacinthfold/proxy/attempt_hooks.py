"""Hold what attempts ask and tell other parts of the host."""

from collections.abc import Callable, Collection, Coroutine
from typing import Any

from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import Request

# Begins the next attempt of a request, given the targets and regions that were
# tried; tells whether it takes the request over.
PrepareNext = Callable[
    [Request, CallerResponse, Progress, Collection[str], Collection[str]],
    Coroutine[Any, Any, bool],
]


class AttemptHooks:
    """Hold the callbacks of attempts, which do nothing until they are set."""

    __slots__ = (
        'discard_next',
        'on_begin',
        'prepare_next',
        'refuses_version',
    )

    def __init__(self) -> None:
        """Start with callbacks that do nothing."""
        self.prepare_next: PrepareNext = _prepare_none
        # Ends what was prepared, as the attempt before it goes on.
        self.discard_next: Callable[[Request, Progress], None] = _ignore_next
        # Called before a caller gets the first event of a stream, with the
        # version of the software that made it, None if that is unknown.
        self.on_begin: Callable[[Request, str | None], None] = _ignore_begin
        # Tells whether a part of a prompt crashes targets of a version.
        self.refuses_version: Callable[[Request, str], bool] = _refuse_none


def _ignore_begin(_request: Request, _version: str | None) -> None:
    """Do nothing when a stream begins."""


def _refuse_none(_request: Request, _version: str) -> bool:
    return False


def _ignore_next(_request: Request, _progress: Progress) -> None:
    """Do nothing without a next attempt."""


async def _prepare_none(
    _request: Request,
    _response: CallerResponse,
    _progress: Progress,
    _tried: Collection[str],
    _tried_regions: Collection[str],
) -> bool:
    """Find no next attempt."""
    return False
