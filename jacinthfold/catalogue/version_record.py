"""Encode and decode the record of a service's software versions."""

import hashlib

import msgspec

from jacinthfold.catalogue.bounded_types import (
    Name,
    Versions,
    check_printable,
)
from jacinthfold.catalogue.record import UnreadableRecordError


class VersionRecord(msgspec.Struct):
    """Hold the versions that streams of a service may have begun at."""

    service: Name
    versions: Versions


_decoder = msgspec.json.Decoder(VersionRecord)


def record_name(service: str) -> str:
    """Return the name of a service's record, of bounded length."""
    return hashlib.blake2b(service.encode(), digest_size=12).hexdigest()


def encode(record: VersionRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode(content: bytes) -> VersionRecord:
    """Decode a record; raise UnreadableRecordError."""
    try:
        record = _decoder.decode(content)
        check_printable(record.service, *record.versions)
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
    return record
