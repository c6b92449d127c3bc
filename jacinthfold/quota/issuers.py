"""Decide which host leases the shares of which organisations.

Organisations are hashed into shards, and one host is the issuer of each shard.
Two issuers of one shard would lease the same shares twice, so a record in the
store, bound to a lease, names the issuer. By its own clock an issuer stops
before its lease can expire in the store, and its successor waits until all
shares leased before have expired.

A store that comes back from a copy has lost the newest of these records and
leases. Then every issuer stops, and nobody claims a shard until the leases of
all of them have expired.
"""

import asyncio

import msgspec
import xxhash

from jacinthfold import logs
from jacinthfold.catalogue.bounded_types import Name, Number
from jacinthfold.catalogue.metadata import (
    Lease,
    LeaseLostError,
    MetadataConflictError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import Record, UnreadableRecordError
from jacinthfold.catalogue.revision import era_of
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank
from jacinthfold.quota.bounds import HALVES
from jacinthfold.quota.issuer import Issuer
from jacinthfold.quota.messages import ShareRequest, ShareResponse
from jacinthfold.quota.pools import Pools

# Shards of organisations, which spread the issuing over several hosts.
SHARD_COUNT = 16
# Distance between the shards of the two halves of a cap.
_HALF_OFFSET = SHARD_COUNT // HALVES
TICK_SECONDS = 0.2
# For at most this long nobody leases the shares of an issuer that crashed.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.8
# Safety margin at the end of the lease for slow calls to the store.
LEASE_MARGIN_SECONDS = 0.2
# Each host in rank order waits this much longer before it claims a free shard.
CLAIM_DELAY_SECONDS = 0.4


def shard_of(organisation: str, half: int) -> str:
    """Return the shard of one half of a cap; the same on every host."""
    first = xxhash.xxh64_intdigest(organisation.encode())
    return f'{(first + half * _HALF_OFFSET) % SHARD_COUNT:02}'


class IssuerDocument(msgspec.Struct):
    """Record of a shard's issuer as stored in the metadata store."""

    host: Name
    # The host's incarnation.
    life: Number
    # The store lease to which the record is bound, and the era that granted it.
    lease: Number
    era: Number = 0


class _Shard:
    """Issuer of a shard according to the store."""

    __slots__ = ('free_since', 'issuer', 'incarnation', 'era', 'revision')

    def __init__(self, now: float) -> None:
        self.free_since: float | None = now
        self.issuer = ''
        self.incarnation = 0
        self.era = 0
        self.revision = 0


class Issuers:
    """Track the issuer of each shard, and issue the shards claimed here."""

    def __init__(
        self,
        hosts: HostTable,
        store: MetadataStore,
        pools: Pools,
        clock: Clock,
    ) -> None:
        """Set the known hosts, the metadata store and the pools."""
        self._hosts = hosts
        self._own: HostRecord = hosts.own
        self._store = store
        self._pools = pools
        self._clock = clock
        now = clock.boottime()
        self._shards = {
            f'{number:02}': _Shard(now) for number in range(SHARD_COUNT)
        }
        # By shard issued here, then by organisation.
        self._issuers: dict[str, dict[str, Issuer]] = {}
        self._started_at: dict[str, float] = {}
        self._lease: Lease | None = None
        self._lease_until = float('-inf')
        self._renewed_at = float('-inf')
        self._era: int | None = None
        self._claims_from = float('-inf')
        self._is_leaving = False

    def apply_record(self, name: str, record: Record) -> None:
        """Apply a store record of a shard; raise UnreadableRecordError."""
        shard = self._shards.get(name)
        if shard is None:
            return
        now = self._clock.boottime()
        found = _decode_record(record)
        shard.revision = record.revision
        shard.issuer = found.host if found else ''
        shard.incarnation = found.life if found else 0
        shard.era = found.era if found else 0
        shard.free_since = None if found else now
        if not self._is_own(found):
            self._issuers.pop(name, None)
        elif name not in self._issuers:
            # The claim succeeded, but its response was lost.
            self._start_issuing(name, now)

    def issuer_of(self, organisation: str, half: int) -> str:
        """Return the name of the issuing host, empty if there is none."""
        return self._shards[shard_of(organisation, half)].issuer

    def grant_share(
        self, name: str, incarnation: int, request: ShareRequest
    ) -> ShareResponse | None:
        """Return the leased share, or None where this host may not lease."""
        now = self._clock.boottime()
        shard = shard_of(request.organisation, request.half)
        issuers = self._issuers.get(shard)
        cap_rate = self._pools.cap_rate_of(request.organisation)
        if issuers is None or cap_rate is None or not self._is_leased(now):
            return None
        issuer = issuers.get(request.organisation)
        if issuer is None:
            issuer = Issuer(self._started_at[shard], cap_rate.recovery_share)
            issuers[request.organisation] = issuer
        lease = issuer.grant(
            name,
            incarnation,
            request.number,
            held=request.held,
            wanted=request.wanted,
            now=now,
        )
        if lease is None:
            return None
        return ShareResponse(
            request.organisation,
            request.half,
            request.number,
            lease.share,
            lease.seconds,
        )

    def issued_shards(self) -> list[str]:
        """Return the shards that this host issues."""
        return sorted(self._issuers)

    async def run(self) -> None:
        """Renew this host's lease and claim shards without an issuer."""
        while not self._is_leaving:
            await asyncio.sleep(TICK_SECONDS)
            try:
                await self._step()
            except LeaseLostError:
                logs.warning(
                    'issuing_lost', parts=','.join(self.issued_shards())
                )
                self._drop_lease()
            except MetadataConflictError as error:
                logs.event('part_taken', reason=str(error))
            except MetadataError as error:
                logs.warning('issuing_failed', reason=str(error))
                # Rejected calls are charged too; a lease lasts for three tries.
                await asyncio.sleep(RENEW_SECONDS)

    async def leave(self) -> None:
        """Stop issuing and end the lease, so that others may claim at once."""
        self._is_leaving = True
        lease = self._lease
        self._drop_lease()
        if not lease:
            return
        try:
            await self._store.end_lease(lease)
        except MetadataError as error:
            logs.warning('issuing_not_ended', reason=str(error))

    async def _step(self) -> None:
        if not self._pools.has_caps:
            return
        now = self._clock.boottime()
        self._follow_era(now)
        if self._lease and now - self._renewed_at >= RENEW_SECONDS:
            await self._store.renew_lease(self._lease)
            self._record_renewal(now)
        claimable = [name for name in self._shards if self._may_claim(name)]
        if claimable:
            # One per tick, which leaves some shards to other hosts.
            await self._claim(claimable[0])

    def _follow_era(self, now: float) -> None:
        """Stop issuing when the store has come back from a copy."""
        era = self._store.era
        if self._era is not None and era > self._era:
            logs.warning(
                'issuing_stopped',
                era=era,
                before=self._era,
                parts=','.join(self.issued_shards()),
            )
            self._drop_lease()
            # Other hosts may learn of it only when their leases have ended.
            self._claims_from = now + LEASE_SECONDS
        self._era = era

    def _is_leased(self, now: float) -> bool:
        lease = self._lease
        if lease is None or now >= self._lease_until:
            return False
        return lease.era == self._store.era

    def _may_claim(self, name: str) -> bool:
        shard = self._shards[name]
        own = self._own
        now = self._clock.boottime()
        if now < self._claims_from:
            return False
        if shard.issuer and era_of(shard.revision) != self._store.era:
            # The condition on this revision could hold for another record.
            return False
        if shard.issuer == own.name:
            # This host issues no more under an earlier era, and its previous
            # process is certainly gone.
            known = (shard.era, shard.incarnation)
            return known < (self._store.era, own.incarnation)
        if shard.free_since is None:
            return False
        order = rank(f'part {name}', {own.name, *self._hosts.registered()})
        waited = now - max(shard.free_since, self._claims_from)
        return waited >= order.index(own.name) * CLAIM_DELAY_SECONDS

    async def _claim(self, name: str) -> None:
        shard = self._shards[name]
        now = self._clock.boottime()
        lease = self._lease or await self._store.grant_lease(LEASE_SECONDS)
        if lease.era != self._era:
            # The store came back meanwhile.
            return
        if self._lease is None:
            self._lease = lease
            self._record_renewal(now)
        document = IssuerDocument(
            self._own.name, self._own.incarnation, lease.number, lease.era
        )
        after = shard.revision if shard.issuer else 0
        # The record names the winner soon; retry only after the lease time.
        shard.free_since = now + LEASE_SECONDS
        revision = await self._store.claim(
            name, msgspec.json.encode(document), after=after, lease=lease
        )
        shard.issuer = self._own.name
        shard.incarnation = self._own.incarnation
        shard.era = lease.era
        shard.revision = revision
        shard.free_since = None
        self._start_issuing(name, self._clock.boottime())

    def _start_issuing(self, name: str, now: float) -> None:
        self._issuers[name] = {}
        self._started_at[name] = now
        logs.event('part_issued', part=name)

    def _record_renewal(self, sent_at: float) -> None:
        self._renewed_at = sent_at
        self._lease_until = sent_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS

    def _drop_lease(self) -> None:
        self._lease = None
        self._lease_until = float('-inf')
        self._issuers.clear()

    def _is_own(self, found: IssuerDocument | None) -> bool:
        if found is None or not self._lease:
            return False
        lease = self._lease
        own = (
            self._own.name,
            self._own.incarnation,
            lease.number,
            lease.era,
        )
        return (found.host, found.life, found.lease, found.era) == own


_decoder = msgspec.json.Decoder(IssuerDocument)


def _decode_record(record: Record) -> IssuerDocument | None:
    if record.content is None:
        return None
    try:
        return _decoder.decode(record.content)
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
