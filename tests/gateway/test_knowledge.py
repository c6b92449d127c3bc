"""A host's view of the cluster, also while its sources are unavailable."""

import json

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import call, route, wait_served
from tools.fleet import wait_until


@pytest.fixture
def ready_deployment(deployment):
    """Start a host with two targets of a plain service."""
    deployment.put_routes(route('/order/'))
    deployment.add_target('i-1', 'desk')
    deployment.add_target('i-2', 'desk')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/order/x')
    return deployment


def bodies(deployment, count=6, path='/order/1'):
    """Return the distinct bodies of several responses."""
    return {deployment.ask('north-a', path).body for _ in range(count)}


def state(deployment, name):
    """Return the state dump of a host."""
    return json.loads(call(deployment.hosts[name].control, '/state').body)


def wait_targets(deployment, name, count):
    """Wait until a host knows a number of targets that aren't leaving."""
    wait_until(
        lambda: (
            sum(
                not one['is_leaving']
                for one in state(deployment, name)['targets']
            )
            == count
        ),
        f'{name} knows {count} targets',
    )


def test_host_without_routes_says_that_it_is_not_ready(deployment):
    """Send a request before the operator has written a configuration.

    The host can't know whether the path will exist, so it responds with 503 and
    Retry-After, and never with 404, which callers treat as final.
    """
    host = deployment.make_host('north-a')
    host.start()
    deployment.wait_log('north-a', 'store_reached')
    assert call(host.ready, '/api/readiness').status == 503
    answer = deployment.ask('north-a', '/order/1')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    deployment.put_routes(route('/order/'))
    deployment.wait_ready('north-a')


def test_routes_follow_the_operator(ready_deployment):
    ready_deployment.put_routes(route('/quote/'))
    wait_until(
        lambda: ready_deployment.ask('north-a', '/quote/1').status == 200,
        'the new route is in force',
    )
    assert ready_deployment.ask('north-a', '/order/1').status == 404


def test_longest_prefix_selects_the_route(ready_deployment):
    ready_deployment.put_routes(route('/order/'), route('/order/big/', 'model'))
    ready_deployment.add_target('i-3', 'model')
    wait_until(
        lambda: (
            ready_deployment.ask('north-a', '/order/big/1').body == b'from i-3'
        ),
        'the longer prefix is in force',
    )
    assert ready_deployment.ask('north-a', '/order/small').body != b'from i-3'


def test_older_configuration_version_is_not_applied(ready_deployment):
    """Ignore an older configuration version that arrives late.

    Applied, it would remove routes that callers have already used.
    """
    ready_deployment.put_routes(route('/order/'), route('/quote/'))
    wait_served(ready_deployment, 'north-a', '/quote/1')
    ready_deployment._version = 0
    ready_deployment.put_routes(route('/order/'))
    ready_deployment.put_target('i-2', 'desk', seq=9, slots=5)
    wait_until(
        lambda: (
            state(ready_deployment, 'north-a')['revision']
            == ready_deployment.store.revision
        ),
        'the host has followed',
    )
    assert ready_deployment.ask('north-a', '/quote/1').status == 200


def test_draining_target_gets_no_requests(ready_deployment):
    ready_deployment.put_target('i-1', 'desk', state='draining')
    wait_targets(ready_deployment, 'north-a', 1)
    ready_deployment.targets['i-1'].executed.clear()
    assert bodies(ready_deployment) == {b'from i-2'}
    assert not ready_deployment.targets['i-1'].executed


def test_removed_target_gets_no_requests(ready_deployment):
    """Delete the record of a target that still responds."""
    ready_deployment.store.remove('servers/i-1')
    wait_targets(ready_deployment, 'north-a', 1)
    assert bodies(ready_deployment) == {b'from i-2'}


def test_last_targets_are_used_briefly_and_then_dropped(ready_deployment):
    """Expire all target records at once, as after an outage of the store.

    Running targets write their records again within two seconds, so a host uses
    them for that long and then drops those without a record.
    """
    for name in ('i-1', 'i-2'):
        ready_deployment.store.remove(f'servers/{name}')
    wait_targets(ready_deployment, 'north-a', 0)
    assert ready_deployment.ask('north-a', '/order/1').status == 200
    wait_until(
        lambda: ready_deployment.ask('north-a', '/order/1').status == 503,
        'the targets are dropped',
    )
    ready_deployment.put_target('i-1', 'desk')
    wait_until(
        lambda: ready_deployment.ask('north-a', '/order/1').status == 200,
        'the target that came back is used',
    )


def test_evacuated_data_centre_gets_no_requests(ready_deployment):
    ready_deployment.add_target('i-3', 'desk', 'south-1')
    ready_deployment.store.put('op/evacuate/north-1', {})
    wait_until(
        lambda: state(ready_deployment, 'north-a')['evacuated'] == ['north-1'],
        'the evacuation is known',
    )
    answer = ready_deployment.ask('north-a', '/order/1')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    ready_deployment.store.remove('op/evacuate/north-1')
    wait_served(ready_deployment, 'north-a', '/order/1')


def test_store_outage_does_not_stop_requests(ready_deployment):
    """Serve requests from the last known state in a store outage."""
    ready_deployment.store.is_down = True
    ready_deployment.wait_log('north-a', 'event=store_lost')
    assert ready_deployment.ask('north-a', '/order/1').status == 200
    ready_deployment.store.is_down = False
    ready_deployment.put_routes(route('/order/'), route('/quote/'))
    wait_served(ready_deployment, 'north-a', '/quote/1')
    ready_deployment.wait_log('north-a', 'event=store_reached')


def test_lost_history_is_replaced_by_a_full_list(ready_deployment):
    """Change and compact the store while a host can't reach it.

    There is no event for a target that left in between. Only a comparison with
    the full list shows that it is missing.
    """
    ready_deployment.store.is_down = True
    ready_deployment.wait_log('north-a', 'event=store_lost')
    ready_deployment.store.remove('servers/i-1')
    ready_deployment.put_routes(route('/order/'), route('/quote/'))
    ready_deployment.store.compact()
    ready_deployment.store.is_down = False
    ready_deployment.wait_log('north-a', 'event=store_history_lost')
    wait_served(ready_deployment, 'north-a', '/quote/1')
    wait_targets(ready_deployment, 'north-a', 1)


def test_new_host_takes_a_snapshot_from_a_seed_in_a_store_outage(
    ready_deployment,
):
    """Replace a host during an outage of the store.

    The new host has no state. It fetches routes and targets from the host whose
    control address is in its settings.
    """
    ready_deployment.store.is_down = True
    seed = ':'.join(
        str(part) for part in ready_deployment.hosts['north-a'].control
    )
    ready_deployment.start_host('north-b', seeds=seed)
    assert ready_deployment.ask('north-b', '/order/1').status == 200
    ready_deployment.wait_log('north-b', 'event=snapshot_taken')


def test_host_cut_off_from_the_store_takes_a_snapshot_of_another(
    ready_deployment,
):
    """Suspend a host during a change and resume it in a store outage."""
    ready_deployment.start_host('north-b')
    wait_until(
        lambda: 'event=host_heard' in ready_deployment.hosts['north-b'].log(),
        'north-b receives heartbeats of north-a',
    )
    ready_deployment.hosts['north-b'].signal(19)
    ready_deployment.put_routes(route('/order/'), route('/quote/'))
    wait_served(ready_deployment, 'north-a', '/quote/1')
    ready_deployment.store.is_down = True
    ready_deployment.hosts['north-b'].signal(18)
    wait_until(
        lambda: ready_deployment.ask('north-b', '/quote/1').status == 200,
        'north-b has the new route',
    )


def test_request_is_relayed_to_the_only_region_that_may_serve_it(deployment):
    """Send a request in the north that only the south may serve."""
    deployment.put_routes(
        route('/south/', **{'allowed-regions': ['south']}),
        route('/any/'),
    )
    deployment.add_target('i-n', 'desk', 'north-1')
    deployment.add_target('i-s', 'desk', 'south-1')
    deployment.start_host('north-a', 'north-1')
    deployment.start_host('south-a', 'south-1')
    answer = wait_served(deployment, 'north-a', '/south/1')
    assert answer.body == b'from i-s'
    assert answer.headers['response-seal'] == standin.SEAL
    assert 'jacinthfold-outcome' not in answer.headers
    assert deployment.ask('north-a', '/any/1').body == b'from i-n'


def test_rejection_in_another_region_is_reported_as_not_run(deployment):
    """Reject a relayed request in the other region without running it."""
    deployment.put_routes(route('/south/', **{'allowed-regions': ['south']}))
    deployment.add_target('i-s', 'desk', 'south-1')
    deployment.start_host('north-a', 'north-1')
    deployment.start_host('south-a', 'south-1')
    wait_served(deployment, 'north-a', '/south/1')
    deployment.targets['i-s'].script = standin.refuse
    answer = deployment.ask('north-a', '/south/1', 'POST')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


def test_directory_names_hosts_that_serve(deployment):
    deployment.put_routes(route('/any/'))
    deployment.start_host('north-a', 'north-1')
    deployment.start_host('south-a', 'south-1')
    north, south = (deployment.hosts[n] for n in ('north-a', 'south-a'))

    def resolve(region, data_centre, queried_host=north):
        query = f'name=api.example&region={region}&zone={data_centre}'
        answer = call(queried_host.directory, f'/api/resolve?{query}')
        if answer.status != 200:
            return []
        return json.loads(answer.body)['addresses']

    def endpoint(host):
        return f'{host.callers[0]}:{host.callers[1]}'

    wait_until(
        lambda: resolve('south', 'south-1') == [endpoint(south)],
        'the north knows the south',
    )
    assert resolve('north', 'north-1') == [endpoint(north)]
    south.kill()
    wait_until(
        lambda: resolve('south', 'south-1') == [endpoint(north)],
        'a killed host is no longer named',
    )


def test_attempts_in_other_regions_count_like_those_at_home(deployment):
    """Limit a request to two attempts while targets of two regions fail it.

    If each region counted its own attempts, the south would run the request
    twice and the west once more.
    """
    deployment.put_routes(
        route('/any/', kind='idempotent', **{'max-attempts': 2})
    )
    for name, data_centre in (
        ('i-1', 'south-1'),
        ('i-2', 'south-1'),
        ('i-3', 'west-1'),
    ):
        deployment.add_target(name, 'desk', data_centre)
    deployment.start_host('north-a', 'north-1')
    deployment.start_host('south-a', 'south-1')
    deployment.start_host('west-a', 'west-1')
    wait_served(deployment, 'north-a', '/any/1')
    wait_until(
        lambda: deployment.hosts['north-a'].log().count('state=active') >= 2,
        'the north receives heartbeats of both regions',
    )
    for target in deployment.targets.values():
        target.executed.clear()
        target.script = standin.fail
    for _ in range(8):
        deployment.ask('north-a', '/any/1')
    ran = sum(len(one.executed) for one in deployment.targets.values())
    assert 8 < ran <= 8 * 2
