"""Hold the configuration in force on this host; it only moves forward."""

import json
import threading
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from datetime import datetime
from typing import Any

from jacinthfold.clock import Clock
from jacinthfold.serve import intents as intent_rules
from jacinthfold.serve.deployment import (
    KINDS,
    Deployment,
    Thing,
    thing_document,
)
from jacinthfold.serve.intents import Intent

RECENT_LIMIT = 256
UNREADABLE = (LookupError, TypeError, ValueError, zlib.error)


class ConfigurationError(Exception):
    """Report a change or snapshot that can't be read."""


class Change:
    """Hold one revision's change."""

    __slots__ = ('confirmed_at', 'intents', 'operator', 'plan_id', 'revision')

    def __init__(
        self,
        revision: int,
        plan_id: str,
        operator: str,
        confirmed_at: datetime,
        intents: tuple[Intent, ...],
    ) -> None:
        """Take who changed what, when."""
        self.revision = revision
        self.plan_id = plan_id
        self.operator = operator
        self.confirmed_at = confirmed_at
        self.intents = intents

    def to_document(self) -> dict[str, Any]:
        """Return the change as plain values."""
        return {
            'revision': self.revision,
            'plan_id': self.plan_id,
            'operator': self.operator,
            'confirmed_at': self.confirmed_at.isoformat(),
            'intents': [intent.to_document() for intent in self.intents],
        }

    @classmethod
    def from_document(cls, document: Any) -> 'Change':
        """Return a decoded change; raise ConfigurationError."""
        try:
            return cls(
                int(document['revision']),
                str(document['plan_id']),
                str(document['operator']),
                datetime.fromisoformat(document['confirmed_at']),
                intent_rules.parse(document['intents']),
            )
        except (LookupError, TypeError, ValueError) as error:
            raise ConfigurationError(f'Not a change: {error!r}') from error


class Configuration:
    """Hold the deployment in force and the newest changes."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing in force."""
        self._clock = clock
        self._guard = threading.RLock()
        self._deployment = Deployment()
        self._recent: deque[Change] = deque(maxlen=RECENT_LIMIT)
        self._listeners: list[Callable[[], None]] = []
        self.applied_at = clock.monotonic()

    @property
    def deployment(self) -> Deployment:
        """Return what is in force."""
        return self._deployment

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self._deployment.revision

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function after each new revision."""
        self._listeners.append(listener)

    def offer_changes(self, changes: Iterable[Change]) -> bool:
        """Apply changes that follow; tell whether none is missing."""
        advanced = False
        with self._guard:
            for change in sorted(changes, key=lambda one: one.revision):
                # Peers repeat and reorder changes. Only the direct successor
                # is applied, so that no revision is lost or taken twice.
                if change.revision <= self.revision:
                    continue
                if change.revision != self.revision + 1:
                    return False
                self._deployment = intent_rules.apply(
                    self._deployment, change.intents, change.revision
                )
                self._recent.append(change)
                self.applied_at = self._clock.monotonic()
                advanced = True
        if advanced:
            self._announce()
        return True

    def offer_snapshot(self, deployment: Deployment) -> bool:
        """Put a newer snapshot in force; tell whether it was newer."""
        with self._guard:
            # A peer or a restored store may offer what is past. Taking it
            # would bring back a withdrawn key or a wider residency rule.
            if deployment.revision <= self.revision:
                return False
            self._deployment = deployment
            self._recent.clear()
            self.applied_at = self._clock.monotonic()
        self._announce()
        return True

    def changes_above(self, revision: int) -> list[Change] | None:
        """Return the changes above a revision, None when too old."""
        with self._guard:
            if revision >= self.revision:
                return []
            if not self._recent or self._recent[0].revision > revision + 1:
                return None
            return [
                change for change in self._recent if change.revision > revision
            ]

    @staticmethod
    def encode(deployment: Deployment) -> bytes:
        """Return a deployment as a compressed snapshot."""
        document = {
            'revision': deployment.revision,
            'things': {
                kind: [thing_document(thing) for thing in named.values()]
                for kind, named in deployment.things.items()
            },
        }
        return zlib.compress(json.dumps(document).encode())

    def _announce(self) -> None:
        for listener in self._listeners:
            listener()


def decode_snapshot(value: bytes) -> Deployment:
    """Return a snapshot's deployment; raise ConfigurationError."""
    try:
        document = json.loads(zlib.decompress(value))
        things = {
            kind: {entry['name']: _thing(kind, entry) for entry in entries}
            for kind, entries in document['things'].items()
        }
        return Deployment(int(document['revision']), things)
    except UNREADABLE as error:
        raise ConfigurationError(f'Not a snapshot: {error!r}') from error


def _thing(kind: str, entry: dict[str, Any]) -> Thing:
    fields: dict[str, Any] = {
        field: tuple(value) if isinstance(value, list) else value
        for field, value in entry.items()
    }
    return KINDS[kind](**fields)
