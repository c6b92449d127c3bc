"""Parse and encode the platform's readiness and directory endpoints."""

import json
from collections.abc import Iterable
from urllib.parse import parse_qs, urlsplit

from jacinthfold.catalogue.model import HostRecord

READY_PATH = '/api/readiness'
DIRECTORY_PATH = '/api/resolve'


class PlatformApi:
    """Parse and encode calls to the platform's host endpoints."""

    def is_readiness_request(self, target: str) -> bool:
        """Return whether a request target is the readiness endpoint."""
        return urlsplit(target).path == READY_PATH

    def parse_directory_request(
        self, target: str
    ) -> tuple[str, str, str] | None:
        """Return the host name, region and data centre of a directory query.

        Return None if the target is not the directory endpoint.
        """
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
        """Return the response body with the entry hosts to connect to."""
        addresses = [f'{host.address}:{host.caller_port}' for host in hosts]
        return json.dumps({'addresses': addresses, 'ttl-s': seconds}).encode()
