"""Rank names so that every process that knows them agrees."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order for a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()),
        reverse=True,
    )
