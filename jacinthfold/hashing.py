"""Hash names and keys so that every process agrees."""

import hashlib
from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order for a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()),
        reverse=True,
    )


def hash_key(key: str) -> str:
    """Return what the configuration keeps of a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()
