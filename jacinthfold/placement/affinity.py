"""Rank targets for a prompt by a hash of its shared prefix.

Targets cache the prompts that they prefill. With the same ranking on every
host, requests that share a prefix go to the same targets without coordination,
and late load reports don't move them to the target that looks idlest.
"""

from collections import Counter, deque
from collections.abc import Iterable
from functools import lru_cache

from jacinthfold.hashing import rank
from jacinthfold.placement import limits
from jacinthfold.request.messages import PrefixSegment

RANKINGS_KEPT = 512


class _RecentSegments:
    """Count the leading segments of a route's latest prompts."""

    __slots__ = ('_counts', '_names')

    def __init__(self) -> None:
        self._names: deque[str] = deque()
        self._counts: Counter[str] = Counter()

    def record(self, name: str) -> float:
        """Count a prompt; return the share with the same leading segment."""
        self._names.append(name)
        self._counts[name] += 1
        if len(self._names) > limits.LEADING_SEGMENTS_COUNTED:
            oldest = self._names.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                self._counts.pop(oldest)
        return self._counts[name] / len(self._names)

    def has_enough_samples(self) -> bool:
        """Tell whether enough prompts were counted to rely on the shares."""
        return len(self._names) >= limits.LEADING_SEGMENTS_COUNTED // 4


class Affinity:
    """Select the prefix by which prompts are assigned to targets."""

    __slots__ = ('_recent',)

    def __init__(self) -> None:
        """Start without counted prompts."""
        self._recent: dict[str, _RecentSegments] = {}

    def shared_segments(
        self, route_name: str, segments: tuple[PrefixSegment, ...], targets: int
    ) -> tuple[PrefixSegment, ...]:
        """Return the leading segments by which requests are kept together."""
        # The last segment belongs to the request alone.
        shared = segments[:-1]
        if len(shared) < 2:
            return shared
        recent = self._recent.setdefault(route_name, _RecentSegments())
        share = recent.record(shared[0].name)
        # By a leading segment that many prompts share, one target would get
        # most of them; by one that few share, the segments after it stay
        # together as well.
        if (
            recent.has_enough_samples()
            and share * targets < limits.LEADING_SHARE
        ):
            return shared[:1]
        return shared


def rank_instances(
    shared: Iterable[PrefixSegment], instances: Iterable[str]
) -> list[str]:
    """Return instances, the preferred one for the shared prefix first."""
    last = tuple(shared)[-1]
    return list(_ranked(last.name, tuple(instances)))


# A few tens of shared prefixes are requested again and again while the targets
# stay the same, and a ranking hashes every instance.
@lru_cache(maxsize=RANKINGS_KEPT)
def _ranked(name: str, instances: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rank(name, instances))
