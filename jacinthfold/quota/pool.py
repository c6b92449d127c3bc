"""Let a region's requests of one organisation through, or turn them away.

Load pattern: an organisation sends six times its usual for eight seconds, and
a review of 70,000 tokens comes beside questions of 2,000. What fits goes at
once, what fits a moment later waits for that, and the rest is told when.
"""

from collections import deque
from collections.abc import Callable

from jacinthfold.quota.bounds import HALVES, Pace
from jacinthfold.quota.bucket import Bucket
from jacinthfold.quota.demand import Demand
from jacinthfold.quota.messages import ShareAnswer
from jacinthfold.quota.share import Share

# What fits within this waits: less than the trip to a refusal and back.
WAIT_SECONDS = 0.15
# Requests that wait for the first share of a pool; the rest is told to return.
WAITING_LIMIT = 100
# Asked for beyond what was seen, since demand rises before it is measured.
DEMAND_MARGIN = 1.3
LEAST_WANTED_SHARE = 0.02
# When a return may meet tokens, where the bucket doesn't tell.
RETURN_SECONDS = 0.5
RETURN_LIMIT_SECONDS = 4.0
# The same while there is no share: an issuer's successor takes a second or two.
NO_SHARE_SECONDS = 1.0
_MS = 1000


class TurnedAway:
    """Say that a request may not run now."""

    __slots__ = ('after_seconds', 'is_over')

    def __init__(self, after_seconds: float, *, is_over: bool) -> None:
        """Take when to return, and whether the cap is spent."""
        self.after_seconds = after_seconds
        self.is_over = is_over


Verdict = Callable[[TurnedAway | None], None]


class _Waiting:
    """Hold a request that waits for tokens."""

    __slots__ = ('cost', 'decide', 'until')

    def __init__(self, cost: float, until: float, decide: Verdict) -> None:
        self.cost = cost
        self.until = until
        self.decide = decide


class OrganisationPool:
    """Hold the tokens of one organisation in one region."""

    __slots__ = ('_bucket', '_waiting', 'demand', 'pace', 'shares')

    def __init__(self, pace: Pace, now: float) -> None:
        """Start empty and without a share."""
        self.pace = pace
        # Of each half of the cap. A pool that was dropped and begins anew must
        # go on counting, or its issuer takes its questions for late ones: it
        # asks far fewer than one in a millisecond.
        first_number = int(now * _MS)
        self.shares = tuple(Share(first_number) for _ in range(HALVES))
        self.demand = Demand(now)
        self._bucket = Bucket(now)
        self._waiting: deque[_Waiting] = deque()

    @property
    def is_waited_for(self) -> bool:
        """Tell whether requests wait."""
        return bool(self._waiting)

    def ask(self, cost: float, now: float, decide: Verdict) -> None:
        """Decide on a request, now or within the longest wait.

        Called with None when it may run.
        """
        self.demand.note(cost, now)
        self._refresh(now)
        if not self._waiting and self._bucket.take(cost, now):
            decide(None)
            return
        waiting = sum(one.cost for one in self._waiting)
        seconds = self._bucket.seconds_until(waiting + cost, now)
        if seconds <= WAIT_SECONDS or self._is_first(now):
            self._waiting.append(_Waiting(cost, now + WAIT_SECONDS, decide))
            return
        decide(self._turned_away(seconds, now))

    def serve_waiting(self, now: float) -> None:
        """Let those through whose tokens have come, and end long waits."""
        self._refresh(now)
        while self._waiting:
            first = self._waiting[0]
            is_served = self._bucket.take(first.cost, now)
            if not is_served and now < first.until:
                return
            self._waiting.popleft()
            seconds = self._bucket.seconds_until(first.cost, now)
            first.decide(None if is_served else self._turned_away(seconds, now))

    def give_back(self, cost: float, now: float) -> None:
        """Take back tokens whose request did not run."""
        self._refresh(now)
        self._bucket.give_back(cost, now)

    def held(self, now: float) -> float:
        """Return the share of the whole cap that may be spent now."""
        return sum(one.held(now) for one in self.shares) / HALVES

    def take_answer(self, answer: ShareAnswer, now: float) -> None:
        """Take the share of a half that its issuer lends."""
        self._refresh(now)
        share = self.shares[answer.half]
        if share.take(answer.number, answer.share, answer.seconds, now):
            self._set_rate(now)

    def wanted(self, now: float) -> float:
        """Return the share of each half that the demand of late asks for."""
        rate = self.demand.per_second(now) * DEMAND_MARGIN
        wanted = rate / self.pace.per_second + LEAST_WANTED_SHARE
        if self.pace.burst > 0:
            wanted += self.demand.largest(now) / self.pace.burst
        # An issuer that doesn't answer leaves its part to the other one.
        lending = sum(one.held(now) > 0 for one in self.shares)
        return wanted * HALVES / max(1, lending)

    def _is_first(self, now: float) -> bool:
        # The first request of a while asks for the share itself.
        is_short = len(self._waiting) < WAITING_LIMIT
        return is_short and self.held(now) <= 0

    def _refresh(self, now: float) -> None:
        # What is left goes with a share: who holds it next fills anew.
        for share in sorted(self.shares, key=_end):
            if self._bucket.filled_at < share.ends_at <= now:
                self._set_rate(share.ends_at)

    def _set_rate(self, now: float) -> None:
        held = self.held(now)
        self._bucket.set_rate(
            held * self.pace.per_second, held * self.pace.burst, now
        )

    def _turned_away(self, seconds: float, now: float) -> TurnedAway:
        if self.held(now) <= 0:
            return TurnedAway(NO_SHARE_SECONDS, is_over=False)
        if seconds == float('inf'):
            seconds = RETURN_SECONDS
        after = min(RETURN_LIMIT_SECONDS, max(seconds, WAIT_SECONDS))
        return TurnedAway(after, is_over=True)


def _end(share: Share) -> float:
    return share.ends_at
