"""Write and read heartbeats.

Nearly all bytes between the data centres of a region are heartbeats: each of 30
hosts tells each other one which targets it has loaded, two and a half times a
second. They are packed with a dictionary of what every one of them holds, for
hosts that say that they read it.
"""

import zlib

import msgspec

from jacinthfold.catalogue.host_codec import HostDocument
from jacinthfold.fleet.table import HostState
from jacinthfold.placement.request_limit import LimitWord
from jacinthfold.quarantine.ends import SuspectWord

# Requests, unread tokens, held tokens, urgent unread tokens.
LoadFigures = tuple[int, int, int, int]
# Wait of ordinary and of urgent requests in seconds, number of targets.
CapacityFigures = tuple[float, float, int]
# Age in milliseconds, and the store's revision that was known then.
ProofReport = tuple[int, int]
# A part of the incarnation, and the number of a message that was heard.
Receipt = tuple[int, int]


class Heartbeat(msgspec.Struct):
    """Hold what a host tells the others.

    A host of the version before leaves out fields that are new, and passes
    over those that it does not know: new fields need a default.
    """

    host: HostDocument
    state: HostState
    revision: int
    # Whether the host reaches the metadata store.
    store: bool
    # By the life of a target.
    loads: dict[str, LoadFigures]
    # By service.
    rooms: dict[str, CapacityFigures]
    # Prompt tokens sent to lives of targets since this host started.
    read_tokens: dict[str, float] = {}
    # Names of long shared parts that were sent to them in the last moments.
    uses: dict[str, list[str]] = {}
    # Whether this host reads packed heartbeats.
    packs: bool = False
    # What this host's answers say of each service's engines; now and then.
    laws: dict[str, list[float]] = {}
    # Whether this host reads digests of a data centre.
    digests: bool = False
    # Number of this heartbeat since the host started.
    count: int = 0
    # Requests under which targets ended.
    suspects: list[SuspectWord] = []
    # Limits that targets named to this host, by the life of a target.
    limits: dict[str, LimitWord] = {}
    # How old the knowledge of the store is, and of whom what was heard last.
    proof: ProofReport | None = None
    heard_beats: dict[str, Receipt] = {}
    heard_digests: dict[str, Receipt] = {}


# Bytes of most heartbeats; a change here needs another mark.
COMPRESSION_DICTIONARY = (
    b'"read_tokens":{"i-"},"uses":{},"late_tokens":{},"laws":{},"state":"'
    b'starting","state":"leaving","},"state":"active","revision":,"store":'
    b'false,"loads":{"i-":[1,0,"rooms":{"":[0.0,0.0,},"packs":true}'
    b'{"host":{"name":"front-","incarnation":1,"region":"","data_centre":"",'
    b'"address":"10.","ports":['
)
COMPRESSED_MARK = b'\x01'
DIGEST_MARK = b'\x02'
COMPRESSION_LEVEL = 6
# Without a header or checksum: datagrams have one of their own.
_RAW_DEFLATE_WBITS = -15
# A heartbeat is some kilobytes; more is somebody else's datagram.
MAX_DECOMPRESSED_BYTES = 1_000_000
_decoder = msgspec.json.Decoder(Heartbeat)


def encode(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat for a host of any version."""
    return msgspec.json.encode(heartbeat)


def compress_heartbeat(content: bytes) -> bytes:
    """Return an encoded heartbeat for a host that reads packed ones."""
    return COMPRESSED_MARK + deflate(content)


def deflate(content: bytes) -> bytes:
    """Return bytes packed with what most heartbeats hold."""
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        wbits=_RAW_DEFLATE_WBITS,
        zdict=COMPRESSION_DICTIONARY,
    )
    return compressor.compress(content) + compressor.flush()


def decode(content: bytes) -> Heartbeat:
    """Return a heartbeat, packed or not; raise ValueError."""
    if content.startswith(COMPRESSED_MARK):
        content = inflate(content[len(COMPRESSED_MARK) :])
    try:
        return _decoder.decode(content)
    except RecursionError as error:
        raise ValueError(str(error)) from error


def inflate(content: bytes) -> bytes:
    """Return what was packed; raise ValueError."""
    decompressor = zlib.decompressobj(
        wbits=_RAW_DEFLATE_WBITS, zdict=COMPRESSION_DICTIONARY
    )
    try:
        return decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
