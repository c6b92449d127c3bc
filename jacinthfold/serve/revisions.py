"""Keep the configuration's revisions in the platform's store."""

import json
import uuid
import zlib
from collections.abc import Iterable
from datetime import datetime
from typing import Any

from jacinthfold.clock import Clock
from jacinthfold.serve import effects
from jacinthfold.serve import intents as intent_rules
from jacinthfold.serve.configuration import (
    Change,
    Configuration,
    decode_snapshot,
)
from jacinthfold.serve.deployment import Deployment
from jacinthfold.serve.intents import Intent, IntentError
from jacinthfold.serve.store import (
    Entry,
    Store,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
)

HEAD_KEY = 'jacinthfold/head'
PLAN_PREFIX = 'jacinthfold/plans'
SNAPSHOT_PREFIX = 'jacinthfold/snapshots'
HISTORY_PREFIX = 'jacinthfold/history'
HEAD_CHANGE_LIMIT = 64
PART_BYTES = 524288
PLAN_LIFETIME_SECONDS = 3600
CONFIRM_ATTEMPTS = 8


class RevisionError(Exception):
    """Report a plan or confirmation that could not be made."""


class PlanNotFoundError(RevisionError):
    """Report that no plan has the given identifier."""


class StalePlanError(RevisionError):
    """Report changes, since the plan was made, that touch the same."""


class ConfirmUnknownError(RevisionError):
    """Report that the store may have taken a confirmation."""


class NotConfirmedError(RevisionError):
    """Report that the store surely took no confirmation."""


class Plan:
    """Hold what an operator may confirm."""

    __slots__ = (
        'base_revision',
        'differences',
        'effects',
        'intents',
        'operator',
        'plan_id',
    )

    def __init__(
        self,
        plan_id: str,
        base_revision: int,
        operator: str,
        intents: tuple[Intent, ...],
        differences: Iterable[str],
        effects: Iterable[str],
    ) -> None:
        """Take the intents and what they would change."""
        self.plan_id = plan_id
        self.base_revision = base_revision
        self.operator = operator
        self.intents = intents
        self.differences = list(differences)
        self.effects = list(effects)

    def to_document(self) -> dict[str, Any]:
        """Return the plan as plain values."""
        return {
            'plan_id': self.plan_id,
            'base_revision': self.base_revision,
            'operator': self.operator,
            'intents': [intent.to_document() for intent in self.intents],
            'differences': self.differences,
            'effects': self.effects,
        }


class Head:
    """Hold the newest revision and the changes since the snapshot."""

    __slots__ = (
        'changes',
        'history_key',
        'index',
        'part_count',
        'revision',
        'snapshot_key',
    )

    def __init__(self, entry: Entry | None) -> None:
        """Decode the store's entry; an absent one is revision 0."""
        document = json.loads(entry.value) if entry else {}
        self.index = entry.index if entry else 0
        self.revision = int(document.get('revision', 0))
        self.snapshot_key = str(document.get('snapshot_key', ''))
        self.history_key = str(document.get('history_key', ''))
        self.part_count = int(document.get('part_count', 0))
        self.changes = [
            Change.from_document(change)
            for change in document.get('changes', ())
        ]

    def encode(self) -> bytes:
        """Return the store's value."""
        document = {
            'revision': self.revision,
            'snapshot_key': self.snapshot_key,
            'history_key': self.history_key,
            'part_count': self.part_count,
            'changes': [change.to_document() for change in self.changes],
        }
        return json.dumps(document).encode()


class Revisions:
    """Plan, confirm and read revisions; any entry host may do so."""

    def __init__(
        self, store: Store, configuration: Configuration, clock: Clock
    ) -> None:
        """Take the store and the configuration in force here."""
        self._store = store
        self._configuration = configuration
        self._clock = clock

    def plan(self, intents: tuple[Intent, ...], operator: str) -> Plan:
        """Return a kept plan; raise IntentError or StoreError."""
        head = self.read_head()
        before = self._deployment_at(head)
        after = _checked(before, intents, head.revision + 1)
        keys = dict.fromkeys(intent.key for intent in intents)
        plan = Plan(
            uuid.uuid4().hex,
            head.revision,
            operator,
            intents,
            [
                line
                for key in keys
                for line in effects.describe_change(before, after, key)
            ],
            effects.describe_effects(before, after),
        )
        self._keep(plan)
        return plan

    def find_plan(self, plan_id: str) -> Plan:
        """Return a plan; raise PlanNotFoundError or StoreError."""
        entry = self._store.get(f'{PLAN_PREFIX}/{plan_id}')
        if entry is None or not entry.value:
            raise PlanNotFoundError(f'There is no plan {plan_id}.')
        document = json.loads(entry.value)
        document['intents'] = intent_rules.parse(document['intents'])
        return Plan(**document)

    def confirm(self, plan_id: str, now: datetime) -> int:
        """Put a plan in force and return its revision.

        Asking again is safe. Raise StalePlanError, ConfirmUnknownError,
        NotConfirmedError or PlanNotFoundError.
        """
        answer_lost = False
        for _ in range(CONFIRM_ATTEMPTS):
            try:
                revision = self._try_confirm(plan_id, now)
            except StoreAnswerLostError:
                # The write may stand. The next round looks for the plan's
                # own identifier before it writes anything.
                answer_lost = True
            except StoreUnavailableError as error:
                raise _unconfirmed(str(error), answer_lost) from error
            else:
                if revision:
                    return revision
        raise _unconfirmed('the store kept changing or failing', answer_lost)

    def read_head(self) -> Head:
        """Return the newest revision; raise StoreError."""
        return Head(self._store.get(HEAD_KEY))

    def watch_head(self, index: int, wait_seconds: float) -> Head:
        """Return the head after an index, or as it is when time is up."""
        return Head(self._store.watch(HEAD_KEY, index, wait_seconds))

    def bring_up_to(self, head: Head) -> None:
        """Put a head's revision in force here; raise StoreError."""
        if self._configuration.offer_changes(head.changes):
            return
        if head.revision > self._configuration.revision:
            snapshot = self._read_snapshot(head)
            self._configuration.offer_snapshot(snapshot)
            self._configuration.offer_changes(head.changes)

    def history(self, above: int = 0) -> list[Change]:
        """Return the changes above a revision; raise StoreError."""
        head = self.read_head()
        changes = list(head.changes)
        key = head.history_key
        while key and not (changes and changes[0].revision <= above + 1):
            block = self._read_history(key)
            changes = [
                *(Change.from_document(entry) for entry in block['changes']),
                *changes,
            ]
            key = block['previous_key']
        return _above(changes, above)

    def _try_confirm(self, plan_id: str, now: datetime) -> int:
        plan = self.find_plan(plan_id)
        head = self.read_head()
        for earlier in self._changes_since(head, plan.base_revision):
            if earlier.plan_id == plan_id:
                return earlier.revision
            _refuse_conflict(plan, earlier)
        self.bring_up_to(head)
        before = self._configuration.deployment
        if before.revision > head.revision:
            # A neighbour told of a newer change since the head was read. Read
            # again, it shows what is stale: an operator who is told that the
            # store failed would try a plan that can't be confirmed any more.
            return 0
        _check_reached(before, head)
        try:
            after = _checked(before, plan.intents, head.revision + 1)
        except IntentError as error:
            raise StalePlanError(f'The plan no longer fits: {error}') from error
        change = Change(
            head.revision + 1, plan_id, plan.operator, now, plan.intents
        )
        head.changes.append(change)
        head.revision = change.revision
        self._compact(head, after)
        if not self._store.swap(HEAD_KEY, head.encode(), head.index):
            return 0
        self._configuration.offer_changes([change])
        return change.revision

    def _changes_since(self, head: Head, revision: int) -> list[Change]:
        first = head.changes[0].revision if head.changes else 0
        if head.changes and first <= revision + 1:
            return _above(head.changes, revision)
        if head.revision == revision:
            return []
        return self.history(revision)

    def _deployment_at(self, head: Head) -> Deployment:
        self.bring_up_to(head)
        deployment = self._configuration.deployment
        _check_reached(deployment, head)
        return deployment

    def _keep(self, plan: Plan) -> None:
        lease_id = self._store.grant_lease(PLAN_LIFETIME_SECONDS, delete=True)
        value = json.dumps(plan.to_document()).encode()
        key = f'{PLAN_PREFIX}/{plan.plan_id}'
        if not self._store.acquire(key, value, lease_id):
            raise NotConfirmedError('The store did not keep the plan.')

    def _compact(self, head: Head, after: Deployment) -> None:
        """Move old changes out of the head, which the store bounds."""
        if len(head.changes) < HEAD_CHANGE_LIMIT:
            return
        # Two confirmations of one revision may compact at once, and only one
        # wins the head. Each writes under its own plan's identifier, so the
        # loser can't write over what the winner's head points at.
        own = f'{head.revision}-{head.changes[-1].plan_id}'
        parts = _parts(Configuration.encode(after))
        history = {
            'previous_key': head.history_key,
            'changes': [change.to_document() for change in head.changes],
        }
        try:
            self._write_compacted(own, parts, history)
        except StoreError:
            # The head may grow for some confirmations more; what was
            # written is found by nobody, and the next one tries again.
            return
        head.snapshot_key = f'{SNAPSHOT_PREFIX}/{own}'
        head.history_key = f'{HISTORY_PREFIX}/{own}'
        head.part_count = len(parts)
        head.changes = []

    def _write_compacted(
        self, own: str, parts: list[bytes], history: dict[str, Any]
    ) -> None:
        for number, part in enumerate(parts):
            self._store.swap(f'{SNAPSHOT_PREFIX}/{own}/{number}', part, 0)
        block = zlib.compress(json.dumps(history).encode())
        self._store.swap(f'{HISTORY_PREFIX}/{own}', block, 0)

    def _read_history(self, key: str) -> Any:
        entry = self._store.get(key)
        if entry is None:
            raise StoreUnavailableError('A part of the history is gone.')
        return json.loads(zlib.decompress(entry.value))

    def _read_snapshot(self, head: Head) -> Deployment:
        parts = []
        for number in range(head.part_count):
            entry = self._store.get(f'{head.snapshot_key}/{number}')
            if entry is None:
                raise StoreUnavailableError('A part of the snapshot is gone.')
            parts.append(entry.value)
        if not parts:
            return Deployment()
        return decode_snapshot(b''.join(parts))


def _checked(
    before: Deployment, intents: tuple[Intent, ...], revision: int
) -> Deployment:
    after = intent_rules.apply(before, intents, revision)
    intent_rules.check(after, [intent.key for intent in intents])
    return after


def _refuse_conflict(plan: Plan, change: Change) -> None:
    wanted = {
        key
        for intent in plan.intents
        for key in intent_rules.named_keys(intent)
    }
    touched = {intent.key for intent in change.intents} & wanted
    if touched:
        raise StalePlanError(
            f'Revision {change.revision} by {change.operator} has changed '
            f'{", ".join(sorted(touched))}; make a new plan.'
        )


def _parts(value: bytes) -> list[bytes]:
    starts = range(0, len(value), PART_BYTES)
    return [value[start : start + PART_BYTES] for start in starts]


def _above(changes: Iterable[Change], revision: int) -> list[Change]:
    return [change for change in changes if change.revision > revision]


def _unconfirmed(reason: str, answer_lost: bool) -> RevisionError:
    if answer_lost:
        return ConfirmUnknownError(
            f'Maybe confirmed: {reason}. Confirm the same plan again to '
            'learn it; that is safe.'
        )
    return NotConfirmedError(f'Not confirmed: {reason}.')


def _check_reached(deployment: Deployment, head: Head) -> None:
    if deployment.revision != head.revision:
        raise NotConfirmedError(
            f'This host is at revision {deployment.revision}, the store '
            f'at {head.revision}; ask again.'
        )
