"""Estimate the spare capacity of other regions from their heartbeats."""

from collections.abc import Collection, Iterable, Mapping

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.latency_model import LatencyModels
from jacinthfold.request.messages import Request

# Requests relayed to a region count here until its next heartbeats include
# them: two heartbeats and the trip.
IN_TRANSIT_SECONDS = 0.8


class RemoteRegion:
    """Hold a region that could serve a request, and its estimate."""

    __slots__ = ('hosts', 'prefix_tokens', 'name', 'seconds')

    def __init__(
        self,
        name: str,
        seconds: float,
        hosts: tuple[str, ...],
        prefix_tokens: int = 0,
    ) -> None:
        """Set the expected seconds to the first event and the live hosts."""
        self.name = name
        self.seconds = seconds
        self.hosts = hosts
        # Leading tokens of the prompt that are probably cached there.
        self.prefix_tokens = prefix_tokens


class RegionReport:
    """Hold what one host reports of its region's spare capacity."""

    __slots__ = ('received_at', 'region', 'target_counts', 'waits')

    def __init__(
        self,
        region: str,
        received_at: float,
        waits: Mapping[str, tuple[float, float]],
        target_counts: Mapping[str, int],
    ) -> None:
        """Set the waits in seconds of ordinary and of urgent requests."""
        self.region = region
        self.received_at = received_at
        self.waits = dict(waits)
        self.target_counts = dict(target_counts)


class RegionView:
    """Hold the latest reports of other regions' hosts."""

    def __init__(self, own_region: str, clock: Clock) -> None:
        """Start without reports."""
        self._own_region = own_region
        self._clock = clock
        self._reports: dict[str, RegionReport] = {}
        self.latency_models = LatencyModels()
        self._in_transit: list[tuple[float, str, str, float]] = []

    def update(self, host: str, report: RegionReport) -> None:
        """Replace a host's report."""
        if report.region != self._own_region:
            self._reports[host] = report

    def record_relayed(self, request: Request, region: RemoteRegion) -> None:
        """Count a request that was relayed to a region."""
        entry = (
            self._clock.monotonic() + IN_TRANSIT_SECONDS,
            region.name,
            request.service_name,
            self._blocking_seconds(request, region.prefix_tokens),
        )
        self._in_transit.append(entry)

    def estimate_cached(
        self, region: str, request: Request, prefix_tokens: int
    ) -> RemoteRegion | None:
        """Return a region that caches a prefix, with its estimate."""
        hosts = self._live_hosts().get(region)
        if not hosts:
            return None
        return self._estimate_region(request, region, hosts, prefix_tokens)

    def best(
        self,
        request: Request,
        tried_regions: Collection[str],
        within: Collection[str] | None = None,
    ) -> RemoteRegion | None:
        """Return the allowed region with the earliest first event.

        Only regions within a collection are considered if there is one.
        """
        found = [
            self._estimate_region(request, name, hosts)
            for name, hosts in self._live_hosts().items()
            if name not in tried_regions
            and request.allows(name)
            and (within is None or name in within)
        ]
        return min(
            (one for one in found if one is not None),
            key=_seconds,
            default=None,
        )

    def _live_hosts(self) -> dict[str, list[str]]:
        """Return the hosts with recent reports, by region."""
        now = self._clock.monotonic()
        self._in_transit = [one for one in self._in_transit if one[0] > now]
        # A host receives reports of a few hosts of another region at a time,
        # and of all of them over time: old reports are dropped.
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now - report.received_at < limits.REPORT_LIFETIME_SECONDS
        }
        by_region: dict[str, list[str]] = {}
        for host, report in self._reports.items():
            by_region.setdefault(report.region, []).append(host)
        return by_region

    def _estimate_region(
        self,
        request: Request,
        name: str,
        hosts: Iterable[str],
        prefix_tokens: int = 0,
    ) -> RemoteRegion | None:
        service = request.service_name
        serving = [
            host for host in hosts if service in self._reports[host].waits
        ]
        if not serving:
            return None
        wait_index = 1 if request.is_urgent else 0
        waits = [
            self._reports[host].waits[service][wait_index] for host in serving
        ]
        count = max(
            self._reports[host].target_counts.get(service, 1)
            for host in serving
        )
        in_transit_seconds = sum(
            seconds
            for _, region, relayed_service, seconds in self._in_transit
            if (region, relayed_service) == (name, service)
        )
        seconds = sum(waits) / len(waits) + in_transit_seconds / max(1, count)
        seconds += limits.REGION_TRIP_SECONDS
        seconds += self._first_event_seconds(request, prefix_tokens)
        return RemoteRegion(name, seconds, tuple(serving), prefix_tokens)

    def _blocking_seconds(self, request: Request, prefix_tokens: int) -> float:
        """Return how long a request delays those behind it."""
        # Only its prefill does. The base time to a first event passes in
        # parallel for all requests; counted here, forty small requests in
        # transit looked like a second of load, and a region with spare capacity
        # like a full one. Score of four loaded days: 0.646 with the base time,
        # 0.683 without it (three seeds).
        if not request.facts.prompt_tokens:
            return limits.CALL_SECONDS / limits.REMOTE_CONCURRENT_CALLS
        model = self.latency_models.of(request.service_name)
        return model.prefill_seconds(self._token_cost(request, prefix_tokens))

    def _first_event_seconds(
        self, request: Request, prefix_tokens: int
    ) -> float:
        model = self.latency_models.of(request.service_name)
        return model.first_event_seconds(
            self._token_cost(request, prefix_tokens)
        )

    def _token_cost(self, request: Request, prefix_tokens: int) -> float:
        model = self.latency_models.of(request.service_name)
        tokens_to_prefill = max(0, request.facts.prompt_tokens - prefix_tokens)
        return model.token_cost(tokens_to_prefill, prefix_tokens)


def _seconds(region: RemoteRegion) -> float:
    return region.seconds
