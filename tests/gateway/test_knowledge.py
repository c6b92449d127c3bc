"""What a host believes, and what it does while its sources are away."""

import json

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import call, route, wait_served
from tools.fleet import wait_until


@pytest.fixture
def desk(deployment):
    """Give two targets of a plain service behind one host."""
    deployment.put_routes(route('/order/'))
    deployment.add_target('i-1', 'desk')
    deployment.add_target('i-2', 'desk')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/order/x')
    return deployment


def bodies(deployment, count=6, path='/order/1'):
    """Return the bodies of several answers."""
    return {deployment.ask('north-a', path).body for _ in range(count)}


def state(deployment, name):
    """Return what a host believes."""
    return json.loads(call(deployment.hosts[name].control, '/state').body)


def wait_targets(deployment, name, count):
    """Wait until a host knows a number of targets that stay."""
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
    """A caller arrives before the operator has written anything.

    The host can't know whether the path will exist: 503 with a time to come
    back, never 404, which callers take as final.
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


def test_routes_follow_the_operator(desk):
    desk.put_routes(route('/quote/'))
    wait_until(
        lambda: desk.ask('north-a', '/quote/1').status == 200,
        'the new route is in force',
    )
    assert desk.ask('north-a', '/order/1').status == 404


def test_longest_prefix_selects_the_route(desk):
    desk.put_routes(route('/order/'), route('/order/big/', 'model'))
    desk.add_target('i-3', 'model')
    wait_until(
        lambda: desk.ask('north-a', '/order/big/1').body == b'from i-3',
        'the longer prefix is in force',
    )
    assert desk.ask('north-a', '/order/small').body != b'from i-3'


def test_version_that_falls_back_is_not_applied(desk):
    """A store's answer with an older configuration arrives late.

    Applied, it would undo routes that callers have already used.
    """
    desk.put_routes(route('/order/'), route('/quote/'))
    wait_served(desk, 'north-a', '/quote/1')
    desk._version = 0
    desk.put_routes(route('/order/'))
    desk.put_target('i-2', 'desk', seq=9, slots=5)
    wait_until(
        lambda: state(desk, 'north-a')['revision'] == desk.store.revision,
        'the host has followed',
    )
    assert desk.ask('north-a', '/quote/1').status == 200


def test_draining_target_gets_nothing_more(desk):
    desk.put_target('i-1', 'desk', state='draining')
    wait_targets(desk, 'north-a', 1)
    desk.targets['i-1'].executed.clear()
    assert bodies(desk) == {b'from i-2'}
    assert not desk.targets['i-1'].executed


def test_removed_target_gets_nothing_more(desk):
    """A target's record vanishes while the target still answers."""
    desk.store.remove('servers/i-1')
    wait_targets(desk, 'north-a', 1)
    assert bodies(desk) == {b'from i-2'}


def test_last_targets_are_used_briefly_and_then_dropped(desk):
    """All records lapse at once, as after an outage of the store.

    Living targets write theirs again within two seconds, so a host goes on
    with them that long; what is missing then is gone.
    """
    for name in ('i-1', 'i-2'):
        desk.store.remove(f'servers/{name}')
    wait_targets(desk, 'north-a', 0)
    assert desk.ask('north-a', '/order/1').status == 200
    wait_until(
        lambda: desk.ask('north-a', '/order/1').status == 503,
        'the targets are given up',
    )
    desk.put_target('i-1', 'desk')
    wait_until(
        lambda: desk.ask('north-a', '/order/1').status == 200,
        'the target that came back is used',
    )


def test_evacuated_data_centre_gets_nothing(desk):
    desk.add_target('i-3', 'desk', 'south-1')
    desk.store.put('op/evacuate/north-1', {})
    wait_until(
        lambda: state(desk, 'north-a')['evacuated'] == ['north-1'],
        'the evacuation is known',
    )
    answer = desk.ask('north-a', '/order/1')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    desk.store.remove('op/evacuate/north-1')
    wait_served(desk, 'north-a', '/order/1')


def test_store_that_is_away_changes_nothing(desk):
    """The store goes silent; requests are served by what is known."""
    desk.store.is_down = True
    desk.wait_log('north-a', 'event=store_lost')
    assert desk.ask('north-a', '/order/1').status == 200
    desk.store.is_down = False
    desk.put_routes(route('/order/'), route('/quote/'))
    wait_served(desk, 'north-a', '/quote/1')
    desk.wait_log('north-a', 'event=store_reached')


def test_lost_history_is_made_good_by_a_list(desk):
    """Changes are made while a host hears nothing, then the history goes.

    A target that left in the gap has no event: only comparing the list shows
    that it is missing.
    """
    desk.store.is_down = True
    desk.wait_log('north-a', 'event=store_lost')
    desk.store.remove('servers/i-1')
    desk.put_routes(route('/order/'), route('/quote/'))
    desk.store.compact()
    desk.store.is_down = False
    desk.wait_log('north-a', 'event=store_history_lost')
    wait_served(desk, 'north-a', '/quote/1')
    wait_targets(desk, 'north-a', 1)


def test_new_host_learns_from_a_seed_while_the_store_is_away(desk):
    """A host is replaced during an outage of the store.

    It knows nothing; the control address in its settings belongs to a host
    that does, and gives it routes and targets.
    """
    desk.store.is_down = True
    seed = ':'.join(str(part) for part in desk.hosts['north-a'].control)
    desk.start_host('north-b', seeds=seed)
    assert desk.ask('north-b', '/order/1').status == 200
    assert 'event=snapshot_taken' in desk.hosts['north-b'].log()


def test_host_that_is_cut_from_the_store_learns_from_another(desk):
    """Two hosts know each other; the store turns one of them away."""
    desk.start_host('north-b')
    wait_until(
        lambda: 'event=host_heard' in desk.hosts['north-b'].log(),
        'north-b hears north-a',
    )
    desk.hosts['north-b'].signal(19)
    desk.put_routes(route('/order/'), route('/quote/'))
    wait_served(desk, 'north-a', '/quote/1')
    desk.store.is_down = True
    desk.hosts['north-b'].signal(18)
    wait_until(
        lambda: desk.ask('north-b', '/quote/1').status == 200,
        'north-b has the new route',
    )


def test_request_is_passed_to_the_only_region_that_may_serve_it(deployment):
    """A caller in the north asks for what only the south may serve."""
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


def test_refusal_in_another_region_is_told_as_not_run(deployment):
    """The request was passed on and turned down there without running."""
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

    def named(region, data_centre, asked=north):
        query = f'name=api.example&region={region}&zone={data_centre}'
        answer = call(asked.directory, f'/api/resolve?{query}')
        if answer.status != 200:
            return []
        return json.loads(answer.body)['addresses']

    def place(host):
        return f'{host.callers[0]}:{host.callers[1]}'

    wait_until(
        lambda: named('south', 'south-1') == [place(south)],
        'the north knows the south',
    )
    assert named('north', 'north-1') == [place(north)]
    south.kill()
    wait_until(
        lambda: named('south', 'south-1') == [place(north)],
        'a killed host is no longer named',
    )


def test_attempts_in_other_regions_count_like_those_at_home(deployment):
    """A request may run at two targets; two regions have some that fail it.

    Each region counting for itself, the south would run it twice and the
    west once more.
    """
    deployment.put_routes(
        route('/any/', kind='idempotent', **{'max-attempts': 2})
    )
    for name, place in (
        ('i-1', 'south-1'),
        ('i-2', 'south-1'),
        ('i-3', 'west-1'),
    ):
        deployment.add_target(name, 'desk', place)
    deployment.start_host('north-a', 'north-1')
    deployment.start_host('south-a', 'south-1')
    deployment.start_host('west-a', 'west-1')
    wait_served(deployment, 'north-a', '/any/1')
    wait_until(
        lambda: deployment.hosts['north-a'].log().count('state=active') >= 2,
        'the north hears both regions serving',
    )
    for target in deployment.targets.values():
        target.executed.clear()
        target.script = standin.fail
    for _ in range(8):
        deployment.ask('north-a', '/any/1')
    ran = sum(len(one.executed) for one in deployment.targets.values())
    assert 8 < ran <= 8 * 2
