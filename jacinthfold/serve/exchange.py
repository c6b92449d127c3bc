"""Turn what this host knows into messages to peers, and theirs into it."""

import json
from collections.abc import Iterable

from jacinthfold import logs
from jacinthfold.serve.configuration import Change, Configuration
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.members import (
    Heartbeat,
    Member,
    MemberState,
    MemberTable,
)
from jacinthfold.serve.peers_pb2 import (
    Change as ChangeMessage,
)
from jacinthfold.serve.peers_pb2 import (
    Exchange,
)
from jacinthfold.serve.peers_pb2 import (
    Heartbeat as HeartbeatMessage,
)
from jacinthfold.serve.peers_pb2 import (
    Member as MemberMessage,
)
from jacinthfold.serve.peers_pb2 import (
    TargetReport as ReportMessage,
)
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import TargetReport

FULL_EVERY_ROUNDS = 8
MESSAGE_CHANGE_LIMIT = 64


class Knowledge:
    """Turn what this host knows into messages and take in others'."""

    def __init__(
        self,
        members: MemberTable,
        configuration: Configuration,
        targets: TargetTable,
        guard: Guard,
    ) -> None:
        """Take the tables that peers share."""
        self.members = members
        self.configuration = configuration
        self.targets = targets
        self._guard = guard
        self._rounds = 0

    def message(
        self,
        peer: Member | None,
        peer_revision: int,
        *,
        news_only: bool = False,
    ) -> Exchange:
        """Return what a peer at a revision is to hear."""
        own = self.members.own
        self._rounds += 1
        place = peer.data_centre if peer else ''
        # Of a peer not met before the region is not known; it gets all that
        # a foreign one would.
        region = peer.region if peer else ''
        heartbeats = [
            _heartbeat_message(heartbeat, self._is_foreign(heartbeat, region))
            for heartbeat in self.members.heartbeats_for(place)
            if not news_only or heartbeat.incarnation == own.incarnation
        ]
        return Exchange(
            sender=own.incarnation,
            revision=self.configuration.revision,
            heartbeats=heartbeats,
            members=[_member_message(own)],
            targets=map(
                _report_message,
                self.targets.reports_for(
                    region,
                    all_of_them=not news_only
                    and self._rounds % FULL_EVERY_ROUNDS == 0,
                ),
            ),
            changes=self._change_messages(peer_revision),
            unknown=self.members.unknown(),
            news_only=news_only,
            suspects=self._guard.news(),
        )

    def take_in(self, message: Exchange) -> bool:
        """Merge a message; tell whether the sender is ahead of us."""
        self.members.merge(
            map(_member, message.members), map(_heartbeat, message.heartbeats)
        )
        self.targets.merge(map(_report, message.targets))
        try:
            self._guard.take(message.suspects)
        except ValueError as error:
            logs.warning('suspects_unreadable', reason=str(error))
        complete = self.configuration.offer_changes(
            Change.from_document(json.loads(change.document))
            for change in message.changes
        )
        behind = self.configuration.revision < message.revision
        return behind or not complete

    def add_unknown(self, message: Exchange, wanted: Iterable[int]) -> None:
        """Put the members that a peer asked about into a message."""
        for incarnation in wanted:
            member = self.members.find(incarnation)
            if member:
                message.members.append(_member_message(member))

    def _is_foreign(self, heartbeat: Heartbeat, region: str) -> bool:
        member = self.members.find(heartbeat.incarnation)
        return member is not None and member.region != region

    def _change_messages(self, peer_revision: int) -> list[ChangeMessage]:
        changes = self.configuration.changes_above(peer_revision) or []
        return [
            ChangeMessage(
                revision=change.revision,
                document=json.dumps(change.to_document()).encode(),
            )
            for change in changes[:MESSAGE_CHANGE_LIMIT]
        ]


def _member_message(member: Member) -> MemberMessage:
    fields = {name: getattr(member, name) for name in Member.__slots__}
    return MemberMessage(**fields)


def _member(message: MemberMessage) -> Member:
    return Member(
        message.name,
        message.incarnation,
        (message.region, message.data_centre),
        message.address,
        (
            message.caller_port,
            message.control_port,
            message.peer_port,
            message.relay_port,
        ),
    )


def _heartbeat_message(
    heartbeat: Heartbeat, is_foreign: bool
) -> HeartbeatMessage:
    return HeartbeatMessage(
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        state=heartbeat.state,
        revision=heartbeat.revision,
        free_slots=heartbeat.free_slots if is_foreign else {},
    )


def _heartbeat(message: HeartbeatMessage) -> Heartbeat:
    return Heartbeat(
        message.incarnation,
        message.sequence,
        MemberState(message.state),
        message.revision,
        message.free_slots,
    )


def _report_message(report: TargetReport) -> ReportMessage:
    fields = {name: getattr(report, name) for name in TargetReport.__slots__}
    return ReportMessage(**fields)


def _report(message: ReportMessage) -> TargetReport:
    fields = {name: getattr(message, name) for name in TargetReport.__slots__}
    fields['models'] = tuple(message.models)
    return TargetReport(**fields)
