"""Refuse requests that crash targets, on every host."""

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.clock import Clock
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.crash_detector import CrashDetector
from jacinthfold.quarantine.crash_model import PresentRequest, TargetCrash
from jacinthfold.quarantine.crashes import (
    QUEUED_WEIGHT,
    RUNNING_WEIGHT,
    Crash,
    Suspect,
)
from jacinthfold.quarantine.fingerprint_key import (
    KEY_NAME,
    FingerprintKeyCreator,
)
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.quarantine.store_writer import (
    MIN_STORED_CRASHES,
    StoreWriter,
    read_record,
)
from jacinthfold.quarantine.suspects import Suspects
from jacinthfold.request.messages import Request

_MS_PER_SECOND = 1000


class Refusal:
    """Refusal of a request, with the time that it still lasts."""

    __slots__ = ('fingerprint', 'is_of_part', 'seconds')

    def __init__(
        self, fingerprint: str, seconds: float, *, is_of_part: bool = False
    ) -> None:
        """Set the fingerprint, the seconds left and what it identifies."""
        self.fingerprint = fingerprint
        self.seconds = seconds
        # Whether a part of the prompt is refused, not this request alone.
        self.is_of_part = is_of_part


class Quarantine:
    """Combine crash detection, suspect requests and their storage."""

    def __init__(
        self, targets: TargetTable, store: MetadataStore, clock: Clock
    ) -> None:
        """Set the targets and the store of the records."""
        self._clock = clock
        self._fingerprints = Fingerprints()
        self.suspects = Suspects(clock)
        self.suspects.on_refused = self._withdraw
        self.suspects.on_crashes = self._store_observed
        self.crash_detector = CrashDetector(targets, self._fingerprints, clock)
        self.crash_detector.on_crash = self._record_crash
        self.crash_detector.parts.on_borne = self._record_borne
        self._versions = targets.versions
        self.key_creator = FingerprintKeyCreator(store, self._fingerprints)
        self.writer = StoreWriter(store, clock)

    def refusal(self, request: Request) -> Refusal | None:
        """Return the refusal of a request, None if it may be sent."""
        # Mostly there are no suspects, and no body has to be hashed.
        if not self.suspects:
            return None
        fingerprint = self._fingerprints.of(request)
        seconds = self.suspects.refused_seconds(fingerprint)
        if seconds is not None:
            return Refusal(fingerprint, seconds)
        versions = self._versions.present(request.service_name)
        refusals = [self._part_refusal(request, one) for one in versions]
        # While targets of another version serve, they may bear the part.
        if not refusals or not all(refusals):
            return None
        return refusals[0]

    def refuses_version(self, request: Request, software_version: str) -> bool:
        """Check whether a part crashes targets of a software version."""
        if not self.suspects:
            return False
        return self._part_refusal(request, software_version) is not None

    def record_served(self, request: Request) -> None:
        """Record that a target completed a request without crashing."""
        # Popular requests are present at many crashes by chance, and are served
        # in between.
        if not self.suspects:
            return
        fingerprint = self._fingerprints.of(request)
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return
        self._clear(fingerprint, suspect)

    def apply_record(self, name: str, content: bytes | None) -> None:
        """Apply a record of the store; raise UnreadableRecordError."""
        # Records expire with their lease, also during a store outage. What they
        # said is kept here until it is too old.
        if content is None:
            return
        if name == KEY_NAME:
            self._fingerprints.set_key(content)
            return
        self.suspects.merge_reports([read_record(name, content)], is_near=False)

    def write_again(self) -> None:
        """Write the key and the crashes observed here to the store again."""
        self.key_creator.write_again()
        for fingerprint, suspect in self.suspects.observed_here():
            self._store_observed(fingerprint, suspect)

    def _part_refusal(
        self, request: Request, software_version: str
    ) -> Refusal | None:
        parts = self.crash_detector.parts
        fingerprints = list(parts.fingerprints_of(request, software_version))
        for seen in fingerprints:
            self.suspects.record_seen(seen)
        for fingerprint in fingerprints:
            seconds = self.suspects.refused_seconds(fingerprint)
            if seconds is not None:
                return Refusal(fingerprint, seconds, is_of_part=True)
        return None

    def _record_borne(self, fingerprint: str) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            self._clear(fingerprint, suspect)

    def _clear(self, fingerprint: str, suspect: Suspect) -> None:
        was_stored = len(suspect.crashes) >= MIN_STORED_CRASHES
        self.suspects.record_served(fingerprint)
        if was_stored:
            self.writer.put_report(suspect.to_report(fingerprint))

    def _record_crash(self, target_crash: TargetCrash) -> None:
        at_ms = round(self._clock.now().timestamp() * _MS_PER_SECOND)
        # Parts first: the crashes that one explains don't count for the
        # requests that were present beside it.
        for one in target_crash.present:
            self._record_parts(one, target_crash.incarnation_id, at_ms)
        for one in target_crash.present:
            self._record_present_request(
                one, target_crash.incarnation_id, at_ms
            )

    def _record_parts(
        self, present_request: PresentRequest, incarnation_id: str, at_ms: int
    ) -> None:
        if not present_request.is_started:
            return
        crash = Crash(incarnation_id, RUNNING_WEIGHT, True, at_ms)
        for fingerprint in present_request.part_fingerprints:
            self.suspects.record_crash(fingerprint, crash)

    def _record_present_request(
        self, present_request: PresentRequest, incarnation_id: str, at_ms: int
    ) -> None:
        weight = RUNNING_WEIGHT if present_request.is_started else QUEUED_WEIGHT
        had_no_output = (
            present_request.is_started and not present_request.has_events
        )
        crash = Crash(incarnation_id, weight, had_no_output, at_ms)
        self.suspects.record_crash(present_request.fingerprint, crash)

    def _store_observed(self, fingerprint: str, suspect: Suspect) -> None:
        if suspect.crashes and self.crash_detector.parts.is_sound(fingerprint):
            # Another host suspects a part that targets have borne here.
            self.suspects.record_served(fingerprint)
            return
        # Only hosts that observed a crash write it: a few of 195 hosts instead
        # of all that received a report.
        if (
            suspect.is_observed_here
            and len(suspect.crashes) >= MIN_STORED_CRASHES
        ):
            self.writer.put_report(suspect.to_report(fingerprint))

    def _withdraw(self, fingerprint: str) -> None:
        """Withdraw copies that no target has started yet."""
        # Copies queued at other targets would crash those as well.
        for attempt in self.crash_detector.attempts():
            if attempt.is_started:
                continue
            request, target = attempt.request, attempt.target
            parts = self.crash_detector.parts.fingerprints_of(
                request, target.record.software_version
            )
            if fingerprint in {self._fingerprints.of(request), *parts}:
                attempt.withdraw()
