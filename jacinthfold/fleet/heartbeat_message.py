"""Encode and decode heartbeats.

Nearly all traffic between the data centres of a region is heartbeats: each of
30 hosts reports its load on the targets to every other host 2.5 times a second.
They are compressed with a preset dictionary of their common content, for hosts
that report support for it.
"""

import zlib

import msgspec

from jacinthfold.catalogue.host_codec import HostDocument
from jacinthfold.catalogue.revision import make_revision
from jacinthfold.fleet.table import HostState
from jacinthfold.placement.failure_rate import TrialReport
from jacinthfold.placement.request_limit import LimitReport
from jacinthfold.quarantine.crashes import SuspectReport

# Requests, pending prefill tokens, held tokens, urgent pending prefill tokens.
LoadFigures = tuple[int, int, int, int]
# Wait of ordinary and of urgent requests in seconds, number of targets.
CapacityFigures = tuple[float, float, int]
# Age of the sender's freshness proof in milliseconds, and the store's counter.
ProofReport = tuple[int, int]
# Low bits of the sender's incarnation and number of a received message.
Receipt = tuple[int, int]


class Heartbeat(msgspec.Struct):
    """Hold the state that a host sends to the others.

    Hosts of the previous version omit new fields and ignore those they do not
    know, so new fields need a default.
    """

    host: HostDocument
    state: HostState
    revision: int
    # Whether the host reaches the metadata store.
    store: bool
    # By incarnation of a target.
    loads: dict[str, LoadFigures]
    # Spare capacity of the region by service.
    rooms: dict[str, CapacityFigures]
    # Prompt tokens sent to each incarnation since this host started.
    read_tokens: dict[str, float] = {}
    # Names of long shared prefixes recently sent to them.
    uses: dict[str, list[str]] = {}
    # Whether this host accepts compressed heartbeats.
    packs: bool = False
    # Sums for the latency model of each service's engines; in full ones only.
    laws: dict[str, list[float]] = {}
    # Whether this host accepts digests of a data centre.
    digests: bool = False
    # Number of this heartbeat since the host started.
    count: int = 0
    # Requests during which targets crashed.
    suspects: list[SuspectReport] = []
    # Limits that targets reported to this host, by incarnation.
    limits: dict[str, LimitReport] = {}
    # Recent ejections, trials and returns of targets, by incarnation.
    trials: dict[str, TrialReport] = {}
    # Freshness proof, and receipts of the last messages by sender.
    proof: ProofReport | None = None
    heard_beats: dict[str, Receipt] = {}
    heard_digests: dict[str, Receipt] = {}
    # Era of the revision, which is the store's counter.
    era: int = 0
    proof_era: int = 0

    @property
    def catalogue_revision(self) -> int:
        """Return the revision of the sender's catalogue; raise ValueError."""
        return make_revision(self.era, self.revision)


# Bytes common to most heartbeats. Both sides must use the same ones, so a
# change needs another mark.
COMPRESSION_DICTIONARY = (
    b'"read_tokens":{"i-"},"uses":{},"late_tokens":{},"laws":{},"state":"'
    b'starting","state":"leaving","},"state":"active","revision":,"store":'
    b'false,"loads":{"i-":[1,0,"rooms":{"":[0.0,0.0,},"packs":true}'
    b'{"host":{"name":"front-","incarnation":1,"region":"","data_centre":"",'
    b'"address":"10.","ports":['
)
# Fields without which hosts keep all limits, those that matter least first.
ESTIMATE_FIELDS = ('uses', 'laws', 'read_tokens', 'loads')
COMPRESSED_MARK = b'\x01'
DIGEST_MARK = b'\x02'
COMPRESSION_LEVEL = 6
# Without header and checksum, because datagrams have their own.
_RAW_DEFLATE_WBITS = -15
# A heartbeat has a few kilobytes; anything this large is no heartbeat.
MAX_DECOMPRESSED_BYTES = 1_000_000
_decoder = msgspec.json.Decoder(Heartbeat)


def encode(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as JSON, which hosts of any version accept."""
    return msgspec.json.encode(heartbeat)


def encode_bounded(
    heartbeat: Heartbeat, max_bytes: int
) -> tuple[bytes, list[str]]:
    """Return a heartbeat of limited size, and the fields that were left out.

    Only fields that serve estimates are left out. One that is larger without
    them is returned as it is.
    """
    content = encode(heartbeat)
    left_out: list[str] = []
    for field in ESTIMATE_FIELDS:
        if len(content) < max_bytes:
            break
        left_out.append(field)
        emptied: dict[str, dict[str, object]] = {one: {} for one in left_out}
        content = encode(msgspec.structs.replace(heartbeat, **emptied))
    return content, left_out


def compress_heartbeat(content: bytes) -> bytes:
    """Return an encoded heartbeat compressed, with its mark."""
    return COMPRESSED_MARK + deflate(content)


def deflate(content: bytes) -> bytes:
    """Return bytes compressed with the preset dictionary."""
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        wbits=_RAW_DEFLATE_WBITS,
        zdict=COMPRESSION_DICTIONARY,
    )
    return compressor.compress(content) + compressor.flush()


def decode(content: bytes) -> Heartbeat:
    """Decode a heartbeat, compressed or not; raise ValueError."""
    if content.startswith(COMPRESSED_MARK):
        content = inflate(content[len(COMPRESSED_MARK) :])
    try:
        return _decoder.decode(content)
    except RecursionError as error:
        raise ValueError(str(error)) from error


def inflate(content: bytes) -> bytes:
    """Return decompressed bytes; raise ValueError."""
    decompressor = zlib.decompressobj(
        wbits=_RAW_DEFLATE_WBITS, zdict=COMPRESSION_DICTIONARY
    )
    try:
        return decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
