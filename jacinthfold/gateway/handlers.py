"""Serve the listeners of an entry host."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from jacinthfold.catalogue.records import Catalogue
from jacinthfold.fleet.directory import DIRECTORY_TTL_SECONDS, Directory
from jacinthfold.fleet.snapshots import (
    SNAPSHOT_PATH,
    CompressedSnapshots,
    SnapshotQuery,
    encode_snapshot,
)
from jacinthfold.gateway.adapter import HostCalls
from jacinthfold.proxy.caller_answer import CallerAnswer, RawRequest
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.request.messages import Headers

JSON_HEADERS: Headers = [(b'Content-Type', b'application/json')]
TEXT_HEADERS: Headers = [(b'Content-Type', b'text/plain; version=0.0.4')]


class ReadyHandler:
    """Tell whether this host takes callers."""

    def __init__(self, calls: HostCalls, is_ready: Callable[[], bool]) -> None:
        """Take how the call looks and who knows."""
        self._calls = calls
        self._is_ready = is_ready

    async def handle(self, request: RawRequest, answer: CallerAnswer) -> None:
        """Answer 200 or 503."""
        status = HTTPStatus.NOT_FOUND
        if self._calls.is_ready_call(request.target.decode('latin-1')):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if self._is_ready():
                status = HTTPStatus.OK
        await answer.whole(status, [], b'')


class DirectoryHandler:
    """Tell callers where to connect."""

    def __init__(self, calls: HostCalls, directory: Directory) -> None:
        """Take how the call looks and who chooses."""
        self._calls = calls
        self._directory = directory

    async def handle(self, request: RawRequest, answer: CallerAnswer) -> None:
        """Name entry hosts, or 503 when none is known to serve."""
        asked = self._calls.read_directory_call(
            request.target.decode('latin-1')
        )
        if asked is None:
            await answer.whole(HTTPStatus.NOT_FOUND, [], b'')
            return
        hosts = self._directory.resolve(*asked)
        if not hosts:
            await answer.whole(HTTPStatus.SERVICE_UNAVAILABLE, [], b'')
            return
        body = self._calls.write_directory_answer(hosts, DIRECTORY_TTL_SECONDS)
        await answer.whole(HTTPStatus.OK, JSON_HEADERS, body)


class ControlHandler:
    """Give snapshots to entry hosts and the state to operators."""

    def __init__(
        self, catalogue: Catalogue, dump: Callable[[], dict[str, Any]]
    ) -> None:
        """Take what is told."""
        self._catalogue = catalogue
        self._packed = CompressedSnapshots(catalogue)
        self._dump = dump

    async def handle(self, request: RawRequest, answer: CallerAnswer) -> None:
        """Answer a snapshot or the state."""
        target = request.target.decode('latin-1')
        path = target.partition('?')[0]
        if path == SNAPSHOT_PATH:
            try:
                call = SnapshotQuery(target)
            except ValueError:
                await answer.whole(HTTPStatus.BAD_REQUEST, [], b'')
                return
            body = self._snapshot(call)
        elif path == '/state':
            body = json.dumps(self._dump(), indent=1).encode()
        else:
            await answer.whole(HTTPStatus.NOT_FOUND, [], b'')
            return
        await answer.whole(HTTPStatus.OK, JSON_HEADERS, body)

    def _snapshot(self, call: SnapshotQuery) -> bytes:
        if call.accepts_compressed:
            return self._packed.since(call.since)
        return encode_snapshot(self._catalogue, call.since)


class MetricsHandler:
    """Show counters and histograms."""

    def __init__(self, metrics: ProxyMetrics) -> None:
        """Take the metrics."""
        self._metrics = metrics

    async def handle(self, request: RawRequest, answer: CallerAnswer) -> None:
        """Answer with all metrics as text."""
        await answer.whole(
            HTTPStatus.OK, TEXT_HEADERS, self._metrics.exposition()
        )
