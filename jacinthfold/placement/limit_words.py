"""Tell other hosts of targets' limits, and take what they tell."""

from collections.abc import Mapping

from jacinthfold.placement.request_limit import LimitWord
from jacinthfold.placement.targets import TargetTable

# More turns than a limit can have had.
TURN_LIMIT = 1_000_000


def own_words(targets: TargetTable, now: float) -> dict[str, LimitWord]:
    """Return what this host heard of limits, by the life of a target."""
    words = {}
    for target in targets.all():
        word = target.pushback.limit.own_word(now)
        if word is not None:
            words[target.record.incarnation_id] = word
    return words


def take_words(
    targets: TargetTable,
    source: str,
    words: Mapping[str, LimitWord],
    told_at: float,
) -> None:
    """Take what another host heard of limits, by the life of a target."""
    for life, word in words.items():
        target = targets.of_life(life)
        if target is not None and _is_sound(word):
            per_second, age_ms, turn = word
            named_at = told_at - age_ms / 1000
            target.pushback.limit.take_word(
                per_second or None, named_at, turn, source
            )


def _is_sound(word: LimitWord) -> bool:
    per_second, age_ms, turn = word
    is_limit = 0 <= per_second < float('inf')
    return is_limit and age_ms >= 0 and 0 <= turn <= TURN_LIMIT
