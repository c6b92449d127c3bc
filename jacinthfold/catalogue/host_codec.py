"""Encode and decode the records of entry hosts."""

import msgspec

from jacinthfold.catalogue.bounded_types import (
    Name,
    Number,
    Port,
    check_address,
    check_printable,
)
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import UnreadableRecordError


class HostDocument(msgspec.Struct):
    """Hold the serialized form of a host's record."""

    name: Name
    incarnation: Number
    region: Name
    data_centre: Name
    address: str
    ports: tuple[Port, Port, Port]
    # Hosts of the previous version omit it.
    keeps_origins: bool = False


_host_decoder = msgspec.json.Decoder(HostDocument)


def encode_host(host: HostRecord) -> bytes:
    """Return a host's record as JSON."""
    return msgspec.json.encode(document_from_host(host))


def document_from_host(host: HostRecord) -> HostDocument:
    """Return the serialized form of a host's record."""
    return HostDocument(
        host.name,
        host.incarnation,
        host.region,
        host.data_centre,
        host.address,
        (host.caller_port, host.relay_port, host.control_port),
        host.keeps_origins,
    )


def decode_host(content: bytes) -> HostRecord:
    """Return the host of a JSON record; raise UnreadableRecordError."""
    try:
        return host_from_document(_host_decoder.decode(content))
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error


def host_from_document(document: HostDocument) -> HostRecord:
    """Return the host of a decoded document; raise ValueError."""
    # Cheaper than patterns in the types, which each heartbeat would pay.
    check_printable(document.name, document.region, document.data_centre)
    record = HostRecord(
        document.name,
        document.incarnation,
        (document.region, document.data_centre),
        check_address(document.address),
        document.ports,
    )
    record.keeps_origins = document.keeps_origins
    return record
