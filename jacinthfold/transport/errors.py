"""Define the errors of connections to callers, targets and hosts."""


class ProxyError(Exception):
    """Report that a request could not be completed."""


class ConnectFailedError(ProxyError):
    """Report that no connection was established, so nothing was sent."""

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        """Store the reason, and whether the connection was refused."""
        super().__init__(reason)
        self.is_refused = is_refused


class ConnectionLostError(ProxyError):
    """Report that a connection ended prematurely."""


class MalformedResponseError(ProxyError):
    """Report bytes that are not a valid response to the request."""


class MemoryScarceError(ProxyError):
    """Report that a host has no room for bytes of a caller or a target."""


class MalformedRequestError(ProxyError):
    """Report a caller's bytes that are not a valid request."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the status to respond with and the reason."""
        super().__init__(reason)
        self.status = status
