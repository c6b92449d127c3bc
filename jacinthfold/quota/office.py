"""Take in what other hosts ask and answer about caps."""

from functools import partial

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.quota.bounds import Window
from jacinthfold.quota.issuers import Issuers
from jacinthfold.quota.messages import PermitAnswer, ShareAsk, decode
from jacinthfold.quota.permits import Permits
from jacinthfold.quota.pool import TurnedAway
from jacinthfold.quota.pools import Pools
from jacinthfold.quota.post import Place, Post

_MS = 1000


class QuotaOffice:
    """Hold the parts that keep caps, and tell messages apart."""

    def __init__(
        self,
        hosts: HostTable,
        store: MetadataStore,
        window: Window,
        clock: Clock,
    ) -> None:
        """Put the parts together."""
        self._hosts = hosts
        self.post = Post(hosts.own)
        self.pools = Pools(window, clock)
        self.issuers = Issuers(hosts, store, self.pools, clock)
        self.permits = Permits(hosts, self.pools, self.post, clock)
        self.pools.ask_issuer = self._ask_issuer

    def take(self, content: bytes, sender: Place) -> None:
        """Take a datagram; raise ValueError."""
        told = decode(content)
        for permit_ask in told.permit_asks:
            answer = partial(self._answer, sender, permit_ask.number)
            self.pools.ask(permit_ask.organisation, permit_ask.cost, answer)
        for permit_answer in told.permit_answers:
            self.permits.take_answer(permit_answer)
        for share_ask in told.share_asks:
            lent = self.issuers.answer(told.sender, told.life, share_ask)
            if lent is not None:
                self.post.put(sender, lent)
        for share_answer in told.share_answers:
            self.pools.take_answer(share_answer)
        for returned in told.returned:
            self.pools.give_back(returned.organisation, returned.cost)

    def _answer(
        self, sender: Place, number: int, turned_away: TurnedAway | None
    ) -> None:
        answer = PermitAnswer(number, None)
        if turned_away is not None:
            answer.after_ms = int(turned_away.after_seconds * _MS) + 1
            answer.is_over = turned_away.is_over
        self.post.put(sender, answer)

    def _ask_issuer(self, ask: ShareAsk) -> bool:
        name = self.issuers.issuer_of(ask.organisation, ask.half)
        own = self._hosts.own
        if name == own.name:
            lent = self.issuers.answer(own.name, own.incarnation, ask)
            if lent is not None:
                self.pools.take_answer(lent)
            return lent is not None
        place = self._hosts.endpoint_of(name)
        if place is None:
            return False
        self.post.put(place, ask)
        return True
