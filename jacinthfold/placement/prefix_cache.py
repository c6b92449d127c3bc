"""Believe which parts of prompts a target keeps.

Load pattern: 36 subjects of 13,000 tokens, each asked for every few seconds
at any host. A target keeps what it read until newer prompts have filled its
memory. A part that is believed to be kept and is not costs a quarter of a
second that no estimate has foreseen; one that is kept and not believed is read
again elsewhere.
"""

from collections import OrderedDict
from collections.abc import Iterable

from jacinthfold.request.messages import ChainLink

# Share of a target's memory that may fill up with newer prompts before a part
# counts as dropped: the rest is held by running requests, which come first.
CACHE_SHARE = 0.7
# Names remembered for each target.
MAX_PREFIXES = 2000
# How long a use is told: a heartbeat may be lost, three or more have it.
USE_REPORT_SECONDS = 1.3


class CachedPrefixes:
    """Hold what a target read, in the order of its latest use."""

    __slots__ = ('_counters', '_uses', 'prefilled_tokens')

    def __init__(self) -> None:
        """Start with an empty target."""
        # Tokens that the target has read for all hosts that are heard.
        self.prefilled_tokens = 0.0
        self._uses: OrderedDict[str, float] = OrderedDict()
        self._counters: dict[str, float] = {}

    def cached_tokens(
        self, chain: Iterable[ChainLink], memory_tokens: int
    ) -> int:
        """Return how many leading tokens of a prompt are probably kept."""
        tokens = 0
        oldest = self.prefilled_tokens - memory_tokens * CACHE_SHARE
        for link in chain:
            used_at = self._uses.get(link.name)
            if used_at is None or used_at < oldest:
                break
            tokens = link.tokens
        return tokens

    def record_use(self, names: Iterable[str]) -> None:
        """Take that prompts up to the ends of these parts were used."""
        for name in names:
            self._uses[name] = self.prefilled_tokens
            self._uses.move_to_end(name)
        while len(self._uses) > MAX_PREFIXES:
            self._uses.popitem(last=False)

    def add_prefilled(self, tokens: float) -> None:
        """Take that this host sent a prompt of so many unread tokens."""
        self.prefilled_tokens += tokens

    def start_counter(self, host: str, prefilled_tokens: float) -> None:
        """Take what a counter says from which on it is followed."""
        self._counters[host] = prefilled_tokens

    def update_counter(self, host: str, prefilled_tokens: float) -> None:
        """Take how much the target has read for another host in all."""
        before = self._counters.get(host, 0.0)
        self._counters[host] = prefilled_tokens
        # A host that started again counts from nothing.
        grown = (
            prefilled_tokens - before
            if prefilled_tokens >= before
            else prefilled_tokens
        )
        self.prefilled_tokens += grown


class RecentPrefixUses:
    """Hold what this host lately sent where, for the other hosts to hear."""

    __slots__ = ('_uses',)

    def __init__(self) -> None:
        """Start with none."""
        self._uses: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record_use(self, incarnation_id: str, name: str, now: float) -> None:
        """Take that a prompt with a long shared part was sent to a target."""
        self._uses[incarnation_id, name] = now
        self._uses.move_to_end((incarnation_id, name))

    def record_reported(
        self, incarnation_id: str, name: str, now: float
    ) -> None:
        """Take a use that a host tells of more than once."""
        if (incarnation_id, name) not in self._uses:
            self._uses[incarnation_id, name] = now

    def by_incarnation(self, now: float) -> dict[str, list[str]]:
        """Return the names of parts by the life that was sent them."""
        while self._uses:
            first = next(iter(self._uses))
            if now - self._uses[first] < USE_REPORT_SECONDS:
                break
            self._uses.popitem(last=False)
        found: dict[str, list[str]] = {}
        for incarnation_id, name in self._uses:
            found.setdefault(incarnation_id, []).append(name)
        return found
