"""Decode the organisations of the operator's configuration."""

import msgspec

from jacinthfold.organisations.credentials import MAX_KEY_BYTES, digest_of
from jacinthfold.organisations.model import (
    Cap,
    Organisation,
    OrganisationTable,
)

# Hosts sum these over windows of seconds; a higher value is a mistake.
RATE_LIMIT = 10**15
PRIORITY_LIMIT = 1000
NAME_LIMIT = 200
_TOKENS = 'tokens'


class _OrganisationEntry(msgspec.Struct, rename='kebab'):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ''
    # Tokens counted for a request without a token count.
    uncached_tokens: int = 0
    rate_per_s: float = 0
    burst: float = 0
    allowed_regions: list[str] = []


def read_organisations(document: object) -> OrganisationTable:
    """Return the organisations of a configuration; raise ValueError."""
    entries = msgspec.convert(document or [], list[_OrganisationEntry])
    return OrganisationTable(_organisation(entry) for entry in entries)


def _organisation(entry: _OrganisationEntry) -> Organisation:
    if not 0 < len(entry.name) <= NAME_LIMIT or not entry.name.isprintable():
        raise ValueError(f'invalid organisation name: {entry.name[:20]!r}')
    keys = [key.encode() for key in entry.api_keys]
    if any(not 0 < len(key) <= MAX_KEY_BYTES for key in keys):
        raise ValueError(f'{entry.name}: an API key is empty or too long')
    organisation = Organisation(entry.name, map(digest_of, keys))
    if entry.priority is not None:
        _check_range(entry.name, 'priority', entry.priority, PRIORITY_LIMIT)
    organisation.priority = entry.priority
    organisation.home_regions = frozenset(entry.allowed_regions)
    organisation.cap = _cap(entry)
    return organisation


def _cap(entry: _OrganisationEntry) -> Cap | None:
    _check_range(entry.name, 'rate-per-s', entry.rate_per_s, RATE_LIMIT)
    _check_range(entry.name, 'burst', entry.burst, RATE_LIMIT)
    _check_range(
        entry.name, 'uncached-tokens', entry.uncached_tokens, RATE_LIMIT
    )
    if not entry.rate_per_s:
        return None
    return Cap(
        entry.rate_per_s,
        entry.burst,
        counts_tokens=entry.unit == _TOKENS,
        default_tokens=entry.uncached_tokens,
    )


def _check_range(name: str, field: str, value: float, maximum: float) -> None:
    if not 0 <= value <= maximum:
        raise ValueError(f'{name}: {field} out of range')
