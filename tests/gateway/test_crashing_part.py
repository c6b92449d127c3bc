"""Prompts with a part that crashes targets, with host processes."""

import itertools
import random
import threading
import time

import pytest

from tests.gateway.deployment import pause, route
from tests.gateway.ending_targets import EndingTargets
from tools.fleet import wait_until

HOSTS = {'north-a': 'north-1', 'north-b': 'north-1', 'south-a': 'south-1'}
BAD = 'bad0'
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
    """Send prompts with the bad part until it crashed so many engines."""
    turn = itertools.cycle(hosts)

    def has_crashed():
        if len(engines.ended) < count:
            send(engines, next(turn), *parts, BAD, path=path)
        return len(engines.ended) >= count

    wait_until(has_crashed, f'{count} engines have crashed')


def more_sends(engines, *parts, path='/ask/x', count=9):
    """Return how many of some more prompts with the part are sent."""
    before = len(engines.arrived)
    for host in itertools.islice(itertools.cycle(HOSTS), count):
        send(engines, host, *parts, BAD, path=path)
    return len(engines.arrived) - before


@pytest.mark.parametrize('path', ['/ask/x', '/review/x'])
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
