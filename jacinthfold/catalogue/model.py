"""Define the types that describe a deployment."""

import hashlib
from collections.abc import Mapping
from enum import Enum

from jacinthfold.organisations.model import OrganisationTable


class RetryPolicy(Enum):
    """Name how much of a route's request may be retried."""

    NEVER = 'never'
    WHOLE = 'whole'
    RESUMED = 'resumed'


class Route:
    """Hold the configuration of one path prefix of one host name."""

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
        """Initialize a route with its services and their weights."""
        self.name = name
        self.host_name = host_name
        self.prefix = prefix
        self.services = services
        # Whether callers without an API key are served, where organisations
        # have keys.
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
        """Return the service of a request, chosen by weight from a hash.

        Every host returns the same service for the same request id.
        """
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
    """Hold the configuration of a group of interchangeable targets."""

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
        """Initialize a plain service with default settings."""
        self.name = name
        self.connection_limit = 0
        self.cold_seconds = 0.0
        self.cold_requests_per_second = 0.0
        # Both are 0 if the service runs no model.
        self.slots = 0
        self.kv_cache_tokens = 0
        # Time to copy a cached token from another target; None if targets
        # can't copy.
        self.copy_seconds_per_token: float | None = None

    @property
    def is_engine(self) -> bool:
        """Return whether the targets are model engines."""
        return self.kv_cache_tokens > 0


class CallerLimits:
    """Hold the size and time limits of callers' connections."""

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
        """Initialize limits; the defaults apply before any configuration."""
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
        """Initialize a version and index its routes by host name."""
        self.version = version
        self.routes = routes
        self.services = dict(services)
        self.limits = limits
        self.organisations = organisations or OrganisationTable()
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_longest_first):
            self._by_host.setdefault(route.host_name, []).append(route)

    def find(self, host_name: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a path."""
        for route in self._by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def common_home_regions(self, host_name: str) -> frozenset[str] | None:
        """Return the home regions that a host name's routes have in common.

        Routes without home regions are ignored; None if no route has any.
        """
        home_region_sets = [
            route.home_regions
            for route in self._by_host.get(host_name, ())
            if route.home_regions
        ]
        if not home_region_sets:
            return None
        return frozenset.intersection(*home_region_sets)


class TargetRecord:
    """Hold what a target reports about itself."""

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
        'software_version',
    )

    def __init__(
        self,
        instance: str,
        service: str,
        address: tuple[str, int],
        data_centre: str,
    ) -> None:
        """Initialize the record of a target at an address."""
        self.instance = instance
        # Start time of this incarnation, Unix milliseconds of the target's
        # clock. A target may restart as the same instance without any state
        # of the earlier one. None if the target does not report it.
        self.started_at_ms: int | None = None
        self.service = service
        self.address = address
        self.data_centre = data_centre
        # Version of the target's program, not of its model; versions have no
        # order.
        self.software_version = ''
        self.slots = 1
        self.is_draining = False
        self.cold_seconds = 0.0
        self.remaining_seconds: float | None = None

    @property
    def incarnation_id(self) -> str:
        """Return the identifier of this incarnation of the instance."""
        if self.started_at_ms is None:
            return self.instance
        return f'{self.instance}/{self.started_at_ms}'


class HostRecord:
    """Hold the location, address and ports of an entry host."""

    __slots__ = (
        'address',
        'caller_port',
        'control_port',
        'data_centre',
        'incarnation',
        'keeps_origins',
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
        """Initialize a host with (region, data centre) and its ports.

        The ports are (caller, relay, control).
        """
        self.name = name
        self.incarnation = incarnation
        self.region = location[0]
        self.data_centre = location[1]
        self.address = address
        self.caller_port = ports[0]
        self.relay_port = ports[1]
        self.control_port = ports[2]
        # Whether the host lets streams go on only where they began; those of
        # the previous version don't.
        self.keeps_origins = False

    def has_endpoint_of(self, other: 'HostRecord') -> bool:
        """Tell whether both have the same address and relay port."""
        return (self.address, self.relay_port) == (
            other.address,
            other.relay_port,
        )


def _longest_first(route: Route) -> int:
    return -len(route.prefix)
