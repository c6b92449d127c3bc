"""Say what the proxy needs to know of the headers in use."""

from typing import Protocol

from jacinthfold.request.messages import (
    Headers,
    Request,
    RequestFacts,
    ResponseFacts,
)


class Dialect(Protocol):
    """Read and write the headers that callers and targets use."""

    def read_request(self, headers: Headers) -> RequestFacts:
        """Return what a request's headers say; raise ValueError."""

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Return what an answer's headers say."""

    def target_headers(
        self,
        request: Request,
        *,
        instance: str,
        remaining_seconds: float,
        last_event_id: str,
    ) -> Headers:
        """Return headers for a target, without framing."""

    def without_credentials(self, headers: Headers) -> Headers:
        """Return headers that neither hold a key nor say who calls."""

    def prefix_copy_headers(self, address: tuple[str, int]) -> Headers:
        """Return headers that have a target copy what another has read."""

    def gateway_headers(self, request_id: str) -> Headers:
        """Return headers that every answer of our own carries."""

    def retry_headers(self, after_seconds: float) -> Headers:
        """Return headers that say when to come back."""
