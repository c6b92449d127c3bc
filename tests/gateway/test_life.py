"""Start, stop and reload of a host, and failures around it."""

import os
import signal
import socket
from pathlib import Path

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import (
    Connection,
    call,
    new_id,
    route,
    wait_served,
)
from tools.fleet import wait_until


@pytest.fixture
def ready_deployment(deployment):
    """Start a host with one plain service target and one engine."""
    deployment.put_routes(route('/order/'), route('/chat/', 'model', 'stream'))
    deployment.add_target('i-1', 'desk')
    deployment.add_target('i-2', 'model').script = standin.stream(3)
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/order/x')
    return deployment


def test_stop_cuts_nothing_that_is_in_flight(ready_deployment):
    """Receive SIGTERM during a stream of one second.

    The host reports at once that it is not ready, the stream completes, its
    connection is closed, and the process exits with status 0.
    """
    ready_deployment.targets['i-2'].script = standin.stream(
        10, pause_seconds=0.1
    )
    host = ready_deployment.hosts['north-a']
    connection = Connection(host.callers)
    connection.send('/chat/1', 'POST', body=b'p', request_id=new_id())
    wait_until(
        lambda: ready_deployment.targets['i-2'].executed, 'the stream has begun'
    )
    host.signal(signal.SIGTERM)
    wait_until(
        lambda: call(host.ready, '/api/readiness').status == 503,
        'the host is not ready',
    )
    answer = connection.receive()
    assert answer.is_whole
    assert answer.body.count(b'data:') == 10
    connection.close()
    assert host.process.wait(20) == 0
    assert 'event=host_stopped' in host.log()


def test_draining_host_rejects_what_it_cannot_complete(ready_deployment):
    """Reject a long stream that is requested late in the grace period.

    If accepted, it would be cut off when the process exits. Rejected at once,
    the caller can retry at another host.
    """
    host = ready_deployment.hosts['north-a']
    ready_deployment.targets['i-2'].script = standin.stream(
        35, pause_seconds=0.1
    )
    in_flight = Connection(host.callers)
    in_flight.send('/chat/0', 'POST', body=b'p', request_id=new_id())
    wait_until(
        lambda: ready_deployment.targets['i-2'].executed, 'the stream has begun'
    )
    ready_deployment.targets['i-2'].script = standin.stream(3)
    host.signal(signal.SIGTERM)
    statuses = set()

    def is_rejected():
        answer = ready_deployment.ask(
            'north-a',
            '/chat/1',
            'POST',
            headers=[('Token-Usage', '100,900')],
            seconds=15,
        )
        statuses.add(answer.status)
        return answer.status == 503

    wait_until(is_rejected, 'a long stream is refused')
    assert (
        ready_deployment.ask('north-a', '/order/1', 'POST', seconds=1).status
        == 200
    )
    assert statuses <= {200, 503}
    assert in_flight.receive().is_whole
    in_flight.close()


def test_reload_changes_nothing_that_is_in_flight(ready_deployment):
    """Receive SIGHUP, whose default action would kill the process."""
    host = ready_deployment.hosts['north-a']
    connection = Connection(host.callers)
    ready_deployment.targets['i-2'].script = standin.stream(
        10, pause_seconds=0.05
    )
    connection.send('/chat/1', 'POST', body=b'p', request_id=new_id())
    host.signal(signal.SIGHUP)
    ready_deployment.wait_log('north-a', 'event=settings_reloaded')
    assert connection.receive().is_whole
    connection.close()


def test_faulty_settings_are_not_taken_over(ready_deployment):
    host = ready_deployment.hosts['north-a']
    host.settings_path.write_text('[host]\nname = only\n')
    host.signal(signal.SIGHUP)
    ready_deployment.wait_log('north-a', 'event=reload_failed')
    assert ready_deployment.ask('north-a', '/order/1').status == 200


def test_stalled_log_reader_does_not_block_a_host(deployment):
    """Fill the pipe of the standard output, which nobody reads.

    A host that waited for the reader would stop serving. Lines are dropped
    instead, and counted in the metrics.
    """
    deployment.put_routes(route('/order/'))
    deployment.add_target('i-1', 'desk')
    host = deployment.make_host('north-a')
    reader, writer = os.pipe()
    host.start(stdout=writer)
    deployment.wait_ready('north-a')
    wait_served(deployment, 'north-a', '/order/1', count=800)
    os.close(reader)
    os.close(writer)
    assert host.process.poll() is None


def test_idle_connection_blocks_nothing(ready_deployment):
    with socket.create_connection(ready_deployment.hosts['north-a'].callers):
        assert ready_deployment.ask('north-a', '/order/1').status == 200


def test_frozen_host_serves_again_when_it_wakes(ready_deployment):
    host = ready_deployment.hosts['north-a']
    host.signal(signal.SIGSTOP)
    ready_deployment.put_routes(route('/order/'), route('/quote/'))
    host.signal(signal.SIGCONT)
    wait_served(ready_deployment, 'north-a', '/quote/1')


def test_restarted_host_replaces_its_earlier_record(ready_deployment):
    """Kill a host and start it again before its lease has expired.

    The store still holds the record of the earlier process. The new process
    overwrites it, and other hosts receive its heartbeats.
    """
    ready_deployment.start_host('north-b')
    ready_deployment.wait_log('north-b', 'event=host_heard')
    ready_deployment.hosts['north-a'].kill()
    ready_deployment.hosts['north-a'].start()
    ready_deployment.wait_ready('north-a')
    wait_until(
        lambda: (
            ready_deployment.hosts['north-b'].log().count('event=host_heard')
            >= 2
        ),
        'north-b receives heartbeats of the new process',
    )
    wait_served(ready_deployment, 'north-a', '/order/1')


def test_lost_store_responses_do_not_unregister_a_host(ready_deployment):
    """Lose the responses to writes that the store applied; the host retries."""
    ready_deployment.store.loses_answers = True
    ready_deployment.make_host('north-b').start()
    ready_deployment.wait_log('north-b', 'event=registration_failed')
    ready_deployment.store.loses_answers = False
    wait_until(
        lambda: 'hosts/north-b' in ready_deployment.store.items,
        'north-b is registered',
    )


def test_command_says_what_is_wrong_with_settings(deployment):
    host = deployment.make_host('north-a')
    host.settings_path.write_text('[host]\nname = only\nwrong = 1\n')
    host.start()
    assert host.process.wait(20) == 3
    lines = host.log().splitlines()
    assert all(line.startswith('error: ') for line in lines)
    assert any('wrong: unknown key' in line for line in lines)


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_start(deployment, number):
    """Signal a host that is still importing its libraries.

    SIGHUP must not end it, and SIGTERM must end it with status 0. Without early
    handlers either one kills the process before its first log line.
    """
    deployment.put_routes(route('/order/'))
    host = deployment.make_host('north-a')
    host.start()
    maps = Path(f'/proc/{host.process.pid}/maps')
    # pycurl is loaded early, so the signal arrives during the remaining start.
    wait_until(lambda: 'pycurl' in maps.read_text(), 'libraries are loading')
    host.signal(number)
    if number == signal.SIGTERM:
        assert host.process.wait(30) == 0
    else:
        deployment.wait_ready('north-a')


def test_leaving_host_does_not_register_again(ready_deployment):
    """Renew no lease that the host itself revoked at its stop.

    The host keeps serving for some seconds, and its next renewal finds no
    lease. If it took the lease for expired and registered again, its record
    would outlive its process.
    """
    host = ready_deployment.hosts['north-a']
    wait_until(
        lambda: 'hosts/north-a' in ready_deployment.store.items,
        'it is registered',
    )
    host.signal(signal.SIGTERM)
    assert host.process.wait(30) == 0
    assert 'hosts/north-a' not in ready_deployment.store.items
