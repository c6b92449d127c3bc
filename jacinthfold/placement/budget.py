"""Limit the repeats of requests by a budget for all hosts together.

In each window, a service's targets may get a ratio of its requests and a fixed
slack in repeats, summed over all hosts. Each host has a token bucket for each
service: requests and time add tokens, a repeat takes one, and the requests of
the last window set the capacity. So what all hosts spend in a window is at most
what their buckets held before it and what was added within it, whatever they
know of each other. A new process starts with empty buckets.
"""

from collections import deque

from jacinthfold.clock import Clock

# Parts of the ratio that each request adds, and that each request of the last
# window counts in the capacity. The rest covers repeats that arrive late.
REFILL_SHARE = 0.5
CAPACITY_SHARE = 0.4
# Part of the slack that is split: half of it is capacity, half refill.
SLACK_SHARE = 0.85
# The slack is split among at least this many hosts, and among the known hosts
# times this factor: a deployment can grow by its spare hosts without notice.
MIN_HOSTS = 14
HOST_GROWTH_FACTOR = 1.25
# The slack is split among so many hosts by one that may not know all others.
MAX_HOSTS = 1000


class RetryBudget:
    """Hold one service's token bucket and the requests of the last window."""

    __slots__ = ('_clock', '_requests', '_tokens', '_updated_at', '_window')

    def __init__(
        self, window_seconds: float, started_at: float, clock: Clock
    ) -> None:
        """Start with an empty bucket, which fills from a time on."""
        self._window = window_seconds
        # A suspended host's time counts, as its requests are as old.
        self._clock = clock
        self._requests: deque[float] = deque()
        self._tokens = 0.0
        self._updated_at = started_at

    def record_request(self, ratio: float, slack: float) -> None:
        """Add tokens for the first attempt of a request."""
        self.left(ratio, slack)
        self._requests.append(self._clock.boottime())
        self._tokens += REFILL_SHARE * ratio

    def try_spend(self, ratio: float, slack: float) -> bool:
        """Take a token for a repeat; tell whether there was one."""
        if self.left(ratio, slack) < 1:
            return False
        self._tokens -= 1
        return True

    def left(self, ratio: float, slack: float) -> float:
        """Return the number of tokens, after the refill since the last call."""
        now = self._clock.boottime()
        _drop_before(self._requests, now - self._window)
        shared = SLACK_SHARE * slack / 2
        refill = shared * (now - self._updated_at) / self._window
        capacity = CAPACITY_SHARE * ratio * len(self._requests) + shared
        self._tokens = min(capacity, self._tokens + refill)
        self._updated_at = now
        return self._tokens


class RetryBudgets:
    """Hold the retry budgets of all services."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_seconds: float,
        clock: Clock,
    ) -> None:
        """Set the budget of all hosts together."""
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._clock = clock
        self._started_at = clock.boottime()
        self._budgets: dict[str, RetryBudget] = {}
        self._host_count = 0
        # Since when the store has told of other hosts; None before that, and
        # when it was lost before all others can have told of themselves.
        self._counted_since: float | None = None
        self._is_counted = False

    def update_hosts(self, count: int, *, is_current: bool = True) -> None:
        """Update the number of known hosts; the highest one ever counts.

        It is not current while the store can't tell of others.
        """
        # Disconnected hosts continue to spend their part.
        self._host_count = max(self._host_count, count)
        now = self._clock.boottime()
        if not is_current:
            self._counted_since = None
        elif self._counted_since is None:
            self._counted_since = now
        elif now - self._counted_since >= self._window_seconds:
            self._is_counted = True

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._of(service).record_request(self._ratio, self._own_slack())

    def try_spend(self, service: str) -> bool:
        """Count a repeat if the budget allows it; tell whether it does."""
        return self._of(service).try_spend(self._ratio, self._own_slack())

    def can_spend(self, service: str) -> bool:
        """Tell whether the budget allows a repeat now."""
        return self.left(service) >= 1

    def left(self, service: str) -> float:
        """Return how many repeats the budget allows now."""
        return self._of(service).left(self._ratio, self._own_slack())

    @property
    def sharing_hosts(self) -> float:
        """Return the number of hosts among which the slack is divided."""
        least = MIN_HOSTS if self._is_counted else MAX_HOSTS
        return max(least, self._host_count * HOST_GROWTH_FACTOR)

    def _own_slack(self) -> float:
        return self._slack / self.sharing_hosts

    def _of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._window_seconds, self._started_at, self._clock
            )
        return self._budgets[service]


def _drop_before(times: deque[float], limit: float) -> None:
    while times and times[0] < limit:
        times.popleft()
