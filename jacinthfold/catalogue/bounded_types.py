"""Bound the values of records and messages where they are decoded.

Whoever writes to the store or the network may send any value. One out of
range would fail later, in each round of whatever uses it.
"""

import ipaddress
from functools import lru_cache
from typing import Annotated

from msgspec import Meta

MAX_PORT = 65535
# The largest number that every message format here can carry.
MAX_NUMBER = 2**63 - 1
MAX_NAME_CHARACTERS = 200
MAX_IDENTIFIER_CHARACTERS = 400
MAX_VERSION_CHARACTERS = 100
# More than a service has side by side in any release.
MAX_VERSIONS = 64

Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
# Of a target or its incarnation, or of a request that crashed some.
Identifier = Annotated[str, Meta(max_length=MAX_IDENTIFIER_CHARACTERS)]
Version = Annotated[str, Meta(max_length=MAX_VERSION_CHARACTERS)]
Versions = Annotated[tuple[Version, ...], Meta(max_length=MAX_VERSIONS)]


@lru_cache(maxsize=4096)
def check_address(address: str) -> str:
    """Return an IPv4 address as it was given; raise ValueError."""
    try:
        ipaddress.IPv4Address(address)
    except ValueError as error:
        raise ValueError(f'no IPv4 address: {address[:40]!r}') from error
    return address


def check_printable(*names: str) -> None:
    """Raise ValueError if a name has line ends or other control characters."""
    text = ''.join(names)
    if not text.isprintable():
        raise ValueError(f'not printable: {text[:40]!r}')


def is_endpoint(address: str, port: int) -> bool:
    """Tell whether a socket accepts an address and port to send to."""
    try:
        check_address(address)
    except ValueError:
        return False
    return 0 < port <= MAX_PORT
