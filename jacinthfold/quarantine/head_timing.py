"""Learn whether targets send the response head when a request starts."""

# Some engines send the response head when they take a request from their queue,
# others with the first event. The head separates running from queued requests
# only where it comes this long before the event: the prefill of a prompt takes
# at least 5 ms, while two writes at the same time arrive within 0.1 ms.
MIN_LEAD_SECONDS = 0.001
# Weight of the latest response: about ten responses of another kind change the
# result.
SMOOTHING_FACTOR = 0.1
# Heads count as early when most of the recent ones were. Before the first
# response none count: any request that was sent may have been running.
EARLY_HEAD_THRESHOLD = 0.5


class HeadTiming:
    """Share of responses with an early head, by service."""

    __slots__ = ('_shares',)

    def __init__(self) -> None:
        """Start without responses."""
        self._shares: dict[str, float] = {}

    def record(self, service: str, lead_seconds: float) -> None:
        """Record how long before its first event a response's head came."""
        was_early = float(lead_seconds > MIN_LEAD_SECONDS)
        share = self._shares.get(service, was_early)
        self._shares[service] = share + SMOOTHING_FACTOR * (was_early - share)

    def are_early(self, service: str) -> bool:
        """Return whether a request without a head is still queued."""
        return self._shares.get(service, 0.0) > EARLY_HEAD_THRESHOLD
