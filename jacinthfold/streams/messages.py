"""Messages between hosts about where streams began, and their encoding."""

import msgspec

from jacinthfold.catalogue.bounded_types import Name, Version
from jacinthfold.hashing import hash_key_bits

ORIGIN_MARK = b'\x04'


class OriginNotice(msgspec.Struct, array_like=True):
    """Notice that attempts began streams at a version of a service."""

    service: Name
    version: Version
    attempts: list[int]


class OriginQuery(msgspec.Struct, array_like=True):
    """Question at which version an attempt began a stream."""

    number: int
    service: Name
    attempt: int


class OriginAnswer(msgspec.Struct, array_like=True):
    """Answer to a query; no version if it isn't known."""

    number: int
    version: Version | None
    # Whether the version is only the one that the host knows of. Hosts that
    # don't say so may have inferred it.
    is_inferred: bool = True
    # Whether the host knows of several versions.
    is_mixed: bool = False


class OriginDatagram(msgspec.Struct, array_like=True):
    """Batch of messages from one host to another."""

    notices: list[OriginNotice] = []
    queries: list[OriginQuery] = []
    answers: list[OriginAnswer] = []


_decoder = msgspec.msgpack.Decoder(OriginDatagram)


def encode(datagram: OriginDatagram) -> bytes:
    """Encode a datagram."""
    return ORIGIN_MARK + msgspec.msgpack.encode(datagram)


def decode(content: bytes) -> OriginDatagram:
    """Decode a datagram; raise ValueError if it is malformed."""
    try:
        return _decoder.decode(content[len(ORIGIN_MARK) :])
    except RecursionError as error:
        raise ValueError(str(error)) from error


def attempt_key(attempt_id: str) -> int:
    """Return the number by which hosts name an attempt to each other."""
    return hash_key_bits(attempt_id)
