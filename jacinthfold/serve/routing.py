"""Choose a target for a request; free of sockets and clocks."""

import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Protocol

import xxhash

from jacinthfold.config import Settings
from jacinthfold.hashing import rank

FIRST_CHECKPOINT_BYTES = 1024
CHECKPOINT_LIMIT = 8
BELIEF_LIMIT = 20000


class Candidate:
    """Hold what is known of a target that may be chosen."""

    __slots__ = (
        'capacity',
        'first_token_seconds',
        'load',
        'name',
        'pending_bytes',
        'slots',
    )

    def __init__(
        self,
        name: str,
        *,
        load: int,
        slots: int,
        capacity: float,
        first_token_seconds: float,
        pending_bytes: int = 0,
    ) -> None:
        """Take load and capacity in requests, and what delays a first token."""
        self.pending_bytes = pending_bytes
        self.name = name
        self.load = load
        self.slots = slots
        self.capacity = capacity
        self.first_token_seconds = first_token_seconds

    @property
    def has_room(self) -> bool:
        """Tell whether one more request fits."""
        return self.load < self.capacity

    @property
    def load_share(self) -> float:
        """Return the load as a share of the slots."""
        return self.load / self.slots


class Prompt:
    """Hold a prompt's length and the hashes of its growing prefixes."""

    __slots__ = ('checkpoints', 'fresh_bytes', 'length_bytes')

    def __init__(self, text: bytes = b'') -> None:
        """Hash prefixes of doubling length."""
        self.length_bytes = len(text)
        self.fresh_bytes = len(text)
        self.checkpoints: list[tuple[int, int]] = []
        size = FIRST_CHECKPOINT_BYTES
        while size <= len(text) and len(self.checkpoints) < CHECKPOINT_LIMIT:
            digest = xxhash.xxh64_intdigest(text[:size])
            self.checkpoints.append((size, digest))
            size *= 2

    @property
    def affinity_key(self) -> str:
        """Return what requests that share a long prefix have in common."""
        return str(self.checkpoints[0][1]) if self.checkpoints else ''


class PrefixBeliefs:
    """Remember which target read which prefix last, as a belief."""

    def __init__(self) -> None:
        """Start with no belief."""
        self._seen: OrderedDict[tuple[int, str], None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of beliefs."""
        return len(self._seen)

    def note(self, prompt: Prompt, name: str) -> None:
        """Note that a target has read a prompt."""
        for _, digest in prompt.checkpoints:
            self._seen[digest, name] = None
            self._seen.move_to_end((digest, name))
        while len(self._seen) > BELIEF_LIMIT:
            self._seen.popitem(last=False)

    def cached_bytes(self, prompt: Prompt, name: str) -> int:
        """Return how much of a prompt a target may hold."""
        cached = 0
        for size, digest in prompt.checkpoints:
            if (digest, name) not in self._seen:
                break
            cached = size
        return cached


class Policy(Protocol):
    """Choose among candidates."""

    @property
    def minds_room(self) -> bool:
        """Tell whether requests wait here while every target is full."""

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt
    ) -> Candidate | None:
        """Return the best candidate with room, or None."""


class WeightedPolicy:
    """Weigh the wait for the first token against prefill to pay for."""

    minds_room = True

    def __init__(self, settings: Settings, source: random.Random) -> None:
        """Take the weights and a source of random numbers for ties."""
        self._routing = settings.routing
        self._random = source
        self.beliefs = PrefixBeliefs()

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt
    ) -> Candidate | None:
        """Return the best candidate with room, or None."""
        open_ones = [one for one in candidates if one.has_room]
        if not open_ones:
            return None
        cached = self._cached(candidates, prompt)
        mean = sum(one.load for one in candidates) / len(candidates)
        load_limit = mean * self._routing.affinity_load_bound + 1
        best = min(
            open_ones,
            key=lambda one: (
                self._score(one, prompt, cached[one.name], load_limit),
                self._random.random(),
            ),
        )
        prompt.fresh_bytes = prompt.length_bytes - cached[best.name]
        self.beliefs.note(prompt, best.name)
        return best

    def _cached(
        self, candidates: Sequence[Candidate], prompt: Prompt
    ) -> Mapping[str, int]:
        cached = {
            one.name: self.beliefs.cached_bytes(prompt, one.name)
            for one in candidates
        }
        if prompt.checkpoints:
            # Hosts that never speak of a prefix still agree on its first
            # target, so it is read once and not once for each host.
            first = rank(prompt.affinity_key, cached)[0]
            cached[first] = max(cached[first], FIRST_CHECKPOINT_BYTES)
        return cached

    def _score(
        self,
        candidate: Candidate,
        prompt: Prompt,
        cached_bytes: int,
        load_limit: float,
    ) -> float:
        routing = self._routing
        batch = 1 + candidate.load
        if candidate.load > load_limit:
            # A prefix that everybody uses, or a batch that is cheap to join,
            # would bury its target; over the bound the load decides.
            cached_bytes = 0
            batch = 1
        rate = routing.prefill_bytes_per_second
        prefill_seconds = (prompt.length_bytes - cached_bytes) / rate
        # A long prompt that is still being read holds up the next one.
        wait_seconds = candidate.pending_bytes / rate + prefill_seconds
        wait_seconds += candidate.first_token_seconds * (
            1 + candidate.load_share
        )
        # A step costs an engine nearly the same for one request as for many.
        cost_seconds = prefill_seconds + routing.decode_seconds / batch
        return (
            routing.latency_weight * wait_seconds
            + routing.cost_weight * cost_seconds
        )


class RoundRobinPolicy:
    """Take targets in turn; a baseline."""

    minds_room = False

    def __init__(self) -> None:
        """Start with the first."""
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt
    ) -> Candidate | None:
        """Return the next candidate."""
        if not candidates:
            return None
        self._turn += 1
        ordered = sorted(candidates, key=lambda one: one.name)
        return ordered[self._turn % len(ordered)]


class LeastRequestsPolicy:
    """Take the target with the fewest requests; a baseline."""

    minds_room = False

    def __init__(self, source: random.Random) -> None:
        """Take a source of random numbers for ties."""
        self._random = source

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt
    ) -> Candidate | None:
        """Return the least loaded candidate."""
        return min(
            candidates,
            key=lambda one: (one.load, self._random.random()),
            default=None,
        )


class PrefixHashPolicy:
    """Take the target that a prefix hashes to; a baseline."""

    minds_room = False

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt
    ) -> Candidate | None:
        """Return the first candidate in the prefix's order."""
        by_name = {one.name: one for one in candidates}
        if not by_name:
            return None
        key = prompt.affinity_key or str(prompt.length_bytes)
        return by_name[rank(key, by_name)[0]]


def make_policy(settings: Settings, source: random.Random) -> Policy:
    """Return the policy that the settings name."""
    match settings.routing.policy:
        case 'round_robin':
            return RoundRobinPolicy()
        case 'least_requests':
            return LeastRequestsPolicy(source)
        case 'prefix_hash':
            return PrefixHashPolicy()
    return WeightedPolicy(settings, source)
