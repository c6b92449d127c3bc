"""Work out how fast a cap may be spent so that no window holds too much."""

from jacinthfold.organisations.model import Cap

# From the grant of a permit until its request has reached a target. Unused
# permits expire after this.
PERMIT_LIFETIME_SECONDS = 0.5
# How long a lent share may be spent unless it is lent again. Long enough to
# outlive a store that is away for some seconds, together with an issuer's
# lease; what an issuer that takes over waits until it knows all holders.
SHARE_LEASE_SECONDS = 1.5
# What an issuer lends before it knows all holders ends so long after that: by
# then each holder has asked again.
RECOVERY_MARGIN_SECONDS = 0.3
# Issuers of one cap, on different hosts, each of which lends a half: a cap is
# most of twice the usual, so that one issuer's loss costs little.
HALVES = 2
# Kept back for clocks that tick apart and requests that arrive late.
SAFETY_FACTOR = 0.96
# Of what a window may hold beyond the steady rate, the part that buckets hold.
# The rest is lent by an issuer that has just begun and does not know yet what
# is still held from before.
BURST_FRACTION = 0.4
# A steady rate may use this much of what a window holds where it allows no
# burst.
STEADY_FRACTION = 0.9
_RECOVERY_LEASE_SECONDS = SHARE_LEASE_SECONDS + RECOVERY_MARGIN_SECONDS


class Window:
    """Hold how what runs is counted."""

    __slots__ = ('excess', 'seconds', 'slack')

    def __init__(self, seconds: float, excess: float, slack: float) -> None:
        """Take the window, the excess as a share, and the slack in units."""
        self.seconds = seconds
        self.excess = excess
        self.slack = slack


class CapRate:
    """Hold rate and burst of a whole cap, and what may be lent on top."""

    __slots__ = ('burst', 'recovery_share', 'per_second')

    def __init__(self, cap: Cap, window: Window) -> None:
        """Work them out from a cap and the window that it is counted by."""
        window_limit = cap.per_second * window.seconds + cap.burst
        window_limit = (
            window_limit * (1 + window.excess) + window.slack
        ) * SAFETY_FACTOR
        span_seconds = window.seconds + PERMIT_LIFETIME_SECONDS
        steady = window_limit * STEADY_FRACTION / span_seconds
        self.per_second = min(cap.per_second, steady)
        burst_budget = window_limit - self.per_second * span_seconds
        self.burst = burst_budget * BURST_FRACTION
        recovery_budget = burst_budget - self.burst
        self.recovery_share = min(
            1.0, recovery_budget / self.per_second / _RECOVERY_LEASE_SECONDS
        )
