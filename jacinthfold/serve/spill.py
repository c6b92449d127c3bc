"""Send requests to another region, once, where rules and load allow."""

import random
import threading
from collections import Counter

from jacinthfold.config import Settings
from jacinthfold.serve.client import Call
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.deployment import Organisation
from jacinthfold.serve.members import (
    Heartbeat,
    Member,
    MemberState,
    MemberTable,
)
from jacinthfold.serve.work import Work

SECRET_HEADER = 'X-Jacinthfold-Secret'
ORGANISATION_HEADER = 'X-Jacinthfold-Organisation'
REVISION_HEADER = 'X-Jacinthfold-Revision'
REQUEST_ID_HEADER = 'X-Jacinthfold-Request-Id'
REASON_HEADER = 'X-Jacinthfold-Reason'
DEADLINE_HEADER = 'X-Jacinthfold-Remaining-Seconds'
PRIORITY_HEADER = 'X-Jacinthfold-Priority'
ANSWER_RESERVE_SECONDS = 0.5


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
        self._guard = threading.Lock()
        self._sent: dict[int, tuple[int, Counter[str]]] = {}

    def choose(
        self, organisation: Organisation, service: str, wait_seconds: float
    ) -> Member | None:
        """Return a peer that would serve sooner, or None."""
        if wait_seconds <= self._settings.routing.spill_wait_seconds:
            return None
        fitting = [
            (member, heartbeat, free)
            for member, heartbeat in self._members.live()
            if self._fits(member, heartbeat, organisation)
            and (free := self._free(heartbeat, service)) > 0
        ]
        if not fitting:
            return None
        # All hosts see the same figures. A choice weighted by free places
        # spreads what would otherwise meet at the freest region.
        weights = [one[2] for one in fitting]
        member, heartbeat, _ = self._random.choices(fitting, weights)[0]
        self._note(heartbeat, service)
        return member

    def call(
        self,
        peer: Member,
        work: Work,
        remaining_seconds: float,
        reason: str = 'spill',
    ) -> Call:
        """Return the call that passes a request on to a peer."""
        # The peer's refusal must arrive before this host gives up; its silence
        # would have to be told as unknown, though nothing ran.
        remaining_seconds = max(
            remaining_seconds / 2, remaining_seconds - ANSWER_RESERVE_SECONDS
        )
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

    def _free(self, heartbeat: Heartbeat, service: str) -> int:
        # The figure stands still between two heartbeats. What this host has
        # sent since the last one is taken off, or a burst would all follow
        # the same few places and be refused there.
        free = heartbeat.free_slots.get(service, 0)
        sequence, sent = self._sent.get(heartbeat.incarnation, (0, Counter()))
        return free - sent[service] if sequence == heartbeat.sequence else free

    def _note(self, heartbeat: Heartbeat, service: str) -> None:
        with self._guard:
            sequence, sent = self._sent.get(
                heartbeat.incarnation, (0, Counter())
            )
            if sequence != heartbeat.sequence:
                sent = Counter()
            sent[service] += 1
            self._sent[heartbeat.incarnation] = (heartbeat.sequence, sent)

    def _fits(
        self, member: Member, heartbeat: Heartbeat, organisation: Organisation
    ) -> bool:
        return (
            member.region != self._members.own.region
            and member.region in organisation.regions
            and heartbeat.state == MemberState.ACTIVE
        )
