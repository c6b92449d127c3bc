"""Streams that callers take up again, while hosts and versions come and go."""

import re
import signal

import pytest

from tests.gateway import versioned_streams as streams
from tests.gateway.deployment import (
    LOOPBACK,
    Connection,
    call,
    new_id,
    pause,
)
from tools.fleet import wait_until
from tools.proxy import Proxy

HOSTS = (('north-a', 'north-1'), ('north-b', 'north-1'), ('south-a', 'south-1'))
TARGETS = ('v1-north-1', 'v2-north-2', 'v1-north-3', 'v2-north-4')


@pytest.fixture
def fleet(deployment):
    """Start three hosts and two targets of each of two versions."""
    streams.add_targets(deployment, *TARGETS)
    streams.start(deployment, *HOSTS)
    streams.set_scripts(deployment, pause_seconds=0.03)
    return deployment


def restart(deployment, *names):
    """Kill hosts and start them again; they know nothing of before."""
    for name in names:
        deployment.hosts[name].kill()
    for name in names:
        deployment.hosts[name].start()
    for name in names:
        deployment.wait_ready(name)


def assert_gone_on(begun, answers):
    """Check that each stream is whole and of one version."""
    for one, answer in zip(begun, answers, strict=True):
        assert answer.status == 200
        assert len(streams.versions_of(one.first_body, answer.body)) == 1
        numbers = streams.numbers_of(one.first_body, answer.body)
        assert numbers == list(range(1, streams.TOTAL + 1))


def taken_up_lines(deployment, host):
    """Return the log lines of streams that callers took up at a host."""
    log = deployment.hosts[host].log()
    return [one for one in log.splitlines() if 'event=stream_taken_up' in one]


def remove_targets(deployment, version):
    """Remove the targets of a version from the store."""
    for name in list(deployment.targets):
        if name.startswith(f'{version}-'):
            deployment.store.remove(f'servers/{name}')
            deployment.targets.pop(name)


def test_stream_of_a_killed_host_goes_on(fleet):
    """Guards against knowledge that only the host that began a stream has."""
    begun = [streams.TakenUp(fleet, 'north-a') for _ in range(8)]
    fleet.hosts['north-a'].kill()
    answers = [one.go_on('north-b') for one in begun]
    assert_gone_on(begun, answers)


def test_stream_is_taken_up_twice(fleet):
    """Guards against a second return that names the first attempt again."""
    begun = streams.TakenUp(fleet, 'north-a', pieces=2)
    first = begun.go_on('south-a')
    second = begun.go_on('north-b')
    versions = streams.versions_of(begun.first_body, first.body, second.body)
    assert len(versions) == 1
    assert (first.status, second.status) == (200, 200)


def test_stream_whose_version_is_unknown_is_rejected(fleet):
    """Guards against a guess where no host knows who began a stream."""
    run_count = sum(len(one.executed) for one in fleet.targets.values())
    for resumes in ([('Resumes', 'never-seen')], [], [('Resumes', 'x' * 9000)]):
        answer = streams.ask(fleet, 'north-a', ('Last-Event-Id', '3'), *resumes)
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
    assert run_count == sum(len(one.executed) for one in fleet.targets.values())
    wait_until(
        lambda: (
            fleet.hosts['north-a'].log().count('reason=version_unknown') >= 3
        ),
        'the host has logged each rejection',
    )
    metrics = call(fleet.hosts['north-a'].metrics, '/metrics').body
    assert b'ending="version_unknown",service="model"' in metrics
    assert (
        b'jacinthfold_gateway_streams_total{beginning="version_unknown",'
        b'is_taken_up="True",service="model"}'
    ) in metrics
    ended = re.compile('event=request_not_served .*last_event_id=3')
    wait_until(
        lambda: len(ended.findall(fleet.hosts['north-a'].log())) == 3,
        'each end names the event after which the stream was to go on',
    )


def test_attempt_of_another_service_names_no_version(fleet):
    """Guards against a version of one service that is taken for another's."""
    begun = streams.TakenUp(fleet, 'north-a')
    fleet.put_routes(
        streams.route('/review/', 'model2', 'stream', resumable=True),
        services=('desk', 'model', 'model2'),
    )
    for number, version in enumerate(('v1', 'v2')):
        fleet.add_target(f'{version}-other-{number}', 'model2', version=version)
    streams.set_scripts(fleet)
    wait_until(
        lambda: streams.ask(fleet, 'north-b').status == 200, 'it is served'
    )
    wait_until(
        lambda: 'service=model2 versions=v1,v2' in fleet.hosts['north-b'].log(),
        'the host knows both versions',
    )
    assert begun.go_on('north-b').status == 503


def test_stream_whose_version_is_gone_is_rejected_at_once(fleet):
    """Guards against another version as the last resort of a stream."""
    begun = [streams.TakenUp(fleet, 'north-a') for _ in range(6)]
    begun = [one for one in begun if b'v1.' in one.first_body]
    for name in list(fleet.targets):
        if name.startswith('v1-'):
            fleet.put_target(name, 'model', version='v1', state='draining')
            fleet.store.remove(f'servers/{name}')
    wait_until(
        lambda: fleet.hosts['north-b'].log().count('event=target_gone') == 2,
        'the version is gone',
    )
    for one in begun:
        assert one.go_on('north-b').status == 503


def test_restarted_hosts_know_of_a_version_that_has_just_gone(fleet):
    """Guards against hosts that see one version and take it for the only one.

    All hosts are killed after the last target of the version has gone.
    """
    begun = [streams.TakenUp(fleet, 'north-a') for _ in range(4)]
    begun = [one for one in begun if b'v1.' in one.first_body]
    wait_until(
        lambda: any(key.startswith('versions/') for key in fleet.store.items),
        'the versions are stored',
    )
    remove_targets(fleet, 'v1')
    restart(fleet, *(name for name, _ in HOSTS))
    assert all(one.go_on('north-b').status == 503 for one in begun)


def test_restarted_hosts_resume_streams_of_the_only_version(deployment):
    """Guards against streams that are lost although one version only serves."""
    streams.add_targets(deployment, 'v1-north-1', 'v1-north-2')
    streams.start(deployment, *HOSTS[:2])
    streams.set_scripts(deployment, pause_seconds=0.03)
    begun = streams.TakenUp(deployment, 'north-a')
    restart(deployment, 'north-a', 'north-b')
    wait_until(
        lambda: begun.go_on('north-b').status == 200, 'the stream goes on'
    )
    assert not any(
        key.startswith('versions/') for key in deployment.store.items
    )
    lines = taken_up_lines(deployment, 'north-b')
    assert lines
    assert all('source=only' in line for line in lines)


def test_stream_that_began_before_the_second_version_goes_on(deployment):
    """Guards against streams that no host was told of when it mattered."""
    streams.add_targets(deployment, 'v1-north-1', 'v1-north-3')
    streams.start(deployment, *HOSTS[:2])
    streams.set_scripts(deployment, pause_seconds=0.03)
    begun = streams.TakenUp(deployment, 'north-a')
    streams.add_targets(deployment, 'v2-north-2', 'v2-north-4')
    for name in ('north-a', 'north-b'):
        deployment.wait_log(name, 'versions=v1,v2')
    deployment.hosts['north-a'].kill()
    answer = begun.go_on('north-b')
    assert answer.status == 200
    assert streams.versions_of(begun.first_body, answer.body) == {'v1'}


def test_frozen_holder_does_not_answer_for_long(fleet):
    """Guards against a question that waits for a host which stands still."""
    begun = streams.TakenUp(fleet, 'north-a')
    fleet.hosts['north-a'].signal(signal.SIGSTOP)
    answer = begun.go_on('north-b')
    fleet.hosts['north-a'].signal(signal.SIGCONT)
    assert answer.status == 200
    assert len(streams.versions_of(begun.first_body, answer.body)) == 1


def test_relayed_stream_goes_on_at_its_version_in_a_third_region(deployment):
    """Guards against a relay that doesn't tell where the stream began.

    The host's own region has no target when the stream begins in another one,
    which falls silent. Then the host's region gets a target of another version,
    and a third region one of each.
    """
    streams.add_targets(deployment, 'v1-south-1', 'v2-west-9')
    streams.start(deployment, *HOSTS, ('west-a', 'west-1'))
    # Both versions count for longer than their targets.
    remove_targets(deployment, 'v2')
    for name, _ in HOSTS:
        deployment.wait_log(name, 'event=target_gone')
    deployment.targets['v1-south-1'].script = streams.stream(
        'v1', pause_seconds=0.02, silent_after=3
    )
    connection = Connection(deployment.hosts['north-a'].callers)
    connection.send(streams.PATH, 'POST', streams.PROMPT, b'p', new_id())
    wait_until(
        lambda: deployment.targets['v1-south-1'].executed, 'the stream begins'
    )
    streams.add_targets(deployment, 'v2-north-1', 'v1-west-2', 'v2-west-3')
    answer = connection.receive()
    assert answer.is_whole
    assert streams.versions_of(answer.body) == {'v1'}
    assert streams.numbers_of(answer.body) == list(range(1, streams.TOTAL + 1))
    assert len(deployment.targets['v1-west-2'].executed) == 1


def test_host_that_was_not_told_asks_others(deployment):
    """Guards against hosts that go by their own table only."""
    names = [f'north-{letter}' for letter in 'abcdef']
    streams.add_targets(deployment, *TARGETS)
    streams.start(deployment, *((name, 'north-1') for name in names))
    streams.set_scripts(deployment, pause_seconds=0.03)
    # Three of the five others are told of a stream, by its random identifier.
    for name in names[1:] * 8:
        begun = streams.TakenUp(deployment, 'north-a')
        answer = begun.go_on(name)
        assert answer.status == 200
        assert len(streams.versions_of(begun.first_body, answer.body)) == 1
        if 'source=asked' in deployment.hosts[name].log():
            return
    pytest.fail('no host asked another one')


def test_streams_go_on_after_half_of_the_hosts_were_killed(deployment):
    """Guards against knowledge that is lost with a herd of hosts.

    At least half of the streams of the killed hosts go on at the others.
    """
    north = [(f'north-{letter}', 'north-1') for letter in 'abc']
    south = [(f'south-{letter}', 'south-1') for letter in 'abc']
    streams.add_targets(deployment, *TARGETS, 'v1-south-1', 'v2-south-2')
    streams.start(deployment, *north, *south)
    streams.set_scripts(deployment, pause_seconds=0.03)
    killed = ('north-a', 'north-b', 'south-a')
    begun = [
        streams.TakenUp(deployment, killed[number % 3]) for number in range(24)
    ]
    for name in killed:
        deployment.hosts[name].kill()
    left = ('north-c', 'south-b', 'south-c')
    went_on = 0
    for number, one in enumerate(begun):
        answer = one.go_on(left[number % 3])
        assert len(streams.versions_of(one.first_body, answer.body)) == 1
        went_on += answer.status == 200 and answer.is_whole
    assert went_on >= len(begun) / 2


def test_streams_go_on_after_all_hosts_were_killed(fleet):
    """Guards against knowledge that is lost with all hosts at once.

    The streams began longer ago than hosts take to store it.
    """
    begun = [streams.TakenUp(fleet, 'north-a') for _ in range(12)]
    wait_until(
        lambda: sum(key.startswith('streams/') for key in fleet.store.items),
        'where the streams began is stored',
    )
    pause(1.5)
    restart(fleet, *(name for name, _ in HOSTS))
    answers = [one.go_on('north-b') for one in begun]
    assert_gone_on(begun, answers)


def test_stream_of_a_version_that_a_host_has_not_heard_of(deployment):
    """Guards against a host that takes the version it knows for the only one.

    The store turns the host away before the second version comes, and its
    records are still young when a stream of that version is taken up.
    """
    streams.add_targets(deployment, 'v1-north-1')
    first = deployment.make_host('north-a')
    door = Proxy(*deployment.store.address)
    direct, deployment.store_address = (
        deployment.store_address,
        (LOOPBACK, door.port),
    )
    seeds = ':'.join(str(part) for part in first.control)
    deployment.make_host('north-b', seeds=seeds)
    deployment.store_address = direct
    deployment.put_routes(
        streams.route('/review/', 'model', 'stream', resumable=True)
    )
    for name in ('north-a', 'north-b'):
        deployment.hosts[name].start()
        deployment.wait_ready(name)
    streams.set_scripts(deployment, pause_seconds=0.03)
    wait_until(
        lambda: streams.ask(deployment, 'north-b').status == 200, 'it serves'
    )
    pause(1.0)
    door.cut(reset=True)
    streams.add_targets(deployment, 'v2-north-2')
    deployment.put_target('v1-north-1', 'model', state='draining')
    streams.set_scripts(deployment, pause_seconds=0.03)
    joined = []
    for _ in range(40):
        begun = streams.TakenUp(deployment, 'north-a', pieces=2)
        if streams.versions_of(begun.first_body) == {'v2'}:
            answer = begun.go_on('north-b')
            joined.append(
                streams.versions_of(begun.first_body, answer.body) != {'v2'}
            )
    door.close()
    assert joined
    assert not any(joined)


def test_host_cut_off_from_the_store_and_all_hosts_guesses_no_version(
    deployment,
):
    """Guards against a version that counts since its records are young."""
    streams.add_targets(deployment, 'v1-north-1')
    door = Proxy(*deployment.store.address)
    deployment.store_address = (LOOPBACK, door.port)
    streams.start(deployment, ('north-a', 'north-1'))

    def take_up(attempt_id):
        headers = (('Last-Event-Id', '3'), ('Resumes', attempt_id))
        return streams.ask(deployment, 'north-a', *headers).status

    assert take_up('of-another-host') == 200
    door.cut(reset=True)
    assert take_up('of-a-third-host') == 503
    assert streams.ask(deployment, 'north-a').status == 200
    door.close()
