"""Prompts with a part that crashes targets, with host processes."""

import itertools
import random
import signal
import threading
import time

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import call, pause, route
from tests.gateway.ending_targets import WHOLE_PATH, EndingTargets
from tools.fleet import wait_until

HOSTS = {'north-a': 'north-1', 'north-b': 'north-1', 'south-a': 'south-1'}
# No digits of a fingerprint, which a log may hold by chance.
BAD = 'bad-part'
# The guarantee: this long after a part crashed five targets, requests with it
# are sent at most so many times more.
CONTACT_SECONDS = 5.0
CRASHES = 5
MAX_MORE_SENDS = 3
_numbers = itertools.count(1)


@pytest.fixture
def engines(deployment):
    """Provide engines in two regions behind three hosts."""
    deployment.put_routes(
        route('/ask/', 'model', 'stream', **{'max-attempts': 1}),
        route('/review/', 'model', 'stream', resumable=True),
        route('/other/', 'model', 'stream', **{'max-attempts': 1}),
        route(WHOLE_PATH, 'model', 'idempotent'),
    )
    targets = EndingTargets(deployment, fatal=(), fatal_parts=(BAD,))
    for data_centre in ('north-1', 'north-1', 'north-1', 'south-1', 'south-1'):
        targets.add(data_centre)
    seeds = ''
    for name, data_centre in HOSTS.items():
        host = deployment.make_host(name, data_centre, seeds=seeds)
        host.start()
        seeds = seeds or f'{host.control[0]}:{host.control[1]}'
    for name in HOSTS:
        deployment.wait_ready(name)
        deployment.wait_log(name, 'event=fingerprints_keyed')
        wait_until(
            lambda name=name: send(targets, name).status == 200,
            f'{name} serves',
        )
    return targets


def send(engines, host, *parts, path='/ask/x', first='sys', seconds=4):
    """Send a prompt that no other is like, with parts in its middle."""
    number = next(_numbers)
    names = [first, *parts, f'{number + 65536:x}']
    prefix = ','.join(f'{name}:100' for name in names)
    headers = [
        ('Model', 'm'),
        ('Token-Usage', f'{100 * len(names)},50'),
        ('Prompt-Prefix', prefix),
    ]
    return engines.deployment.ask(
        host,
        path,
        'POST',
        headers=headers,
        body=b'prompt %d' % number,
        seconds=seconds,
    )


class Crowd:
    """Send sound prompts with the same first part until it is over."""

    def __init__(self, engines, count=4, path='/ask/x'):
        self.statuses = []
        self._engines = engines
        self._path = path
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=[number])
            for number in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed):
        source = random.Random(seed)
        while not self._is_over.is_set():
            host = source.choice(sorted(HOSTS))
            part = f'doc{source.randrange(3)}'
            answer = send(self._engines, host, part, path=self._path)
            self.statuses.append((time.monotonic(), answer.status))
            time.sleep(source.uniform(0.01, 0.05))


def crash(engines, count, *parts, path='/ask/x', hosts=HOSTS):
    """Send prompts with the bad part until so many engines have crashed.

    It ends sooner if all hosts refuse them.
    """
    turn = itertools.cycle(hosts)
    refusing = set()

    def is_over():
        if len(engines.ended) < count and len(refusing) < len(hosts):
            host = next(turn)
            answer = send(engines, host, *parts, BAD, path=path)
            if answer.status == 429:
                refusing.add(host)
            return False
        return True

    wait_until(is_over, f'{count} engines have crashed')


def more_sends(engines, *parts, path='/ask/x', count=9):
    """Return how many of some more prompts with the part are sent."""
    before = len(engines.arrived)
    for host in itertools.islice(itertools.cycle(HOSTS), count):
        send(engines, host, *parts, BAD, path=path)
    return len(engines.arrived) - before


@pytest.mark.parametrize('path', ['/ask/x', '/review/x', f'{WHOLE_PATH}x'])
def test_prompts_with_a_part_that_crashes_targets_are_not_sent_to_more(
    engines, path
):
    """Guards against a shared part that crashes target after target.

    No two prompts are alike; each was held for a new one.
    """
    with Crowd(engines):
        crash(engines, CRASHES, 'doc1', path=path)
        pause(CONTACT_SECONDS)
        assert more_sends(engines, 'doc2', path=path) <= MAX_MORE_SENDS


def test_sound_prompts_beside_a_refused_part_are_served(engines):
    """Guards against refusing what shares its first part with the bad one."""
    with Crowd(engines) as crowd:
        crash(engines, CRASHES, 'doc1')
        wait_refused(engines)
        since = time.monotonic() + 2 * CONTACT_SECONDS
        while time.monotonic() < since + 3:
            more_sends(engines, 'doc0', count=3)
            time.sleep(0.05)
    statuses = [status for at, status in crowd.statuses if at > since]
    assert 429 not in {status for _, status in crowd.statuses}
    assert statuses.count(200) > 0.95 * len(statuses)
    assert len(statuses) > 20


def test_refusal_of_a_part_says_not_run_and_when_to_retry(engines):
    """Guards against a failure that invites the next retry."""
    with Crowd(engines):
        crash(engines, CRASHES)
        wait_refused(engines)
    before = len(engines.arrived)
    for host in HOSTS:
        answer = send(engines, host, BAD)
        assert answer.status == 429
        assert float(answer.headers['retry-after']) > 60
    assert len(engines.arrived) == before
    engines.deployment.wait_log('north-a', 'reason=quarantined')
    log = engines.deployment.hosts['north-a'].log()
    assert 'part=True' in log
    assert BAD not in log


def test_two_bad_parts_are_both_refused(engines):
    """Guards against a part that hides behind another one."""
    engines.fatal_parts.add('bad1')
    with Crowd(engines):
        wait_until(
            lambda: crashes_by_turns(engines, BAD, 'bad1') >= 4 * CRASHES,
            'both parts are refused',
        )
        before = len(engines.arrived)
        for host in HOSTS:
            send(engines, host, 'bad1')
            send(engines, host, BAD)
        assert len(engines.arrived) - before <= MAX_MORE_SENDS


@pytest.mark.parametrize('path', ['/ask/x', f'{WHOLE_PATH}x'])
def test_crashes_for_other_reasons_refuse_no_shared_part(engines, path):
    """Guards against blaming what every prompt has for every crash.

    Streams and whole answers show that a part is sound.
    """
    with Crowd(engines, count=6, path=path) as crowd:
        for _ in range(8):
            pause(0.4)
            for data_centre in ('north-1', 'south-1'):
                live = engines.live(data_centre)
                if live:
                    engines.end(live[0])
        pause(1)
    assert 429 not in {status for _, status in crowd.statuses}
    for host in HOSTS:
        wait_until(
            lambda host=host: (
                send(engines, host, 'doc1', path=path).status == 200
            ),
            f'{host} serves',
        )


def test_restarted_hosts_refuse_the_part_as_the_store_says(engines):
    """Guards against hosts that all start again and count from nought."""
    deployment = engines.deployment
    with Crowd(engines):
        crash(engines, CRASHES)
        wait_refused(engines)
    wait_until(
        lambda: (
            sum(key.count('/') == 2 for key in list(deployment.store.items)) > 2
        ),
        'three crashes are in the store',
    )
    for name in HOSTS:
        deployment.hosts[name].kill()
    for name in HOSTS:
        deployment.hosts[name].start()
    for name in HOSTS:
        deployment.wait_ready(name)
    wait_refused(engines)
    before = len(engines.arrived)
    for name in HOSTS:
        assert send(engines, name, BAD).status == 429
    assert len(engines.arrived) == before


def test_frozen_host_refuses_the_part_after_it_wakes(engines):
    """Guards against a host that slept through the crashes."""
    deployment = engines.deployment
    awake = ['north-b', 'south-a']
    deployment.hosts['north-a'].signal(signal.SIGSTOP)
    crash(engines, CRASHES, hosts=awake)
    wait_refused(engines, awake)
    deployment.hosts['north-a'].signal(signal.SIGCONT)
    wait_refused(engines, ['north-a'])


def test_part_is_tried_at_another_version_of_the_software(engines):
    """Guards against a refusal that outlives the fault in the software."""
    deployment = engines.deployment
    crash(engines, CRASHES)
    wait_refused(engines)
    engines.fatal_parts.clear()
    target = deployment.add_target('new-1', 'model', version='v2')
    target.script = standin.stream(3)
    wait_until(
        lambda: send(engines, 'north-a', BAD).status == 200,
        'the new version answers',
    )
    assert target.executed


def crashes_by_turns(engines, *parts):
    """Send one prompt with each part; return how many came in all."""
    for part, host in zip(parts, itertools.cycle(HOSTS), strict=False):
        engines.tried = getattr(engines, 'tried', 0) + 1
        send(engines, host, part)
    return engines.tried


def wait_refused(engines, hosts=HOSTS):
    """Wait until hosts have a part in quarantine."""
    names = list(hosts)
    wait_until(
        lambda: all(
            b'"quarantined": {}'
            not in call(engines.deployment.hosts[name].control, '/state').body
            for name in names
        ),
        f'{names} refuse the part',
    )
