"""Encode and decode digests, which summarize a data centre's heartbeats."""

import msgspec

from jacinthfold.catalogue.bounded_types import Name, Number
from jacinthfold.catalogue.host_codec import HostDocument
from jacinthfold.catalogue.revision import make_revision
from jacinthfold.fleet.heartbeat_message import (
    DIGEST_MARK,
    LoadFigures,
    ProofReport,
    deflate,
    inflate,
)
from jacinthfold.fleet.table import HostState
from jacinthfold.placement.failure_rate import TrialReport
from jacinthfold.placement.request_limit import LimitReport
from jacinthfold.quarantine.crashes import SuspectReport


class HostSummary(msgspec.Struct, array_like=True):
    """Hold the last heartbeat of one host, as its collector received it."""

    name: Name
    incarnation: Number
    # A host that isn't heard must not count as heard in the future.
    age_ms: Number
    state: HostState
    revision: int
    reaches_store: bool
    supports_compression: bool
    supports_digests: bool
    # Number of the heartbeat whose loads the digest's sums include.
    heartbeat_number: int
    era: int = 0

    @property
    def catalogue_revision(self) -> int:
        """Return the revision of the host's catalogue; raise ValueError."""
        return make_revision(self.era, self.revision)


class Digest(msgspec.Struct):
    """Hold the hosts of one data centre and sums over their heartbeats.

    Hosts of the previous version omit new fields and ignore those they do not
    know, so new fields need a default.
    """

    region: str
    data_centre: str
    # Name, incarnation and address of the collector that made it.
    collector: str
    incarnation: int
    address: str
    # Rank among the collectors, 0 for the first.
    rank: int
    # Sequence number since the collector started.
    count: int
    # Time since it was made, set when it is forwarded.
    age_ms: int
    hosts: list[HostSummary]
    # Endpoints: those of new hosts in each digest, all of them periodically.
    places: list[HostDocument] = []
    # Sums by incarnation of a target.
    loads: dict[str, LoadFigures] = {}
    # Names of long shared prefixes recently sent to each incarnation.
    uses: dict[str, list[str]] = {}
    # Whether it has the fields that are sent only periodically.
    is_full: bool = False
    # Prefilled tokens by incarnation since the collector started.
    read_tokens: dict[str, float] = {}
    # Sums for the latency model of each service's engines.
    laws: dict[str, list[float]] = {}
    # Requests during which targets crashed.
    suspects: list[SuspectReport] = []
    # Limits that targets reported to these hosts, by incarnation.
    limits: dict[str, LimitReport] = {}
    # The newest ejection, trial or return that these hosts reported, by
    # incarnation.
    trials: dict[str, TrialReport] = {}
    # Freshness proof of the collector.
    proof: ProofReport | None = None
    proof_era: int = 0


class Digests(msgspec.Struct):
    """Hold the digests of one datagram."""

    digests: list[Digest]


_decoder = msgspec.msgpack.Decoder(Digests)


def encode_digests(digests: list[Digest]) -> bytes:
    """Return digests as one compressed datagram."""
    return DIGEST_MARK + deflate(msgspec.msgpack.encode(Digests(digests)))


def decode_digests(content: bytes) -> list[Digest]:
    """Decode the digests of a datagram; raise ValueError."""
    try:
        return _decoder.decode(inflate(content[len(DIGEST_MARK) :])).digests
    except RecursionError as error:
        raise ValueError(str(error)) from error
