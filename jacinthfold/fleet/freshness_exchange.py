"""Share freshness proofs of the store with neighbouring hosts.

The age that a neighbour reports is not enough by itself: the message may have
been delayed in the network or in the buffer of a suspended host. The age counts
from the time at which this host sent the message that the report acknowledges.
"""

from collections import OrderedDict

from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.revision import counter_of, era_of, make_revision
from jacinthfold.clock import Clock
from jacinthfold.fleet.digest_message import Digest
from jacinthfold.fleet.heartbeat_message import Heartbeat, ProofReport, Receipt

# Four seconds of this host's heartbeats.
MAX_REMEMBERED_SEND_TIMES = 20
# Hosts of a data centre whose messages a heartbeat acknowledges.
MAX_PENDING_RECEIPTS = 32
# Enough bits to tell an incarnation from the one before.
_INCARNATION_MASK = 0xFFFFFF
_MS = 1000


class _SendTimes:
    """Hold the send times of this host's messages by number."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: OrderedDict[int, float] = OrderedDict()

    def record(self, count: int, sent_at: float) -> None:
        # A number may be sent twice; the first time counts.
        self._times.setdefault(count, sent_at)
        if len(self._times) > MAX_REMEMBERED_SEND_TIMES:
            self._times.popitem(last=False)

    def at(self, count: int) -> float | None:
        return self._times.get(count)


class FreshnessExchange:
    """Send the age of this host's proof and apply those of neighbours."""

    def __init__(
        self, own: HostRecord, freshness: Freshness, clock: Clock
    ) -> None:
        """Initialize the exchange of a host's freshness proof."""
        self._own = own
        self._incarnation = own.incarnation & _INCARNATION_MASK
        self._freshness = freshness
        self._clock = clock
        self._heartbeat_send_times = _SendTimes()
        self._digest_send_times = _SendTimes()
        self._heartbeat_receipts: OrderedDict[str, Receipt] = OrderedDict()
        self._digest_receipts: OrderedDict[str, Receipt] = OrderedDict()
        # Proofs add bytes to messages; they are sent only if needed.
        self.is_enabled = False

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add this host's proof and pending receipts to a heartbeat."""
        if not self.is_enabled:
            return
        self._heartbeat_send_times.record(
            heartbeat.count, self._clock.boottime()
        )
        heartbeat.proof = self._own_report()
        heartbeat.proof_era = era_of(self._freshness.proof.revision)
        heartbeat.heard_beats = dict(self._heartbeat_receipts)
        heartbeat.heard_digests = dict(self._digest_receipts)
        # Each message is acknowledged once; the next one gives a newer receipt.
        self._heartbeat_receipts.clear()
        self._digest_receipts.clear()

    def fill_digest(self, digest: Digest) -> None:
        """Add this host's proof to a digest that it made."""
        if not self.is_enabled:
            return
        self._digest_send_times.record(digest.count, self._clock.boottime())
        digest.proof = self._own_report()
        digest.proof_era = era_of(self._freshness.proof.revision)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the proof and receipts of a heartbeat from this region."""
        if not self.is_enabled:
            return
        host = heartbeat.host
        receipt = (host.incarnation & _INCARNATION_MASK, heartbeat.count)
        _remember(self._heartbeat_receipts, host.name, receipt)
        own = self._own.name
        proof = _proof(heartbeat.proof, heartbeat.proof_era)
        self._apply(
            proof, heartbeat.heard_beats.get(own), self._heartbeat_send_times
        )
        digest_receipt = heartbeat.heard_digests.get(own)
        self._apply(proof, digest_receipt, self._digest_send_times)

    def receive_digest(self, digest: Digest) -> None:
        """Apply the proof of a digest from this data centre."""
        if not self.is_enabled or digest.collector == self._own.name:
            return
        receipt = (digest.incarnation & _INCARNATION_MASK, digest.count)
        _remember(self._digest_receipts, digest.collector, receipt)
        for summary in digest.hosts:
            if summary.name == self._own.name:
                own_receipt = (
                    summary.incarnation & _INCARNATION_MASK,
                    summary.heartbeat_number,
                )
                self._apply(
                    _proof(digest.proof, digest.proof_era),
                    own_receipt,
                    self._heartbeat_send_times,
                )

    def _apply(
        self,
        proof: ProofReport | None,
        receipt: Receipt | None,
        send_times: _SendTimes,
    ) -> None:
        if proof is None or receipt is None or receipt[0] != self._incarnation:
            return
        sent_at = send_times.at(receipt[1])
        if sent_at is not None:
            # A negative age would make records look newer than they are.
            age_seconds = max(0, proof[0]) / _MS
            self._freshness.record_revision(sent_at - age_seconds, proof[1])

    def _own_report(self) -> ProofReport | None:
        age_seconds = self._freshness.age_seconds
        if age_seconds == float('inf'):
            return None
        # Rounded up, because a proof must not seem newer than it is.
        age_ms = int(age_seconds * _MS) + 1
        return age_ms, counter_of(self._freshness.proof.revision)


def _proof(report: ProofReport | None, era: int) -> ProofReport | None:
    """Return the age and the revision of a report; raise ValueError."""
    if report is None:
        return None
    return report[0], make_revision(era, report[1])


def _remember(
    receipts: OrderedDict[str, Receipt], name: str, receipt: Receipt
) -> None:
    receipts[name] = receipt
    if len(receipts) > MAX_PENDING_RECEIPTS:
        receipts.popitem(last=False)
