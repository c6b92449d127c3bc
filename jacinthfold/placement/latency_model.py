"""Model the time to the first event of an answer of a service's engines.

Load pattern: prompts of 300 to 90,000 tokens, prefilled one after the other, on
engines whose speed is not configured. With the speed of other engines every
estimate is wrong by the same factor: half of the requests that would be in time
are rejected, or prompts queue where they are late.

The model has a constant, a time for each token that is prefilled before the
event, and a time for each pair of tokens in the attention of the own prompt,
whose cost grows faster than its length. It is fitted by least squares to this
host's answers and to the sums that hosts nearby report of theirs. Together with
the model of cached prefixes: score of a calm day 0.826 before and 0.879 after,
of five loaded days 0.641 and 0.657 (three to five seeds a day).
"""

from collections.abc import Iterator, Mapping, Sequence

# Initial coefficients and their bounds. The initial 60 tokens per millisecond
# lie between the speeds of known engines; the bounds are a thirtieth and thirty
# times of that.
INITIAL_BASE_SECONDS = 0.06
INITIAL_SECONDS_PER_TOKEN = 1 / 60000
INITIAL_SECONDS_PER_PAIR = 0.0
BASE_SECONDS_BOUNDS = (0.002, 1.0)
SECONDS_PER_TOKEN_BOUNDS = (INITIAL_SECONDS_PER_TOKEN / 30, 0.0005)
# Per million pairs; the upper bound equals 50 tokens of the slowest engine.
SECONDS_PER_PAIR_BOUNDS = (0.0, 0.025)
PAIRS_PER_UNIT = 1e6
# Standard deviations of the coefficients around their initial values, which
# dominate until about ten answers have arrived.
PRIOR_DEVIATIONS = (0.03, 2 * INITIAL_SECONDS_PER_TOKEN, 0.001)
# Standard deviation of an answer: the interval between two load reports, and a
# share of the expected time for load that reports miss.
NOISE_SECONDS = 0.03
NOISE_SHARE = 0.3
# Outliers are limited to this many deviations: a prompt that was wrongly
# assumed to be cached must not raise the estimates of all others.
MAX_DEVIATIONS = 2.0
# Initial time that a request holds a slot: an answer of some tens of tokens.
INITIAL_SLOT_HOLD_SECONDS = 1.0
SLOT_HOLD_BOUNDS_SECONDS = (0.02, 60.0)
SLOT_HOLD_WEIGHT = 0.03
# Each answer's weight is multiplied by this with the next one: a change of
# engines is learned within about 100 answers of each host.
DECAY_FACTOR = 0.99
# How long the sums of another host count; they are sent every two seconds.
PEER_SUMS_LIFETIME_SECONDS = 20.0
_COEFFICIENT_COUNT = 3
_SUM_COUNT = 9


class LatencySample:
    """Hold the measured time to an answer's first event, and its load."""

    __slots__ = ('pairs', 'seconds', 'tokens')

    def __init__(self, tokens: float, pairs: float, seconds: float) -> None:
        """Set prefilled tokens, own pairs in millions, and seconds."""
        self.tokens = tokens
        self.pairs = pairs
        self.seconds = seconds


class LatencyModel:
    """Estimate the latency of one service's engines from their answers."""

    __slots__ = (
        '_peer_sums',
        '_own',
        'slot_hold_seconds',
        'seconds',
        'seconds_per_pair',
        'seconds_per_token',
    )

    def __init__(self) -> None:
        """Start with the initial coefficients."""
        self._own = [0.0 for _ in range(_SUM_COUNT)]
        self._peer_sums: dict[str, tuple[float, Sequence[float]]] = {}
        # Average time that a request holds a slot.
        self.slot_hold_seconds = INITIAL_SLOT_HOLD_SECONDS
        self.seconds = INITIAL_BASE_SECONDS
        self.seconds_per_token = INITIAL_SECONDS_PER_TOKEN
        self.seconds_per_pair = INITIAL_SECONDS_PER_PAIR

    def prefill_seconds(self, tokens: float) -> float:
        """Return the prefill time of a token cost."""
        return tokens * self.seconds_per_token

    def token_cost(self, tokens_to_prefill: int, prefix_tokens: int) -> float:
        """Return a prompt's prefill cost in tokens of a short prompt."""
        pairs = million_pairs(tokens_to_prefill, prefix_tokens)
        per_pair = self.seconds_per_pair / self.seconds_per_token
        return tokens_to_prefill + pairs * per_pair

    def first_event_seconds(self, token_cost: float) -> float:
        """Return the time to the first event with a token cost before it."""
        return self.seconds + self.prefill_seconds(token_cost)

    def add_sample(self, sample: LatencySample, now: float) -> None:
        """Fit the model to another sample."""
        expected = (
            self.seconds
            + sample.tokens * self.seconds_per_token
            + sample.pairs * self.seconds_per_pair
        )
        noise = NOISE_SECONDS + NOISE_SHARE * expected
        max_error = MAX_DEVIATIONS * noise
        seconds = min(
            expected + max_error, max(expected - max_error, sample.seconds)
        )
        weight = 1 / noise**2
        row = (1.0, sample.tokens, sample.pairs)
        terms = [
            *(row[first] * row[second] for first, second in _upper_triangle()),
            *(entry * seconds for entry in row),
        ]
        self._own = [
            previous * DECAY_FACTOR + term * weight
            for previous, term in zip(self._own, terms, strict=True)
        ]
        self._refit(now)

    def record_slot_hold(self, seconds: float) -> None:
        """Update the average time that a request holds a slot."""
        clamped = _clamp(seconds, SLOT_HOLD_BOUNDS_SECONDS)
        self.slot_hold_seconds += SLOT_HOLD_WEIGHT * (
            clamped - self.slot_hold_seconds
        )

    def slot_wait_seconds(self, requests: int, slots: int) -> float:
        """Return how long a request waits for a slot behind others."""
        # All slots become free once per hold time, so that the wait grows with
        # the queue. A constant wait admitted three times as many requests as
        # are served within the latency objective.
        waiting = max(0, requests + 1 - slots)
        return waiting * self.slot_hold_seconds / slots

    def fields(self) -> dict[str, float]:
        """Return the coefficients for logs and the state page."""
        return {
            'tokens_per_ms': round(0.001 / self.seconds_per_token, 1),
            'ms_per_million_pairs': round(self.seconds_per_pair * 1000, 3),
            'first_event_ms': round(self.seconds * 1000, 1),
        }

    def own_sums(self) -> list[float]:
        """Return the sums of this host's answers, to send to others."""
        return self._own

    def update_peer_sums(
        self, host: str, sums: Sequence[float], now: float
    ) -> None:
        """Replace another host's sums and fit the model to them."""
        if len(sums) == _SUM_COUNT:
            self._peer_sums[host] = (now, sums)
            self._refit(now)

    def forget_host(self, host: str) -> None:
        """Drop a host's sums, which a collector's sums include now."""
        self._peer_sums.pop(host, None)

    def _refit(self, now: float) -> None:
        sums = list(self._own)
        for received_at, others in self._peer_sums.values():
            if now - received_at < PEER_SUMS_LIFETIME_SECONDS:
                sums = [
                    first + second
                    for first, second in zip(sums, others, strict=True)
                ]
        initial = (
            INITIAL_BASE_SECONDS,
            INITIAL_SECONDS_PER_TOKEN,
            INITIAL_SECONDS_PER_PAIR,
        )
        matrix = [[0.0 for _ in initial] for _ in initial]
        for (first, second), term in zip(_upper_triangle(), sums, strict=False):
            matrix[first][second] = term
            matrix[second][first] = term
        right_side = sums[-_COEFFICIENT_COUNT:]
        for row_index, prior in enumerate(PRIOR_DEVIATIONS):
            matrix[row_index][row_index] += 1 / prior**2
            right_side[row_index] += initial[row_index] / prior**2
        solution = _solve_system(matrix, right_side)
        self.seconds = _clamp(solution[0], BASE_SECONDS_BOUNDS)
        self.seconds_per_token = _clamp(solution[1], SECONDS_PER_TOKEN_BOUNDS)
        self.seconds_per_pair = _clamp(solution[2], SECONDS_PER_PAIR_BOUNDS)


class LatencyModels:
    """Hold the latency model of each service."""

    __slots__ = ('_models',)

    def __init__(self) -> None:
        """Start without models."""
        self._models: dict[str, LatencyModel] = {}

    def of(self, service: str) -> LatencyModel:
        """Return a service's model, a new one if there is none."""
        model = self._models.get(service)
        if model is None:
            model = LatencyModel()
            self._models[service] = model
        return model

    def all(self) -> dict[str, LatencyModel]:
        """Return the models by service."""
        return dict(self._models)

    def own_sums(self) -> dict[str, list[float]]:
        """Return the sums of this host's answers by service."""
        return {
            service: model.own_sums()
            for service, model in self._models.items()
            if model.own_sums()[0]
        }

    def update_peer_sums(
        self, host: str, peer_sums: Mapping[str, Sequence[float]], now: float
    ) -> None:
        """Replace another host's sums of each service."""
        for service, service_sums in peer_sums.items():
            self.of(service).update_peer_sums(host, service_sums, now)

    def forget_host(self, host: str) -> None:
        """Drop a host's sums, which a collector's sums include now."""
        for model in self._models.values():
            model.forget_host(host)


def million_pairs(tokens_to_prefill: int, prefix_tokens: int) -> float:
    """Return the attention pairs of a prefill after a prefix, in millions."""
    return (
        tokens_to_prefill
        * (prefix_tokens + tokens_to_prefill / 2)
        / PAIRS_PER_UNIT
    )


def _upper_triangle() -> Iterator[tuple[int, int]]:
    for first in range(_COEFFICIENT_COUNT):
        for second in range(first, _COEFFICIENT_COUNT):
            yield first, second


def _solve_system(
    matrix: list[list[float]], right_side: list[float]
) -> list[float]:
    """Solve a small positive definite linear system by elimination."""
    rows = [[*row, end] for row, end in zip(matrix, right_side, strict=True)]
    for row_index, pivot in enumerate(rows):
        for other in range(row_index + 1, _COEFFICIENT_COUNT):
            share = rows[other][row_index] / pivot[row_index]
            rows[other] = [
                first - share * second
                for first, second in zip(rows[other], pivot, strict=True)
            ]
    solution = [0.0 for _ in rows]
    for row_index in reversed(range(_COEFFICIENT_COUNT)):
        known = sum(
            rows[row_index][after] * solution[after]
            for after in range(row_index + 1, _COEFFICIENT_COUNT)
        )
        solution[row_index] = (
            rows[row_index][_COEFFICIENT_COUNT] - known
        ) / rows[row_index][row_index]
    return solution


def _clamp(number: float, bounds: tuple[float, float]) -> float:
    return min(bounds[1], max(bounds[0], number))
