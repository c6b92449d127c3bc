"""Learn how long a service's engines take to the first event of an answer.

Load pattern: prompts of 300 to 90,000 tokens, read one after the other, on
engines whose speed nobody declares. With a speed that is true of other engines
every wait is wrong by the same factor: half of what would be in time is
refused, or prompts queue where they are late.

The law: a constant, so much for each token that is read before the event, and
so much for each pair of tokens that the own prompt compares, since long ones
cost more than their length. It is fitted by least squares to this host's own
answers and to the sums that hosts near it tell of theirs. Together with kept
parts believed by what was sent: worth of a calm day 0.826 before and 0.879
after, of five loaded days 0.641 and 0.657 (three to five seeds a day).
"""

from collections.abc import Iterator, Mapping, Sequence

# Start values, and the bounds that no learned figure leaves. An engine of
# 60 tokens a millisecond lies between those met so far; the bounds are a
# thirtieth and thirty times of it.
START_SECONDS = 0.06
START_SECONDS_PER_TOKEN = 1 / 60000
START_SECONDS_PER_PAIR = 0.0
SECONDS_BOUNDS = (0.002, 1.0)
SECONDS_PER_TOKEN_BOUNDS = (START_SECONDS_PER_TOKEN / 30, 0.0005)
# For a million pairs; as much as 50 tokens of the slowest engine.
SECONDS_PER_PAIR_BOUNDS = (0.0, 0.025)
PAIRS = 1e6
# How far a figure may lie from its start value before ten answers say so.
PRIOR_SECONDS = (0.03, 2 * START_SECONDS_PER_TOKEN, 0.001)
# What an answer may deviate: the pause between two reports, and a share of
# its own time for what reports miss.
NOISE_SECONDS = 0.03
NOISE_SHARE = 0.3
# An answer further off than this many deviations counts as that far: a prompt
# that was believed to be kept and was not must not slow the law for all.
DEVIATIONS_LIMIT = 2.0
# How long an answer of some tens of tokens holds a slot, at the start.
START_HOLD_SECONDS = 1.0
HOLD_BOUNDS = (0.02, 60.0)
HOLD_WEIGHT = 0.03
# Each answer weighs this much less with the next one: a change of engines is
# learned within some 100 answers of each host.
KEPT_SHARE = 0.99
# Sums of another host count this long; they are told every two seconds.
SUMS_SECONDS = 20.0
_FIGURES = 3
_SUMS = 9


class Answer:
    """Hold what an answer's first event shows."""

    __slots__ = ('pairs', 'seconds', 'tokens')

    def __init__(self, tokens: float, pairs: float, seconds: float) -> None:
        """Take tokens read before it, own pairs in millions, and its time."""
        self.tokens = tokens
        self.pairs = pairs
        self.seconds = seconds


class ReadingLaw:
    """Hold what was learned of one service's engines."""

    __slots__ = (
        '_heard',
        '_own',
        'hold_seconds',
        'seconds',
        'seconds_per_pair',
        'seconds_per_token',
    )

    def __init__(self) -> None:
        """Begin with the start values."""
        self._own = [0.0 for _ in range(_SUMS)]
        self._heard: dict[str, tuple[float, Sequence[float]]] = {}
        # How long a request holds a slot.
        self.hold_seconds = START_HOLD_SECONDS
        self.seconds = START_SECONDS
        self.seconds_per_token = START_SECONDS_PER_TOKEN
        self.seconds_per_pair = START_SECONDS_PER_PAIR

    def reading_seconds(self, tokens: float) -> float:
        """Return how long so many tokens, in work units, are read."""
        return tokens * self.seconds_per_token

    def work(self, unread_tokens: int, tokens_before: int) -> float:
        """Return a prompt's reading in tokens of a short prompt."""
        pairs = pairs_of(unread_tokens, tokens_before)
        per_pair = self.seconds_per_pair / self.seconds_per_token
        return unread_tokens + pairs * per_pair

    def first_event_seconds(self, work: float) -> float:
        """Return the time to the first event once so much has been read."""
        return self.seconds + self.reading_seconds(work)

    def note(self, answer: Answer, now: float) -> None:
        """Learn from an answer."""
        expected = (
            self.seconds
            + answer.tokens * self.seconds_per_token
            + answer.pairs * self.seconds_per_pair
        )
        noise = NOISE_SECONDS + NOISE_SHARE * expected
        most = DEVIATIONS_LIMIT * noise
        seconds = min(expected + most, max(expected - most, answer.seconds))
        weight = 1 / noise**2
        row = (1.0, answer.tokens, answer.pairs)
        terms = [
            *(row[one] * row[two] for one, two in _upper()),
            *(entry * seconds for entry in row),
        ]
        self._own = [
            known * KEPT_SHARE + term * weight
            for known, term in zip(self._own, terms, strict=True)
        ]
        self._solve(now)

    def note_hold(self, seconds: float) -> None:
        """Learn from an answer how long a request holds a slot."""
        bounded = _bounded(seconds, HOLD_BOUNDS)
        self.hold_seconds += HOLD_WEIGHT * (bounded - self.hold_seconds)

    def slot_seconds(self, requests: int, slots: int) -> float:
        """Return how long a request waits for a slot behind others."""
        # Slots come free at a rate of all of them in the time that one is
        # held, so the wait grows with the queue. As a fixed time it let three
        # times as many in as are served within the aim.
        waiting = max(0, requests + 1 - slots)
        return waiting * self.hold_seconds / slots

    def fields(self) -> dict[str, float]:
        """Return what was learned, for logs and state."""
        return {
            'tokens_per_ms': round(0.001 / self.seconds_per_token, 1),
            'ms_per_million_pairs': round(self.seconds_per_pair * 1000, 3),
            'first_event_ms': round(self.seconds * 1000, 1),
        }

    def own_sums(self) -> list[float]:
        """Return the sums of this host's own answers, for others."""
        return self._own

    def take_sums(self, host: str, sums: Sequence[float], now: float) -> None:
        """Take another host's sums."""
        if len(sums) == _SUMS:
            self._heard[host] = (now, sums)
            self._solve(now)

    def forget(self, host: str) -> None:
        """Drop what a host told, which others tell now."""
        self._heard.pop(host, None)

    def _solve(self, now: float) -> None:
        sums = list(self._own)
        for heard_at, others in self._heard.values():
            if now - heard_at < SUMS_SECONDS:
                sums = [
                    one + two for one, two in zip(sums, others, strict=True)
                ]
        starts = (
            START_SECONDS,
            START_SECONDS_PER_TOKEN,
            START_SECONDS_PER_PAIR,
        )
        matrix = [[0.0 for _ in starts] for _ in starts]
        for (one, two), term in zip(_upper(), sums, strict=False):
            matrix[one][two] = term
            matrix[two][one] = term
        right = sums[-_FIGURES:]
        for place, prior in enumerate(PRIOR_SECONDS):
            matrix[place][place] += 1 / prior**2
            right[place] += starts[place] / prior**2
        found = _solved(matrix, right)
        self.seconds = _bounded(found[0], SECONDS_BOUNDS)
        self.seconds_per_token = _bounded(found[1], SECONDS_PER_TOKEN_BOUNDS)
        self.seconds_per_pair = _bounded(found[2], SECONDS_PER_PAIR_BOUNDS)


class Laws:
    """Hold the law of each service."""

    __slots__ = ('_laws',)

    def __init__(self) -> None:
        """Start without any."""
        self._laws: dict[str, ReadingLaw] = {}

    def of(self, service: str) -> ReadingLaw:
        """Return a service's law."""
        law = self._laws.get(service)
        if law is None:
            law = ReadingLaw()
            self._laws[service] = law
        return law

    def all(self) -> dict[str, ReadingLaw]:
        """Return the laws by service."""
        return dict(self._laws)

    def own_sums(self) -> dict[str, list[float]]:
        """Return what this host's answers say of each service."""
        return {
            service: law.own_sums()
            for service, law in self._laws.items()
            if law.own_sums()[0]
        }

    def take_sums(
        self, host: str, sums: Mapping[str, Sequence[float]], now: float
    ) -> None:
        """Take what another host's answers say."""
        for service, told in sums.items():
            self.of(service).take_sums(host, told, now)

    def forget(self, host: str) -> None:
        """Drop what a host told, which others tell now."""
        for law in self._laws.values():
            law.forget(host)


def pairs_of(unread_tokens: int, tokens_before: int) -> float:
    """Return millions of pairs that reading a prompt's rest compares."""
    return unread_tokens * (tokens_before + unread_tokens / 2) / PAIRS


def _upper() -> Iterator[tuple[int, int]]:
    for one in range(_FIGURES):
        for two in range(one, _FIGURES):
            yield one, two


def _solved(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a small positive definite system by elimination."""
    rows = [[*row, end] for row, end in zip(matrix, right, strict=True)]
    for place, pivot in enumerate(rows):
        for other in range(place + 1, _FIGURES):
            share = rows[other][place] / pivot[place]
            rows[other] = [
                one - share * two
                for one, two in zip(rows[other], pivot, strict=True)
            ]
    found = [0.0 for _ in rows]
    for place in reversed(range(_FIGURES)):
        known = sum(
            rows[place][after] * found[after]
            for after in range(place + 1, _FIGURES)
        )
        found[place] = (rows[place][_FIGURES] - known) / rows[place][place]
    return found


def _bounded(figure: float, bounds: tuple[float, float]) -> float:
    return min(bounds[1], max(bounds[0], figure))
