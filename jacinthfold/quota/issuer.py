"""Lend shares of one organisation's cap so that they never exceed it."""

from jacinthfold.quota.bounds import EXTRA_MARGIN_SECONDS, SHARE_SECONDS

# Kept for a pool that begins while the others hold all: a tenth of a cap.
NEWCOMER_SHARE = 0.1
_WHOLE = 1.0


class _Holder:
    """Hold what one pool may still be spending, and what it asked for."""

    __slots__ = ('_lent', 'life', 'number', 'wanted', 'wanted_until')

    def __init__(self, life: int) -> None:
        self.life = life
        self.number = 0
        self.wanted = 0.0
        self.wanted_until = 0.0
        self._lent: list[tuple[float, float]] = []

    def outstanding(self, now: float) -> float:
        live = (share for share, ends in self._lent if now < ends)
        return max(live, default=0.0)

    def note_held(self, share: float, now: float) -> None:
        """Take what is held, by the holder's word at its question."""
        # Every earlier answer is void for it by now. Until when it may spend
        # what it holds is not later than the latest end that was lent.
        ends = max((end for _, end in self._lent), default=now + SHARE_SECONDS)
        self._lent = [(share, ends)] if share else []

    def lend(self, share: float, ends_at: float) -> None:
        self._lent.append((share, ends_at))


class Loan:
    """Hold a share and for how long it is lent, from the question on."""

    __slots__ = ('seconds', 'share')

    def __init__(self, share: float, seconds: float) -> None:
        """Take both."""
        self.share = share
        self.seconds = seconds


class Issuer:
    """Lend one half of a cap."""

    __slots__ = ('_extra_share', '_holders', '_known_from', '_lent_extra')

    def __init__(self, now: float, extra_share: float) -> None:
        """Begin while earlier shares may still be held by anyone."""
        self._holders: dict[str, _Holder] = {}
        # Every share of an issuer before has ended by then.
        self._known_from = now + SHARE_SECONDS
        self._extra_share = extra_share
        self._lent_extra = 0.0

    def lent(self, now: float) -> float:
        """Return what may be held by all together, as far as is known."""
        return sum(one.outstanding(now) for one in self._holders.values())

    def ask(
        self,
        name: str,
        life: int,
        number: int,
        *,
        held: float,
        wanted: float,
        now: float,
    ) -> Loan | None:
        """Return what is lent, None for a question that came late."""
        holder = self._holder(name, life)
        if holder is None or number <= holder.number:
            return None
        holder.number = number
        holder.note_held(held, now)
        holder.wanted = wanted
        holder.wanted_until = now + SHARE_SECONDS
        share = min(self._target(holder, now), self._most(holder, held, now))
        seconds = self._seconds(now)
        holder.lend(share, now + seconds)
        self._drop_old(now)
        return Loan(share, seconds)

    def _holder(self, name: str, life: int) -> _Holder | None:
        known = self._holders.get(name)
        if known is None or known.life < life:
            # The process before has ended, and with it what it held.
            known = _Holder(life)
            self._holders[name] = known
        return known if known.life == life else None

    def _most(self, holder: _Holder, held: float, now: float) -> float:
        """Return what can be lent without lending anything twice."""
        if now < self._known_from:
            # Others may hold what they haven't told yet: beyond what the
            # holder has already, only what buckets leave room for.
            extra = max(0.0, self._extra_share - self._lent_extra)
            given = min(extra, max(0.0, holder.wanted - held))
            self._lent_extra += given
            return held + given
        others = self.lent(now) - holder.outstanding(now)
        return max(0.0, _WHOLE - others)

    def _seconds(self, now: float) -> float:
        # What is lent before all holders are known must end soon after.
        if now >= self._known_from:
            return SHARE_SECONDS
        left = self._known_from - now + EXTRA_MARGIN_SECONDS
        return min(SHARE_SECONDS, left)

    def _target(self, holder: _Holder, now: float) -> float:
        """Return the part that is fair by what all ask for."""
        wants = [
            one.wanted
            for one in self._holders.values()
            if now < one.wanted_until
        ]
        total = sum(wants)
        if total <= 0:
            return 0.0
        return (_WHOLE - NEWCOMER_SHARE) * holder.wanted / total

    def _drop_old(self, now: float) -> None:
        for name, holder in list(self._holders.items()):
            if now >= holder.wanted_until and not holder.outstanding(now):
                self._holders.pop(name)
