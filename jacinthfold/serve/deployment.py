"""Describe what operators have put in force: the deployment."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, TypeVar


class TargetState(StrEnum):
    """Say what a target is meant to do."""

    ACTIVE = 'active'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


class TargetInterface(StrEnum):
    """Say which interface a target has."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Region:
    """Name a region and its data centres."""

    __slots__ = ('data_centres', 'name')

    def __init__(self, name: str, data_centres: tuple[str, ...]) -> None:
        """Take the names."""
        self.name = name
        self.data_centres = data_centres


class Model:
    """Describe a model that callers may ask for."""

    __slots__ = ('name', 'version')

    def __init__(self, name: str, version: str = '1') -> None:
        """Take the name that callers use and the version in force."""
        self.name = name
        self.version = version


class Service:
    """Describe a plain service and which of its calls may be repeated."""

    __slots__ = ('idempotent_methods', 'name', 'path_prefix')

    def __init__(
        self,
        name: str,
        path_prefix: str,
        idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS'),
    ) -> None:
        """Take the path below which calls go to the service."""
        self.name = name
        self.path_prefix = path_prefix
        self.idempotent_methods = idempotent_methods


class Target:
    """Describe one replica of a model or a service."""

    __slots__ = (
        'checks_fencing',
        'data_centre',
        'interface',
        'name',
        'region',
        'serves',
        'state',
        'url',
    )

    def __init__(
        self,
        name: str,
        url: str,
        region: str,
        data_centre: str,
        serves: tuple[str, ...],
        interface: TargetInterface = TargetInterface.ENGINE,
        state: TargetState = TargetState.ACTIVE,
        *,
        checks_fencing: bool = False,
    ) -> None:
        """Take the address, the place and what the target serves."""
        self.name = name
        self.url = url
        self.region = region
        self.data_centre = data_centre
        self.serves = serves
        self.interface = TargetInterface(interface)
        self.state = TargetState(state)
        self.checks_fencing = checks_fencing


class Organisation:
    """Describe a caller organisation, its keys and its rules."""

    __slots__ = (
        'home',
        'key_hashes',
        'limit_requests_per_second',
        'models',
        'name',
        'priority',
        'regions',
        'services',
    )

    def __init__(
        self,
        name: str,
        home: str,
        regions: tuple[str, ...],
        key_hashes: tuple[str, ...],
        models: tuple[str, ...] = (),
        services: tuple[str, ...] = (),
        priority: int = 1,
        limit_requests_per_second: float = 0,
    ) -> None:
        """Take the home, the regions data may be in, and the limits."""
        self.name = name
        self.home = home
        self.regions = regions
        self.key_hashes = key_hashes
        self.models = models
        self.services = services
        self.priority = priority
        self.limit_requests_per_second = limit_requests_per_second


Thing = Region | Model | Service | Target | Organisation
ThingType = TypeVar('ThingType', Region, Model, Service, Target, Organisation)

KINDS: Mapping[str, type[Thing]] = {
    'region': Region,
    'model': Model,
    'service': Service,
    'target': Target,
    'organisation': Organisation,
}


class Deployment:
    """Hold all that is in force at one revision."""

    __slots__ = ('organisations_by_key', 'revision', 'things')

    def __init__(
        self,
        revision: int = 0,
        things: Mapping[str, Mapping[str, Thing]] | None = None,
    ) -> None:
        """Take the revision and the things by kind and name."""
        self.revision = revision
        self.things: dict[str, dict[str, Thing]] = {
            kind: dict((things or {}).get(kind, {})) for kind in KINDS
        }
        self.organisations_by_key = {
            key_hash: organisation.name
            for organisation in self.organisations.values()
            for key_hash in organisation.key_hashes
        }

    @property
    def regions(self) -> dict[str, Region]:
        """Return the regions by name."""
        return self._of(Region, 'region')

    @property
    def models(self) -> dict[str, Model]:
        """Return the models by name."""
        return self._of(Model, 'model')

    @property
    def services(self) -> dict[str, Service]:
        """Return the services by name."""
        return self._of(Service, 'service')

    @property
    def targets(self) -> dict[str, Target]:
        """Return the targets by name."""
        return self._of(Target, 'target')

    @property
    def organisations(self) -> dict[str, Organisation]:
        """Return the organisations by name."""
        return self._of(Organisation, 'organisation')

    def find_organisation(self, key_hash: str) -> Organisation | None:
        """Return the organisation that a caller's key belongs to."""
        name = self.organisations_by_key.get(key_hash)
        return self.organisations[name] if name else None

    def find_service(self, path: str) -> Service | None:
        """Return the service whose prefix is the longest for a path."""
        fitting = [
            service
            for service in self.services.values()
            if _is_below(path, service.path_prefix)
        ]
        return max(
            fitting, key=lambda service: len(service.path_prefix), default=None
        )

    def _of(self, _kind: type[ThingType], name: str) -> dict[str, ThingType]:
        return self.things[name]  # type: ignore[return-value]


def thing_document(thing: Thing) -> dict[str, Any]:
    """Return a thing as plain values."""
    document: dict[str, Any] = {}
    for field in thing.__slots__:
        value = getattr(thing, field)
        document[field] = list(value) if isinstance(value, tuple) else value
    return document


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')
