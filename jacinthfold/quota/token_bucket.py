"""Token bucket of one pool."""


class TokenBucket:
    """Token bucket refilled at the rate of a leased share."""

    __slots__ = ('burst', 'refilled_at', 'per_second', 'tokens')

    def __init__(self, now: float) -> None:
        """Start empty, since earlier spending is not known."""
        self.tokens = 0.0
        self.per_second = 0.0
        self.burst = 0.0
        self.refilled_at = now

    def set_rate(self, per_second: float, burst: float, now: float) -> None:
        """Change rate and burst from now on."""
        self.refill(now)
        self.per_second = per_second
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last refill."""
        earned = max(0.0, now - self.refilled_at) * self.per_second
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now

    def try_consume(self, cost: float, now: float) -> bool:
        """Consume tokens if enough are available; return whether they were."""
        self.refill(now)
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def refund(self, cost: float, now: float) -> None:
        """Return the tokens of a request that did not run."""
        self.refill(now)
        self.tokens = min(self.burst, self.tokens + cost)

    def seconds_until(self, cost: float, now: float) -> float:
        """Return the seconds until tokens are available, infinity if never."""
        self.refill(now)
        missing = cost - self.tokens
        if missing <= 0:
            return 0.0
        if self.per_second <= 0 or cost > self.burst:
            return float('inf')
        return missing / self.per_second
