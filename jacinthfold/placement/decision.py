"""Hold the outcome of a placement: send, relay or reject."""

from jacinthfold.placement.estimates import Estimate
from jacinthfold.placement.regions import RemoteRegion


class SendTo:
    """Send the request to a target of this region."""

    __slots__ = ('estimate',)

    def __init__(self, estimate: Estimate) -> None:
        """Set the estimate of the chosen target."""
        self.estimate = estimate


class RelayTo:
    """Relay the request to another region."""

    __slots__ = ('region',)

    def __init__(self, region: RemoteRegion) -> None:
        """Set the region and its estimate."""
        self.region = region


class Reject:
    """Reject the request, since it can't be served in time."""

    __slots__ = (
        'after_seconds',
        'inputs',
        'is_past_deadline',
        'is_permanent',
        'local_estimate',
        'reason',
        'remote_region',
    )

    def __init__(
        self,
        reason: str,
        after_seconds: float,
        local_estimate: Estimate | None = None,
        remote_region: RemoteRegion | None = None,
    ) -> None:
        """Set the reason, the retry time and the estimates behind them."""
        self.reason = reason
        self.after_seconds = after_seconds
        # Whether the caller is told a time past its deadline, since no earlier
        # return would be served.
        self.is_past_deadline = False
        # Whether no capacity that becomes free helps the request.
        self.is_permanent = False
        self.local_estimate = local_estimate
        self.remote_region = remote_region
        # What the decision was made from, for the log.
        self.inputs: dict[str, float] = {}


Choice = SendTo | RelayTo | Reject
