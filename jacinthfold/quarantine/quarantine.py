"""Refuse requests under which targets end, at every host that hears of it."""

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.clock import Clock
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.ends import BEGUN, WAITING, End, Suspect
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.quarantine.key import KEY_NAME, KeyMaker
from jacinthfold.quarantine.presence import Presence, TargetEnd
from jacinthfold.quarantine.store_writer import (
    STORED_ENDS,
    StoreWriter,
    read_record,
)
from jacinthfold.quarantine.suspects import Suspects
from jacinthfold.quarantine.witness import Witness
from jacinthfold.request.messages import Request

_MS = 1000


class Refusal:
    """Hold why a request is refused, and for how long."""

    __slots__ = ('fingerprint', 'seconds')

    def __init__(self, fingerprint: str, seconds: float) -> None:
        """Take what the request is known by and how long is left."""
        self.fingerprint = fingerprint
        self.seconds = seconds


class Quarantine:
    """Put together who sees targets end, and what is known of it."""

    def __init__(
        self, targets: TargetTable, store: MetadataStore, clock: Clock
    ) -> None:
        """Take the targets and where records are kept."""
        self._clock = clock
        self._fingerprints = Fingerprints()
        self.suspects = Suspects(clock)
        self.suspects.on_refused = self._withdraw
        self.suspects.on_ends = self._store_witnessed
        self.witness = Witness(targets, self._fingerprints, clock)
        self.witness.on_end = self._note_end
        self.key_maker = KeyMaker(store, self._fingerprints)
        self.writer = StoreWriter(store, clock)

    def refusal(self, request: Request) -> Refusal | None:
        """Return why a request is refused, None if it isn't."""
        # Most of the time there is no suspect, and no body need be hashed.
        if not self.suspects:
            return None
        fingerprint = self._fingerprints.of(request)
        seconds = self.suspects.refused_seconds(fingerprint)
        if seconds is None:
            return None
        return Refusal(fingerprint, seconds)

    def note_served(self, request: Request) -> None:
        """Take that a target answered a request and outlived it."""
        # Popular requests are at many ends by chance, and served in between.
        if not self.suspects:
            return
        fingerprint = self._fingerprints.of(request)
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.ends:
            return
        was_stored = len(suspect.ends) >= STORED_ENDS
        self.suspects.note_served(fingerprint)
        if was_stored:
            self.writer.put_word(suspect.word(fingerprint))

    def take_record(self, name: str, content: bytes | None) -> None:
        """Take a record of the store; raise UnreadableRecordError."""
        # Records go with their lease, also while the store is away: what they
        # said stays known here until it is too old.
        if content is None:
            return
        if name == KEY_NAME:
            self._fingerprints.use_key(content)
            return
        self.suspects.take([read_record(name, content)], is_near=False)

    def _note_end(self, ended: TargetEnd) -> None:
        at_ms = round(self._clock.now().timestamp() * _MS)
        for one in ended.present:
            self._note_presence(one, ended.life, at_ms)

    def _note_presence(self, one: Presence, life: str, at_ms: int) -> None:
        weight = BEGUN if one.is_begun else WAITING
        is_fresh = one.is_begun and not one.has_events
        end = End(life, weight, is_fresh, at_ms)
        self.suspects.note_end(one.fingerprint, end)

    def _store_witnessed(self, fingerprint: str, suspect: Suspect) -> None:
        # Those that saw an end write, not all that heard of it: of 195 hosts
        # a few.
        if suspect.is_witnessed and len(suspect.ends) >= STORED_ENDS:
            self.writer.put_word(suspect.word(fingerprint))

    def _withdraw(self, fingerprint: str) -> None:
        """Take copies back that targets have not begun with."""
        # Queued at other targets, they would end those as well.
        for attempt in self.witness.attempts():
            if attempt.is_begun:
                continue
            if self._fingerprints.of(attempt.request) == fingerprint:
                attempt.withdraw()
