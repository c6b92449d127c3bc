"""Keep the pools of this host and renew their shares."""

import asyncio
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.model import RouteTable
from jacinthfold.clock import Clock
from jacinthfold.quota.bounds import Pace, Window
from jacinthfold.quota.messages import ShareAnswer, ShareAsk
from jacinthfold.quota.pool import OrganisationPool, TurnedAway, Verdict

TICK_SECONDS = 0.02
# A pool that is asked asks the issuer this often, one that rests less.
RENEW_SECONDS = 0.25
REST_RENEW_SECONDS = 0.8
# Without any share it is asked again after the trip to another region.
REASK_SECONDS = 0.13
RESTS_AFTER_SECONDS = 1.5
# A pool that nobody asked for this long is dropped; its share ends by itself.
IDLE_SECONDS = 10.0
POOLS_LIMIT = 20000
# Told to requests of an organisation for which there is no room in the table.
CROWDED_SECONDS = 1.0
# One line in this time says that nobody lends.
TOLD_SECONDS = 1.0

AskIssuer = Callable[[ShareAsk], bool]


class Pools:
    """Hold a pool for each organisation that is asked for here."""

    def __init__(self, window: Window, clock: Clock) -> None:
        """Take how work is counted."""
        self._window = window
        # Whether any organisation has a cap.
        self.are_needed = False
        self._clock = clock
        self._pools: dict[str, OrganisationPool] = {}
        self._routes: RouteTable | None = None
        self._told_at = float('-inf')
        # Sends a question on its way; false while no issuer is known.
        self.ask_issuer: AskIssuer = lambda ask: False

    def __len__(self) -> int:
        """Return the number of pools."""
        return len(self._pools)

    def follow(self, routes: RouteTable) -> None:
        """Take newer caps."""
        self._routes = routes
        self.are_needed = routes.organisations.has_caps
        for name, pool in list(self._pools.items()):
            pace = self.pace_of(name)
            if pace is None:
                self._pools.pop(name)
            else:
                pool.pace = pace

    def pace_of(self, name: str) -> Pace | None:
        """Return the pace of a capped organisation."""
        if self._routes is None:
            return None
        found = self._routes.organisations.named(name)
        if found is None or found.cap is None:
            return None
        return Pace(found.cap, self._window)

    def ask(self, name: str, cost: float, decide: Verdict) -> None:
        """Have a pool decide on a request."""
        now = self._clock.boottime()
        pool = self._pools.get(name)
        if pool is None:
            pool = self._begin(name, now)
        if pool is None:
            decide(TurnedAway(CROWDED_SECONDS, is_over=False))
            return
        pool.ask(cost, now, decide)
        if pool.held(now) <= 0:
            self._renew(name, pool, now, REASK_SECONDS)

    def give_back(self, name: str, cost: float) -> None:
        """Take back what a request that did not run was granted."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.give_back(cost, self._clock.boottime())

    def take_answer(self, answer: ShareAnswer) -> None:
        """Take a share that an issuer lends."""
        pool = self._pools.get(answer.organisation)
        if pool is not None:
            now = self._clock.boottime()
            pool.take_answer(answer, now)
            pool.serve_waiting(now)

    async def run(self) -> None:
        """Serve those who wait and renew shares, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.boottime()
            for name, pool in list(self._pools.items()):
                self._keep(name, pool, now)

    def held(self) -> dict[str, float]:
        """Return the shares that are held here."""
        now = self._clock.boottime()
        return {
            name: round(pool.held(now), 3) for name, pool in self._pools.items()
        }

    def _keep(self, name: str, pool: OrganisationPool, now: float) -> None:
        if pool.is_waited_for:
            pool.serve_waiting(now)
        idle_seconds = now - pool.demand.asked_at
        if idle_seconds > IDLE_SECONDS:
            self._pools.pop(name)
            return
        rests = idle_seconds > RESTS_AFTER_SECONDS
        pause = REST_RENEW_SECONDS if rests else RENEW_SECONDS
        self._renew(name, pool, now, pause)

    def _begin(self, name: str, now: float) -> OrganisationPool | None:
        pace = self.pace_of(name)
        if pace is None or len(self._pools) >= POOLS_LIMIT:
            return None
        pool = OrganisationPool(pace, now)
        self._pools[name] = pool
        return pool

    def _renew(
        self,
        name: str,
        pool: OrganisationPool,
        now: float,
        pause_seconds: float,
    ) -> None:
        wanted = pool.wanted(now)
        for half, share in enumerate(pool.shares):
            if now - share.asked_at < pause_seconds:
                continue
            held = share.held(now)
            ask = ShareAsk(name, half, share.ask(now), held, wanted)
            if not self.ask_issuer(ask):
                self._note_no_issuer(name, now)

    def _note_no_issuer(self, name: str, now: float) -> None:
        if now - self._told_at >= TOLD_SECONDS:
            self._told_at = now
            logs.warning('no_issuer', organisation=name)
