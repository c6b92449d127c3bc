"""Name what can go wrong between callers, this host and targets."""


class ProxyError(Exception):
    """Report that a request could not be carried through."""


class ConnectFailedError(ProxyError):
    """Report that no connection came about, so nothing was sent."""

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        """Take why, and whether the machine said that nothing listens."""
        super().__init__(reason)
        self.is_refused = is_refused


class ConnectionLostError(ProxyError):
    """Report that a connection ended before it was due."""


class MalformedResponseError(ProxyError):
    """Report bytes that are no answer to the request."""


class MalformedRequestError(ProxyError):
    """Report a caller's bytes that are no proper request."""

    def __init__(self, status: int, reason: str) -> None:
        """Take the status to answer with and what is wrong."""
        super().__init__(reason)
        self.status = status
