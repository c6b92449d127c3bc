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
from jacinthfold.fleet.heartbeat_message import Echo, Heartbeat, ProofWord

# Own messages whose times are remembered: four seconds of heartbeats.
SENT_KEPT = 20
# Hosts of a data centre whose messages are named as heard.
HEARD_KEPT = 32
# Enough of a life's number to tell it from the one before.
_LIFE_BITS = 0xFFFFFF
_MS = 1000


class _Sent:
    """Hold when messages left, by their number."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: OrderedDict[int, float] = OrderedDict()

    def note(self, count: int, sent_at: float) -> None:
        # The first time counts: one number may be sent twice.
        self._times.setdefault(count, sent_at)
        if len(self._times) > SENT_KEPT:
            self._times.popitem(last=False)

    def at(self, count: int) -> float | None:
        return self._times.get(count)


class ProofExchange:
    """Tell neighbours how old the own proof is, and go by theirs."""

    def __init__(
        self, own: HostRecord, freshness: Freshness, clock: Clock
    ) -> None:
        """Take whose proof is told and made newer."""
        self._own = own
        self._life = own.incarnation & _LIFE_BITS
        self._freshness = freshness
        self._clock = clock
        self._beats = _Sent()
        self._digests = _Sent()
        self._heard_beats: OrderedDict[str, Echo] = OrderedDict()
        self._heard_digests: OrderedDict[str, Echo] = OrderedDict()
        # Only where a proof is asked for: it costs bytes.
        self.is_told = False

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the own proof and what was heard to a heartbeat."""
        if not self.is_told:
            return
        self._beats.note(heartbeat.count, self._clock.boottime())
        heartbeat.proof = self._word()
        heartbeat.heard_beats = dict(self._heard_beats)
        heartbeat.heard_digests = dict(self._heard_digests)
        # A message is named once: the next one that is heard says more.
        self._heard_beats.clear()
        self._heard_digests.clear()

    def fill_digest(self, digest: Digest) -> None:
        """Add the own proof to a digest that this host makes."""
        if not self.is_told:
            return
        self._digests.note(digest.count, self._clock.boottime())
        digest.proof = self._word()

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a near host's heartbeat."""
        if not self.is_told:
            return
        host = heartbeat.host
        echo = (host.incarnation & _LIFE_BITS, heartbeat.count)
        _remember(self._heard_beats, host.name, echo)
        own = self._own.name
        self._take(heartbeat.proof, heartbeat.heard_beats.get(own), self._beats)
        heard = heartbeat.heard_digests.get(own)
        self._take(heartbeat.proof, heard, self._digests)

    def take_digest(self, digest: Digest) -> None:
        """Take a digest of the own data centre."""
        if not self.is_told or digest.collector == self._own.name:
            return
        echo = (digest.incarnation & _LIFE_BITS, digest.count)
        _remember(self._heard_digests, digest.collector, echo)
        for word in digest.hosts:
            if word.name == self._own.name:
                heard = (word.incarnation & _LIFE_BITS, word.count)
                self._take(digest.proof, heard, self._beats)

    def _take(
        self, proof: ProofWord | None, heard: Echo | None, sent: _Sent
    ) -> None:
        if proof is None or heard is None or heard[0] != self._life:
            return
        sent_at = sent.at(heard[1])
        if sent_at is not None:
            self._freshness.note(sent_at - proof[0] / _MS, proof[1])

    def _word(self) -> ProofWord | None:
        age_seconds = self._freshness.age_seconds
        if age_seconds == float('inf'):
            return None
        # Rounded up: a proof must not seem newer than it is.
        age_ms = int(age_seconds * _MS) + 1
        return age_ms, self._freshness.proof.revision


def _remember(heard: OrderedDict[str, Echo], name: str, echo: Echo) -> None:
    heard[name] = echo
    if len(heard) > HEARD_KEPT:
        heard.popitem(last=False)
