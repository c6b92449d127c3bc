"""Hold the ends of targets by the requests that were there."""

import msgspec

# The weight of an end at which it had begun, and of one at which it may have
# waited still: twice as many of those are asked for.
RUNNING_WEIGHT, QUEUED_WEIGHT = 2, 1
# Entries without a new end are dropped after this; those of one end, which are
# nearly all of requests that merely ran beside, and served ones sooner: while
# there is any entry, each request is hashed (30 us for 30 kB, worked out).
RETENTION_SECONDS = 3600.0
SINGLE_CRASH_RETENTION_SECONDS = 600.0
SERVED_RETENTION_SECONDS = 60.0


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """Hold the end of one life of a target, seen with a request there."""

    incarnation_id: str
    weight: int
    # Whether the target had begun and made nothing yet.
    had_no_output: bool
    # Unix milliseconds of the host that saw it.
    at_ms: int


class SuspectReport(msgspec.Struct, array_like=True):
    """Hold what hosts tell each other of a request."""

    fingerprint: str
    # When it was last answered by a target, 0 for never.
    served_at_ms: int
    crashes: list[Crash]


class Suspect:
    """Hold one request under which targets ended."""

    __slots__ = (
        'changed_at',
        'last_crash_at',
        'crashes',
        'is_observed_here',
        'region_changed_at',
        'served_at_ms',
    )

    def __init__(self, now: float) -> None:
        """Start without ends."""
        self.crashes: dict[str, Crash] = {}
        self.served_at_ms = 0
        # Whether this host itself saw one of the ends.
        self.is_observed_here = False
        # By the clock of this host: of the last end, of the last change, and
        # of the last one that the own region was not told by others.
        self.last_crash_at = now
        self.changed_at = now
        self.region_changed_at = float('-inf')

    @property
    def weight(self) -> int:
        """Return the weight of all ends."""
        return sum(crash.weight for crash in self.crashes.values())

    @property
    def no_output_count(self) -> int:
        """Return at how many ends the target had just begun with it."""
        return sum(crash.had_no_output for crash in self.crashes.values())

    @property
    def retention_seconds(self) -> float:
        """Return for how long it is remembered after its last end."""
        if not self.crashes:
            return SERVED_RETENTION_SECONDS
        return (
            RETENTION_SECONDS
            if len(self.crashes) > 1
            else SINGLE_CRASH_RETENTION_SECONDS
        )

    def report_changed_at(self, *, is_near: bool) -> float:
        """Return when what the own or other regions are told changed."""
        return self.region_changed_at if is_near else self.changed_at

    def to_report(self, fingerprint: str) -> SuspectReport:
        """Return what is told of it."""
        return SuspectReport(
            fingerprint, self.served_at_ms, list(self.crashes.values())
        )
