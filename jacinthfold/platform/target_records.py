"""Decode the records that targets write into the metadata store."""

import hashlib
import ipaddress
from enum import Enum

import msgspec

from jacinthfold.catalogue.model import TargetRecord
from jacinthfold.catalogue.record import UnreadableRecordError

# Far above any real target. A higher value means that the record was not
# written by a target.
SLOTS_LIMIT = 1_000_000
WARMUP_LIMIT_MS = 3_600_000
PORT_LIMIT = 65535
MAX_VERSION_CHARACTERS = 64
# Unix milliseconds of the year 2286, one digit more than any current time.
BORN_LIMIT_MS = 10**13
_MS = 1000


class _State(Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _TargetEntry(msgspec.Struct, rename='kebab'):
    # The name of the service.
    backend: str
    address: str
    # The data centre.
    zone: str
    # The version of the target's program, not of this record.
    version: str
    slots: int
    state: _State
    # Number of this record among those of the same incarnation.
    seq: int
    warmup_left_ms: float
    remaining_ms: float | None = None
    # Start of the incarnation in Unix milliseconds by the target's clock. Older
    # targets omit it.
    born: int | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(_TargetEntry)


def read_target(instance: str, content: bytes) -> TargetRecord:
    """Decode a target's record; raise UnreadableRecordError."""
    try:
        entry = _decoder.decode(content)
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
    _check_range('slots', entry.slots, 1, SLOTS_LIMIT)
    _check_range('seq', entry.seq, 0, float('inf'))
    _check_range('warmup-left-ms', entry.warmup_left_ms, 0, WARMUP_LIMIT_MS)
    record = TargetRecord(
        instance, entry.backend, _parse_endpoint(entry.address), entry.zone
    )
    record.software_version = _bounded_version(entry.version)
    record.slots = entry.slots
    record.is_draining = entry.state is _State.DRAINING
    record.cold_seconds = entry.warmup_left_ms / _MS
    if entry.remaining_ms is not None:
        _check_range('remaining-ms', entry.remaining_ms, 0, WARMUP_LIMIT_MS)
        record.remaining_seconds = entry.remaining_ms / _MS
    if entry.born is not msgspec.UNSET:
        _check_range('born', entry.born, 0, BORN_LIMIT_MS)
        record.started_at_ms = entry.born
    return record


def _bounded_version(version: str) -> str:
    # Hosts send versions to each other and log them.
    if len(version) <= MAX_VERSION_CHARACTERS and version.isprintable():
        return version
    digest = hashlib.blake2b(version.encode(), digest_size=8).hexdigest()
    start = version[:MAX_VERSION_CHARACTERS]
    return f'{"".join(filter(str.isprintable, start))}~{digest}'


def _parse_endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise UnreadableRecordError(f'no valid port in {address[:40]!r}')
    _check_range('port', int(port), 1, PORT_LIMIT)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise UnreadableRecordError(str(error)) from error
    return host, int(port)


def _check_range(
    name: str, value: float, minimum: float, maximum: float
) -> None:
    if not minimum <= value <= maximum:
        raise UnreadableRecordError(f'{name} out of range')
