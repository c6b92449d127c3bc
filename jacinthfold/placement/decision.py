"""Say what was decided for a request, and by which expectations."""

from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.regions import RemoteRegion


class SendTo:
    """Say that a target here is to run the request."""

    __slots__ = ('estimate',)

    def __init__(self, estimate: Estimate) -> None:
        """Take the estimate that decided."""
        self.estimate = estimate


class RelayTo:
    """Say that another region is to run the request."""

    __slots__ = ('region',)

    def __init__(self, region: RemoteRegion) -> None:
        """Take the region and what was believed of it."""
        self.region = region


class Reject:
    """Say that the request can't be served in time."""

    __slots__ = ('after_seconds', 'remote_region', 'local_estimate', 'reason')

    def __init__(
        self,
        reason: str,
        after_seconds: float,
        local_estimate: Estimate | None = None,
        remote_region: RemoteRegion | None = None,
    ) -> None:
        """Take why, when a return may meet room, and what was expected."""
        self.reason = reason
        self.after_seconds = after_seconds
        self.local_estimate = local_estimate
        self.remote_region = remote_region


Choice = SendTo | RelayTo | Reject
