"""Decode the platform's records in the metadata store."""

import json
from typing import Any

from jacinthfold.catalogue.model import (
    CallerLimits,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
    TargetRecord,
)
from jacinthfold.catalogue.record import RecordKind, UnreadableRecordError
from jacinthfold.platform import target_records
from jacinthfold.platform.organisations import read_organisations

ROUTES_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
TARGET_PREFIX = 'servers/'
HOST_PREFIX = 'hosts/'
QUARANTINE_PREFIX = 'quarantine/'
ISSUER_PREFIX = 'issuers/'
VERSIONS_PREFIX = 'versions/'
ORIGINS_PREFIX = 'streams/'
# Errors raised by decoding a document of an unexpected structure.
MALFORMED_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
_MS = 1000
_BITS_PER_BYTE = 8
_MEGA = 1_000_000


class PlatformReader:
    """Decode the store's records by their keys."""

    def kind_of(self, key: str) -> tuple[RecordKind, str]:
        """Return the kind of a key's record and its name within that kind."""
        if key == ROUTES_KEY:
            return RecordKind.ROUTES, key
        for prefix, kind in (
            (EVACUATION_PREFIX, RecordKind.EVACUATION),
            (TARGET_PREFIX, RecordKind.TARGET),
            (HOST_PREFIX, RecordKind.HOST),
            (QUARANTINE_PREFIX, RecordKind.QUARANTINE),
            (ISSUER_PREFIX, RecordKind.ISSUER),
            (VERSIONS_PREFIX, RecordKind.VERSIONS),
            (ORIGINS_PREFIX, RecordKind.ORIGINS),
        ):
            if key.startswith(prefix):
                return kind, key.removeprefix(prefix)
        return RecordKind.OTHER, key

    def read_routes(self, content: bytes) -> RouteTable:
        """Decode the operator's configuration; raise UnreadableRecordError."""
        try:
            return _read_table(json.loads(content))
        except MALFORMED_ERRORS as error:
            raise UnreadableRecordError(repr(error)) from error

    def read_target(self, name: str, content: bytes) -> TargetRecord:
        """Decode a target's record; raise UnreadableRecordError."""
        return target_records.read_target(name, content)


def _read_table(document: dict[str, Any]) -> RouteTable:
    services = {
        entry['name']: _read_service(entry) for entry in document['backends']
    }
    routes = tuple(_read_route(entry) for entry in document['routes'])
    limits = _read_limits(document.get('limits') or {})
    organisations = read_organisations(document.get('tenants'))
    return RouteTable(
        int(document['version']), routes, services, limits, organisations
    )


def _read_route(entry: dict[str, Any]) -> Route:
    weighted_backends = entry.get('weighted-backends') or []
    services = tuple(
        (one['backend'], float(one['weight'])) for one in weighted_backends
    )
    if not services:
        services = ((entry['backend'], 1.0),)
    route = Route(
        entry['name'], entry['hostname'].lower(), entry['prefix'], services
    )
    kind = entry['route-type']
    route.is_public = bool(entry.get('public'))
    route.is_stream = kind == 'stream'
    route.retry_policy = _retry_policy(kind, entry)
    route.timeout_seconds = entry['timeout-ms'] / _MS
    route.latency_objective_seconds = (
        entry.get('target-latency-ms') or entry['timeout-ms']
    ) / _MS
    route.gap_objective_seconds = (entry.get('target-gap-ms') or 0) / _MS
    route.priority = entry.get('priority') or 0
    route.max_attempts = max(1, entry.get('max-attempts') or 1)
    route.home_regions = frozenset(entry.get('allowed-regions') or ())
    return route


def _retry_policy(kind: str, entry: dict[str, Any]) -> RetryPolicy:
    if kind == 'idempotent':
        return RetryPolicy.WHOLE
    if kind == 'stream' and entry.get('resumable'):
        return RetryPolicy.RESUMED
    return RetryPolicy.NEVER


def _read_service(entry: dict[str, Any]) -> Service:
    service = Service(entry['name'])
    service.connection_limit = entry.get('max-connections') or 0
    service.cold_seconds = entry.get('warmup-s') or 0.0
    service.cold_requests_per_second = entry.get('warmup-per-s') or 0.0
    engine = entry.get('engine') or {}
    service.slots = engine.get('slots') or 0
    service.kv_cache_tokens = engine.get('kv-tokens') or 0
    if engine.get('moves') and engine.get('link-mbps'):
        bits = (engine.get('kv-bytes') or 0) * _BITS_PER_BYTE
        service.copy_seconds_per_token = bits / engine['link-mbps'] / _MEGA
    return service


def _read_limits(entry: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        head_bytes=entry.get('max-header-bytes') or 16384,
        body_bytes=entry.get('max-body-bytes') or 4194304,
        head_timeout_seconds=(entry.get('header-timeout-ms') or 5000) / _MS,
        idle_timeout_seconds=(entry.get('idle-timeout-ms') or 30000) / _MS,
    )
