"""Hold organisations to their limits with no call to another process.

An organisation's limit is split ahead of time: by region, and inside the home
data centre among the entry hosts that the directory names for it. No split
depends on who can reach whom, so a partition never doubles a limit.
"""

import threading

from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.hashing import rank
from jacinthfold.serve.deployment import Deployment, Organisation
from jacinthfold.serve.members import Member, MemberTable

BUCKET_LIMIT = 50000


class LimitError(Exception):
    """Report an organisation over its limit."""

    def __init__(self, retry_after_seconds: float) -> None:
        """Tell when the next request fits."""
        super().__init__('The organisation is over its request limit.')
        self.retry_after_seconds = retry_after_seconds


class _Bucket:
    """Hold tokens that return at a steady rate."""

    __slots__ = ('filled_at', 'tokens')

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.filled_at = now

    def take(self, rate: float, burst: float, now: float) -> float:
        """Take a token; return the wait in seconds when there is none."""
        earned = (now - self.filled_at) * rate
        self.tokens = min(burst, self.tokens + earned)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / rate


def home_data_centre(
    deployment: Deployment, organisation: Organisation, region: str
) -> str:
    """Return the data centre of a region that serves an organisation."""
    found = deployment.regions.get(region)
    centres = found.data_centres if found else ()
    ranked = rank(organisation.name, centres)
    return ranked[0] if ranked else ''


def assigned_hosts(
    organisation: Organisation, hosts: list[Member], count: int
) -> list[Member]:
    """Return the entry hosts of a data centre for an organisation."""
    by_name = {host.name: host for host in hosts}
    first = rank(organisation.name, by_name)[:count]
    return [by_name[name] for name in first]


class Limiter:
    """Keep a token bucket for each organisation seen here."""

    def __init__(
        self, members: MemberTable, settings: Settings, clock: Clock
    ) -> None:
        """Take the members, which decide this host's share."""
        self._members = members
        self._limits = settings.limits
        self._clock = clock
        self._guard = threading.Lock()
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets)

    def take(self, deployment: Deployment, organisation: Organisation) -> None:
        """Count a request; raise LimitError when it is over the limit."""
        if not organisation.limit_requests_per_second:
            return
        rate = organisation.limit_requests_per_second * self.share(
            deployment, organisation
        )
        if rate <= 0:
            raise LimitError(1)
        burst = max(1.0, rate * self._limits.burst_seconds)
        now = self._clock.monotonic()
        with self._guard:
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = self._add(organisation.name, burst, now)
            wait_seconds = bucket.take(rate, burst, now)
        if wait_seconds:
            raise LimitError(wait_seconds)

    def share(
        self, deployment: Deployment, organisation: Organisation
    ) -> float:
        """Return the part of a limit that this host may grant."""
        own = self._members.own
        region_share = self._region_share(organisation, own.region)
        centre = home_data_centre(deployment, organisation, own.region)
        hosts = self._members.active_in(own.data_centre)
        if own.data_centre == centre:
            chosen = assigned_hosts(
                organisation, hosts, self._limits.hosts_per_organisation
            )
            if own in chosen:
                main_share = 1 - self._limits.stray_share
                return region_share * main_share / len(chosen)
        # Callers whose directory answer is old come to other hosts. Their
        # part is kept aside, so that these can't raise the sum.
        found = deployment.regions.get(own.region)
        centre_count = len(found.data_centres) if found else 1
        stray_count = max(1, len(hosts)) * max(1, centre_count)
        return region_share * self._limits.stray_share / stray_count

    def _region_share(self, organisation: Organisation, region: str) -> float:
        away_share = self._limits.away_share
        if region != organisation.home:
            return float(away_share)
        away_count = len(set(organisation.regions)) - 1
        return max(away_share, 1 - away_share * away_count)

    def _add(self, name: str, burst: float, now: float) -> _Bucket:
        if len(self._buckets) >= BUCKET_LIMIT:
            self._buckets.pop(next(iter(self._buckets)))
        bucket = _Bucket(burst, now)
        self._buckets[name] = bucket
        return bucket
