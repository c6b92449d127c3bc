"""Believe which parts of prompts a target keeps.

Load pattern: 36 subjects of 13,000 tokens, each asked for every few seconds
at any host. A target keeps what it read until newer prompts have filled its
memory. A part that is believed to be kept and is not costs a quarter of a
second that no estimate has foreseen; one that is kept and not believed is read
again elsewhere.
"""

from collections import OrderedDict
from collections.abc import Iterable

from jacinthfold.request.messages import PromptPrefix

# Share of a target's memory that may fill up with newer prompts before a part
# counts as dropped: the rest is held by running requests, which come first.
KEPT_SHARE = 0.7
# Names remembered for each target.
NAMES_KEPT = 2000
# How long a use is told: a heartbeat may be lost, three or more have it.
TOLD_SECONDS = 1.3


class KeptParts:
    """Hold what a target read, in the order of its latest use."""

    __slots__ = ('_counters', '_uses', 'read_tokens')

    def __init__(self) -> None:
        """Start with an empty target."""
        # Tokens that the target has read for all hosts that are heard.
        self.read_tokens = 0.0
        self._uses: OrderedDict[str, float] = OrderedDict()
        self._counters: dict[str, float] = {}

    def tokens(self, chain: Iterable[PromptPrefix], memory_tokens: int) -> int:
        """Return how many leading tokens of a prompt are probably kept."""
        tokens = 0
        oldest = self.read_tokens - memory_tokens * KEPT_SHARE
        for link in chain:
            used_at = self._uses.get(link.name)
            if used_at is None or used_at < oldest:
                break
            tokens = link.tokens
        return tokens

    def note(self, names: Iterable[str]) -> None:
        """Take that prompts up to the ends of these parts were used."""
        for name in names:
            self._uses[name] = self.read_tokens
            self._uses.move_to_end(name)
        while len(self._uses) > NAMES_KEPT:
            self._uses.popitem(last=False)

    def note_read(self, tokens: float) -> None:
        """Take that this host sent a prompt of so many unread tokens."""
        self.read_tokens += tokens

    def begin_counter(self, host: str, read_tokens: float) -> None:
        """Take what a counter says from which on it is followed."""
        self._counters[host] = read_tokens

    def take_counter(self, host: str, read_tokens: float) -> None:
        """Take how much the target has read for another host in all."""
        before = self._counters.get(host, 0.0)
        self._counters[host] = read_tokens
        # A host that started again counts from nothing.
        grown = read_tokens - before if read_tokens >= before else read_tokens
        self.read_tokens += grown


class RecentUses:
    """Hold what this host lately sent where, for the other hosts to hear."""

    __slots__ = ('_uses',)

    def __init__(self) -> None:
        """Start with none."""
        self._uses: OrderedDict[tuple[str, str], float] = OrderedDict()

    def note(self, life: str, name: str, now: float) -> None:
        """Take that a prompt with a long shared part was sent to a target."""
        self._uses[life, name] = now
        self._uses.move_to_end((life, name))

    def note_told(self, life: str, name: str, now: float) -> None:
        """Take a use that a host tells of more than once."""
        if (life, name) not in self._uses:
            self._uses[life, name] = now

    def by_life(self, now: float) -> dict[str, list[str]]:
        """Return the names of parts by the life that was sent them."""
        while self._uses:
            first = next(iter(self._uses))
            if now - self._uses[first] < TOLD_SECONDS:
                break
            self._uses.popitem(last=False)
        found: dict[str, list[str]] = {}
        for life, name in self._uses:
            found.setdefault(life, []).append(name)
        return found
