"""A store that comes back from a copy and gives out revisions again."""

import signal

from tests.gateway.deployment import pause, route, wait_served

# Time within which the smallest deployments ask for a change to take effect.
PROMISED_SECONDS = 3.0
# The smallest store allows 2,000 reads a second; a hundred hosts may share it.
MAX_CALLS_PER_SECOND = 20


def write_on(deployment, count):
    """Raise the store's revision, as the records of targets do."""
    for seq in range(count):
        deployment.put_target('i-9', 'model', seq=seq)


def change_after_restore(deployment, writes):
    """Restore the store, change routes and targets, and let the time pass."""
    store = deployment.store
    store.era = 1
    for instance in ('i-1', 'i-2'):
        deployment.add_target(instance, 'desk')
    deployment.add_target('i-9', 'model')
    deployment.put_routes(route('/a/'), route('/gone/'))
    deployment.start_host('one')
    wait_served(deployment, 'one', '/a/')
    backup = store.backup()
    write_on(deployment, 12)
    deployment.put_routes(route('/a/'), route('/gone/'), route('/b/'))
    wait_served(deployment, 'one', '/b/')
    store.restore(backup)
    store.calls.clear()
    deployment.put_routes(route('/a/'), route('/b/'), route('/c/'))
    deployment.put_target('i-1', 'desk', state='draining')
    write_on(deployment, writes)
    pause(PROMISED_SECONDS)


def check_in_force(deployment):
    """Check that the changes took effect, at a bounded number of calls."""
    calls = deployment.store.calls.total()
    executed = deployment.targets['i-1'].executed
    before = len(executed)
    for _ in range(8):
        assert deployment.ask('one', '/a/').status == 200
    assert len(executed) == before
    assert deployment.ask('one', '/c/').status == 200
    assert deployment.ask('one', '/gone/').status == 404
    assert calls <= MAX_CALLS_PER_SECOND * PROMISED_SECONDS


def test_changes_take_effect_after_the_store_returned(deployment):
    """Guards against comparing revisions given out again with earlier ones.

    Hosts dropped every list as outdated and skipped what was written below the
    revision that they knew: a removed route was served, a leaving target used.
    """
    change_after_restore(deployment, writes=0)
    check_in_force(deployment)


def test_changes_take_effect_after_the_store_has_overtaken_the_host(deployment):
    """Guards against a watch that skips what was written below its revision.

    The counter passes the revision that the host knows before its next call, so
    that the store answers the watch as if nothing had happened.
    """
    change_after_restore(deployment, writes=30)
    check_in_force(deployment)


def test_hosts_that_start_with_the_copy_take_what_is_written_again(deployment):
    """Guards against hosts that all restart while the store is away."""
    store = deployment.store
    store.era = 1
    for instance in ('i-1', 'i-2'):
        deployment.add_target(instance, 'desk')
    deployment.put_routes(route('/a/'), route('/gone/'))
    names = ('one', 'two')
    for name in names:
        deployment.start_host(name)
    backup = store.backup()
    deployment.put_routes(route('/a/'), route('/b/'))
    for name in names:
        wait_served(deployment, name, '/b/')
    store.is_away = True
    for name in names:
        deployment.hosts[name].kill()
    store.restore(backup)
    for name in names:
        deployment.hosts[name].start()
    store.is_away = False
    deployment.write_again()
    for name in names:
        deployment.wait_ready(name)
    pause(PROMISED_SECONDS)
    for name in names:
        assert deployment.ask(name, '/b/').status == 200
        assert deployment.ask(name, '/gone/').status == 404


def test_host_that_was_frozen_does_not_bring_back_what_was_before(deployment):
    """Guards against a host that thaws in the era before and tells others."""
    store = deployment.store
    store.era = 1
    deployment.add_target('i-1', 'desk')
    deployment.add_target('i-9', 'model')
    deployment.put_routes(route('/a/'))
    first = deployment.start_host('one')
    seeds = f'{first.control[0]}:{first.control[1]}'
    frozen = deployment.start_host('two', seeds=seeds)
    backup = store.backup()
    write_on(deployment, 20)
    deployment.put_routes(route('/a/'), route('/gone/'))
    for name in ('one', 'two'):
        wait_served(deployment, name, '/gone/')
    frozen.signal(signal.SIGSTOP)
    store.restore(backup)
    deployment.put_routes(route('/a/'), route('/b/'))
    wait_served(deployment, 'one', '/b/')
    frozen.signal(signal.SIGCONT)
    wait_served(deployment, 'two', '/b/')
    pause(1)
    for name in ('one', 'two'):
        assert deployment.ask(name, '/b/').status == 200
        assert deployment.ask(name, '/gone/').status == 404
