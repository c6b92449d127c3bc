"""Write and read digests: what a collector heard of its data centre's hosts."""

import msgspec

from jacinthfold.catalogue.host_codec import HostDocument
from jacinthfold.fleet.heartbeat_message import (
    DIGEST_MARK,
    LoadFigures,
    ProofReport,
    deflate,
    inflate,
)
from jacinthfold.fleet.table import HostState
from jacinthfold.placement.request_limit import LimitWord
from jacinthfold.quarantine.ends import SuspectWord


class HostSummary(msgspec.Struct, array_like=True):
    """Hold what a collector last heard of one host."""

    name: str
    incarnation: int
    age_ms: int
    state: HostState
    revision: int
    reaches_store: bool
    supports_compression: bool
    supports_digests: bool
    # Number of the heartbeat whose load is part of the digest's sums.
    heartbeat_number: int


class Digest(msgspec.Struct):
    """Hold one data centre's hosts, and sums over them.

    A host of the version before leaves out fields that are new, and passes
    over those that it does not know: new fields need a default.
    """

    region: str
    data_centre: str
    # The host that made it, its start, and where it is reached.
    collector: str
    incarnation: int
    address: str
    # Its place among the collectors, 0 for the first.
    rank: int
    # Number of this digest since its maker started.
    count: int
    # Time since it was made, for those that pass it on.
    age_ms: int
    hosts: list[HostSummary]
    # How hosts are reached: new ones at once, all now and then.
    places: list[HostDocument] = []
    # Sums by the life of a target.
    loads: dict[str, LoadFigures] = {}
    # Names of long shared parts sent to lives of targets of late.
    uses: dict[str, list[str]] = {}
    # Whether it tells the rest, which comes now and then.
    is_full: bool = False
    # Prompt tokens read since the maker started.
    read_tokens: dict[str, float] = {}
    # Sums of what answers say of each service's engines.
    laws: dict[str, list[float]] = {}
    # Requests under which targets ended.
    suspects: list[SuspectWord] = []
    # Limits that targets named to these hosts, by the life of a target.
    limits: dict[str, LimitWord] = {}
    # How old its maker's knowledge of the store was.
    proof: ProofReport | None = None


class Digests(msgspec.Struct):
    """Hold the digests of one datagram."""

    digests: list[Digest]


_decoder = msgspec.msgpack.Decoder(Digests)


def encode_digests(digests: list[Digest]) -> bytes:
    """Return digests for hosts that read them."""
    return DIGEST_MARK + deflate(msgspec.msgpack.encode(Digests(digests)))


def decode_digests(content: bytes) -> list[Digest]:
    """Return the digests of a datagram; raise ValueError."""
    try:
        return _decoder.decode(inflate(content[len(DIGEST_MARK) :])).digests
    except RecursionError as error:
        raise ValueError(str(error)) from error
