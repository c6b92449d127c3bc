"""Define how the proxy reads and writes a deployment's headers."""

from typing import Protocol

from jacinthfold.request.messages import (
    Headers,
    Request,
    RequestFacts,
    ResponseFacts,
)


class Dialect(Protocol):
    """Read and write the headers of callers and targets."""

    def read_request(self, headers: Headers) -> RequestFacts:
        """Return what a request's headers declare; raise ValueError."""

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Return what a response's headers declare."""

    def target_headers(
        self,
        request: Request,
        *,
        instance: str,
        remaining_seconds: float,
        last_event_id: str,
    ) -> Headers:
        """Return the headers for a target, without framing."""

    def without_credentials(self, headers: Headers) -> Headers:
        """Return the headers without keys and the caller's identity."""

    def prefix_copy_headers(self, address: tuple[str, int]) -> Headers:
        """Return headers that make a target copy another's cached prefix."""

    def gateway_headers(self, request_id: str) -> Headers:
        """Return the headers of every response by the gateway itself."""

    def retry_headers(self, after_seconds: float) -> Headers:
        """Return the headers that tell a caller when to retry."""
