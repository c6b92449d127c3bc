"""Decide which host lends the shares of which organisations.

Two issuers of one cap would lend it twice. The store's record under a lease
says who issues; an issuer stops by its own clock before its lease can have
ended in the store, and whoever comes next waits until all it lent has ended.
"""

import asyncio

import msgspec
import xxhash

from jacinthfold import logs
from jacinthfold.catalogue.metadata import (
    LeaseLostError,
    MetadataConflictError,
    MetadataError,
    MetadataStore,
)
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.records import Record, UnreadableRecordError
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.hashing import rank
from jacinthfold.quota.bounds import HALVES
from jacinthfold.quota.issuer import Issuer
from jacinthfold.quota.messages import ShareAnswer, ShareAsk
from jacinthfold.quota.pools import Pools

# Parts that organisations are dealt into, so that no host lends all.
PARTS = 16
# The halves of a cap lie so many parts from each other.
_PARTS_BETWEEN = PARTS // HALVES
TICK_SECONDS = 0.2
# Of an issuer that is gone nobody lends for as long as this.
LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.8
# Left of the lease for calls that take their time.
LEASE_MARGIN_SECONDS = 0.2
# The next host in order waits this much longer before it takes a free part.
ORDER_SECONDS = 0.4


def part_of(organisation: str, half: int) -> str:
    """Return the part of half an organisation's cap, on every host the same."""
    first = xxhash.xxh64_intdigest(organisation.encode())
    return f'{(first + half * _PARTS_BETWEEN) % PARTS:02}'


class IssuerDocument(msgspec.Struct):
    """Hold an issuer's record as it is written."""

    host: str
    # The host's incarnation.
    life: int
    # The lease under which the record stands.
    lease: int


class _Part:
    """Hold who issues a part by the store's word."""

    __slots__ = ('free_since', 'issuer', 'life', 'revision')

    def __init__(self, now: float) -> None:
        self.free_since: float | None = now
        self.issuer = ''
        self.life = 0
        self.revision = 0


class Issuers:
    """Know the issuers, and be one."""

    def __init__(
        self,
        hosts: HostTable,
        store: MetadataStore,
        pools: Pools,
        clock: Clock,
    ) -> None:
        """Take the hosts, the store that decides, and the caps."""
        self._hosts = hosts
        self._own: HostRecord = hosts.own
        self._store = store
        self._pools = pools
        self._clock = clock
        now = clock.boottime()
        self._parts = {f'{number:02}': _Part(now) for number in range(PARTS)}
        # By part, while this host issues it: by organisation.
        self._lent: dict[str, dict[str, Issuer]] = {}
        self._began_at: dict[str, float] = {}
        self._lease = 0
        self._lease_until = float('-inf')
        self._renewed_at = float('-inf')
        self._is_leaving = False

    def take_record(self, name: str, record: Record) -> None:
        """Take who issues a part, by the store's word."""
        part = self._parts.get(name)
        if part is None:
            return
        now = self._clock.boottime()
        found = _read(record)
        part.revision = record.revision
        part.issuer = found.host if found else ''
        part.life = found.life if found else 0
        part.free_since = None if found else now
        if not self._is_own(found):
            self._lent.pop(name, None)
        elif name not in self._lent:
            # The answer to the claim was lost, the claim was not.
            self._begin(name, now)

    def issuer_of(self, organisation: str, half: int) -> str:
        """Return the name of the host that issues, none if nobody does."""
        return self._parts[part_of(organisation, half)].issuer

    def answer(self, name: str, life: int, ask: ShareAsk) -> ShareAnswer | None:
        """Return what is lent, None where this host may not lend."""
        now = self._clock.boottime()
        part = part_of(ask.organisation, ask.half)
        lent = self._lent.get(part)
        pace = self._pools.pace_of(ask.organisation)
        if lent is None or pace is None or now >= self._lease_until:
            return None
        issuer = lent.get(ask.organisation)
        if issuer is None:
            issuer = Issuer(self._began_at[part], pace.extra_share)
            lent[ask.organisation] = issuer
        loan = issuer.ask(
            name,
            life,
            ask.number,
            held=ask.held,
            wanted=ask.wanted,
            now=now,
        )
        if loan is None:
            return None
        return ShareAnswer(
            ask.organisation, ask.half, ask.number, loan.share, loan.seconds
        )

    def parts(self) -> list[str]:
        """Return the parts that this host issues."""
        return sorted(self._lent)

    async def run(self) -> None:
        """Keep what is issued here, and take what nobody issues."""
        while not self._is_leaving:
            await asyncio.sleep(TICK_SECONDS)
            try:
                await self._step()
            except LeaseLostError:
                logs.warning('issuing_lost', parts=','.join(self.parts()))
                self._drop_lease()
            except MetadataConflictError as error:
                logs.event('part_taken', reason=str(error))
            except MetadataError as error:
                logs.warning('issuing_failed', reason=str(error))
                # Refused calls are priced too; a lease stands three tries.
                await asyncio.sleep(RENEW_SECONDS)

    async def leave(self) -> None:
        """Let others issue at once."""
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
        if not self._pools.are_needed:
            return
        now = self._clock.boottime()
        if self._lease and now - self._renewed_at >= RENEW_SECONDS:
            await self._store.renew_lease(self._lease)
            self._note_renewed(now)
        takeable = [name for name in self._parts if self._may_take(name)]
        if takeable:
            # One at a time: the next look comes soon, and others take some.
            await self._take(takeable[0])

    def _may_take(self, name: str) -> bool:
        part = self._parts[name]
        own = self._own
        if part.issuer == own.name:
            # The process before this one on the same host is gone for sure.
            return part.life < own.incarnation
        if part.free_since is None:
            return False
        order = rank(f'part {name}', {own.name, *self._hosts.registered()})
        waited = self._clock.boottime() - part.free_since
        return waited >= order.index(own.name) * ORDER_SECONDS

    async def _take(self, name: str) -> None:
        part = self._parts[name]
        now = self._clock.boottime()
        if not self._lease:
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
            self._note_renewed(now)
        document = IssuerDocument(
            self._own.name, self._own.incarnation, self._lease
        )
        after = part.revision if part.issuer else 0
        # Whoever wins, the record says so soon; asked again only after that.
        part.free_since = now + LEASE_SECONDS
        revision = await self._store.claim(
            name, msgspec.json.encode(document), after=after, lease=self._lease
        )
        part.issuer = self._own.name
        part.life = self._own.incarnation
        part.revision = revision
        part.free_since = None
        self._begin(name, self._clock.boottime())

    def _begin(self, name: str, now: float) -> None:
        self._lent[name] = {}
        self._began_at[name] = now
        logs.event('part_issued', part=name)

    def _note_renewed(self, asked_at: float) -> None:
        self._renewed_at = asked_at
        self._lease_until = asked_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS

    def _drop_lease(self) -> None:
        self._lease = 0
        self._lease_until = float('-inf')
        self._lent.clear()

    def _is_own(self, found: IssuerDocument | None) -> bool:
        if found is None or not self._lease:
            return False
        own = (self._own.name, self._own.incarnation, self._lease)
        return (found.host, found.life, found.lease) == own


_decoder = msgspec.json.Decoder(IssuerDocument)


def _read(record: Record) -> IssuerDocument | None:
    if record.content is None:
        return None
    try:
        return _decoder.decode(record.content)
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
