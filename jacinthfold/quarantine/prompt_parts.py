"""Find the parts of prompts that may have crashed a target.

Many prompts share a part, so that a part which crashes targets comes with ever
new requests. Sound parts are present at the same crashes; what tells them apart
is that targets answer requests with them.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from jacinthfold.clock import Clock
from jacinthfold.quarantine.crash_model import Attempt
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.request.messages import Request

# A part crashes a target as it begins to answer. A target that still stands
# this long after its first event has borne the parts of the prompt.
BORNE_SECONDS = 1.0
# How long before a crash a target may have borne a part for the part not to be
# suspected. It may have been sound once.
SOUND_SECONDS = 10.0
# The parts of a prompt that are looked at; more than these are not suspected.
MAX_PARTS_PER_PROMPT = 32
# Some 150 bytes each. The parts that were borne longest ago are dropped first,
# and those of most prompts never are.
MAX_SOUND_PARTS = 8192
MAX_BEGUN_ATTEMPTS = 4096


class PromptParts:
    """Identify the shared parts of prompts, and remember which are sound."""

    def __init__(self, fingerprints: Fingerprints, clock: Clock) -> None:
        """Start without sound parts."""
        self._fingerprints = fingerprints
        self._clock = clock
        self._borne_at: OrderedDict[str, float] = OrderedDict()
        self._begun: deque[tuple[float, Attempt]] = deque(
            maxlen=MAX_BEGUN_ATTEMPTS
        )
        # Called with the fingerprint of a part that a target has borne.
        self.on_borne: Callable[[str], None] = _ignore_part

    def fingerprints_of(
        self, request: Request, software_version: str
    ) -> Iterator[str]:
        """Return the fingerprints of the parts that others may share."""
        if not self._fingerprints.has_key:
            return
        organisation = request.organisation
        # Without the organisation in it, one could get a part of another one
        # refused. A new version of the software may bear the part.
        scope = (
            request.service_name.encode(),
            software_version.encode(),
            organisation.name.encode() if organisation else b'',
        )
        # The last part belongs to the request itself or to its session.
        segments = request.facts.prefix_segments[:-1]
        for segment in segments[:MAX_PARTS_PER_PROMPT]:
            yield self._fingerprints.of_prompt_part(
                *scope, segment.name.encode()
            )

    def record_begun(self, attempt: Attempt) -> None:
        """Record that a target has begun, or made, the answer to a prompt."""
        if attempt.request.facts.prefix_segments:
            self._begun.append((self._clock.monotonic(), attempt))
        self.settle()

    def is_sound(self, fingerprint: str) -> bool:
        """Check whether a target has borne a part a short time ago."""
        self.settle()
        borne_at = self._borne_at.get(fingerprint)
        oldest = self._clock.monotonic() - SOUND_SECONDS
        return borne_at is not None and borne_at > oldest

    def suspected(self, attempt: Attempt) -> list[str]:
        """Return the parts that may have crashed the target of an attempt."""
        if not attempt.had_just_begun(BORNE_SECONDS):
            return []
        return [
            fingerprint
            for fingerprint in self.fingerprints_of(
                attempt.request, attempt.target.record.software_version
            )
            if not self.is_sound(fingerprint)
        ]

    def settle(self) -> None:
        """Record the parts that targets have borne by now."""
        now = self._clock.monotonic()
        while self._begun and self._begun[0][0] + BORNE_SECONDS <= now:
            begun_at, attempt = self._begun.popleft()
            if _has_borne(attempt, begun_at):
                self._record_borne(attempt, now)

    def _record_borne(self, attempt: Attempt, now: float) -> None:
        version = attempt.target.record.software_version
        for fingerprint in self.fingerprints_of(attempt.request, version):
            self._borne_at[fingerprint] = now
            self._borne_at.move_to_end(fingerprint)
            self.on_borne(fingerprint)
        while len(self._borne_at) > MAX_SOUND_PARTS:
            self._borne_at.popitem(last=False)


def _has_borne(attempt: Attempt, begun_at: float) -> bool:
    if attempt.is_broken or attempt.incarnation.is_ending:
        return False
    # A target that went silent has not ended for this host yet.
    heard_at = attempt.target.activity.received_at
    return attempt.is_complete or heard_at >= begun_at + BORNE_SECONDS / 2


def _ignore_part(_: str) -> None:
    """Ignore a part."""
