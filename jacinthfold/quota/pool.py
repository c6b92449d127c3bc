"""Admit or reject the requests of one organisation in one region.

Load pattern: an organisation sends six times its usual load for eight seconds,
with a request of 70,000 tokens among requests of 2,000. A request is granted if
it fits, waits if it fits a moment later, and else is told when to retry.
"""

from collections import deque
from collections.abc import Callable

from jacinthfold.quota.bounds import HALVES, CapRate
from jacinthfold.quota.demand import Demand
from jacinthfold.quota.messages import ShareResponse
from jacinthfold.quota.share import Share
from jacinthfold.quota.token_bucket import TokenBucket

# Requests that fit within this time wait: it is shorter than the round trip of
# a rejected request that comes again.
MAX_WAIT_SECONDS = 0.15
# Requests that may wait for a pool's first share; further ones are rejected.
MAX_WAITING_REQUESTS = 100
# Factor on the measured demand, since the measurement lags behind a rise.
DEMAND_FACTOR = 1.3
MIN_WANTED_SHARE = 0.02
# Retry delay where the bucket can't tell when it will hold enough tokens.
DEFAULT_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
# Retry delay without any share: an issuer is replaced in a second or two.
NO_SHARE_RETRY_SECONDS = 1.0
_MS_PER_SECOND = 1000


class CapRejection:
    """Rejection of a request, with the time to retry after."""

    __slots__ = ('retry_after_seconds', 'is_over_cap')

    def __init__(
        self, retry_after_seconds: float, *, is_over_cap: bool
    ) -> None:
        """Set the retry delay, and whether the cap is used up."""
        self.retry_after_seconds = retry_after_seconds
        self.is_over_cap = is_over_cap


PermitCallback = Callable[[CapRejection | None], None]


class _WaitingRequest:
    """Request that waits for tokens."""

    __slots__ = ('cost', 'on_decision', 'deadline')

    def __init__(
        self, cost: float, deadline: float, on_decision: PermitCallback
    ) -> None:
        self.cost = cost
        self.deadline = deadline
        self.on_decision = on_decision


class OrganisationPool:
    """Tokens of one organisation in one region."""

    __slots__ = ('_bucket', '_waiting', 'demand', 'cap_rate', 'shares')

    def __init__(self, cap_rate: CapRate, now: float) -> None:
        """Start with an empty bucket and no share."""
        self.cap_rate = cap_rate
        # One share of each half of the cap. A pool created again after it was
        # dropped must continue with higher request numbers, else its issuer
        # takes its requests for outdated ones. Numbers that start from the
        # clock in milliseconds do: pools send far less than one in each.
        first_number = int(now * _MS_PER_SECOND)
        self.shares = tuple(Share(first_number) for _ in range(HALVES))
        self.demand = Demand(now)
        self._bucket = TokenBucket(now)
        self._waiting: deque[_WaitingRequest] = deque()

    @property
    def has_waiting(self) -> bool:
        """Return whether any request waits for tokens."""
        return bool(self._waiting)

    def acquire(
        self, cost: float, now: float, on_decision: PermitCallback
    ) -> None:
        """Decide on a request, now or within the longest wait.

        The callback receives None when the request may run.
        """
        self.demand.record(cost, now)
        self._expire_shares(now)
        if not self._waiting and self._bucket.try_consume(cost, now):
            on_decision(None)
            return
        waiting = sum(one.cost for one in self._waiting)
        seconds = self._bucket.seconds_until(waiting + cost, now)
        if seconds <= MAX_WAIT_SECONDS or self._may_wait_for_share(now):
            self._waiting.append(
                _WaitingRequest(cost, now + MAX_WAIT_SECONDS, on_decision)
            )
            return
        on_decision(self._rejection(seconds, now))

    def serve_waiting(self, now: float) -> None:
        """Grant waiting requests in order, and reject those past their wait."""
        self._expire_shares(now)
        while self._waiting:
            first = self._waiting[0]
            is_served = self._bucket.try_consume(first.cost, now)
            if not is_served and now < first.deadline:
                return
            self._waiting.popleft()
            seconds = self._bucket.seconds_until(first.cost, now)
            first.on_decision(
                None if is_served else self._rejection(seconds, now)
            )

    def refund(self, cost: float, now: float) -> None:
        """Return the tokens of a request that did not run."""
        self._expire_shares(now)
        self._bucket.refund(cost, now)

    def held(self, now: float) -> float:
        """Return the share of the whole cap that may be spent now."""
        return sum(one.held(now) for one in self.shares) / HALVES

    def handle_response(self, response: ShareResponse, now: float) -> None:
        """Apply the share of a half that its issuer leased."""
        self._expire_shares(now)
        share = self.shares[response.half]
        if share.apply_response(
            response.number, response.share, response.seconds, now
        ):
            self._set_rate(now)

    def wanted(self, now: float) -> float:
        """Return the share of each half that the recent demand needs."""
        rate = self.demand.per_second(now) * DEMAND_FACTOR
        wanted = rate / self.cap_rate.per_second + MIN_WANTED_SHARE
        if self.cap_rate.burst > 0:
            wanted += self.demand.largest_cost(now) / self.cap_rate.burst
        # If one issuer doesn't respond, the other half covers all the demand.
        leased_halves = sum(one.held(now) > 0 for one in self.shares)
        return wanted * HALVES / max(1, leased_halves)

    def _may_wait_for_share(self, now: float) -> bool:
        # The first request after a pause makes the pool request a share.
        has_queue_space = len(self._waiting) < MAX_WAITING_REQUESTS
        return has_queue_space and self.held(now) <= 0

    def _expire_shares(self, now: float) -> None:
        # Tokens above the remaining burst expire with a share, since the next
        # holder of the share refills them.
        for share in sorted(self.shares, key=_expiry):
            if self._bucket.refilled_at < share.expires_at <= now:
                self._set_rate(share.expires_at)

    def _set_rate(self, now: float) -> None:
        held = self.held(now)
        self._bucket.set_rate(
            held * self.cap_rate.per_second, held * self.cap_rate.burst, now
        )

    def _rejection(self, seconds: float, now: float) -> CapRejection:
        if self.held(now) <= 0:
            return CapRejection(NO_SHARE_RETRY_SECONDS, is_over_cap=False)
        if seconds == float('inf'):
            seconds = DEFAULT_RETRY_SECONDS
        retry_after_seconds = min(
            MAX_RETRY_SECONDS, max(seconds, MAX_WAIT_SECONDS)
        )
        return CapRejection(retry_after_seconds, is_over_cap=True)


def _expiry(share: Share) -> float:
    return share.expires_at
