"""Describe what a plan would change, and its consequences."""

from jacinthfold.serve.deployment import Deployment, TargetState, thing_document
from jacinthfold.serve.intents import find


def describe_change(
    before: Deployment, after: Deployment, key: str
) -> list[str]:
    """Return the difference of one thing, a line for each field."""
    old, new = find(before, key), find(after, key)
    if new is None:
        return [f'- {key}']
    old_fields = thing_document(old) if old else {}
    lines = [] if old else [f'+ {key}']
    for field, value in thing_document(new).items():
        if not old or old_fields.get(field) != value:
            shown = _shown(field, value)
            change = f'{_shown(field, old_fields[field])} -> ' if old else ''
            lines.append(f'  {key} {field}: {change}{shown}')
    return lines


def describe_effects(before: Deployment, after: Deployment) -> list[str]:
    """Return capacity before and after, and callers that lose service."""
    lines = []
    places = _capacity(before).keys() | _capacity(after).keys()
    for place in sorted(places):
        old = _capacity(before).get(place, 0)
        new = _capacity(after).get(place, 0)
        if old != new:
            lines.append(
                f'capacity of {place[0]} in {place[1]}: '
                f'{old} -> {new} active targets'
            )
    lines.extend(_unserved(before, after))
    return lines


def _shown(field: str, value: object) -> str:
    if field == 'key_hashes':
        return f'{len(list(value))} keys'  # type: ignore[call-overload]
    return ','.join(value) if isinstance(value, list) else str(value)


def _capacity(deployment: Deployment) -> dict[tuple[str, str], int]:
    counts: dict[tuple[str, str], int] = {}
    for target in deployment.targets.values():
        if target.state == TargetState.ACTIVE:
            for name in target.serves:
                place = (name, target.region)
                counts[place] = counts.get(place, 0) + 1
    return counts


def _unserved(before: Deployment, after: Deployment) -> list[str]:
    had, has = _served(before), _served(after)
    return [
        f'rule broken: {organisation} is left with no active target '
        f'for {name} inside its regions'
        for organisation, name in sorted(had - has)
        if organisation in after.organisations
    ]


def _served(deployment: Deployment) -> set[tuple[str, str]]:
    capacity = _capacity(deployment)
    return {
        (organisation.name, name)
        for organisation in deployment.organisations.values()
        for name in (*organisation.models, *organisation.services)
        if any((name, region) in capacity for region in organisation.regions)
    }
