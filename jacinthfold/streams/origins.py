"""Record where streams began, and find it for those that are taken up."""

from jacinthfold import logs
from jacinthfold.catalogue.follower import Follower
from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.clock import Clock
from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement.software_versions import SoftwareVersions
from jacinthfold.request.messages import Request
from jacinthfold.request.stream_origin import StreamOrigin
from jacinthfold.streams.exchange import OriginExchange
from jacinthfold.streams.messages import ORIGIN_MARK, attempt_key
from jacinthfold.streams.origin_writer import OriginWriter
from jacinthfold.streams.stored_origins import StoredOrigins
from jacinthfold.streams.table import OriginTable
from jacinthfold.streams.version_writer import VersionWriter

# Streams that are told when their service comes to have several versions.
MAX_TOLD_AT_ONCE = 1000
MAX_LOGGED_CHARACTERS = 64


class StreamOrigins:
    """Know at which software version the streams of callers began."""

    def __init__(
        self,
        hosts: HostTable,
        versions: SoftwareVersions,
        store: MetadataStore,
        stored: StoredOrigins,
        clock: Clock,
    ) -> None:
        """Use the versions of each service, and the hosts and the store."""
        self._versions = versions
        self.table = OriginTable(clock, lambda: versions.retention)
        self.exchange = OriginExchange(hosts, self.table, versions, clock)
        self.version_writer = VersionWriter(store, versions)
        self.origin_writer = OriginWriter(hosts, store, versions, clock)
        self._stored = stored
        versions.on_mixed = self._tell_recent

    def connect(self, heartbeats: Heartbeats, follower: Follower) -> None:
        """Exchange messages with other hosts on the heartbeats' socket."""
        self.version_writer.may_write = lambda: follower.watches()
        heartbeats.datagram_handlers[ORIGIN_MARK] = (
            self.exchange.handle_datagram
        )
        self.exchange.send = heartbeats.send

    def record_begin(self, request: Request, version: str | None) -> None:
        """Record that the caller gets an event from a software version."""
        if request.route.retry_policy is not RetryPolicy.RESUMED:
            return
        service = request.service_name
        if request.origin is None:
            version = self._versions.origin_version(service, version)
            request.origin = StreamOrigin(request.facts.request_id, version)
        origin = request.origin
        if not origin.attempt_id or origin.software_version is None:
            return
        attempt = attempt_key(origin.attempt_id)
        is_new = self.table.record(attempt, service, origin.software_version)
        # With one version, any host knows where each stream may go on.
        if is_new and self._versions.is_mixed(service):
            self._tell(service, origin.software_version, [attempt])

    async def resolve(self, request: Request) -> None:
        """Find where a stream began that its caller takes up."""
        facts = request.facts
        is_taken_up = facts.last_event_id or facts.resumed_id
        if request.origin is not None or not is_taken_up:
            return
        if request.route.retry_policy is not RetryPolicy.RESUMED:
            return
        # A relaying host of the previous version resumes its own attempt.
        attempt_id = facts.resumed_id or facts.request_id
        version, source = await self._find(request.service_name, attempt_id)
        request.origin = StreamOrigin(attempt_id, version)
        if source != 'only':
            logs.event(
                'stream_taken_up',
                request=facts.request_id,
                service=request.service_name,
                resumes=attempt_id[:MAX_LOGGED_CHARACTERS],
                last_event_id=facts.last_event_id[:MAX_LOGGED_CHARACTERS],
                software_version=version,
                source=source,
            )

    async def _find(
        self, service: str, attempt_id: str
    ) -> tuple[str | None, str]:
        """Return the version that began a stream, and who told it."""
        attempt = attempt_key(attempt_id)
        version = self.table.version(attempt, service)
        if version is not None:
            return version, 'own'
        version = self._stored.version(attempt, service)
        if version is not None:
            return version, 'stored'
        # A version that has just come may not be known here yet, but it is to
        # the host that began the stream, and to those that it has told.
        testimony = await self.exchange.ask(service, attempt)
        if testimony.version is not None:
            return testimony.version, 'asked'
        only = testimony.only_version(self._versions.proven_only(service))
        return only, 'unknown' if only is None else 'only'

    def _tell(self, service: str, version: str, attempts: list[int]) -> None:
        self.exchange.tell(service, version, attempts)
        self.origin_writer.add(service, version, attempts)

    def _tell_recent(self, service: str) -> None:
        """Tell other hosts of streams that began at the only version."""
        by_version: dict[str, list[int]] = {}
        for attempt, version in self.table.newest(service, MAX_TOLD_AT_ONCE):
            by_version.setdefault(version, []).append(attempt)
        for version, attempts in by_version.items():
            self._tell(service, version, attempts)
