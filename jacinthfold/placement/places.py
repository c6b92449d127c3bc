"""Give the few places of cold targets to the requests that are worth most.

Load pattern: a region's engines return cold at a peak and take some seven
requests a second each, whatever their size, while hundreds of small ones and a
few large ones are asked for. A place is counted by requests and not by tokens:
a large prompt in it spares the warm engines as much reading as fifty small
ones, which then find room there.
"""

# A prompt of this many mean ones is large.
LARGE_MEANS = 2.0
# Weight of the newest prompt in the mean.
MEAN_WEIGHT = 0.02
# Small ones have the places again when no large one came for this long: a cold
# target's places come free seven times a second.
LARGE_SECONDS = 1.0


class _Seen:
    """Hold what was lately asked of a service."""

    __slots__ = ('large_at', 'mean_work')

    def __init__(self) -> None:
        self.mean_work = 0.0
        self.large_at = float('-inf')


class ScarcePlaces:
    """Decide who may use a target that takes few requests."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        """Start without any request seen."""
        self._seen: dict[str, _Seen] = {}

    def note(self, service: str, work: float, now: float) -> None:
        """Take that a request with so much reading came."""
        seen = self._seen.setdefault(service, _Seen())
        if self._is_large(seen, work):
            seen.large_at = now
        seen.mean_work += MEAN_WEIGHT * (work - seen.mean_work)

    def may_take(self, service: str, work: float, now: float) -> bool:
        """Tell whether a request may have a scarce place."""
        seen = self._seen.get(service)
        if seen is None or self._is_large(seen, work):
            return True
        return now - seen.large_at > LARGE_SECONDS

    def _is_large(self, seen: _Seen, work: float) -> bool:
        return work > 0 and work >= LARGE_MEANS * seen.mean_work
