"""Check intents, apply them to a deployment and plan their effect."""

import inspect
import types
from collections.abc import Iterable, Mapping
from typing import Any

from jacinthfold.serve.deployment import (
    KINDS,
    Deployment,
    Organisation,
    Target,
    Thing,
    thing_document,
)

NAME_LIMIT = 64
ACTIONS = ('put', 'remove')
NUMBERS = (int, float)
NUMBER_LIMIT = 10**9


class IntentError(ValueError):
    """Report every fault of the intents at once."""

    def __init__(self, faults: Iterable[str]) -> None:
        """Take one line for each fault."""
        self.faults = tuple(faults)
        super().__init__('; '.join(self.faults))


class Intent:
    """Ask that one thing be put or removed."""

    __slots__ = ('action', 'fields', 'kind', 'name')

    def __init__(
        self, action: str, kind: str, name: str, fields: Mapping[str, Any]
    ) -> None:
        """Take the action, the thing's kind and name, and its fields."""
        self.action = action
        self.kind = kind
        self.name = name
        self.fields = dict(fields)

    @property
    def key(self) -> str:
        """Return the name under which conflicts are looked for."""
        return f'{self.kind}/{self.name}'

    def to_document(self) -> dict[str, Any]:
        """Return the intent as plain values."""
        return {
            'action': self.action,
            'kind': self.kind,
            'name': self.name,
            **self.fields,
        }


def parse(document: object) -> tuple[Intent, ...]:
    """Return the intents of a decoded document; raise IntentError."""
    listed = document.get('intents') if isinstance(document, dict) else document
    if not isinstance(listed, list) or not listed:
        raise IntentError(['intents: a list of at least one intent is needed'])
    faults: list[str] = []
    intents = [
        _parse_one(number, entry, faults) for number, entry in enumerate(listed)
    ]
    if faults:
        raise IntentError(faults)
    return tuple(intent for intent in intents if intent)


def apply(
    deployment: Deployment, intents: Iterable[Intent], revision: int
) -> Deployment:
    """Return the deployment after the intents; raise IntentError."""
    things = {kind: dict(named) for kind, named in deployment.things.items()}
    faults: list[str] = []
    for intent in intents:
        _apply_one(things, intent, faults)
    if faults:
        raise IntentError(faults)
    return Deployment(revision, things)


def check(deployment: Deployment, keys: Iterable[str]) -> None:
    """Raise IntentError when touched things name what is not there."""
    faults: list[str] = []
    removed = [key for key in keys if not find(deployment, key)]
    touched = [thing for key in keys if (thing := find(deployment, key))]
    if removed:
        # What is gone may be named by anything: look at all of it.
        touched = [
            thing
            for named in deployment.things.values()
            for thing in named.values()
        ]
    for thing in touched:
        faults.extend(_dangling(deployment, thing))
    faults.extend(_shared_keys(deployment))
    if faults:
        raise IntentError(faults)


def named_keys(intent: Intent) -> set[str]:
    """Return the keys that an intent touches or relies on."""
    keys = {intent.key}
    fields = intent.fields
    keys.update(f'model/{name}' for name in fields.get('models', ()))
    keys.update(f'service/{name}' for name in fields.get('services', ()))
    keys.update(f'model/{name}' for name in fields.get('serves', ()))
    keys.update(f'service/{name}' for name in fields.get('serves', ()))
    keys.update(f'region/{name}' for name in fields.get('regions', ()))
    for field in ('region', 'home'):
        if field in fields:
            keys.add(f'region/{fields[field]}')
    return keys


def _parse_one(number: int, entry: object, faults: list[str]) -> Intent | None:
    where = f'intents[{number}]'
    if not isinstance(entry, dict):
        faults.append(f'{where}: an object is needed')
        return None
    fields = dict(entry)
    action = fields.pop('action', 'put')
    kind = fields.pop('kind', None)
    name = fields.pop('name', None)
    before = len(faults)
    if action not in ACTIONS:
        faults.append(f'{where}.action: one of {", ".join(ACTIONS)} is allowed')
    if not isinstance(kind, str) or kind not in KINDS:
        faults.append(f'{where}.kind: one of {", ".join(KINDS)} is allowed')
    if not _is_name(name):
        faults.append(f'{where}.name: 1 to {NAME_LIMIT} letters, digits, - _ .')
    if len(faults) > before:
        return None
    if action == 'put':
        faults.extend(_field_faults(where, KINDS[kind], fields))
    return Intent(action, kind, name, fields)


def _is_name(name: object) -> bool:
    if not isinstance(name, str) or not 0 < len(name) <= NAME_LIMIT:
        return False
    return all(char.isalnum() or char in '-_.' for char in name)


def _field_faults(
    where: str, thing_type: type[Thing], fields: dict[str, Any]
) -> list[str]:
    signature = inspect.signature(thing_type.__init__).parameters
    allowed = {name for name in signature if name not in {'self', 'name'}}
    faults = [
        f'{where}.{field}: unknown; allowed are {", ".join(sorted(allowed))}'
        for field in fields
        if field not in allowed
    ]
    for field in sorted(allowed & fields.keys()):
        fault = _type_fault(signature[field].annotation, fields[field])
        if fault:
            faults.append(f'{where}.{field}: {fault}')
    return faults


def _type_fault(annotation: Any, value: object) -> str:
    if annotation is bool:
        return '' if isinstance(value, bool) else 'true or false is needed'
    if annotation in NUMBERS:
        return _number_fault(annotation, value)
    if isinstance(annotation, types.GenericAlias):
        fits = isinstance(value, list) and all(map(_is_text, value))
        return '' if fits else 'a list of names is needed'
    if annotation is not str and value not in list(annotation):
        return f'one of {", ".join(annotation)} is allowed'
    return '' if _is_text(value) else 'a text is needed'


def _number_fault(annotation: type, value: object) -> str:
    if isinstance(value, bool) or not isinstance(value, NUMBERS):
        return 'a number is needed'
    if not 0 <= value < NUMBER_LIMIT or annotation(value) != value:
        return f'a number from 0 to {NUMBER_LIMIT}, whole for an int, is needed'
    return ''


def _is_text(value: object) -> bool:
    return isinstance(value, str) and bool(value) and value.isprintable()


def _apply_one(
    things: dict[str, dict[str, Thing]], intent: Intent, faults: list[str]
) -> None:
    named = things[intent.kind]
    old = named.get(intent.name)
    if intent.action == 'remove':
        if old is None:
            faults.append(f'{intent.key}: there is none to remove')
        named.pop(intent.name, None)
        return
    fields: dict[str, Any] = thing_document(old) if old else {}
    fields.update(intent.fields, name=intent.name)
    for field, value in fields.items():
        if isinstance(value, list):
            fields[field] = tuple(value)
    try:
        named[intent.name] = KINDS[intent.kind](**fields)
    except TypeError as error:
        needed = str(error).rpartition(': ')[2]
        faults.append(f'{intent.key}: needed and not given: {needed}')


def find(deployment: Deployment, key: str) -> Thing | None:
    """Return the thing with a key like `kind/name`, or None."""
    kind, _, name = key.partition('/')
    return deployment.things[kind].get(name)


def _dangling(deployment: Deployment, thing: Thing) -> list[str]:
    if isinstance(thing, Target):
        served = deployment.models.keys() | deployment.services.keys()
        faults = _missing(f'target/{thing.name} serves', thing.serves, served)
        region = deployment.regions.get(thing.region)
        if region is None or thing.data_centre not in region.data_centres:
            faults.append(
                f'target/{thing.name}: no data centre '
                f'{thing.data_centre} in region {thing.region}'
            )
        return faults
    if isinstance(thing, Organisation):
        return _organisation_faults(deployment, thing)
    return []


def _organisation_faults(
    deployment: Deployment, organisation: Organisation
) -> list[str]:
    where = f'organisation/{organisation.name}'
    faults = _missing(
        f'{where} regions', organisation.regions, deployment.regions
    )
    faults.extend(
        _missing(f'{where} models', organisation.models, deployment.models)
    )
    faults.extend(
        _missing(
            f'{where} services', organisation.services, deployment.services
        )
    )
    if organisation.home not in organisation.regions:
        faults.append(f'{where}: home is not among its regions')
    return faults


def _missing(
    where: str, names: Iterable[str], known: Iterable[str]
) -> list[str]:
    present = set(known)
    return [
        f'{where}: there is no {name}' for name in names if name not in present
    ]


def _shared_keys(deployment: Deployment) -> list[str]:
    count = sum(
        len(organisation.key_hashes)
        for organisation in deployment.organisations.values()
    )
    if count == len(deployment.organisations_by_key):
        return []
    return ['organisations: two of them share a key, or one lists it twice']
