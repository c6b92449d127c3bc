"""Lease shares of one organisation's cap without exceeding it."""

from jacinthfold.quota.bounds import (
    RECOVERY_MARGIN_SECONDS,
    SHARE_LEASE_SECONDS,
)

# Reserved for a pool that starts while the others hold the rest of the cap.
NEW_POOL_SHARE = 0.1
_FULL_SHARE = 1.0


class _Holder:
    """Shares that one pool may still spend, and its last request."""

    __slots__ = ('_leases', 'incarnation', 'number', 'wanted', 'wanted_until')

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.number = 0
        self.wanted = 0.0
        self.wanted_until = 0.0
        self._leases: list[tuple[float, float]] = []

    def outstanding(self, now: float) -> float:
        live = (share for share, expires_at in self._leases if now < expires_at)
        return max(live, default=0.0)

    def record_held(self, share: float, now: float) -> None:
        """Replace the leases by what the holder reports in its request."""
        # The holder ignores responses to earlier requests from now on. What it
        # holds expires no later than the latest lease granted to it.
        expires_at = max(
            (expiry for _, expiry in self._leases),
            default=now + SHARE_LEASE_SECONDS,
        )
        self._leases = [(share, expires_at)] if share else []

    def add_lease(self, share: float, expires_at: float) -> None:
        self._leases.append((share, expires_at))


class ShareLease:
    """Leased share and its duration, which counts from the request."""

    __slots__ = ('seconds', 'share')

    def __init__(self, share: float, seconds: float) -> None:
        """Set the share of the half and the duration."""
        self.share = share
        self.seconds = seconds


class Issuer:
    """Lease shares of one half of a cap."""

    __slots__ = (
        '_recovery_share',
        '_holders',
        '_recovered_at',
        '_leased_in_recovery',
    )

    def __init__(self, now: float, recovery_share: float) -> None:
        """Start in recovery: pools may still hold shares of a predecessor."""
        self._holders: dict[str, _Holder] = {}
        # All shares leased by a predecessor have expired by then.
        self._recovered_at = now + SHARE_LEASE_SECONDS
        self._recovery_share = recovery_share
        self._leased_in_recovery = 0.0

    def total_outstanding(self, now: float) -> float:
        """Return the sum of shares that the known holders may still spend."""
        return sum(one.outstanding(now) for one in self._holders.values())

    def grant(
        self,
        name: str,
        incarnation: int,
        number: int,
        *,
        held: float,
        wanted: float,
        now: float,
    ) -> ShareLease | None:
        """Return the leased share, or None if the request is outdated."""
        holder = self._find_holder(name, incarnation)
        if holder is None or number <= holder.number:
            return None
        holder.number = number
        holder.record_held(held, now)
        holder.wanted = wanted
        holder.wanted_until = now + SHARE_LEASE_SECONDS
        share = min(
            self._fair_share(holder, now),
            self._available_share(holder, held, now),
        )
        seconds = self._lease_seconds(now)
        holder.add_lease(share, now + seconds)
        self._drop_expired(now)
        return ShareLease(share, seconds)

    def _find_holder(self, name: str, incarnation: int) -> _Holder | None:
        known = self._holders.get(name)
        if known is None or known.incarnation < incarnation:
            # The previous process of this host is gone with all it held.
            known = _Holder(incarnation)
            self._holders[name] = known
        return known if known.incarnation == incarnation else None

    def _available_share(
        self, holder: _Holder, held: float, now: float
    ) -> float:
        """Return the largest share that is not outstanding elsewhere."""
        if now < self._recovered_at:
            # Other pools may hold shares that they have not reported yet:
            # extend only by the recovery share, which the buckets leave free.
            available = max(
                0.0, self._recovery_share - self._leased_in_recovery
            )
            granted = min(available, max(0.0, holder.wanted - held))
            self._leased_in_recovery += granted
            return held + granted
        others = self.total_outstanding(now) - holder.outstanding(now)
        return max(0.0, _FULL_SHARE - others)

    def _lease_seconds(self, now: float) -> float:
        # Shares leased during recovery must expire soon after its end.
        if now >= self._recovered_at:
            return SHARE_LEASE_SECONDS
        remaining = self._recovered_at - now + RECOVERY_MARGIN_SECONDS
        return min(SHARE_LEASE_SECONDS, remaining)

    def _fair_share(self, holder: _Holder, now: float) -> float:
        """Return the holder's share in proportion to the wanted shares."""
        wanted_shares = [
            one.wanted
            for one in self._holders.values()
            if now < one.wanted_until
        ]
        total = sum(wanted_shares)
        if total <= 0:
            return 0.0
        return (_FULL_SHARE - NEW_POOL_SHARE) * holder.wanted / total

    def _drop_expired(self, now: float) -> None:
        for name, holder in list(self._holders.items()):
            if now >= holder.wanted_until and not holder.outstanding(now):
                self._holders.pop(name)
