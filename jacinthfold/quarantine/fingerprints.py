"""Identify requests by their content instead of their request ids."""

import hashlib

from jacinthfold import logs
from jacinthfold.request.messages import Request

# 16 bytes: the chance of any collision among 10^9 requests is one in 10^20.
# With fewer bytes a caller could search for a collision.
FINGERPRINT_BYTES = 16
KEY_BYTES = 32
_LENGTH_BYTES = 8
_PART_PREFIX = 'part-'


class Fingerprints:
    """Compute fingerprints that are equal on all hosts of a deployment."""

    # Fingerprints appear in logs, heartbeats and the store. They are keyed,
    # since otherwise a short body could be found from its fingerprint by brute
    # force.

    __slots__ = ('_key',)

    def __init__(self) -> None:
        """Start without the key, which comes from the metadata store."""
        self._key = b''

    @property
    def key(self) -> bytes:
        """Return the key, empty until it is known."""
        return self._key

    @property
    def has_key(self) -> bool:
        """Return whether the key is known."""
        return bool(self._key)

    def set_key(self, key: bytes) -> None:
        """Set the key that all hosts of the deployment share."""
        if key == self._key:
            return
        self._key = key
        logs.event('fingerprints_keyed')

    def keep(self, request: Request) -> None:
        """Keep a request's fingerprint for when its body is gone."""
        request.fingerprint = self.of(request)

    def of(self, request: Request) -> str:
        """Return a request's fingerprint, empty until the key is known."""
        if request.fingerprint is not None:
            return request.fingerprint
        # Includes the caller, so that nobody can have another caller's request
        # refused by sending the same body.
        facts = request.facts
        return self.of_parts(
            request.method,
            facts.host_name.encode(),
            facts.caller.encode(),
            request.target,
            request.body,
        )

    def of_prompt_part(self, *scope: bytes) -> str:
        """Return the fingerprint of a part of prompts and its scope."""
        return f'{_PART_PREFIX}{self.of_parts(*scope)}'

    def of_parts(self, *parts: bytes) -> str:
        """Return the fingerprint of the parts that identify a request."""
        if not self._key:
            return ''
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=self._key)
        for part in parts:
            digest.update(len(part).to_bytes(_LENGTH_BYTES))
            digest.update(part)
        return digest.hexdigest()


def is_part(fingerprint: str) -> bool:
    """Check whether a fingerprint is that of a part of prompts."""
    return fingerprint.startswith(_PART_PREFIX)
