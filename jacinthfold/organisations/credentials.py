"""Read the keys that callers send, and compare them without keeping them."""

import hashlib
import secrets

# Drawn anew at each start: a digest that leaks is worth nothing elsewhere.
_SECRET = secrets.token_bytes(32)
_DIGEST_BYTES = 16
# Longer than any key that operators declare; the rest is never hashed.
MAX_KEY_BYTES = 8192
_SCHEME = b'bearer'


def digest_of(key: bytes) -> bytes:
    """Return what is kept of a key; equal for equal keys in this process."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=_SECRET).digest()


def bearer_digest(credentials: list[bytes]) -> bytes | None:
    """Return the digest of the one bearer key sent, None without one."""
    # Of two keys one host might read the first and another one the last.
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(b' ')
    key = key.strip()
    if scheme.lower() != _SCHEME or not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return digest_of(key)
