"""Learn from neighbours as of when the store's state is known.

A neighbour's word "so many milliseconds ago" says nothing by itself: it may
have lain on its way, or in the buffer of a host that stood still. It counts
from the moment at which this host sent the message that is named as heard.
"""

from collections import OrderedDict

from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.clock import Clock
from jacinthfold.fleet.digest_message import Digest
from jacinthfold.fleet.heartbeat_message import Heartbeat, ProofReport, Receipt

# Own messages whose times are remembered: four seconds of heartbeats.
MAX_REMEMBERED_SEND_TIMES = 20
# Hosts of a data centre whose messages are named as heard.
MAX_PENDING_RECEIPTS = 32
# Enough of a life's number to tell it from the one before.
_INCARNATION_MASK = 0xFFFFFF
_MS = 1000


class _SendTimes:
    """Hold when messages left, by their number."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: OrderedDict[int, float] = OrderedDict()

    def record(self, count: int, sent_at: float) -> None:
        # The first time counts: one number may be sent twice.
        self._times.setdefault(count, sent_at)
        if len(self._times) > MAX_REMEMBERED_SEND_TIMES:
            self._times.popitem(last=False)

    def at(self, count: int) -> float | None:
        return self._times.get(count)


class FreshnessExchange:
    """Tell neighbours how old the own proof is, and go by theirs."""

    def __init__(
        self, own: HostRecord, freshness: Freshness, clock: Clock
    ) -> None:
        """Take whose proof is told and made newer."""
        self._own = own
        self._incarnation = own.incarnation & _INCARNATION_MASK
        self._freshness = freshness
        self._clock = clock
        self._heartbeat_send_times = _SendTimes()
        self._digest_send_times = _SendTimes()
        self._heard_beats: OrderedDict[str, Receipt] = OrderedDict()
        self._heard_digests: OrderedDict[str, Receipt] = OrderedDict()
        # Only where a proof is asked for: it costs bytes.
        self.is_enabled = False

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the own proof and what was heard to a heartbeat."""
        if not self.is_enabled:
            return
        self._heartbeat_send_times.record(
            heartbeat.count, self._clock.boottime()
        )
        heartbeat.proof = self._own_report()
        heartbeat.heard_beats = dict(self._heard_beats)
        heartbeat.heard_digests = dict(self._heard_digests)
        # A message is named once: the next one that is heard says more.
        self._heard_beats.clear()
        self._heard_digests.clear()

    def fill_digest(self, digest: Digest) -> None:
        """Add the own proof to a digest that this host makes."""
        if not self.is_enabled:
            return
        self._digest_send_times.record(digest.count, self._clock.boottime())
        digest.proof = self._own_report()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a near host's heartbeat."""
        if not self.is_enabled:
            return
        host = heartbeat.host
        receipt = (host.incarnation & _INCARNATION_MASK, heartbeat.count)
        _remember(self._heard_beats, host.name, receipt)
        own = self._own.name
        self._apply(
            heartbeat.proof,
            heartbeat.heard_beats.get(own),
            self._heartbeat_send_times,
        )
        digest_receipt = heartbeat.heard_digests.get(own)
        self._apply(heartbeat.proof, digest_receipt, self._digest_send_times)

    def receive_digest(self, digest: Digest) -> None:
        """Take a digest of the own data centre."""
        if not self.is_enabled or digest.collector == self._own.name:
            return
        receipt = (digest.incarnation & _INCARNATION_MASK, digest.count)
        _remember(self._heard_digests, digest.collector, receipt)
        for summary in digest.hosts:
            if summary.name == self._own.name:
                own_receipt = (
                    summary.incarnation & _INCARNATION_MASK,
                    summary.heartbeat_number,
                )
                self._apply(
                    digest.proof, own_receipt, self._heartbeat_send_times
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
            self._freshness.record_revision(sent_at - proof[0] / _MS, proof[1])

    def _own_report(self) -> ProofReport | None:
        age_seconds = self._freshness.age_seconds
        if age_seconds == float('inf'):
            return None
        # Rounded up: a proof must not seem newer than it is.
        age_ms = int(age_seconds * _MS) + 1
        return age_ms, self._freshness.proof.revision


def _remember(
    receipts: OrderedDict[str, Receipt], name: str, receipt: Receipt
) -> None:
    receipts[name] = receipt
    if len(receipts) > MAX_PENDING_RECEIPTS:
        receipts.popitem(last=False)
