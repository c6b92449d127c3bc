"""Choose which host sends the trial requests to an ejected target.

All hosts of a region see a target fail. If each tried it by itself, 60 hosts
would send 60 trials where one is enough. So the host that ranks first tries it
first, and each later rank waits longer unless it hears of a trial. A first host
without callers, or one that never saw the target fail, is thus replaced without
messages.
"""

import math
from collections.abc import Iterable

from jacinthfold.placement.failure_rate import FailureRate
from jacinthfold.placement.ranks import RegionRanks
from jacinthfold.placement.target import Target

# How much later than the first host the second one may send a trial: in this
# time the first host gets a request, and its trial is reported.
SECOND_DELAY_SECONDS = 0.7
# Further delay, for each e-fold of the rank. With a delay that grows with the
# logarithm, the ranks that become due before a report arrives are as many in a
# region of any size; the last of 60 hosts waits for 2.2 s.
DELAY_PER_E_FOLD_SECONDS = 0.37
# Requests that may run only once wait this much longer, while the service has
# others at this host that could be used instead.
UNREPEATABLE_DELAY_SECONDS = 0.5
REPEATABLE_LIFETIME_SECONDS = 5.0
# Ranks change with the round, so that a host whose path to a target was mended
# isn't always behind one whose path is still cut.
ROUND_RANKINGS = 32


class TrialTurns:
    """Decide whether this host may send a trial to an ejected target now."""

    __slots__ = ('_ranks', '_repeatable_at')

    def __init__(self, ranks: RegionRanks) -> None:
        """Use the ranks of the region's hosts."""
        self._ranks = ranks
        # When a repeatable request was last placed here, by service.
        self._repeatable_at: dict[str, float] = {}

    def record_request(
        self, service: str, now: float, *, is_repeatable: bool
    ) -> None:
        """Record what kind of request a service gets."""
        if is_repeatable:
            self._repeatable_at[service] = now

    def find(
        self, targets: Iterable[Target], now: float, *, is_repeatable: bool
    ) -> Target | None:
        """Return the target that a request may try, if any."""
        for target in targets:
            delay_seconds = self._rank_delay_seconds(
                target.record.instance, target.failure_rate
            )
            if not is_repeatable:
                delay_seconds += self._unrepeatable_delay_seconds(target, now)
            if target.failure_rate.may_try(now, delay_seconds):
                return target
        return None

    def _rank_delay_seconds(self, instance: str, rate: FailureRate) -> float:
        ranking = rate.round % ROUND_RANKINGS
        position = self._ranks.position(f'{instance}/{ranking}')
        if not position:
            return 0.0
        further_seconds = DELAY_PER_E_FOLD_SECONDS * math.log(position)
        return SECOND_DELAY_SECONDS + further_seconds

    def _unrepeatable_delay_seconds(self, target: Target, now: float) -> float:
        service = target.record.service
        seen_at = self._repeatable_at.get(service, float('-inf'))
        if now - seen_at < REPEATABLE_LIFETIME_SECONDS:
            return UNREPEATABLE_DELAY_SECONDS
        return 0.0
