"""Let a region's requests of one organisation through, or turn them away.

Load pattern: an organisation sends six times its usual for eight seconds, and
a review of 70,000 tokens comes beside questions of 2,000. What fits goes at
once, what fits a moment later waits for that, and the rest is told when.
"""

from collections import deque
from collections.abc import Callable

from jacinthfold.quota.bounds import HALVES, CapRate
from jacinthfold.quota.demand import Demand
from jacinthfold.quota.messages import ShareResponse
from jacinthfold.quota.share import Share
from jacinthfold.quota.token_bucket import TokenBucket

# What fits within this waits: less than the trip to a refusal and back.
MAX_WAIT_SECONDS = 0.15
# Requests that wait for the first share of a pool; the rest is told to return.
MAX_WAITING_REQUESTS = 100
# Asked for beyond what was seen, since demand rises before it is measured.
DEMAND_MARGIN = 1.3
MIN_WANTED_SHARE = 0.02
# When a return may meet tokens, where the bucket doesn't tell.
DEFAULT_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
# The same while there is no share: an issuer's successor takes a second or two.
NO_SHARE_RETRY_SECONDS = 1.0
_MS = 1000


class CapRejection:
    """Say that a request may not run now."""

    __slots__ = ('retry_after_seconds', 'is_over_cap')

    def __init__(
        self, retry_after_seconds: float, *, is_over_cap: bool
    ) -> None:
        """Take when to return, and whether the cap is spent."""
        self.retry_after_seconds = retry_after_seconds
        self.is_over_cap = is_over_cap


PermitCallback = Callable[[CapRejection | None], None]


class _WaitingRequest:
    """Hold a request that waits for tokens."""

    __slots__ = ('cost', 'on_decision', 'deadline')

    def __init__(
        self, cost: float, deadline: float, on_decision: PermitCallback
    ) -> None:
        self.cost = cost
        self.deadline = deadline
        self.on_decision = on_decision


class OrganisationPool:
    """Hold the tokens of one organisation in one region."""

    __slots__ = ('_bucket', '_waiting', 'demand', 'cap_rate', 'shares')

    def __init__(self, cap_rate: CapRate, now: float) -> None:
        """Start empty and without a share."""
        self.cap_rate = cap_rate
        # Of each half of the cap. A pool that was dropped and begins anew must
        # go on counting, or its issuer takes its questions for late ones: it
        # asks far fewer than one in a millisecond.
        first_number = int(now * _MS)
        self.shares = tuple(Share(first_number) for _ in range(HALVES))
        self.demand = Demand(now)
        self._bucket = TokenBucket(now)
        self._waiting: deque[_WaitingRequest] = deque()

    @property
    def has_waiting(self) -> bool:
        """Tell whether requests wait."""
        return bool(self._waiting)

    def acquire(
        self, cost: float, now: float, on_decision: PermitCallback
    ) -> None:
        """Decide on a request, now or within the longest wait.

        Called with None when it may run.
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
        """Let those through whose tokens have come, and end long waits."""
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
        """Take back tokens whose request did not run."""
        self._expire_shares(now)
        self._bucket.refund(cost, now)

    def held(self, now: float) -> float:
        """Return the share of the whole cap that may be spent now."""
        return sum(one.held(now) for one in self.shares) / HALVES

    def handle_response(self, response: ShareResponse, now: float) -> None:
        """Take the share of a half that its issuer lends."""
        self._expire_shares(now)
        share = self.shares[response.half]
        if share.apply_response(
            response.number, response.share, response.seconds, now
        ):
            self._set_rate(now)

    def wanted(self, now: float) -> float:
        """Return the share of each half that the demand of late asks for."""
        rate = self.demand.per_second(now) * DEMAND_MARGIN
        wanted = rate / self.cap_rate.per_second + MIN_WANTED_SHARE
        if self.cap_rate.burst > 0:
            wanted += self.demand.largest_cost(now) / self.cap_rate.burst
        # An issuer that doesn't answer leaves its part to the other one.
        lending = sum(one.held(now) > 0 for one in self.shares)
        return wanted * HALVES / max(1, lending)

    def _may_wait_for_share(self, now: float) -> bool:
        # The first request of a while asks for the share itself.
        is_short = len(self._waiting) < MAX_WAITING_REQUESTS
        return is_short and self.held(now) <= 0

    def _expire_shares(self, now: float) -> None:
        # What is left goes with a share: who holds it next fills anew.
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
        after = min(MAX_RETRY_SECONDS, max(seconds, MAX_WAIT_SECONDS))
        return CapRejection(after, is_over_cap=True)


def _expiry(share: Share) -> float:
    return share.expires_at
