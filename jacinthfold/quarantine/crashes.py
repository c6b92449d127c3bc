"""Crashes of targets, grouped by the requests that were present."""

from typing import Annotated

import msgspec

from jacinthfold.catalogue.bounded_types import Identifier, Number

# Weight of a crash during which the request was running, and of one during
# which it may still have been queued: a refusal takes twice as many of these.
RUNNING_WEIGHT, QUEUED_WEIGHT = 2, 1
Weight = Annotated[int, msgspec.Meta(ge=QUEUED_WEIGHT, le=RUNNING_WEIGHT)]
# Entries without a new crash are dropped after this. Served requests and those
# with one crash, nearly all of which were only bystanders, are dropped sooner:
# while any entry exists, every request is hashed (about 30 us for 30 kB).
RETENTION_SECONDS = 3600.0
SINGLE_CRASH_RETENTION_SECONDS = 600.0
SERVED_RETENTION_SECONDS = 60.0


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """Crash of one incarnation of a target while a request was present."""

    incarnation_id: Identifier
    weight: Weight
    # Whether the request was running and had no output yet.
    had_no_output: bool
    # Unix time in milliseconds, by the clock of the host that observed it.
    at_ms: Number


class SuspectReport(msgspec.Struct, array_like=True):
    """Report on a suspect request, exchanged between hosts."""

    fingerprint: Identifier
    # When a target last completed it, 0 for never.
    served_at_ms: Number
    crashes: list[Crash]


class Suspect:
    """Request that was present when targets crashed."""

    __slots__ = (
        'changed_at',
        'last_crash_at',
        'crashes',
        'is_observed_here',
        'region_changed_at',
        'seen_count',
        'served_at_ms',
        'suspected_at',
    )

    def __init__(self, now: float) -> None:
        """Start without crashes."""
        self.crashes: dict[str, Crash] = {}
        self.served_at_ms = 0
        # Requests at this host with the part, since the first crash.
        self.seen_count = 0
        # Whether this host itself observed one of the crashes.
        self.is_observed_here = False
        # By the clock of this host: the first crash, the last one, the last
        # change, and the last change that this host has to report within its
        # region.
        self.suspected_at = now
        self.last_crash_at = now
        self.changed_at = now
        self.region_changed_at = float('-inf')

    @property
    def weight(self) -> int:
        """Return the total weight of the crashes."""
        return sum(crash.weight for crash in self.crashes.values())

    @property
    def no_output_count(self) -> int:
        """Return the number of crashes before the request had any output."""
        return sum(crash.had_no_output for crash in self.crashes.values())

    @property
    def retention_seconds(self) -> float:
        """Return how long the entry is kept after its last crash."""
        if not self.crashes:
            return SERVED_RETENTION_SECONDS
        return (
            RETENTION_SECONDS
            if len(self.crashes) > 1
            else SINGLE_CRASH_RETENTION_SECONDS
        )

    def report_changed_at(self, *, is_near: bool) -> float:
        """Return the last change to report to this region or to others."""
        return self.region_changed_at if is_near else self.changed_at

    def to_report(self, fingerprint: str) -> SuspectReport:
        """Return the report for other hosts."""
        return SuspectReport(
            fingerprint, self.served_at_ms, list(self.crashes.values())
        )
