"""Handle messages of other hosts about caps."""

from functools import partial

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.clock import Clock
from jacinthfold.fleet.table import HostTable
from jacinthfold.quota.bounds import Window
from jacinthfold.quota.issuers import Issuers
from jacinthfold.quota.messages import PermitResponse, ShareRequest, decode
from jacinthfold.quota.outbox import Endpoint, Outbox
from jacinthfold.quota.permits import PermitClient
from jacinthfold.quota.pool import CapRejection
from jacinthfold.quota.pools import Pools

_MS_PER_SECOND = 1000


class QuotaCoordinator:
    """Connect pools, issuers and permits, and dispatch messages."""

    def __init__(
        self,
        hosts: HostTable,
        store: MetadataStore,
        window: Window,
        clock: Clock,
    ) -> None:
        """Create and connect the components."""
        self._hosts = hosts
        self.outbox = Outbox(hosts.own)
        self.pools = Pools(window, clock)
        self.issuers = Issuers(hosts, store, self.pools, clock)
        self.permits = PermitClient(hosts, self.pools, self.outbox, clock)
        self.pools.request_share = self._request_share

    def handle_datagram(self, content: bytes, sender: Endpoint) -> None:
        """Handle a datagram; raise ValueError if it is malformed."""
        datagram = decode(content)
        for permit_request in datagram.permit_asks:
            respond = partial(self._respond, sender, permit_request.number)
            self.pools.acquire(
                permit_request.organisation, permit_request.cost, respond
            )
        for permit_response in datagram.permit_answers:
            self.permits.handle_response(permit_response)
        for share_request in datagram.share_asks:
            granted = self.issuers.grant_share(
                datagram.sender, datagram.life, share_request
            )
            if granted is not None:
                self.outbox.put(sender, granted)
        for share_response in datagram.share_answers:
            self.pools.handle_response(share_response)
        for refund in datagram.returned:
            self.pools.refund(refund.organisation, refund.cost)

    def _respond(
        self, sender: Endpoint, number: int, rejection: CapRejection | None
    ) -> None:
        response = PermitResponse(number, None)
        if rejection is not None:
            response.retry_after_ms = (
                int(rejection.retry_after_seconds * _MS_PER_SECOND) + 1
            )
            response.is_over_cap = rejection.is_over_cap
        self.outbox.put(sender, response)

    def _request_share(self, share_request: ShareRequest) -> bool:
        name = self.issuers.issuer_of(
            share_request.organisation, share_request.half
        )
        own = self._hosts.own
        if name == own.name:
            granted = self.issuers.grant_share(
                own.name, own.incarnation, share_request
            )
            if granted is not None:
                self.pools.handle_response(granted)
            return granted is not None
        endpoint = self._hosts.endpoint_of(name)
        if endpoint is None:
            return False
        self.outbox.put(endpoint, share_request)
        return True
