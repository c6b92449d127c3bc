"""Derive rate and burst of a cap so that no window exceeds the limit."""

from jacinthfold.organisations.model import Cap

# Longest time from the grant of a permit until its request has reached a
# target. Unused permits expire after this.
PERMIT_LIFETIME_SECONDS = 0.5
# How long a leased share may be spent unless it is renewed. Together with the
# issuer's own lease this bridges a store outage of some seconds. A new issuer
# waits this long, and knows all holders by then.
SHARE_LEASE_SECONDS = 1.5
# Shares leased before an issuer knows all holders expire this long after it
# does: by then each holder has sent another request.
RECOVERY_MARGIN_SECONDS = 0.3
# Issuers per cap, on different hosts, each of which leases one half. Most caps
# are twice the usual demand, so the loss of one issuer has little effect.
HALVES = 2
# The rest is reserved for clock drift and requests that arrive late.
SAFETY_FACTOR = 0.96
# Fraction of the window's limit beyond the steady rate that buckets may hold.
# A new issuer leases the rest while it does not know yet which shares of its
# predecessor are still outstanding.
BURST_FRACTION = 0.4
# The buckets hold at least this many calls, as far as the window allows: a
# pool alone holds nine tenths of them, which must cover one call.
MIN_BURST_CALLS = 1.2
# A cap whose buckets hold fewer calls has one pool for all regions. Divided
# among the pools of several regions, they would often hold less than one call.
SHARED_POOL_BURST_CALLS = 10
# Largest fraction of the window's limit for the steady rate, where the cap
# allows no burst.
STEADY_FRACTION = 0.9
_RECOVERY_LEASE_SECONDS = SHARE_LEASE_SECONDS + RECOVERY_MARGIN_SECONDS


class Window:
    """Sliding window over which the usage of caps is counted."""

    __slots__ = ('excess', 'seconds', 'slack')

    def __init__(self, seconds: float, excess: float, slack: float) -> None:
        """Set the length, the tolerated excess ratio and the slack in units."""
        self.seconds = seconds
        self.excess = excess
        self.slack = slack


class CapRate:
    """Rate and burst of a whole cap, and the share leased in recovery."""

    __slots__ = ('burst', 'has_shared_pool', 'recovery_share', 'per_second')

    def __init__(self, cap: Cap, window: Window) -> None:
        """Derive them from a cap and the window that counts it."""
        window_limit = cap.per_second * window.seconds + cap.burst
        window_limit = (
            window_limit * (1 + window.excess) + window.slack
        ) * SAFETY_FACTOR
        span_seconds = window.seconds + PERMIT_LIFETIME_SECONDS
        steady = window_limit * STEADY_FRACTION / span_seconds
        self.per_second = min(cap.per_second, steady)
        burst_budget = window_limit - self.per_second * span_seconds
        call_cost = cap.cost(0, 0)
        self.burst = min(
            burst_budget,
            max(burst_budget * BURST_FRACTION, call_cost * MIN_BURST_CALLS),
        )
        # Whether one pool serves the hosts of all regions.
        self.has_shared_pool = self.burst < call_cost * SHARED_POOL_BURST_CALLS
        recovery_budget = burst_budget - self.burst
        self.recovery_share = min(
            1.0, recovery_budget / self.per_second / _RECOVERY_LEASE_SECONDS
        )
