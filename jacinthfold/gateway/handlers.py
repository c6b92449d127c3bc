"""Serve the readiness, directory, control and metrics listeners."""

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
from jacinthfold.gateway.adapter import HostApi
from jacinthfold.proxy.caller_response import CallerResponse, RawRequest
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.request.messages import Headers

JSON_HEADERS: Headers = [(b'Content-Type', b'application/json')]
TEXT_HEADERS: Headers = [(b'Content-Type', b'text/plain; version=0.0.4')]


class ReadinessHandler:
    """Report whether this host is ready for requests."""

    def __init__(self, api: HostApi, is_ready: Callable[[], bool]) -> None:
        """Set the endpoint API and the readiness check."""
        self._api = api
        self._is_ready = is_ready

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Respond with 200 if ready, 503 if not, 404 for other paths."""
        status = HTTPStatus.NOT_FOUND
        if self._api.is_readiness_request(request.target.decode('latin-1')):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if self._is_ready():
                status = HTTPStatus.OK
        await response.send(status, [], b'')


class DirectoryHandler:
    """Tell callers which entry hosts to connect to."""

    def __init__(self, api: HostApi, directory: Directory) -> None:
        """Set the endpoint API and the directory that selects hosts."""
        self._api = api
        self._directory = directory

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Respond with entry hosts, or 503 if none is known to be serving."""
        query = self._api.parse_directory_request(
            request.target.decode('latin-1')
        )
        if query is None:
            await response.send(HTTPStatus.NOT_FOUND, [], b'')
            return
        hosts = self._directory.resolve(*query)
        if not hosts:
            await response.send(HTTPStatus.SERVICE_UNAVAILABLE, [], b'')
            return
        body = self._api.encode_directory_response(hosts, DIRECTORY_TTL_SECONDS)
        await response.send(HTTPStatus.OK, JSON_HEADERS, body)


class ControlHandler:
    """Serve catalogue snapshots to entry hosts and the state to operators."""

    def __init__(
        self, catalogue: Catalogue, dump_state: Callable[[], dict[str, Any]]
    ) -> None:
        """Set the catalogue and the function that dumps the state."""
        self._catalogue = catalogue
        self._compressed_snapshots = CompressedSnapshots(catalogue)
        self._dump_state = dump_state

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Respond with a snapshot or with the state as JSON."""
        target = request.target.decode('latin-1')
        path = target.partition('?')[0]
        if path == SNAPSHOT_PATH:
            try:
                query = SnapshotQuery(target)
            except ValueError:
                await response.send(HTTPStatus.BAD_REQUEST, [], b'')
                return
            body = self._snapshot(query)
        elif path == '/state':
            body = json.dumps(self._dump_state(), indent=1).encode()
        else:
            await response.send(HTTPStatus.NOT_FOUND, [], b'')
            return
        await response.send(HTTPStatus.OK, JSON_HEADERS, body)

    def _snapshot(self, query: SnapshotQuery) -> bytes:
        since = query.start_at(self._catalogue.revision)
        if query.accepts_compressed:
            return self._compressed_snapshots.since(since)
        return encode_snapshot(self._catalogue, since)


class MetricsHandler:
    """Expose counters and histograms."""

    def __init__(self, metrics: ProxyMetrics) -> None:
        """Set the metrics to expose."""
        self._metrics = metrics

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Respond with all metrics in text format."""
        await response.send(
            HTTPStatus.OK, TEXT_HEADERS, self._metrics.exposition()
        )
