"""Track requests that were present at crashes, and decide on refusals.

Load pattern: a caller repeats one request through any host, and each target
that starts it crashes. A single host sees only some of the crashes and loses
them when it is replaced. Hosts therefore merge their crashes as a set, keyed by
fingerprint and target incarnation: reports may be repeated, reordered or read
from the store, and all hosts arrive at the same set.
"""

from collections.abc import Callable, Iterable

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.placement.resume_guard import ResumeGuard
from jacinthfold.quarantine.crashes import (
    RETENTION_SECONDS,
    RUNNING_WEIGHT,
    Crash,
    Suspect,
    SuspectReport,
)
from jacinthfold.quarantine.fingerprints import is_part

# A request is refused after it was running at this many crashes. Bystanders
# reach one or two; retries by callers and by hosts take few of them to three.
REFUSAL_CRASHES = 3
REFUSAL_WEIGHT = REFUSAL_CRASHES * RUNNING_WEIGHT
# How long a request is refused after its last crash. It is then allowed again,
# since a new engine version may handle it; one more crash refuses it again.
REFUSAL_SECONDS = 600.0
# A part of prompts is refused no sooner after its first crash: answers that
# other targets have begun show meanwhile whether they bear it.
PART_DELAY_SECONDS = 1.5
# After a longer pause of this host, its view of parts may be out of date.
MAX_PAUSE_SECONDS = 0.7
EXPIRY_CHECK_SECONDS = 5.0
# 4,096 entries of three crashes take some 2 MB. Entries with the least weight
# are dropped first, the oldest of these before others: a flood of bodies with
# one crash each can't displace a request with two.
MAX_SUSPECTS = 4096
# Crashes kept per request: far more than it takes to refuse it.
MAX_CRASHES_PER_SUSPECT = 32
# How long a change is reported: in ten heartbeats within the region and in at
# least three to other regions.
REPORT_PERIOD_SECONDS = 2.0
# Per heartbeat or digest: 64 entries of two crashes take some 3 kB encoded.
MAX_CHANGED_REPORTS = 64
# Refused requests that are reported repeatedly, for hosts that missed them.
MAX_REPEATED_REPORTS = 16
# Largest tolerated difference of the hosts' clocks. Later times are limited to
# it, since they would clear a request of crashes yet to come.
MAX_CLOCK_SKEW_MS = 60_000
_MS_PER_SECOND = 1000


class Suspects:
    """Suspect requests by fingerprint, merged from the reports of all hosts."""

    def __init__(
        self, clock: Clock, report_period_seconds: float = REPORT_PERIOD_SECONDS
    ) -> None:
        """Set for how long changes are reported; start empty."""
        self._clock = clock
        self._report_period_seconds = report_period_seconds
        self._suspects: dict[str, Suspect] = {}
        # Enough weight to be refused, unless others explain their crashes.
        self._over_threshold: set[str] = set()
        self._resume_guard = ResumeGuard(clock, MAX_PAUSE_SECONDS)
        # Those whose refusal was logged.
        self._announced: set[str] = set()
        self._expired_at = clock.monotonic()
        self.on_refused: Callable[[str], None] = _ignore_refusal
        self.on_crashes: Callable[[str, Suspect], None] = _ignore_crashes

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def get(self, fingerprint: str) -> Suspect | None:
        """Return the entry of a request, None if it is no suspect."""
        return self._suspects.get(fingerprint)

    def observed_here(self) -> list[tuple[str, Suspect]]:
        """Return the requests that were present at crashes seen here."""
        return [
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.is_observed_here
        ]

    def refused_seconds(self, fingerprint: str) -> float | None:
        """Return for how long a request is refused, None if it isn't."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or fingerprint not in self._over_threshold:
            return None
        remaining = (
            suspect.last_crash_at + REFUSAL_SECONDS - self._clock.monotonic()
        )
        if remaining <= 0 or self._is_explained(fingerprint, suspect):
            return None
        if is_part(fingerprint) and self._may_be_cleared(suspect):
            return None
        self._announce(fingerprint, suspect)
        return remaining

    def refused(self) -> dict[str, int]:
        """Return the refused fingerprints with their number of crashes."""
        return {
            fingerprint: len(self._suspects[fingerprint].crashes)
            for fingerprint in sorted(self._over_threshold)
            if self.refused_seconds(fingerprint) is not None
        }

    def record_crash(self, fingerprint: str, crash: Crash) -> None:
        """Record a crash that this host observed itself."""
        if fingerprint:
            self._find_or_create(fingerprint).is_observed_here = True
            self._add_crashes(fingerprint, [crash], is_new_in_region=True)

    def record_seen(self, fingerprint: str) -> None:
        """Record that a request with a part has come to this host."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.seen_count += 1

    def record_served(self, fingerprint: str) -> None:
        """Record that a target completed a request without crashing."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            self._clear(
                fingerprint, suspect, self._now_ms(), is_new_in_region=True
            )

    def merge_reports(
        self, reports: Iterable[SuspectReport], *, is_near: bool
    ) -> None:
        """Merge reports of another host or of the metadata store."""
        for report in reports:
            if report.served_at_ms:
                suspect = self._find_or_create(report.fingerprint)
                latest_ms = self._now_ms() + MAX_CLOCK_SKEW_MS
                served_at_ms = min(report.served_at_ms, latest_ms)
                if served_at_ms > suspect.served_at_ms:
                    self._clear(
                        report.fingerprint,
                        suspect,
                        served_at_ms,
                        is_new_in_region=not is_near,
                    )
            self._add_crashes(
                report.fingerprint, report.crashes, is_new_in_region=not is_near
            )

    def reports_to_send(
        self, *, is_near: bool, is_full: bool
    ) -> list[SuspectReport]:
        """Return the recent changes, and if full some refused requests.

        Within its region, a host reports only changes that it observed itself
        or received from another region or the store.
        """
        since = self._clock.monotonic() - self._report_period_seconds
        changed = {
            fingerprint
            for fingerprint, one in self._suspects.items()
            if one.report_changed_at(is_near=is_near) > since
        }
        chosen = sorted(changed, key=self._rank, reverse=True)[
            :MAX_CHANGED_REPORTS
        ]
        if is_full:
            repeated = sorted(self._over_threshold - changed, key=self._rank)
            chosen.extend(repeated[-MAX_REPEATED_REPORTS:])
        return [
            self._suspects[fingerprint].to_report(fingerprint)
            for fingerprint in chosen
        ]

    def expire_if_due(self) -> None:
        """Drop old entries if due; call it several times a second."""
        self._resume_guard.tick()
        if self._clock.monotonic() - self._expired_at > EXPIRY_CHECK_SECONDS:
            self._expire()

    def _expire(self) -> None:
        now = self._clock.monotonic()
        self._expired_at = now
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.last_crash_at > suspect.retention_seconds:
                self._drop(fingerprint)
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess > 0:
            for fingerprint in sorted(self._suspects, key=self._rank)[:excess]:
                self._drop(fingerprint)

    def _rank(self, fingerprint: str) -> tuple[int, int, float]:
        suspect = self._suspects[fingerprint]
        return suspect.weight, suspect.no_output_count, suspect.changed_at

    def _drop(self, fingerprint: str) -> None:
        self._suspects.pop(fingerprint)
        self._over_threshold.discard(fingerprint)
        self._announced.discard(fingerprint)

    def _find_or_create(self, fingerprint: str) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= 2 * MAX_SUSPECTS:
                self._expire()
            suspect = Suspect(self._clock.monotonic())
            self._suspects[fingerprint] = suspect
        return suspect

    def _add_crashes(
        self,
        fingerprint: str,
        crashes: Iterable[Crash],
        *,
        is_new_in_region: bool,
    ) -> None:
        known = self._suspects.get(fingerprint)
        new = [crash for crash in crashes if self._is_new(known, crash)]
        if not new:
            return
        suspect = self._find_or_create(fingerprint)
        if not suspect.crashes:
            suspect.suspected_at = self._clock.monotonic()
        for crash in new[:MAX_CRASHES_PER_SUSPECT]:
            suspect.crashes[crash.incarnation_id] = crash
        suspect.last_crash_at = self._clock.monotonic()
        self._record_change(
            fingerprint, suspect, is_new_in_region=is_new_in_region
        )

    def _is_new(self, suspect: Suspect | None, crash: Crash) -> bool:
        age_ms = self._now_ms() - crash.at_ms
        if age_ms > RETENTION_SECONDS * _MS_PER_SECOND:
            return False
        if suspect is None:
            return True
        if crash.at_ms <= suspect.served_at_ms:
            return False
        known = suspect.crashes.get(crash.incarnation_id)
        if known is None:
            return len(suspect.crashes) < MAX_CRASHES_PER_SUSPECT
        # Of several copies of one request at the same target, the one that was
        # running counts.
        return (crash.weight, crash.had_no_output) > (
            known.weight,
            known.had_no_output,
        )

    def _clear(
        self,
        fingerprint: str,
        suspect: Suspect,
        served_at_ms: int,
        *,
        is_new_in_region: bool,
    ) -> None:
        suspect.served_at_ms = served_at_ms
        suspect.crashes = {
            incarnation_id: crash
            for incarnation_id, crash in suspect.crashes.items()
            if crash.at_ms > served_at_ms
        }
        self._record_change(
            fingerprint, suspect, is_new_in_region=is_new_in_region
        )

    def _record_change(
        self, fingerprint: str, suspect: Suspect, *, is_new_in_region: bool
    ) -> None:
        now = self._clock.monotonic()
        suspect.changed_at = now
        if is_new_in_region:
            suspect.region_changed_at = now
        self.on_crashes(fingerprint, suspect)
        if suspect.weight < REFUSAL_WEIGHT:
            self._over_threshold.discard(fingerprint)
            self._announced.discard(fingerprint)
            return
        self._over_threshold.add(fingerprint)
        # Announces the refusal.
        self.refused_seconds(fingerprint)

    def _may_be_cleared(self, suspect: Suspect) -> bool:
        # A host that was frozen may have missed what cleared a part.
        since = self._clock.monotonic() - suspect.suspected_at
        return since < PART_DELAY_SECONDS or self._resume_guard.is_resuming()

    def _announce(self, fingerprint: str, suspect: Suspect) -> None:
        if fingerprint in self._announced:
            return
        self._announced.add(fingerprint)
        logs.warning(
            'request_quarantined',
            fingerprint=fingerprint,
            targets=','.join(suspect.crashes),
            weight=suspect.weight,
            fresh=suspect.no_output_count,
        )
        self.on_refused(fingerprint)

    def _is_explained(self, fingerprint: str, suspect: Suspect) -> bool:
        """Return whether likelier culprits explain too many of the crashes."""
        explained = {
            incarnation_id
            for other in self._over_threshold
            if other != fingerprint
            and _is_likelier(
                (other, self._suspects[other]), (fingerprint, suspect)
            )
            for incarnation_id in self._suspects[other].crashes
        }
        weight = sum(
            crash.weight
            for incarnation_id, crash in suspect.crashes.items()
            if incarnation_id not in explained
        )
        return weight < REFUSAL_WEIGHT

    def _now_ms(self) -> int:
        return round(self._clock.now().timestamp() * _MS_PER_SECOND)


def _ignore_crashes(_fingerprint: str, _suspect: Suspect) -> None:
    """Ignore the crashes."""


def _ignore_refusal(_: str) -> None:
    """Ignore the refusal."""


def _is_likelier(
    likelier: tuple[str, Suspect], suspected: tuple[str, Suspect]
) -> bool:
    """Return whether one suspect is a likelier culprit than another."""
    other, fingerprint = likelier[0], suspected[0]
    if is_part(fingerprint):
        # What most prompts share is present at every crash, also at those under
        # a request that crashes targets itself.
        if is_part(other):
            return likelier[1].seen_count < suspected[1].seen_count
        return likelier[1].no_output_count >= REFUSAL_CRASHES
    if is_part(other) and suspected[1].no_output_count >= REFUSAL_CRASHES:
        # The common part may be present at all of its crashes.
        return False
    # A long stream that is resumed or retried beside the culprit may be present
    # at three crashes as well. The likelier culprit is the request that more
    # often had no output yet.
    return likelier[1].no_output_count > suspected[1].no_output_count
