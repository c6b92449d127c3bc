"""Read the keys that callers send and reduce them to digests."""

import hashlib
import secrets

# Drawn at each start, so that a leaked digest is useless elsewhere.
_SECRET = secrets.token_bytes(32)
_DIGEST_BYTES = 16
# Longer than any key that operators configure. Longer input is not hashed.
MAX_KEY_BYTES = 8192
_SCHEME = b'bearer'


def digest_of(key: bytes) -> bytes:
    """Return the keyed digest of a key; it differs between processes."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=_SECRET).digest()


def bearer_digest(credentials: list[bytes]) -> bytes | None:
    """Return the digest of the only bearer key sent, or None."""
    # Several headers are ambiguous: one host might use the first key, another
    # the last one.
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(b' ')
    key = key.strip()
    if scheme.lower() != _SCHEME or not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return digest_of(key)
