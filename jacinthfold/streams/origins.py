"""Record where streams began, and find it for those that are taken up."""

import asyncio
from collections.abc import Awaitable, Callable

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
from jacinthfold.streams.exchange import OriginExchange, Testimony
from jacinthfold.streams.messages import ORIGIN_MARK, attempt_key
from jacinthfold.streams.origin_writer import OriginWriter
from jacinthfold.streams.stored_origins import StoredOrigins
from jacinthfold.streams.table import OriginTable
from jacinthfold.streams.version_writer import VersionWriter

# Streams that are told when their service comes to have several versions.
MAX_TOLD_AT_ONCE = 1000
MAX_LOGGED_CHARACTERS = 64


class _Finding:
    """Hold the version that began a stream, and who told it."""

    __slots__ = ('source', 'testimony', 'version')

    def __init__(
        self,
        version: str | None,
        source: str,
        testimony: Testimony | None = None,
    ) -> None:
        self.version = version
        self.source = source
        self.testimony = testimony or Testimony()


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
        self._clock = clock
        self.table = OriginTable(clock, lambda: versions.retention)
        self.exchange = OriginExchange(hosts, self.table, versions, clock)
        self.version_writer = VersionWriter(store, versions)
        self.origin_writer = OriginWriter(hosts, store, versions, clock)
        self._stored = stored
        # Tells whether this host's records are as new as a boot time.
        self.prove_current: Callable[[float], Awaitable[bool]] = _never_current
        versions.on_mixed = self._tell_recent

    def connect(self, heartbeats: Heartbeats, follower: Follower) -> None:
        """Exchange messages with other hosts on the heartbeats' socket."""
        self.version_writer.may_write = lambda: follower.watches()
        self.prove_current = follower.prover.prove
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
        if request.origin is not None or not facts.is_taken_up:
            return
        if request.route.retry_policy is not RetryPolicy.RESUMED:
            return
        # A relaying host of the previous version resumes its own attempt.
        attempt_id = facts.resumed_id or facts.request_id
        asked_at = self._clock.monotonic()
        finding = await self._find(request.service_name, attempt_id)
        request.origin = StreamOrigin(attempt_id, finding.version)
        found_at = self._clock.monotonic()
        # Otherwise the wait for a proof would have it rejected as late.
        request.received_at += found_at - asked_at
        logs.event(
            'stream_taken_up',
            request=facts.request_id,
            service=request.service_name,
            resumes=attempt_id[:MAX_LOGGED_CHARACTERS],
            last_event_id=facts.last_event_id[:MAX_LOGGED_CHARACTERS],
            software_version=finding.version,
            source=finding.source,
            asked_hosts=finding.testimony.asked_count,
            answers=finding.testimony.answer_count,
            find_seconds=found_at - asked_at,
            knowledge_age_seconds=self._versions.knowledge_age(),
        )

    async def _find(self, service: str, attempt_id: str) -> _Finding:
        attempt = attempt_key(attempt_id)
        recorded = self._recorded(service, attempt)
        if recorded is not None:
            return recorded
        # The stream has begun before this, at a version that was in the store
        # by then.
        as_of = self._clock.boottime()
        proving = asyncio.ensure_future(self.prove_current(as_of))
        try:
            testimony = await self.exchange.ask(service, attempt)
            if testimony.version is not None:
                return _Finding(testimony.version, 'asked', testimony)
            if testimony.is_mixed or self._versions.is_mixed(service):
                return _Finding(None, 'unknown', testimony)
            is_current = await proving
        finally:
            proving.cancel()
        recorded = self._recorded(service, attempt)
        if recorded is not None:
            return recorded
        return self._only(service, testimony, is_current=is_current)

    def _recorded(self, service: str, attempt: int) -> _Finding | None:
        version = self.table.version(attempt, service)
        if version is not None:
            return _Finding(version, 'own')
        version = self._stored.version(attempt, service)
        return None if version is None else _Finding(version, 'stored')

    def _only(
        self, service: str, testimony: Testimony, *, is_current: bool
    ) -> _Finding:
        only = self._versions.only(service) if is_current else None
        if only is None or not testimony.admits_only(only):
            return _Finding(None, 'unknown', testimony)
        return _Finding(only, 'only', testimony)

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


async def _never_current(_as_of: float) -> bool:
    return False
