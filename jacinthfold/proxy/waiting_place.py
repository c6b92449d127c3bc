"""Hold a request that waits for capacity, and wake its task."""

import asyncio

from jacinthfold.placement.waiting_queue import WaitingRequest
from jacinthfold.proxy.progress import Progress
from jacinthfold.request.messages import Request


class Place:
    """Hold a waiting request and the signal for its task."""

    __slots__ = ('entry', 'progress', 'request', 'signal', 'trials')

    def __init__(
        self, request: Request, progress: Progress, entry: WaitingRequest
    ) -> None:
        """Wait for the first turn."""
        self.request = request
        self.progress = progress
        self.entry = entry
        self.trials = 0
        self.signal = _new_signal()

    def reset(self) -> None:
        """Wait for another turn."""
        self.signal = _new_signal()

    def wake(self, *, is_turn: bool) -> None:
        """Wake the task for a turn, or because its time to wait is over."""
        if not self.signal.done():
            self.signal.set_result(is_turn)


def _new_signal() -> asyncio.Future[bool]:
    return asyncio.get_running_loop().create_future()
