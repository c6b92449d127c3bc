"""Describe the two sample deployments of today."""

from typing import Any

from tools.fleet import ORDER_KEY, Fleet, organisation

EXCHANGE_REGIONS = {
    'erie-south': 'erie-south-1',
    'huron-west': 'huron-west-1',
    'superior-port': 'superior-port-1',
}
TONWERK_REGIONS = {
    'oberbayern': 'oberbayern-1',
    'franken': 'franken-1',
    'oberpfalz': 'oberpfalz-1',
}


ENGINE_SERVICE = {
    'exchange': ('review', 'desk', EXCHANGE_REGIONS),
    'tonwerk': ('royalty', 'portal', TONWERK_REGIONS),
}


def start(
    fleet: Fleet,
    deployment: str,
    *,
    hosts_per_region: int = 2,
    engines_per_region: int = 3,
    overrides: dict[str, dict[str, Any]] | None = None,
    **engine_options: Any,
) -> None:
    """Start a deployment's platform, targets and entry hosts."""
    model, service, regions = ENGINE_SERVICE[deployment]
    fleet.start_platform()
    for region, centre in regions.items():
        for number in range(1, engines_per_region + 1):
            fleet.start_target(
                f'{model}-{region}-{number}',
                region,
                centre,
                model,
                **{'order_key': ORDER_KEY, **engine_options},
            )
        fleet.start_target(
            f'{service}-{region}-1', region, centre, service, 'service'
        )
    for region, centre in regions.items():
        for number in range(1, hosts_per_region + 1):
            fleet.start_host(f'{region}-{number}', region, centre, overrides)


def intents(fleet: Fleet, deployment: str) -> list[dict[str, Any]]:
    """Return the intents that put a deployment in force."""
    model, service, regions = ENGINE_SERVICE[deployment]
    names = list(regions)
    frame = [
        {'kind': 'region', 'name': region, 'data_centres': [centre]}
        for region, centre in regions.items()
    ]
    frame.append({'kind': 'model', 'name': model})
    frame.append({'kind': 'service', 'name': service, 'path_prefix': '/desk'})
    targets = [
        {
            'kind': 'target',
            'checks_fencing': target['interface'] == 'engine',
            **target,
        }
        for target in fleet.targets.values()
    ]
    both = {'models': [model], 'services': [service]}
    return [
        *frame,
        *targets,
        organisation('counter', names[0], names, priority=0, **both),
        organisation('brokers', names[1], names, priority=1, **both),
        organisation('bulk', names[2], names, priority=2, **both),
        organisation('bound', names[0], names[:1], priority=1, **both),
    ]
