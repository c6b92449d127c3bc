"""Ask for permission before a capped request is sent to a target."""

import asyncio
import random
from collections.abc import Iterable
from functools import partial

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank
from jacinthfold.quota.bounds import PERMIT_SECONDS
from jacinthfold.quota.messages import PermitAnswer, PermitAsk, Returned
from jacinthfold.quota.pool import WAIT_SECONDS, TurnedAway
from jacinthfold.quota.pools import Pools
from jacinthfold.quota.post import Post

# A pool answers within its own longest wait, or it is gone; then the next host
# in order is asked.
ANSWER_SECONDS = WAIT_SECONDS + 0.1
POOLS_ASKED = 2
# Who keeps which pool is worked out again after this.
ORDER_SECONDS = 0.3
# After a refusal requests as large are refused without asking, for at most
# this long: what an organisation presses beyond its cap costs no messages.
REFUSED_SECONDS = 0.1
# When no pool answers: hosts that fell silent are known to be by then.
UNANSWERED_SECONDS = 0.6
_MS = 1000


class Permit:
    """Hold the permission to run a request once."""

    __slots__ = ('cost', 'lapses_at', 'organisation', 'pool')

    def __init__(
        self, organisation: str, cost: int, pool: str, lapses_at: float
    ) -> None:
        """Take what was granted, by whose pool, and until when."""
        self.organisation = organisation
        self.cost = cost
        self.pool = pool
        self.lapses_at = lapses_at


Answer = Permit | TurnedAway


class Permits:
    """Get permits from the pools of the region."""

    def __init__(
        self, hosts: HostTable, pools: Pools, post: Post, clock: Clock
    ) -> None:
        """Take who may keep pools, and the own ones."""
        self._hosts = hosts
        self._pools = pools
        self._post = post
        self._clock = clock
        # Answers to questions of an earlier life must not match.
        self._number = random.getrandbits(48)
        self._open: dict[int, asyncio.Future[TurnedAway | None]] = {}
        self._orders: dict[str, tuple[float, list[str]]] = {}
        self._refused: dict[str, _Refused] = {}

    async def acquire(self, organisation: str, cost: int) -> Answer:
        """Return a permit, or why there is none."""
        refused = self._refused_lately(organisation, cost)
        if refused is not None:
            return refused
        pools = list(self._order(organisation))
        answer = None
        while pools and answer is None:
            answer = await self._ask_pool(pools.pop(0), organisation, cost)
        return answer or TurnedAway(UNANSWERED_SECONDS, is_over=False)

    def is_valid(self, permit: Permit | None) -> bool:
        """Tell whether a permit may be used now."""
        return permit is not None and self._clock.boottime() < permit.lapses_at

    def give_back(self, permit: Permit | None) -> None:
        """Return what was granted to a request that did not run."""
        if permit is None or not self.is_valid(permit):
            return
        if permit.pool == self._hosts.own.name:
            self._pools.give_back(permit.organisation, permit.cost)
            return
        place = self._hosts.endpoint_of(permit.pool)
        if place is not None:
            self._post.put(place, Returned(permit.organisation, permit.cost))

    def take_answer(self, answer: PermitAnswer) -> None:
        """Take a pool's answer; one that comes too late finds nobody."""
        waiting = self._open.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(_turned_away(answer))

    async def _ask_pool(
        self, name: str, organisation: str, cost: int
    ) -> Answer | None:
        asked_at = self._clock.boottime()
        try:
            turned_away = await self._ask(name, organisation, cost)
        except TimeoutError:
            logs.event('pool_silent', organisation=organisation, pool=name)
            return None
        if turned_away is not None:
            self._remember(organisation, cost, turned_away)
            return turned_away
        lapses_at = asked_at + PERMIT_SECONDS
        return Permit(organisation, cost, name, lapses_at)

    async def _ask(
        self, name: str, organisation: str, cost: int
    ) -> TurnedAway | None:
        waiting = asyncio.get_running_loop().create_future()
        self._number += 1
        number = self._number
        self._open[number] = waiting
        try:
            if name == self._hosts.own.name:
                self._pools.ask(organisation, cost, partial(_decide, waiting))
            else:
                self._put(name, PermitAsk(number, organisation, cost))
            async with asyncio.timeout(ANSWER_SECONDS):
                return await waiting
        finally:
            self._open.pop(number)

    def _put(self, name: str, ask: PermitAsk) -> None:
        place = self._hosts.endpoint_of(name)
        if place is not None:
            self._post.put(place, ask)

    def _order(self, organisation: str) -> Iterable[str]:
        now = self._clock.boottime()
        known = self._orders.get(organisation)
        if known is None or now - known[0] > ORDER_SECONDS:
            own = self._hosts.own
            serving = {one.name for one in self._hosts.serving(own.region)}
            # A host that starts or leaves asks for itself when it is alone.
            order = rank(f'pool {organisation}', serving or {own.name})
            known = (now, order[:POOLS_ASKED])
            self._orders[organisation] = known
        return known[1]

    def _refused_lately(
        self, organisation: str, cost: int
    ) -> TurnedAway | None:
        known = self._refused.get(organisation)
        if known is None or cost < known.cost:
            return None
        now = self._clock.boottime()
        return known.turned_away if now < known.until else None

    def _remember(
        self, organisation: str, cost: int, turned_away: TurnedAway
    ) -> None:
        seconds = min(turned_away.after_seconds, REFUSED_SECONDS)
        until = self._clock.boottime() + seconds
        self._refused[organisation] = _Refused(turned_away, cost, until)


class _Refused:
    """Hold a refusal that also holds for what is as large."""

    __slots__ = ('cost', 'turned_away', 'until')

    def __init__(
        self, turned_away: TurnedAway, cost: int, until: float
    ) -> None:
        self.turned_away = turned_away
        self.cost = cost
        self.until = until


def _turned_away(answer: PermitAnswer) -> TurnedAway | None:
    if answer.after_ms is None:
        return None
    return TurnedAway(answer.after_ms / _MS, is_over=answer.is_over)


def _decide(
    waiting: asyncio.Future[TurnedAway | None],
    turned_away: TurnedAway | None,
) -> None:
    if not waiting.done():
        waiting.set_result(turned_away)
