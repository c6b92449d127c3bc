"""Learn whether a service's targets answer with a head when they begin."""

# Some engines send the head of an answer when they take a request from their
# queue, others with the first event. A head tells running from queued only
# where it comes this much before the event: a prompt's reading takes 5 ms and
# more, two writes of the same moment arrive within 0.1 ms.
MIN_LEAD_SECONDS = 0.001
# Weight of the newest answer; ten answers of another kind change the belief.
SMOOTHING_FACTOR = 0.1
# Heads are believed when most of the latest ones led. Before the first answer
# none did: every request that was sent may have been running.
EARLY_HEAD_THRESHOLD = 0.5


class HeadTiming:
    """Hold the share of answers whose head came first, by service."""

    __slots__ = ('_shares',)

    def __init__(self) -> None:
        """Start without answers."""
        self._shares: dict[str, float] = {}

    def record(self, service: str, lead_seconds: float) -> None:
        """Take how long before its first event an answer's head came."""
        was_early = float(lead_seconds > MIN_LEAD_SECONDS)
        share = self._shares.get(service, was_early)
        self._shares[service] = share + SMOOTHING_FACTOR * (was_early - share)

    def are_early(self, service: str) -> bool:
        """Tell whether a request without a head is still queued."""
        return self._shares.get(service, 0.0) > EARLY_HEAD_THRESHOLD
