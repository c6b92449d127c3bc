"""Describe a deployment in types that say what they hold."""

import hashlib
from collections.abc import Mapping
from enum import Enum

from jacinthfold.organisations.model import OrganisationTable


class RetryPolicy(Enum):
    """Say what may be repeated of a route's requests."""

    NEVER = 'never'
    WHOLE = 'whole'
    RESUMED = 'resumed'


class Route:
    """Hold what the operator declared for one prefix of one host name."""

    __slots__ = (
        'latency_objective_seconds',
        'gap_objective_seconds',
        'home_regions',
        'host_name',
        'is_public',
        'is_stream',
        'max_attempts',
        'name',
        'prefix',
        'priority',
        'retry_policy',
        'services',
        'timeout_seconds',
    )

    def __init__(
        self,
        name: str,
        host_name: str,
        prefix: str,
        services: tuple[tuple[str, float], ...],
    ) -> None:
        """Take where the route is found and its services with weights."""
        self.name = name
        self.host_name = host_name
        self.prefix = prefix
        self.services = services
        # Served to callers without a key, where organisations have keys.
        self.is_public = False
        self.is_stream = False
        self.retry_policy = RetryPolicy.NEVER
        self.timeout_seconds = 30.0
        self.latency_objective_seconds = 1.0
        self.gap_objective_seconds = 0.0
        self.priority = 0
        self.max_attempts = 1
        self.home_regions: frozenset[str] = frozenset()

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, the same on every host."""
        if len(self.services) == 1:
            return self.services[0][0]
        total = sum(weight for _, weight in self.services)
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, 'big') / (1 << 64) * total
        for name, weight in self.services:
            point -= weight
            if point < 0:
                return name
        return self.services[-1][0]


class Service:
    """Hold what the operator declared for a group of equal targets."""

    __slots__ = (
        'cold_requests_per_second',
        'cold_seconds',
        'connection_limit',
        'copy_seconds_per_token',
        'kv_cache_tokens',
        'name',
        'slots',
    )

    def __init__(self, name: str) -> None:
        """Take the name; the rest has defaults of a plain service."""
        self.name = name
        self.connection_limit = 0
        self.cold_seconds = 0.0
        self.cold_requests_per_second = 0.0
        # Both are 0 where the service runs no model.
        self.slots = 0
        self.kv_cache_tokens = 0
        # What a target needs to copy a token that another one keeps; None
        # where targets can't copy.
        self.copy_seconds_per_token: float | None = None

    @property
    def is_engine(self) -> bool:
        """Tell whether the targets run a model on prompts."""
        return self.kv_cache_tokens > 0


class CallerLimits:
    """Hold what a caller may send and how long it may take."""

    __slots__ = (
        'body_bytes',
        'head_bytes',
        'head_timeout_seconds',
        'idle_timeout_seconds',
    )

    def __init__(
        self,
        head_bytes: int = 16384,
        body_bytes: int = 4194304,
        head_timeout_seconds: float = 5.0,
        idle_timeout_seconds: float = 30.0,
    ) -> None:
        """Take the limits; the defaults hold before any configuration."""
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_timeout_seconds = head_timeout_seconds
        self.idle_timeout_seconds = idle_timeout_seconds


class RouteTable:
    """Hold one version of the operator's configuration."""

    __slots__ = (
        '_by_host',
        'limits',
        'organisations',
        'routes',
        'services',
        'version',
    )

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, Service],
        limits: CallerLimits,
        organisations: OrganisationTable | None = None,
    ) -> None:
        """Take the parts and index the routes by host name."""
        self.version = version
        self.routes = routes
        self.services = dict(services)
        self.limits = limits
        self.organisations = organisations or OrganisationTable()
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_longest_first):
            self._by_host.setdefault(route.host_name, []).append(route)

    def find(self, host_name: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self._by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def common_home_regions(self, host_name: str) -> frozenset[str] | None:
        """Return regions that every homed route of a host name allows."""
        home_region_sets = [
            route.home_regions
            for route in self._by_host.get(host_name, ())
            if route.home_regions
        ]
        if not home_region_sets:
            return None
        return frozenset.intersection(*home_region_sets)


class TargetRecord:
    """Hold what a target tells of itself."""

    __slots__ = (
        'address',
        'started_at_ms',
        'cold_seconds',
        'data_centre',
        'instance',
        'is_draining',
        'remaining_seconds',
        'service',
        'slots',
    )

    def __init__(
        self,
        instance: str,
        service: str,
        address: tuple[str, int],
        data_centre: str,
    ) -> None:
        """Take which target this is, and where it is."""
        self.instance = instance
        # When this life began, Unix milliseconds of the target's clock. A
        # target may start again as the same instance; it then knows nothing
        # of before. None where targets don't tell.
        self.started_at_ms: int | None = None
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = 1
        self.is_draining = False
        self.cold_seconds = 0.0
        self.remaining_seconds: float | None = None

    @property
    def incarnation_id(self) -> str:
        """Return a name for this life of the instance."""
        if self.started_at_ms is None:
            return self.instance
        return f'{self.instance}/{self.started_at_ms}'


class HostRecord:
    """Hold how an entry host is reached."""

    __slots__ = (
        'address',
        'caller_port',
        'control_port',
        'data_centre',
        'incarnation',
        'name',
        'region',
        'relay_port',
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        location: tuple[str, str],
        address: str,
        ports: tuple[int, int, int],
    ) -> None:
        """Take (region, data centre) and (caller, relay, control) ports."""
        self.name = name
        self.incarnation = incarnation
        self.region = location[0]
        self.data_centre = location[1]
        self.address = address
        self.caller_port = ports[0]
        self.relay_port = ports[1]
        self.control_port = ports[2]


def _longest_first(route: Route) -> int:
    return -len(route.prefix)
