"""Model which prompt prefixes a target has cached.

Load pattern: 36 shared prefixes of 13,000 tokens, each requested every few
seconds at any host. A target caches what it prefilled until newer prompts have
filled its memory. A prefix that is wrongly assumed to be cached costs a quarter
of a second that no estimate foresees; one that is wrongly assumed to be evicted
is prefilled again at another target.
"""

from collections import OrderedDict
from collections.abc import Iterable

from jacinthfold.request.messages import PromptPrefix

# Share of a target's memory that newer prompts may fill before a prefix counts
# as evicted: the remainder is used by running requests, which have precedence.
CACHE_SHARE = 0.7
# Prefixes remembered for each target.
MAX_PREFIXES = 2000
# How long a use is reported: at least three heartbeats, since some get lost.
USE_REPORT_SECONDS = 1.3


class CachedPrefixes:
    """Hold the prefixes that a target prefilled, the latest used last."""

    __slots__ = ('_counters', '_uses', 'prefilled_tokens')

    def __init__(self) -> None:
        """Start with an empty cache."""
        # Tokens that the target has prefilled for all known hosts.
        self.prefilled_tokens = 0.0
        self._uses: OrderedDict[str, float] = OrderedDict()
        self._counters: dict[str, float] = {}

    def cached_tokens(
        self, prefixes: Iterable[PromptPrefix], memory_tokens: int
    ) -> int:
        """Return how many leading tokens of a prompt are probably cached."""
        tokens = 0
        oldest = self.prefilled_tokens - memory_tokens * CACHE_SHARE
        for prefix in prefixes:
            used_at = self._uses.get(prefix.name)
            if used_at is None or used_at < oldest:
                break
            tokens = prefix.tokens
        return tokens

    def record_use(self, names: Iterable[str]) -> None:
        """Mark prefixes as used now."""
        for name in names:
            self._uses[name] = self.prefilled_tokens
            self._uses.move_to_end(name)
        while len(self._uses) > MAX_PREFIXES:
            self._uses.popitem(last=False)

    def add_prefilled(self, tokens: float) -> None:
        """Add the tokens to prefill of a prompt that this host sent."""
        self.prefilled_tokens += tokens

    def start_counter(self, host: str, prefilled_tokens: float) -> None:
        """Set the start value of a host's counter of prefilled tokens."""
        self._counters[host] = prefilled_tokens

    def update_counter(self, host: str, prefilled_tokens: float) -> None:
        """Add the growth of a host's counter of prefilled tokens."""
        before = self._counters.get(host, 0.0)
        self._counters[host] = prefilled_tokens
        # A restarted host counts from 0 again.
        grown = (
            prefilled_tokens - before
            if prefilled_tokens >= before
            else prefilled_tokens
        )
        self.prefilled_tokens += grown


class RecentPrefixUses:
    """Hold recently sent prefixes by target, to report to other hosts."""

    __slots__ = ('_uses',)

    def __init__(self) -> None:
        """Start without uses."""
        self._uses: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record_use(self, incarnation_id: str, name: str, now: float) -> None:
        """Record that a prompt with a long shared prefix was sent."""
        self._uses[incarnation_id, name] = now
        self._uses.move_to_end((incarnation_id, name))

    def record_reported(
        self, incarnation_id: str, name: str, now: float
    ) -> None:
        """Record a use that a host reports, which may be a repetition."""
        if (incarnation_id, name) not in self._uses:
            self._uses[incarnation_id, name] = now

    def by_incarnation(self, now: float) -> dict[str, list[str]]:
        """Return the names of recent prefixes by incarnation."""
        while self._uses:
            first = next(iter(self._uses))
            if now - self._uses[first] < USE_REPORT_SECONDS:
                break
            self._uses.popitem(last=False)
        found: dict[str, list[str]] = {}
        for incarnation_id, name in self._uses:
            found.setdefault(incarnation_id, []).append(name)
        return found
