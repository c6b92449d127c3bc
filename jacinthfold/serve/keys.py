"""Let a request that may not be repeated run at most once.

A key names the one process that may run its request. Keys that we issue carry
that name; for keys that callers make up, the platform's compare-and-swap
writes it down. A retry anywhere is passed to that process. When it is gone,
the answer is `unknown` and the request is never run again.
"""

import hashlib
import hmac
import json
import secrets
import threading
import uuid
from collections import OrderedDict
from concurrent.futures import Future

from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve.store import (
    Store,
    StoreAnswerLostError,
    StoreError,
)

KEY_PREFIX = 'jf1'
KEY_FIELDS = 5
MAC_LENGTH = 24
CLAIM_PREFIX = 'jacinthfold/claims'
CLAIM_LEASE_SECONDS = 3600
REPLAY_LIMIT_BYTES = 262144


class KeyUseError(Exception):
    """Report a key that can't be used."""


class InvalidKeyError(KeyUseError):
    """Report a key that looks like ours and is not, or is another's."""


class KeyExpiredError(KeyUseError):
    """Report a key whose outcome is no longer remembered."""


class KeyReusedError(KeyUseError):
    """Report a key that came with a different request before."""


class KeyTableFullError(KeyUseError):
    """Report that no further key can be remembered now."""


class ClaimUnavailableError(KeyUseError):
    """Report that the store can't tell who may run a request."""


class KeptAnswer:
    """Hold the answer that every retry of a key gets."""

    __slots__ = ('body', 'content_type', 'outcome', 'status')

    def __init__(
        self, status: int, content_type: str, body: bytes, outcome: str
    ) -> None:
        """Take the answer and its outcome."""
        self.status = status
        self.content_type = content_type
        self.body = body
        self.outcome = outcome


class Claim:
    """Say which process may run a key's request, and since when."""

    __slots__ = ('claimed_at', 'incarnation')

    def __init__(self, incarnation: int, claimed_at: int) -> None:
        """Take the process and its own clock's seconds at the claim."""
        self.incarnation = incarnation
        self.claimed_at = claimed_at


class KeyRecord:
    """Hold the fate of one key's request."""

    __slots__ = ('_running', 'expires_at', 'fingerprint', 'kept', 'key')

    def __init__(self, key: str, fingerprint: str, expires_at: float) -> None:
        """Start with no answer."""
        self.key = key
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.kept: KeptAnswer | None = None
        self._running: Future[KeptAnswer] | None = Future()

    def end(self, answer: KeptAnswer) -> None:
        """Give the answer to all who wait for it."""
        running = self._running
        self.kept = answer
        # A future is most of a record's memory, and records live for a day.
        self._running = None
        if running is not None:
            running.set_result(answer)

    def wait(self, timeout_seconds: float) -> KeptAnswer:
        """Return the answer; raise TimeoutError while there is none."""
        running = self._running
        if running is not None:
            return running.result(timeout_seconds)
        if self.kept is None:
            raise TimeoutError
        return self.kept


class KeyIssuer:
    """Issue keys that name this process, and read them."""

    def __init__(
        self, incarnation: int, settings: Settings, clock: Clock
    ) -> None:
        """Take the process's incarnation and the peers' secret."""
        self._incarnation = incarnation
        self._secret = settings.peers.secret.encode()
        self._retention_seconds = settings.callers.key_retention_seconds
        self._clock = clock

    def issue(self, organisation: str) -> str:
        """Return a new key for an organisation."""
        issued_at = int(self._clock.monotonic())
        stem = '.'.join(
            (
                KEY_PREFIX,
                f'{self._incarnation:x}',
                str(issued_at),
                secrets.token_hex(8),
            )
        )
        return f'{stem}.{self._mac(stem, organisation)}'

    def read(self, key: str, organisation: str) -> Claim | None:
        """Return who may run it; None for keys that callers made up."""
        if not key.startswith(f'{KEY_PREFIX}.'):
            return None
        fields = key.split('.')
        stem, _, mac = key.rpartition('.')
        if len(fields) != KEY_FIELDS or not hmac.compare_digest(
            mac.encode(), self._mac(stem, organisation).encode()
        ):
            raise InvalidKeyError('This key was not issued to you.')
        return Claim(int(fields[1], 16), int(fields[2]))

    def check_age(self, claim: Claim) -> None:
        """Raise KeyExpiredError for an own claim past its retention."""
        # Records are dropped after the retention. A key claimed before then
        # may have run; running it now would be the second time.
        age_seconds = self._clock.monotonic() - claim.claimed_at
        if age_seconds >= self._retention_seconds:
            raise KeyExpiredError('The key has expired.')

    def _mac(self, stem: str, organisation: str) -> str:
        message = f'{stem}\0{organisation}'.encode()
        digest = hmac.new(self._secret, message, hashlib.sha256)
        return digest.hexdigest()[:MAC_LENGTH]


class KeyTable:
    """Remember every key whose request ran, or may have run, here."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Start with no key."""
        self._retention_seconds = settings.callers.key_retention_seconds
        self._limit = settings.callers.max_keys
        self._clock = clock
        self._guard = threading.Lock()
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._records)

    def begin(
        self, key: str, organisation: str, fingerprint: str
    ) -> tuple[KeyRecord, bool]:
        """Return a key's record and whether the caller is to run it."""
        now = self._clock.monotonic()
        full_key = f'{organisation}/{key}'
        with self._guard:
            self._drop_expired(now)
            record = self._records.get(full_key)
            if record:
                if record.fingerprint != fingerprint:
                    raise KeyReusedError('The key came with another request.')
                return record, False
            if len(self._records) >= self._limit:
                raise KeyTableFullError('Too many keys are remembered.')
            # One key more than the retention: a key issued a moment before
            # its use must outlive the check of its age.
            expires_at = now + self._retention_seconds + 1
            record = KeyRecord(full_key, fingerprint, expires_at)
            self._records[full_key] = record
            return record, True

    def finish(self, record: KeyRecord, answer: KeptAnswer) -> None:
        """Keep the answer of a request that ran or may have run."""
        record.end(answer)

    def forget(self, record: KeyRecord, answer: KeptAnswer) -> None:
        """Drop a key whose request surely did not run."""
        with self._guard:
            self._records.pop(record.key, None)
        record.end(answer)

    def _drop_expired(self, now: float) -> None:
        while self._records:
            record = next(iter(self._records.values()))
            if record.expires_at > now or record.kept is None:
                return
            self._records.pop(record.key)


class Claims:
    """Write down, in the store, who may run a caller's own key."""

    def __init__(
        self, store: Store, incarnation: int, settings: Settings, clock: Clock
    ) -> None:
        """Take the store and the process's incarnation."""
        self._store = store
        self._incarnation = incarnation
        self._retention_seconds = settings.callers.key_retention_seconds
        self._clock = clock
        self._guard = threading.Lock()
        self._lease_id = ''
        self._lease_until = 0.0

    def claim(self, key: str, organisation: str) -> Claim:
        """Return who may run it, claiming it for this process if free.

        Raise ClaimUnavailableError when the store can't tell; then nothing
        has run, and nothing may.
        """
        digest = hashlib.sha256(f'{organisation}\0{key}'.encode()).hexdigest()
        path = f'{CLAIM_PREFIX}/{digest}'
        token = uuid.uuid4().hex
        claim = Claim(self._incarnation, int(self._clock.monotonic()))
        document = {
            'owner': claim.incarnation,
            'claimed_at': claim.claimed_at,
            'token': token,
        }
        try:
            return self._claim(path, json.dumps(document).encode(), claim)
        except StoreError as error:
            raise ClaimUnavailableError(str(error)) from error

    def _claim(self, path: str, value: bytes, claim: Claim) -> Claim:
        try:
            won = self._store.acquire(path, value, self._lease())
        except StoreAnswerLostError:
            # The write may stand. Reading it back tells whose it is.
            won = False
        if won:
            return claim
        entry = self._store.get(path)
        if entry is None:
            self._lease_until = 0
            raise StoreAnswerLostError('The claim was not kept.')
        document = json.loads(entry.value)
        return Claim(int(document['owner']), int(document['claimed_at']))

    def _lease(self) -> str:
        # One lease serves all claims of an hour; each claim is one write.
        now = self._clock.monotonic()
        with self._guard:
            if now >= self._lease_until:
                lifetime = self._retention_seconds + CLAIM_LEASE_SECONDS
                self._lease_id = self._store.grant_lease(lifetime, delete=True)
                self._lease_until = now + CLAIM_LEASE_SECONDS
            return self._lease_id


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return what tells two requests apart."""
    digest = hashlib.sha256(f'{method}\0{path}\0'.encode())
    digest.update(body)
    return digest.hexdigest()
