"""Translate the calls that the platform and its callers make to a host."""

import json
from collections.abc import Iterable
from urllib.parse import parse_qs, urlsplit

from jacinthfold.catalogue.model import HostRecord

READY_PATH = '/api/readiness'
DIRECTORY_PATH = '/api/resolve'


class PlatformApi:
    """Read and write the calls beside requests."""

    def is_readiness_request(self, target: str) -> bool:
        """Tell whether a call asks if this host is ready."""
        return urlsplit(target).path == READY_PATH

    def parse_directory_request(
        self, target: str
    ) -> tuple[str, str, str] | None:
        """Return host name, region and data centre asked for, or None."""
        parts = urlsplit(target)
        if parts.path != DIRECTORY_PATH:
            return None
        query = parse_qs(parts.query)
        name, region, zone = (
            query.get(field, [''])[0] for field in ('name', 'region', 'zone')
        )
        return name.lower(), region, zone

    def encode_directory_response(
        self, hosts: Iterable[HostRecord], seconds: int
    ) -> bytes:
        """Return the body that names entry hosts to a caller."""
        addresses = [f'{host.address}:{host.caller_port}' for host in hosts]
        return json.dumps({'addresses': addresses, 'ttl-s': seconds}).encode()
