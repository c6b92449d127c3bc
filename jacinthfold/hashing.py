"""Hashes of names and keys that are the same in every process."""

import hashlib
from collections.abc import Iterable

import xxhash

# Longer names are replaced by a digest of this many bytes.
MAX_NAME_CHARACTERS = 64
NAME_DIGEST_BYTES = 12


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in order of rendezvous hashing for a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()),
        reverse=True,
    )


def hash_key(key: str) -> str:
    """Return the hash that the configuration stores for a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def hash_key_bits(key: str) -> int:
    """Return 64 bits of a cryptographic hash of a caller's identifier."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def bounded_name(name: str) -> str:
    """Return a short name, or the digest of a long one."""
    if len(name) <= MAX_NAME_CHARACTERS:
        return name
    return hashlib.blake2b(
        name.encode(), digest_size=NAME_DIGEST_BYTES
    ).hexdigest()
