"""Hashes of names and keys that are the same in every process."""

import hashlib
from collections.abc import Iterable

import xxhash


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
