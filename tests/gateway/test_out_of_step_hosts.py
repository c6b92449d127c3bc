"""Streams that are taken up at a host that missed a new software version."""

import signal
import threading

import pytest

from tests.gateway import versioned_streams as streams
from tests.gateway.deployment import LOOPBACK, pause
from tools.fleet import wait_until
from tools.proxy import Proxy

STREAMS = 8


def begin_at_new_version(deployment, host):
    """Return streams that began at v2 and that their callers left."""
    found = []
    for _ in range(20 * STREAMS):
        begun = streams.TakenUp(deployment, host, pieces=2)
        if streams.versions_of(begun.first_body) == {'v2'}:
            found.append(begun)
        if len(found) == STREAMS:
            return found
    pytest.fail(f'{len(found)} streams began at v2')


def take_up_together(begun, host, between):
    """Send all streams to a host, do something, and return the answers."""
    answers = [None] * len(begun)

    def take_up(number):
        answers[number] = begun[number].go_on(host)

    threads = [
        threading.Thread(target=take_up, args=(number,))
        for number in range(len(begun))
    ]
    for thread in threads:
        thread.start()
    # All requests are at the host before it goes on.
    pause(0.1)
    between()
    for thread in threads:
        thread.join()
    return answers


def assert_none_joined(begun, answers):
    """Check that each stream is of v2, or rejected as not run."""
    for one, answer in zip(begun, answers, strict=True):
        assert answer.status in {200, 503}
        assert streams.versions_of(one.first_body, answer.body) == {'v2'}


@pytest.mark.parametrize('frozen_seconds', [0.5, 2.0, 4.0])
@pytest.mark.parametrize('data_centre', ['north-1', 'south-1'])
def test_frozen_host_goes_on_at_no_other_version(
    deployment, data_centre, frozen_seconds
):
    """Guards against a version that came while the host stood still.

    Its callers' requests wait in its sockets beside the news. In another region
    than the targets, it would relay them.
    """
    streams.add_targets(deployment, 'v1-north-1', 'v1-north-2')
    hosts = (('north-a', 'north-1'), ('frozen', data_centre))
    streams.start(deployment, *hosts)
    streams.set_scripts(deployment, pause_seconds=0.03)
    deployment.wait_log('north-a', 'peer=frozen')
    frozen = deployment.hosts['frozen']
    frozen.signal(signal.SIGSTOP)
    streams.add_targets(deployment, 'v2-north-3', 'v2-north-4')
    streams.set_scripts(deployment, pause_seconds=0.03)
    for name in ('v1-north-1', 'v1-north-2'):
        deployment.put_target(name, 'model', version='v1', state='draining')
    deployment.wait_log('north-a', 'versions=v1,v2')
    begun = begin_at_new_version(deployment, 'north-a')
    pause(frozen_seconds)
    answers = take_up_together(
        begun, 'frozen', lambda: frozen.signal(signal.SIGCONT)
    )
    assert_none_joined(begun, answers)
    wait_until(
        lambda: 'versions=v1,v2' in frozen.log(), 'it learns of both versions'
    )
    assert [one.go_on('frozen').status for one in begun] == [200] * STREAMS


@pytest.mark.parametrize('cut_seconds', [0.0, 1.0, 4.0])
def test_host_cut_off_from_the_store_relays_to_no_other_version(
    deployment, cut_seconds
):
    """Guards against a relay that names a version that the host guesses.

    It has targets of the old version in its own region, and the stream began
    in another one.
    """
    streams.add_targets(deployment, 'v1-north-1', 'v1-south-1')
    first = deployment.make_host('north-a')
    door = Proxy(*deployment.store.address)
    direct = deployment.store_address
    deployment.store_address = (LOOPBACK, door.port)
    seeds = ':'.join(str(part) for part in first.control)
    deployment.make_host('south-cut', 'south-1', seeds=seeds)
    deployment.store_address = direct
    deployment.put_routes(
        streams.route('/review/', 'model', 'stream', resumable=True)
    )
    for name in ('north-a', 'south-cut'):
        deployment.hosts[name].start()
        deployment.wait_ready(name)
    streams.set_scripts(deployment, pause_seconds=0.03)
    wait_until(
        lambda: streams.ask(deployment, 'south-cut').status == 200, 'it serves'
    )
    deployment.wait_log('north-a', 'peer=south-cut')
    door.cut(reset=True)
    streams.add_targets(deployment, 'v2-north-2')
    deployment.put_target('v1-north-1', 'model', version='v1', state='draining')
    streams.set_scripts(deployment, pause_seconds=0.03)
    begun = begin_at_new_version(deployment, 'north-a')
    pause(cut_seconds)
    answers = take_up_together(begun, 'south-cut', lambda: None)
    door.close()
    assert_none_joined(begun, answers)
