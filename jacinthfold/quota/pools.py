"""Manage the pools of this host and renew their shares."""

import asyncio
from collections.abc import Callable

from jacinthfold import logs
from jacinthfold.catalogue.model import RouteTable
from jacinthfold.clock import Clock
from jacinthfold.quota.bounds import CapRate, Window
from jacinthfold.quota.messages import ShareRequest, ShareResponse
from jacinthfold.quota.pool import (
    CapRejection,
    OrganisationPool,
    PermitCallback,
)

TICK_SECONDS = 0.02
# How often active and idle pools request their shares again.
RENEW_SECONDS = 0.25
IDLE_RENEW_SECONDS = 0.8
# Retry delay without any share: the round trip to an issuer in another region.
SHARE_RETRY_SECONDS = 0.13
IDLE_AFTER_SECONDS = 1.5
# A pool without requests for this long is dropped; its share just expires.
DROP_AFTER_SECONDS = 10.0
MAX_POOLS = 20000
# Retry delay for an organisation without a pool when the table is full.
POOLS_FULL_RETRY_SECONDS = 1.0
# At most one log line about missing issuers in this time.
NO_ISSUER_LOG_SECONDS = 1.0

RequestShare = Callable[[ShareRequest], bool]


class Pools:
    """Pools of the organisations whose permits are requested here."""

    def __init__(self, window: Window, clock: Clock) -> None:
        """Set the window over which usage is counted."""
        self._window = window
        # Whether any organisation has a cap.
        self.has_caps = False
        self._clock = clock
        self._pools: dict[str, OrganisationPool] = {}
        self._routes: RouteTable | None = None
        self._no_issuer_logged_at = float('-inf')
        # Sends a request to the issuer; returns false while none is known.
        self.request_share: RequestShare = lambda request: False

    def __len__(self) -> int:
        """Return the number of pools."""
        return len(self._pools)

    def update_routes(self, routes: RouteTable) -> None:
        """Apply the caps of a newer configuration."""
        self._routes = routes
        self.has_caps = routes.organisations.has_caps
        for name, pool in list(self._pools.items()):
            cap_rate = self.cap_rate_of(name)
            if cap_rate is None:
                self._pools.pop(name)
            else:
                pool.cap_rate = cap_rate

    def cap_rate_of(self, name: str) -> CapRate | None:
        """Return an organisation's rate and burst, None without a cap."""
        if self._routes is None:
            return None
        found = self._routes.organisations.find_by_name(name)
        if found is None or found.cap is None:
            return None
        return CapRate(found.cap, self._window)

    def acquire(
        self, name: str, cost: float, on_decision: PermitCallback
    ) -> None:
        """Have the organisation's pool decide on a request."""
        now = self._clock.boottime()
        pool = self._pools.get(name)
        if pool is None:
            pool = self._create_pool(name, now)
        if pool is None:
            on_decision(
                CapRejection(POOLS_FULL_RETRY_SECONDS, is_over_cap=False)
            )
            return
        pool.acquire(cost, now, on_decision)
        if pool.held(now) <= 0:
            self._renew(name, pool, now, SHARE_RETRY_SECONDS)

    def refund(self, name: str, cost: float) -> None:
        """Return the tokens of a request that did not run."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.refund(cost, self._clock.boottime())

    def handle_response(self, response: ShareResponse) -> None:
        """Apply a leased share and grant waiting requests that fit."""
        pool = self._pools.get(response.organisation)
        if pool is not None:
            now = self._clock.boottime()
            pool.handle_response(response, now)
            pool.serve_waiting(now)

    async def run(self) -> None:
        """Serve waiting requests and renew shares until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.boottime()
            for name, pool in list(self._pools.items()):
                self._maintain(name, pool, now)

    def held(self) -> dict[str, float]:
        """Return the shares of caps held here, by organisation."""
        now = self._clock.boottime()
        return {
            name: round(pool.held(now), 3) for name, pool in self._pools.items()
        }

    def _maintain(self, name: str, pool: OrganisationPool, now: float) -> None:
        if pool.has_waiting:
            pool.serve_waiting(now)
        idle_seconds = now - pool.demand.last_request_at
        if idle_seconds > DROP_AFTER_SECONDS:
            self._pools.pop(name)
            return
        is_idle = idle_seconds > IDLE_AFTER_SECONDS
        interval_seconds = IDLE_RENEW_SECONDS if is_idle else RENEW_SECONDS
        self._renew(name, pool, now, interval_seconds)

    def _create_pool(self, name: str, now: float) -> OrganisationPool | None:
        cap_rate = self.cap_rate_of(name)
        if cap_rate is None or len(self._pools) >= MAX_POOLS:
            return None
        pool = OrganisationPool(cap_rate, now)
        self._pools[name] = pool
        return pool

    def _renew(
        self,
        name: str,
        pool: OrganisationPool,
        now: float,
        interval_seconds: float,
    ) -> None:
        wanted = pool.wanted(now)
        for half, share in enumerate(pool.shares):
            if now - share.requested_at < interval_seconds:
                continue
            held = share.held(now)
            request = ShareRequest(
                name, half, share.start_request(now), held, wanted
            )
            if not self.request_share(request):
                self._log_no_issuer(name, now)

    def _log_no_issuer(self, name: str, now: float) -> None:
        if now - self._no_issuer_logged_at >= NO_ISSUER_LOG_SECONDS:
            self._no_issuer_logged_at = now
            logs.warning('no_issuer', organisation=name)
