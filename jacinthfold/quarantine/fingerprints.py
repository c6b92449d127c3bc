"""Tell requests apart by what they ask for, not by their identifiers."""

import hashlib

from jacinthfold import logs
from jacinthfold.request.messages import Request

# 16 bytes: of a thousand million requests two differ and look the same with a
# chance of one in 10^20. Fewer bytes would let a caller search for a collision.
FINGERPRINT_BYTES = 16
KEY_BYTES = 32
_LENGTH_BYTES = 8


class Fingerprints:
    """Make the fingerprints that all hosts of a deployment agree on."""

    # Keyed: they stand in logs, in heartbeats and in the store, and without a
    # key a short body could be found from one by trying.

    __slots__ = ('_key',)

    def __init__(self) -> None:
        """Start without the key, which the store holds."""
        self._key = b''

    @property
    def has_key(self) -> bool:
        """Tell whether fingerprints can be made yet."""
        return bool(self._key)

    def set_key(self, key: bytes) -> None:
        """Take the key that the deployment's hosts share."""
        self._key = key
        logs.event('fingerprints_keyed')

    def of(self, request: Request) -> str:
        """Return a request's fingerprint, nothing before the key is known."""
        # The caller belongs to it: nobody may have another one's request
        # refused by sending the same body.
        facts = request.facts
        return self.of_parts(
            request.method,
            facts.host_name.encode(),
            facts.caller.encode(),
            request.target,
            request.body,
        )

    def of_parts(self, *parts: bytes) -> str:
        """Return the fingerprint of what tells requests apart."""
        if not self._key:
            return ''
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=self._key)
        for part in parts:
            digest.update(len(part).to_bytes(_LENGTH_BYTES))
            digest.update(part)
        return digest.hexdigest()
