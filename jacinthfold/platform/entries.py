"""Decode what targets write of themselves in the store."""

import ipaddress
from enum import Enum

import msgspec

from jacinthfold.catalogue.model import TargetRecord
from jacinthfold.catalogue.records import UnreadableRecordError

# Far above any real target; figures beyond them are another writer's.
SLOTS_LIMIT = 1_000_000
COLD_LIMIT_MS = 3_600_000
PORT_LIMIT = 65535
# Unix milliseconds of the year 2286: one digit more than any clock shows.
BORN_LIMIT_MS = 10**13
_MS = 1000


class _State(Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _Entry(msgspec.Struct, rename='kebab'):
    # The service, for which the wire has the name of another thing.
    backend: str
    address: str
    # The data centre.
    zone: str
    # Of the target's program, not of this entry.
    version: str
    slots: int
    state: _State
    # Counts the entries that this life of the target wrote.
    seq: int
    warmup_left_ms: float
    remaining_ms: float | None = None
    # When this life began, by the target's clock; older targets leave it out.
    born: int | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(_Entry)


def read_target(instance: str, content: bytes) -> TargetRecord:
    """Return what a target tells of itself; raise UnreadableRecordError."""
    try:
        entry = _decoder.decode(content)
    except (ValueError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
    _check_range('slots', entry.slots, 1, SLOTS_LIMIT)
    _check_range('seq', entry.seq, 0, float('inf'))
    _check_range('warmup-left-ms', entry.warmup_left_ms, 0, COLD_LIMIT_MS)
    record = TargetRecord(
        instance, entry.backend, _place(entry.address), entry.zone
    )
    record.slots = entry.slots
    record.is_draining = entry.state is _State.DRAINING
    record.cold_seconds = entry.warmup_left_ms / _MS
    if entry.remaining_ms is not None:
        _check_range('remaining-ms', entry.remaining_ms, 0, COLD_LIMIT_MS)
        record.remaining_seconds = entry.remaining_ms / _MS
    if entry.born is not msgspec.UNSET:
        _check_range('born', entry.born, 0, BORN_LIMIT_MS)
        record.started_at_ms = entry.born
    return record


def _place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise UnreadableRecordError(f'no port in {address[:40]!r}')
    _check_range('port', int(port), 1, PORT_LIMIT)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise UnreadableRecordError(str(error)) from error
    return host, int(port)


def _check_range(name: str, found: float, least: float, most: float) -> None:
    if not least <= found <= most:
        raise UnreadableRecordError(f'{name} out of range')
