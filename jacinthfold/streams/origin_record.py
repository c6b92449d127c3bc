"""Encode and decode records of where the streams of a host began."""

import hashlib

import msgspec

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.streams.messages import OriginNotice

_decoder = msgspec.msgpack.Decoder(list[OriginNotice])


def record_name(own: HostRecord, slot: int) -> str:
    """Return the name of one record of a host's incarnation."""
    # A host that starts again must not overwrite what it wrote before.
    key = f'{own.name}/{own.incarnation}'.encode()
    return f'{hashlib.blake2b(key, digest_size=12).hexdigest()}-{slot}'


def encode(notices: list[OriginNotice]) -> bytes:
    """Return a record."""
    return msgspec.msgpack.encode(notices)


def decode(content: bytes) -> list[OriginNotice]:
    """Decode a record; raise ValueError if it is malformed."""
    try:
        return _decoder.decode(content)
    except RecursionError as error:
        raise ValueError(str(error)) from error
