"""Send requests to another region, once, where rules and load allow."""

import random

from jacinthfold.client import Call
from jacinthfold.config import Settings
from jacinthfold.configuration import Configuration
from jacinthfold.deployment import Organisation
from jacinthfold.members import Heartbeat, Member, MemberState, MemberTable
from jacinthfold.work import Work

SECRET_HEADER = 'X-Jacinthfold-Secret'
ORGANISATION_HEADER = 'X-Jacinthfold-Organisation'
REVISION_HEADER = 'X-Jacinthfold-Revision'
REQUEST_ID_HEADER = 'X-Jacinthfold-Request-Id'
REASON_HEADER = 'X-Jacinthfold-Reason'
DEADLINE_HEADER = 'X-Jacinthfold-Remaining-Seconds'
PRIORITY_HEADER = 'X-Jacinthfold-Priority'


class Spill:
    """Choose a peer in another region and describe the call to it."""

    def __init__(
        self,
        members: MemberTable,
        configuration: Configuration,
        settings: Settings,
        source: random.Random,
    ) -> None:
        """Take what is known of the other regions."""
        self._members = members
        self._configuration = configuration
        self._settings = settings
        self._random = source

    def choose(
        self, organisation: Organisation, service: str, wait_seconds: float
    ) -> Member | None:
        """Return a peer that would serve sooner, or None."""
        if wait_seconds <= self._settings.routing.spill_wait_seconds:
            return None
        fitting = [
            (member, heartbeat)
            for member, heartbeat in self._members.live()
            if self._fits(member, heartbeat, organisation, service)
        ]
        if not fitting:
            return None
        # All hosts see the same figures. A choice weighted by free places
        # spreads what would otherwise meet at the freest region.
        weights = [beat.free_slots[service] for _, beat in fitting]
        return self._random.choices(fitting, weights)[0][0]

    def call(
        self,
        peer: Member,
        work: Work,
        remaining_seconds: float,
        reason: str = 'spill',
    ) -> Call:
        """Return the call that passes a request on to a peer."""
        headers = {
            **work.headers,
            SECRET_HEADER: self._settings.peers.secret,
            ORGANISATION_HEADER: work.organisation.name,
            REVISION_HEADER: str(self._configuration.revision),
            REQUEST_ID_HEADER: work.request_id,
            DEADLINE_HEADER: f'{remaining_seconds:.3f}',
            PRIORITY_HEADER: str(work.priority),
            REASON_HEADER: reason,
        }
        return Call(
            work.method,
            f'{peer.relay_url}{work.path}',
            headers=headers,
            body=work.body,
            connect_timeout_seconds=(
                self._settings.targets.connect_timeout_seconds
            ),
            timeout_seconds=0,
        )

    def _fits(
        self,
        member: Member,
        heartbeat: Heartbeat,
        organisation: Organisation,
        service: str,
    ) -> bool:
        return (
            member.region != self._members.own.region
            and member.region in organisation.regions
            and heartbeat.state == MemberState.ACTIVE
            and heartbeat.free_slots.get(service, 0) > 0
        )
