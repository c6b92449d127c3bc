"""Remember which software versions the targets of each service ran."""

from collections.abc import Callable, Mapping

from jacinthfold import logs
from jacinthfold.clock import Clock

# Streams are shorter than this, also over several attempts of their callers.
MIN_RETENTION_SECONDS = 60.0
# A caller may take a stream up until the timeout of the attempt that began it.
RETENTION_TIMEOUTS = 2.0
# Changes reach every host that is in touch with the store within this time.
MAX_KNOWLEDGE_AGE_SECONDS = 3.0


class SoftwareVersions:
    """Hold the versions that a stream which still lasts may have begun at."""

    __slots__ = (
        '_clock',
        '_gone_at',
        '_present',
        '_recorded',
        'knowledge_age',
        'on_mixed',
        'retention',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without versions."""
        self._clock = clock
        self._present: dict[str, frozenset[str]] = {}
        # When the last target of a version went, by service.
        self._gone_at: dict[str, dict[str, float]] = {}
        # Versions in the metadata store with the time of their record, by
        # service.
        self._recorded: dict[str, tuple[frozenset[str], float]] = {}
        # Seconds for which a version counts after its last target.
        self.retention = MIN_RETENTION_SECONDS
        # Returns the maximum age of the records of targets.
        self.knowledge_age: Callable[[], float] = float
        # Called with a service that has come to have several versions.
        self.on_mixed: Callable[[str], None] = _ignore_service

    def cover_timeout(self, seconds: float) -> None:
        """Remember versions for as long as streams of a timeout may last."""
        self.retention = max(
            MIN_RETENTION_SECONDS, RETENTION_TIMEOUTS * seconds
        )

    def update(self, present: Mapping[str, frozenset[str]]) -> None:
        """Replace the versions of the targets that are known, by service."""
        now = self._clock.monotonic()
        services = [*present, *(self._present.keys() - present.keys())]
        changed = [
            service
            for service in services
            if present.get(service) != self._present.get(service)
        ]
        for service in changed:
            before = self._present.get(service, frozenset())
            gone = before - present.get(service, frozenset())
            limit = now - self.retention
            kept = self._gone_at.get(service, {})
            self._gone_at[service] = {
                **{name: at for name, at in kept.items() if at > limit},
                **dict.fromkeys(gone, now),
            }
        was_mixed = {one for one in changed if self.is_mixed(one)}
        self._present = dict(present)
        for service in changed:
            self._report(service, was_mixed=service in was_mixed)

    def apply_record(self, service: str, versions: tuple[str, ...]) -> None:
        """Apply the record of a service, without versions if it is gone."""
        was_mixed = self.is_mixed(service)
        now = self._clock.monotonic()
        self._recorded[service] = (frozenset(versions), now)
        if not was_mixed and self.is_mixed(service):
            self._report(service, was_mixed=False)

    def unrecorded(self) -> list[str]:
        """Return mixed services whose record is missing or about to expire."""
        limit = self._clock.monotonic() - self.retention
        found = []
        services = self._present.keys() | self._gone_at.keys()
        for service in services:
            observed = self.observed(service)
            recorded, at = self._recorded.get(service, (frozenset(), limit))
            is_missing = not observed <= recorded or at <= limit
            if len(observed) > 1 and is_missing:
                found.append(service)
        return found

    def recent(self, service: str) -> frozenset[str]:
        """Return the versions that a stream may have begun at."""
        recorded = self._recorded.get(service)
        observed = self.observed(service)
        return observed | recorded[0] if recorded else observed

    def observed(self, service: str) -> frozenset[str]:
        """Return the versions of targets that this host has known."""
        present = self._present.get(service, frozenset())
        gone_at = self._gone_at.get(service)
        if not gone_at:
            return present
        limit = self._clock.monotonic() - self.retention
        return present | {
            version for version, at in gone_at.items() if at > limit
        }

    def present(self, service: str) -> frozenset[str]:
        """Return the versions of the targets that serve now."""
        return self._present.get(service, frozenset())

    def is_mixed(self, service: str) -> bool:
        """Tell whether a stream may have begun at one of several versions."""
        return len(self.recent(service)) > 1

    def only(self, service: str) -> str | None:
        """Return the one version of a service, None if there are several."""
        versions = self.recent(service)
        return next(iter(versions)) if len(versions) == 1 else None

    def proven_only(self, service: str) -> str | None:
        """Return the one version of a service if no other can be unknown.

        A host that is cut off, or was frozen, may have missed a version.
        """
        is_fresh = self.knowledge_age() < MAX_KNOWLEDGE_AGE_SECONDS
        return self.only(service) if is_fresh else None

    def origin_version(self, service: str, version: str | None) -> str | None:
        """Return the version at which a stream began, None if unknown.

        The target may have told none, or different ones.
        """
        return version or self.only(service)

    def _report(self, service: str, *, was_mixed: bool) -> None:
        versions = self.recent(service)
        if len(versions) <= 1:
            return
        logs.event(
            'software_versions',
            service=service,
            versions=','.join(sorted(versions)),
        )
        if not was_mixed:
            self.on_mixed(service)


def _ignore_service(_service: str) -> None:
    """Do nothing with a service of several versions."""
