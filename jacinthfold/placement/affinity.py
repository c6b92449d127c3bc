"""Order targets for a prompt by what they are likely to have read of it.

Targets keep what they read. Ordered by a hash of a shared part, all hosts
send the requests that share it to the same targets without asking each other,
and what one host's lagging reports say of the idlest target moves nothing.
"""

from collections import Counter, deque
from collections.abc import Iterable

from jacinthfold.hashing import rank
from jacinthfold.placement import limits
from jacinthfold.request.messages import PrefixSegment


class _Recent:
    """Hold the leading parts of a route's latest prompts."""

    __slots__ = ('_counts', '_names')

    def __init__(self) -> None:
        self._names: deque[str] = deque()
        self._counts: Counter[str] = Counter()

    def note(self, name: str) -> float:
        """Count a prompt; return the share of prompts that begin alike."""
        self._names.append(name)
        self._counts[name] += 1
        if len(self._names) > limits.LEADING_PARTS_KEPT:
            oldest = self._names.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                self._counts.pop(oldest)
        return self._counts[name] / len(self._names)

    def is_telling(self) -> bool:
        """Tell whether enough prompts were seen to go by shares."""
        return len(self._names) >= limits.LEADING_PARTS_KEPT // 4


class Affinity:
    """Order targets, the same on every host."""

    __slots__ = ('_recent',)

    def __init__(self) -> None:
        """Start without any prompt seen."""
        self._recent: dict[str, _Recent] = {}

    def shared_parts(
        self, route_name: str, parts: tuple[PrefixSegment, ...], targets: int
    ) -> tuple[PrefixSegment, ...]:
        """Return the leading parts by which requests are kept together."""
        # The last part belongs to the request alone.
        shared = parts[:-1]
        if len(shared) < 2:
            return shared
        recent = self._recent.setdefault(route_name, _Recent())
        share = recent.note(shared[0].name)
        # Kept together by a leading part that many prompts share, one target
        # would get most of them; by one that few share, what follows it is
        # kept together as well.
        if recent.is_telling() and share * targets < limits.LEADING_SHARE:
            return shared[:1]
        return shared


def in_order(
    shared: Iterable[PrefixSegment], instances: Iterable[str]
) -> list[str]:
    """Return instances, the one that is to keep the shared parts first."""
    last = tuple(shared)[-1]
    return rank(last.name, instances)
