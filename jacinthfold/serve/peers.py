"""Exchange membership, configuration and target reports with peers.

grpclib needs an asyncio loop; one loop runs in one thread, and the rest of
the program enters it through `concurrent.futures`.
"""

import asyncio
import hmac
import random
import threading
from collections.abc import Awaitable, Callable, Iterable
from concurrent.futures import Future
from contextlib import suppress
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from jacinthfold import logs
from jacinthfold.config import Settings
from jacinthfold.serve.configuration import (
    Configuration,
    ConfigurationError,
    decode_snapshot,
)
from jacinthfold.serve.exchange import Knowledge
from jacinthfold.serve.members import Member
from jacinthfold.serve.peers_grpc import PeersBase, PeersStub
from jacinthfold.serve.peers_pb2 import Exchange, SnapshotReply, SnapshotRequest

Result = TypeVar('Result')
Place = tuple[str, int]

SECRET_HEADER = 'x-jacinthfold-secret'
CALL_TIMEOUT_SECONDS = 2
# What a host that stops waits for the answers to its last news.
LAST_EXCHANGE_SECONDS = 1.0
SNAPSHOT_TIMEOUT_SECONDS = 20
URGENT_FAN_OUT = 3
URGENT_PAUSE_SECONDS = 0.05
REMOTE_EVERY_ROUNDS = 3
SEED_EVERY_ROUNDS = 6


class PeerLoop:
    """Run the asyncio loop that grpclib needs, in one thread."""

    def __init__(self) -> None:
        """Start the loop."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name='peers', daemon=True
        )
        self._thread.start()

    def submit(self, work: Awaitable[Result]) -> 'Future[Result]':
        """Run a coroutine in the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(
            work,  # type: ignore[arg-type]
            self.loop,
        )

    def stop(self) -> None:
        """End the loop and its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=CALL_TIMEOUT_SECONDS)


class PeerService(PeersBase):
    """Answer peers' calls."""

    def __init__(
        self, knowledge: Knowledge, secret: str, pull: Callable[[Member], None]
    ) -> None:
        """Take the knowledge to share and whom to call when behind."""
        self._knowledge = knowledge
        self._secret = secret
        self._pull = pull
        self.message_count = 0
        self.received_bytes = 0
        self.sent_bytes = 0

    async def Sync(self, stream: Stream[Exchange, Exchange]) -> None:
        """Merge what a peer knows and answer with what we know."""
        request = await self._receive(stream)
        try:
            behind = self._knowledge.take_in(request)
        except (ConfigurationError, ValueError) as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        sender = self._knowledge.members.find(request.sender)
        reply = self._knowledge.message(
            sender, request.revision, news_only=request.news_only
        )
        self._knowledge.add_unknown(reply, request.unknown)
        self.received_bytes += request.ByteSize()
        self.sent_bytes += reply.ByteSize()
        await stream.send_message(reply)
        if behind and sender:
            self._pull(sender)

    async def Snapshot(
        self, stream: Stream[SnapshotRequest, SnapshotReply]
    ) -> None:
        """Answer with the whole configuration when it is newer."""
        request = await self._receive(stream)
        deployment = self._knowledge.configuration.deployment
        document = b''
        if deployment.revision > request.above_revision:
            # Encoding a full-sized deployment takes long enough to delay
            # heartbeats; another thread does it.
            document = await asyncio.get_running_loop().run_in_executor(
                None, Configuration.encode, deployment
            )
        await stream.send_message(
            SnapshotReply(revision=deployment.revision, document=document)
        )

    async def _receive(self, stream: Stream[Any, Any]) -> Any:
        shown = str((stream.metadata or {}).get(SECRET_HEADER, ''))
        if not hmac.compare_digest(shown.encode(), self._secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, 'peers only')
        self.message_count += 1
        return await stream.recv_message()


class Peers:
    """Keep exchanging with neighbours, contacts and seeds."""

    def __init__(
        self, knowledge: Knowledge, settings: Settings, loop: PeerLoop
    ) -> None:
        """Take what is shared, the settings and the loop to run in."""
        self._knowledge = knowledge
        self._settings = settings
        self._loop = loop
        self._random = random.Random()
        self._channels: dict[Place, Channel] = {}
        self._revisions: dict[Place, int] = {}
        self._urgent: asyncio.Event | None = None
        self._round = 0
        self._service = PeerService(
            knowledge, settings.peers.secret, self._schedule_pull
        )
        self._server: Server | None = None
        self._task: Future[None] | None = None
        self.extra_seeds: list[Place] = []
        self.sent_count = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self.failed_count = 0

    @property
    def received_count(self) -> int:
        """Return how many calls peers made."""
        return self._service.message_count

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of all messages sent, answers included."""
        return self._sent_bytes + self._service.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Return the bytes of all messages received, answers included."""
        return self._received_bytes + self._service.received_bytes

    def start(self) -> None:
        """Listen; raise OSError when the port is taken."""
        self._loop.submit(self._listen()).result()

    def meet(self) -> int:
        """Call all seeds and known peers; return how many answered."""
        return self._loop.submit(self._meet()).result()

    def run(self) -> None:
        """Begin the regular exchanges."""
        self._task = self._loop.submit(self._exchange_forever())

    def hurry(self) -> None:
        """Tell some peers at once what has just changed."""
        if self._urgent:
            self._loop.loop.call_soon_threadsafe(self._urgent.set)

    def stop(self) -> None:
        """Tell the peers a last time, then close, whatever they answer."""
        if self._task:
            self._task.cancel()
        closing = self._loop.submit(self._close())
        try:
            closing.result(CALL_TIMEOUT_SECONDS)
        except TimeoutError:
            closing.cancel()
            logs.warning('peers_not_closed', seconds=CALL_TIMEOUT_SECONDS)

    async def _listen(self) -> None:
        self._urgent = asyncio.Event()
        self._server = Server([self._service])
        host = self._settings.host
        await self._server.start(host.address, host.peer_port)

    async def _exchange_forever(self) -> None:
        while True:
            urgent = await self._pause()
            places = self._choose(urgent)
            # Heartbeats would be nearly all of an urgent message, and a change
            # makes each host send and get several.
            await asyncio.gather(
                *(self._exchange(place, news_only=urgent) for place in places)
            )

    async def _pause(self) -> bool:
        urgent = self._urgent
        if urgent is None:
            return False
        seconds = self._settings.peers.sync_seconds
        try:
            await asyncio.wait_for(
                urgent.wait(), self._random.uniform(0.8, 1.2) * seconds
            )
        except TimeoutError:
            return False
        await asyncio.sleep(URGENT_PAUSE_SECONDS)
        urgent.clear()
        return True

    def _choose(self, urgent: bool) -> list[Place]:
        self._round += 1
        members = self._knowledge.members
        neighbours = list(map(_place, members.neighbours()))
        contacts = list(map(_place, members.contacts()))
        chosen = self._sample(neighbours, URGENT_FAN_OUT if urgent else 1)
        if urgent or self._round % REMOTE_EVERY_ROUNDS == 0 or not neighbours:
            chosen += self._sample(contacts, 1)
        # After a long partition both sides have forgotten each other; only
        # the seeds and the platform's list bring them together again.
        if self._round % SEED_EVERY_ROUNDS == 0 or not chosen:
            chosen += self._sample(self._seeds(), 1)
        return chosen

    def _sample(self, places: list[Place], count: int) -> list[Place]:
        return self._random.sample(places, min(count, len(places)))

    def _seeds(self) -> list[Place]:
        own = _place(self._knowledge.members.own)
        seeds = dict.fromkeys([*self._settings.peers.seeds, *self.extra_seeds])
        return [place for place in seeds if place != own]

    async def _meet(self) -> int:
        known = map(_place, self._knowledge.members.known_members())
        own = _place(self._knowledge.members.own)
        places = dict.fromkeys([*self._seeds(), *known])
        answers = await asyncio.gather(
            *(self._exchange(place) for place in places if place != own)
        )
        return sum(answers)

    async def _exchange(self, place: Place, *, news_only: bool = False) -> bool:
        members = self._knowledge.members
        peer = _find(members.known_members(), place)
        request = self._knowledge.message(
            peer, self._revisions.get(place, 0), news_only=news_only
        )
        self.sent_count += 1
        self._sent_bytes += request.ByteSize()
        try:
            reply = await self._call(place, request)
            self._received_bytes += reply.ByteSize()
            if self._knowledge.take_in(reply):
                await self._fetch_snapshot(place)
        except Exception as error:
            # Whatever a peer sends or a half-open connection raises (grpclib
            # lets an AttributeError out when a connection is reset as it
            # opens), the exchanges with all others must go on.
            self.failed_count += 1
            self._drop(place)
            logs.logger.debug('peer_call_failed {} {!r}', place, error)
            return False
        self._revisions[place] = reply.revision
        return True

    async def _call(self, place: Place, request: Exchange) -> Exchange:
        stub = PeersStub(self._channel(place))
        return await stub.Sync(
            request,
            timeout=CALL_TIMEOUT_SECONDS,
            metadata={SECRET_HEADER: self._settings.peers.secret},
        )

    async def _fetch_snapshot(self, place: Place) -> None:
        configuration = self._knowledge.configuration
        stub = PeersStub(self._channel(place))
        reply = await stub.Snapshot(
            SnapshotRequest(above_revision=configuration.revision),
            timeout=SNAPSHOT_TIMEOUT_SECONDS,
            metadata={SECRET_HEADER: self._settings.peers.secret},
        )
        if reply.document:
            deployment = await asyncio.get_running_loop().run_in_executor(
                None, decode_snapshot, reply.document
            )
            configuration.offer_snapshot(deployment)

    def _schedule_pull(self, peer: Member) -> None:
        task = asyncio.ensure_future(
            self._exchange(_place(peer), news_only=True)
        )
        task.add_done_callback(asyncio.Task.exception)

    def _channel(self, place: Place) -> Channel:
        channel = self._channels.get(place)
        if channel is None:
            channel = Channel(place[0], place[1])
            self._channels[place] = channel
        return channel

    def _drop(self, place: Place) -> None:
        # A link can go silent for good while new ones work. The next call
        # to this peer opens a new connection.
        channel = self._channels.pop(place, None)
        if channel:
            channel.close()
        self._revisions.pop(place, None)

    async def _close(self) -> None:
        # Peers that end at the same time answer nothing.
        with suppress(TimeoutError):
            async with asyncio.timeout(LAST_EXCHANGE_SECONDS):
                await asyncio.gather(
                    *map(self._exchange, self._choose(urgent=True))
                )
        for place in list(self._channels):
            self._drop(place)
        if self._server:
            self._server.close()


def _place(member: Member) -> Place:
    return member.address, member.peer_port


def _find(members: Iterable[Member], place: Place) -> Member | None:
    for member in members:
        if _place(member) == place:
            return member
    return None
