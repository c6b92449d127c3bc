"""Hold the requests under which targets ended, and say which are refused.

Load pattern: a caller sends one request again and again, through any host, and
each target that begins to run it ends. Counted by one host, or until a host is
replaced, only a part of the ends is seen; so ends are a set that only grows
between hosts, by fingerprint and life of a target: told twice, in any order or
over the store they add up to the same.
"""

from collections.abc import Callable, Iterable

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.quarantine.ends import (
    BEGUN,
    FORGET_SECONDS,
    End,
    Suspect,
    SuspectWord,
)

# Ends at which a target had begun with a request before it is refused. One
# and two are met by requests that merely ran beside; callers' own retries and
# ours bring few to three targets that end.
REFUSED_ENDS = 3
REFUSED_WEIGHT = REFUSED_ENDS * BEGUN
# A request is refused for this long after the last end. It is then let through
# again, since engines are mended by new versions; one more end refuses it anew.
REFUSED_SECONDS = 600.0
# How often that is looked at.
FORGET_CHECK_SECONDS = 5.0
# 4,096 entries of three ends are some 2 MB. Those with the least weight go
# first, of these the oldest: a flood of bodies that each ended one target
# can't push out one that ended two.
SUSPECTS_LIMIT = 4096
# Lives kept of one request: far more than it is refused after.
ENDS_LIMIT = 32
# What changed is told for this long: ten heartbeats to the own region, three
# or more to others.
NEWS_SECONDS = 2.0
# Entries of one heartbeat or digest: 64 of two ends are some 3 kB packed.
NEWS_LIMIT = 64
# Refused ones that are told again and again, for hosts that were away.
STANDING_LIMIT = 16
# Clocks of hosts may differ by this; times beyond it are somebody's fault, and
# would clear a request of ends to come.
CLOCK_SKEW_MS = 60_000
_MS = 1000


class Suspects:
    """Keep suspects by fingerprint, as all hosts' words add up."""

    def __init__(
        self, clock: Clock, news_seconds: float = NEWS_SECONDS
    ) -> None:
        """Take for how long changes are told; start with none."""
        self._clock = clock
        self._news_seconds = news_seconds
        self._suspects: dict[str, Suspect] = {}
        # Those whose weight is enough, before other explanations.
        self._accused: set[str] = set()
        self._forgot_at = clock.monotonic()
        self.on_refused: Callable[[str], None] = _hear_nothing
        self.on_ends: Callable[[str, Suspect], None] = _hear_no_ends

    def __len__(self) -> int:
        """Return how many are known."""
        return len(self._suspects)

    def get(self, fingerprint: str) -> Suspect | None:
        """Return what is known of a request."""
        return self._suspects.get(fingerprint)

    def refused_seconds(self, fingerprint: str) -> float | None:
        """Return for how long a request is refused, None if it isn't."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or fingerprint not in self._accused:
            return None
        left = suspect.ended_at + REFUSED_SECONDS - self._clock.monotonic()
        if left <= 0 or self._is_explained(fingerprint, suspect):
            return None
        return left

    def refused(self) -> dict[str, int]:
        """Return the refused ones and how many targets ended under each."""
        return {
            name: len(self._suspects[name].ends)
            for name in sorted(self._accused)
            if self.refused_seconds(name) is not None
        }

    def note_end(self, fingerprint: str, end: End) -> None:
        """Take an end that this host saw itself."""
        if fingerprint:
            self._entry(fingerprint).is_witnessed = True
            self._add_ends(fingerprint, [end], is_own=True)

    def note_served(self, fingerprint: str) -> None:
        """Take that a target answered a suspect and outlived it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            self._clear(fingerprint, suspect, self._now_ms(), is_own=True)

    def take(self, words: Iterable[SuspectWord], *, is_near: bool) -> None:
        """Take what another host, or the store, tells."""
        for word in words:
            if word.served_ms:
                suspect = self._entry(word.fingerprint)
                latest_ms = self._now_ms() + CLOCK_SKEW_MS
                served_ms = min(word.served_ms, latest_ms)
                if served_ms > suspect.served_ms:
                    self._clear(
                        word.fingerprint, suspect, served_ms, is_own=not is_near
                    )
            self._add_ends(word.fingerprint, word.ends, is_own=not is_near)

    def news(self, *, is_near: bool, is_full: bool) -> list[SuspectWord]:
        """Return what is told now: what changed, and at times the refused.

        The own region hears near news from those that it concerns.
        """
        limit = self._clock.monotonic() - self._news_seconds
        told = {
            name
            for name, one in self._suspects.items()
            if one.told_at(is_near=is_near) > limit
        }
        chosen = sorted(told, key=self._rank, reverse=True)[:NEWS_LIMIT]
        if is_full:
            standing = sorted(self._accused - told, key=self._rank)
            chosen.extend(standing[-STANDING_LIMIT:])
        return [self._suspects[name].word(name) for name in chosen]

    def forget_at_times(self) -> None:
        """Drop what is old, if it was not looked at for some time."""
        if self._clock.monotonic() - self._forgot_at > FORGET_CHECK_SECONDS:
            self._forget_old()

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        self._forgot_at = now
        for name, suspect in list(self._suspects.items()):
            if now - suspect.ended_at > suspect.kept_seconds:
                self._drop(name)
        excess = len(self._suspects) - SUSPECTS_LIMIT
        if excess > 0:
            for name in sorted(self._suspects, key=self._rank)[:excess]:
                self._drop(name)

    def _rank(self, name: str) -> tuple[int, int, float]:
        suspect = self._suspects[name]
        return suspect.weight, suspect.fresh_count, suspect.changed_at

    def _drop(self, name: str) -> None:
        self._suspects.pop(name)
        self._accused.discard(name)

    def _entry(self, fingerprint: str) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= 2 * SUSPECTS_LIMIT:
                self._forget_old()
            suspect = Suspect(self._clock.monotonic())
            self._suspects[fingerprint] = suspect
        return suspect

    def _add_ends(
        self, fingerprint: str, ends: Iterable[End], *, is_own: bool
    ) -> None:
        known = self._suspects.get(fingerprint)
        new = [end for end in ends if self._is_new(known, end)]
        if not new:
            return
        suspect = self._entry(fingerprint)
        for end in new[:ENDS_LIMIT]:
            suspect.ends[end.life] = end
        suspect.ended_at = self._clock.monotonic()
        self._note_changed(fingerprint, suspect, is_own=is_own)

    def _is_new(self, suspect: Suspect | None, end: End) -> bool:
        age_ms = self._now_ms() - end.at_ms
        if age_ms > FORGET_SECONDS * _MS:
            return False
        if suspect is None:
            return True
        if end.at_ms <= suspect.served_ms:
            return False
        known = suspect.ends.get(end.life)
        if known is None:
            return len(suspect.ends) < ENDS_LIMIT
        # Copies of one request at the same target: one had begun.
        return (end.weight, end.is_fresh) > (known.weight, known.is_fresh)

    def _clear(
        self,
        fingerprint: str,
        suspect: Suspect,
        served_ms: int,
        *,
        is_own: bool,
    ) -> None:
        suspect.served_ms = served_ms
        suspect.ends = {
            life: end
            for life, end in suspect.ends.items()
            if end.at_ms > served_ms
        }
        self._note_changed(fingerprint, suspect, is_own=is_own)

    def _note_changed(
        self, fingerprint: str, suspect: Suspect, *, is_own: bool
    ) -> None:
        now = self._clock.monotonic()
        suspect.changed_at = now
        if is_own:
            suspect.own_changed_at = now
        self.on_ends(fingerprint, suspect)
        was_accused = fingerprint in self._accused
        if suspect.weight < REFUSED_WEIGHT:
            self._accused.discard(fingerprint)
            return
        self._accused.add(fingerprint)
        is_refused = self.refused_seconds(fingerprint) is not None
        if is_refused and not was_accused:
            logs.warning(
                'request_quarantined',
                fingerprint=fingerprint,
                targets=','.join(suspect.ends),
                weight=suspect.weight,
                fresh=suspect.fresh_count,
            )
            self.on_refused(fingerprint)

    def _is_explained(self, fingerprint: str, suspect: Suspect) -> bool:
        """Tell whether likelier requests explain too many of the ends."""
        # A long stream that is resumed, or tried again, beside the one that
        # ends targets may be at three ends as well. The likelier one of two
        # is that with which the targets had just begun more often.
        explained = {
            life
            for name in self._accused
            if name != fingerprint
            and self._suspects[name].fresh_count > suspect.fresh_count
            for life in self._suspects[name].ends
        }
        weight = sum(
            end.weight
            for life, end in suspect.ends.items()
            if life not in explained
        )
        return weight < REFUSED_WEIGHT

    def _now_ms(self) -> int:
        return round(self._clock.now().timestamp() * _MS)


def _hear_no_ends(_fingerprint: str, _suspect: Suspect) -> None:
    """Hear of ends and do nothing."""


def _hear_nothing(_: str) -> None:
    """Hear of a refusal and do nothing."""
