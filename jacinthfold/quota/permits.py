"""Acquire permits before capped requests are sent to a target."""

import asyncio
import random
from collections.abc import Iterable
from functools import partial

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank
from jacinthfold.quota.bounds import PERMIT_LIFETIME_SECONDS
from jacinthfold.quota.messages import (
    PermitRefund,
    PermitRequest,
    PermitResponse,
)
from jacinthfold.quota.outbox import Outbox
from jacinthfold.quota.pool import MAX_WAIT_SECONDS, CapRejection
from jacinthfold.quota.pools import Pools

# A live pool responds within its own longest wait. After this time the next
# host in rank order is tried.
POOL_TIMEOUT_SECONDS = MAX_WAIT_SECONDS + 0.1
# Added for a pool in another region: about twice the usual round trip.
REGION_TRIP_SECONDS = 0.2
POOLS_TRIED = 2
# How long the ranking of hosts for an organisation's pool is cached.
POOL_ORDER_SECONDS = 0.3
# After a rejection, requests at least as large are rejected locally for at most
# this long: load beyond the cap costs no messages.
REJECTION_CACHE_SECONDS = 0.1
# Retry delay when no pool responds: by then failed hosts are detected.
NO_POOL_RETRY_SECONDS = 0.6
_MS_PER_SECOND = 1000


class Permit:
    """Permission to run a request once."""

    __slots__ = ('cost', 'expires_at', 'organisation', 'pool')

    def __init__(
        self, organisation: str, cost: int, pool: str, expires_at: float
    ) -> None:
        """Set the granted cost, the host of the pool, and the expiry."""
        self.organisation = organisation
        self.cost = cost
        self.pool = pool
        self.expires_at = expires_at


PermitResult = Permit | CapRejection
# Name of a pool's host, and the seconds after which the next one is tried.
_PoolChoice = tuple[str, float]


class PermitClient:
    """Client of the pools in this host's region."""

    def __init__(
        self, hosts: HostTable, pools: Pools, outbox: Outbox, clock: Clock
    ) -> None:
        """Set the hosts that may run pools, and the pools of this host."""
        self._hosts = hosts
        self._pools = pools
        self._outbox = outbox
        self._clock = clock
        # A random start, so that responses to a previous process don't match.
        self._last_number = random.getrandbits(48)
        self._pending: dict[int, asyncio.Future[CapRejection | None]] = {}
        self._pool_orders: dict[str, tuple[float, list[_PoolChoice]]] = {}
        self._rejections: dict[str, _CachedRejection] = {}

    async def acquire(self, organisation: str, cost: int) -> PermitResult:
        """Return a permit, or the rejection."""
        rejection = self._cached_rejection(organisation, cost)
        if rejection is not None:
            return rejection
        pools = list(self._pool_order(organisation))
        result = None
        while pools and result is None:
            result = await self._try_pool(pools.pop(0), organisation, cost)
        return result or CapRejection(NO_POOL_RETRY_SECONDS, is_over_cap=False)

    def is_valid(self, permit: Permit | None) -> bool:
        """Return whether a permit may be used now."""
        return permit is not None and self._clock.boottime() < permit.expires_at

    def refund(self, permit: Permit | None) -> None:
        """Return the cost of a permit whose request did not run."""
        if permit is None or not self.is_valid(permit):
            return
        if permit.pool == self._hosts.own.name:
            self._pools.refund(permit.organisation, permit.cost)
            return
        endpoint = self._hosts.endpoint_of(permit.pool)
        if endpoint is not None:
            self._outbox.put(
                endpoint, PermitRefund(permit.organisation, permit.cost)
            )

    def handle_response(self, response: PermitResponse) -> None:
        """Handle a pool's response; a late one is ignored."""
        future = self._pending.get(response.number)
        if future is not None and not future.done():
            future.set_result(_rejection(response))

    async def _try_pool(
        self, choice: _PoolChoice, organisation: str, cost: int
    ) -> PermitResult | None:
        name, timeout_seconds = choice
        requested_at = self._clock.boottime()
        try:
            async with asyncio.timeout(timeout_seconds):
                rejection = await self._request(name, organisation, cost)
        except TimeoutError:
            logs.event('pool_silent', organisation=organisation, pool=name)
            return None
        if rejection is not None:
            self._cache_rejection(organisation, cost, rejection)
            return rejection
        expires_at = requested_at + PERMIT_LIFETIME_SECONDS
        return Permit(organisation, cost, name, expires_at)

    async def _request(
        self, name: str, organisation: str, cost: int
    ) -> CapRejection | None:
        future = asyncio.get_running_loop().create_future()
        self._last_number += 1
        number = self._last_number
        self._pending[number] = future
        try:
            if name == self._hosts.own.name:
                self._pools.acquire(
                    organisation, cost, partial(_resolve, future)
                )
            else:
                self._send(name, PermitRequest(number, organisation, cost))
            return await future
        finally:
            self._pending.pop(number)

    def _send(self, name: str, request: PermitRequest) -> None:
        endpoint = self._hosts.endpoint_of(name)
        if endpoint is not None:
            self._outbox.put(endpoint, request)

    def _pool_order(self, organisation: str) -> Iterable[_PoolChoice]:
        now = self._clock.boottime()
        known = self._pool_orders.get(organisation)
        if known is None or now - known[0] > POOL_ORDER_SECONDS:
            known = (now, self._rank_pools(organisation))
            self._pool_orders[organisation] = known
        return known[1]

    def _rank_pools(self, organisation: str) -> list[_PoolChoice]:
        cap_rate = self._pools.cap_rate_of(organisation)
        is_shared = cap_rate is not None and cap_rate.has_shared_pool
        own = self._hosts.own
        regions = self._hosts.regions() if is_shared else {own.region}
        serving = {
            host.name: host.region
            for region in regions
            for host in self._hosts.serving(region)
        }
        # A host that starts or leaves uses its own pool when it is alone.
        order = rank(f'pool {organisation}', serving or {own.name})
        # A second pool would take part of a small cap for some seconds, and
        # neither would hold a call. A single lost message must not cause that.
        repeated = order[:1] if is_shared else []
        return [
            (name, _timeout_seconds(serving.get(name, own.region), own.region))
            for name in repeated + order[:POOLS_TRIED]
        ]

    def _cached_rejection(
        self, organisation: str, cost: int
    ) -> CapRejection | None:
        known = self._rejections.get(organisation)
        if known is None or cost < known.cost:
            return None
        now = self._clock.boottime()
        return known.rejection if now < known.expires_at else None

    def _cache_rejection(
        self, organisation: str, cost: int, rejection: CapRejection
    ) -> None:
        seconds = min(rejection.retry_after_seconds, REJECTION_CACHE_SECONDS)
        expires_at = self._clock.boottime() + seconds
        self._rejections[organisation] = _CachedRejection(
            rejection, cost, expires_at
        )


class _CachedRejection:
    """Rejection that also applies to requests at least as large."""

    __slots__ = ('cost', 'rejection', 'expires_at')

    def __init__(
        self, rejection: CapRejection, cost: int, expires_at: float
    ) -> None:
        self.rejection = rejection
        self.cost = cost
        self.expires_at = expires_at


def _timeout_seconds(region: str, own_region: str) -> float:
    if region == own_region:
        return POOL_TIMEOUT_SECONDS
    return POOL_TIMEOUT_SECONDS + REGION_TRIP_SECONDS


def _rejection(response: PermitResponse) -> CapRejection | None:
    if response.retry_after_ms is None:
        return None
    return CapRejection(
        response.retry_after_ms / _MS_PER_SECOND,
        is_over_cap=response.is_over_cap,
    )


def _resolve(
    future: asyncio.Future[CapRejection | None],
    rejection: CapRejection | None,
) -> None:
    if not future.done():
        future.set_result(rejection)
