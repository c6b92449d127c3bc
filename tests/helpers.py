"""Start small deployments and call them."""

import contextlib
import json

from tools.fleet import ORDER_KEY, Fleet, organisation

CHAT = '/v1/chat/completions'


def small_intents(fleet):
    """Return the intents of two regions: erie with two data centres."""
    both = {'models': ['review'], 'services': ['desk']}
    return [
        {'kind': 'region', 'name': 'erie', 'data_centres': ['erie-1']},
        {'kind': 'region', 'name': 'huron', 'data_centres': ['huron-1']},
        {'kind': 'model', 'name': 'review'},
        {'kind': 'service', 'name': 'desk', 'path_prefix': '/desk'},
        *({'kind': 'target', **target} for target in fleet.targets.values()),
        organisation('free', 'erie', ['erie', 'huron'], **both),
        organisation('bound', 'erie', ['erie'], **both),
        organisation('away', 'huron', ['huron'], **both),
    ]


@contextlib.contextmanager
def small_fleet(directory, overrides=None, **engine):
    """Run platform, targets and hosts, configured and ready."""
    with Fleet(directory) as fleet:
        start_small(fleet, overrides, **engine)
        yield fleet


def start_small(fleet, overrides=None, **engine):
    """Start the small deployment and put its configuration in force."""
    fleet.start_platform()
    options = {'order_key': ORDER_KEY, 'prefill_rate': 1000000, **engine}
    for name in ('review-1', 'review-2'):
        fleet.start_target(name, 'erie', 'erie-1', 'review', **options)
    fleet.start_target('review-3', 'huron', 'huron-1', 'review', **options)
    fleet.start_target('desk-1', 'erie', 'erie-1', 'desk', 'service')
    fleet.start_target('desk-2', 'huron', 'huron-1', 'desk', 'service')
    for name in ('erie-a', 'erie-b'):
        fleet.start_host(name, 'erie', 'erie-1', overrides)
    fleet.start_host('huron-a', 'huron', 'huron-1', overrides)
    fleet.wait_listening(f'{fleet.platform_url}/counts')
    fleet.wait_ready()
    revision = fleet.change('erie-a', small_intents(fleet))
    fleet.wait_revision(revision)
    fleet.wait_targets_found()
    fleet.wait_members(len(fleet.hosts))


def chat(fleet, host, organisation_name='free', **fields):
    """Ask for a completion and return the answer."""
    options = fields.pop('options', {})
    document = {
        'model': 'review',
        'max_tokens': 5,
        'messages': [{'role': 'user', 'content': 'hello'}],
        **fields,
    }
    return fleet.call(
        host, 'POST', CHAT, document, key=f'key-{organisation_name}', **options
    )


def stream_tokens(body):
    """Return the tokens of a stream, and whether its end marker came."""
    lines = body.decode().splitlines()
    events = [
        json.loads(line[6:]) for line in lines if line.startswith('data: {')
    ]
    tokens = [
        event['choices'][0]['delta'].get('content', '')
        for event in events
        if 'choices' in event
    ]
    return [token for token in tokens if token], 'data: [DONE]' in lines


def order(fleet, host, key='', part='p-1', name='free', **options):
    """Place an order, under an idempotency key if one is given."""
    headers = {'Idempotency-Key': key} if key else {}
    return fleet.call(
        host,
        'POST',
        '/desk/orders',
        {'part': part},
        key=f'key-{name}',
        headers=headers,
        **options,
    )


def all_orders(fleet):
    """Return every order that ran at any service."""
    return [
        one
        for name in ('desk-1', 'desk-2')
        for one in fleet.executions(name)
        if one[1] == 'POST'
    ]


def issue_key(fleet, host, name='free'):
    """Return an idempotency key that an entry host has issued."""
    return fleet.call(host, 'POST', '/v1/keys', key=f'key-{name}').json()['key']
