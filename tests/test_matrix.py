"""Every fault at every step of a request, from one table.

A proxy before each target reports how far a request has come; the fault is
worked at that step. What is asserted is seen from outside: the caller's bytes
and the executions that targets counted.
"""

import itertools
import threading
import time

import pytest

from jacinthfold.serve.client import Call, ClientError
from tests.helpers import CHAT, issue_key, stream_tokens
from tools.fleet import ADDRESS, ORDER_KEY, Fleet, organisation, wait_until
from tools.proxy import Proxy

TOKENS = 30
OVERRIDES = {
    'callers': {'deadline_seconds': 5},
    'targets': {
        'silence_timeout_seconds': 1,
        'first_byte_timeout_seconds': 1,
        'service_timeout_seconds': 1.5,
        'connect_timeout_seconds': 0.5,
        'poll_seconds': 0.2,
    },
    'routing': {'retry_ratio': 1, 'breaker_seconds': 0.2},
}
ENGINES = ('review-1', 'review-2')
TARGETS = (*ENGINES, 'desk-1')
STREAM_STEPS = (
    'chosen',
    'head sent',
    'body sent',
    'first byte',
    'first byte passed',
    'middle',
    'last chunk',
)
ORDER_STEPS = ('chosen', 'head sent', 'body sent', 'first byte')
LINK_FAULTS = {
    'cut': lambda link: link.close(),
    'reset': lambda link: link.close(reset=True),
    'cut half': lambda link: setattr(link, 'is_halving', True),
    'one way up': lambda link: link.dropped.add('up'),
    'one way down': lambda link: link.dropped.add('down'),
    'silent': lambda link: setattr(link, 'is_silent', True),
    'delay': lambda link: setattr(link, 'delay_seconds', 0.3),
    'drip': lambda link: setattr(link, 'drip_seconds', 0.002),
}
PROXY_FAULTS = {
    'cut': lambda proxy: proxy.cut(),
    'reset': lambda proxy: proxy.cut(reset=True),
    'cut half': lambda proxy: proxy.cut(),
    'one way up': lambda proxy: proxy.dropped.add('up'),
    'one way down': lambda proxy: proxy.dropped.add('down'),
    'silent': lambda proxy: setattr(proxy, 'is_silent', True),
    'delay': lambda proxy: setattr(proxy, 'delay_seconds', 0.3),
    'drip': lambda proxy: setattr(proxy, 'drip_seconds', 0.002),
}
STREAM_MARKER = b'POST /v1/chat'
ORDER_MARKER = b'POST /desk/orders'
PROCESS_FAULTS = ('kill', 'freeze')
FAULTS = (*PROCESS_FAULTS, *LINK_FAULTS)


class Bench:
    """Hold a deployment with a proxy at each place where a fault may be."""

    def __init__(self, directory):
        self.fleet = Fleet(directory)
        self.proxies = {}
        self._numbers = itertools.count()
        self._striking = threading.Lock()
        self._repaired_at = 0.0
        fleet = self.fleet
        fleet.start_platform()
        store = Proxy(ADDRESS, int(fleet.platform_url.rpartition(':')[2]))
        fleet.store_url = store.url
        self.store = store
        for name in ENGINES:
            fleet.start_target(
                name, 'erie', 'erie-1', 'review',
                order_key=ORDER_KEY, step_seconds=0.004, prefill_rate=1000000,
            )  # fmt: skip
        fleet.start_target(
            'desk-1', 'erie', 'erie-1', 'desk', 'service',
            journal=directory / 'orders',
        )  # fmt: skip
        for name in ('erie-a', 'erie-b'):
            fleet.start_host(name, 'erie', 'erie-1', OVERRIDES)
            port = fleet.hosts[name]['caller_port']
            self.proxies[name] = Proxy(ADDRESS, port)
        fleet.wait_listening(f'{fleet.platform_url}/counts')
        fleet.wait_ready()
        both = {'models': ['review'], 'services': ['desk']}
        revision = fleet.change(
            'erie-a',
            [
                {'kind': 'region', 'name': 'erie', 'data_centres': ['erie-1']},
                {'kind': 'model', 'name': 'review'},
                {'kind': 'service', 'name': 'desk', 'path_prefix': '/desk'},
                *(self._target_intent(name) for name in TARGETS),
                organisation('bound', 'erie', ['erie'], **both),
            ],
        )
        fleet.wait_revision(revision)
        fleet.wait_targets_found()

    def _target_intent(self, name):
        target = self.fleet.targets[name]
        proxy = Proxy(ADDRESS, int(target['url'].rpartition(':')[2]))
        self.proxies[name] = proxy
        return {'kind': 'target', **target, 'url': proxy.url}

    def repair(self):
        """Undo every fault and wait until the hosts have noticed."""
        # A strike works in a proxy's thread and may still be at it.
        with self._striking:
            self._restore()
        for name in TARGETS:
            url = f'{self.fleet.targets[name]["url"]}/status'
            wait_until(
                lambda url=url: self.fleet.answers(url), f'{name} answers'
            )
        self._repaired_at = time.monotonic()
        for name in ('erie-a', 'erie-b'):
            wait_until(lambda name=name: self._is_calm(name), f'{name} is calm')

    def _restore(self):
        for proxy in (*self.proxies.values(), self.store):
            proxy.heal()
            proxy.close_links()
        fleet = self.fleet
        fleet.set_faults('platform')
        for name in (*TARGETS, 'erie-a', 'erie-b'):
            process = fleet.processes[name]
            if process.is_running:
                process.thaw()
            elif name in fleet.hosts:
                fleet.restart_host(name)
            else:
                fleet.processes[name].start()
        fleet.wait_ready()

    def _is_calm(self, name):
        status = self.fleet.status(name)
        return len(status['members']) == 2 and all(
            target['found'] == 'active'
            and not target['own_in_flight']
            # Found active before the fault was noticed is not calm: the hosts
            # may find a restarted target down a moment later.
            and target['reading_age_seconds']
            < time.monotonic() - self._repaired_at
            and not target['taken_out']
            for target in status['targets']
        )

    def strike(self, name, fault, link=None):
        """Work a fault on a target, an entry host or the way to it."""
        with self._striking:
            self._strike(name, fault, link)

    def _strike(self, name, fault, link):
        process = self.fleet.processes[name]
        if fault == 'kill':
            process.kill()
        elif fault == 'freeze':
            process.freeze()
        elif link is None:
            PROXY_FAULTS[fault](self.proxies[name])
        else:
            LINK_FAULTS[fault](link)

    def striking(self, fault, struck=''):
        """Return what arm() is to call: a strike on the named place."""
        return lambda name, link: self.strike(struck or name, fault, link)

    def arm(self, names, step, marker, act, times=1):
        """Call act(name, link) when a request reaches a step."""
        left = itertools.count()

        def on_step(name, link, reached):
            if reached == step and next(left) < times:
                act(name, link)

        for name in names:
            proxy = self.proxies[name]
            proxy.marker = marker
            proxy.on_step = lambda link, reached, name=name: on_step(
                name, link, reached
            )

    def send(self, host, method, path, document, key='', timeout_seconds=6):
        """Return the answer, or None when none came whole."""
        headers = {'Authorization': 'Bearer key-bound'}
        if key:
            headers['Idempotency-Key'] = key
        try:
            return self.fleet.client.call_json(
                method,
                f'{self.proxies[host].url}{path}',
                document,
                headers=headers,
                timeout_seconds=timeout_seconds,
            )
        except ClientError:
            return None

    def stream(self, host='erie-a'):
        document = {
            'model': 'review',
            'stream': True,
            'max_tokens': TOKENS,
            'messages': [{'role': 'user', 'content': f'{next(self._numbers)}'}],
        }
        return self.send(host, 'POST', CHAT, document)

    def order(self, host, key, part):
        return self.send(host, 'POST', '/desk/orders', {'part': part}, key)

    def new_part(self):
        return f'part-{next(self._numbers)}'

    def executions(self, part):
        """Return how often an order ran, once the target can tell."""
        self.fleet.processes['desk-1'].thaw()
        url = f'{self.fleet.targets["desk-1"]["url"]}/executions'
        wait_until(lambda: self.fleet.answers(url), 'desk-1 answers')
        # An order still in a socket of a target just thawed runs at once;
        # two equal readings after an idle one mean that none is left.
        counts = [-1]

        def is_settled():
            listed = self.fleet.client.call(Call('GET', url)).json()
            counts.append(sum(part in one[2] for one in listed))
            return len(counts) > 4 and len(set(counts[-3:])) == 1

        wait_until(is_settled, 'executions settle')
        return counts[-1]


@pytest.fixture(scope='module')
def bench(tmp_path_factory):
    bench = Bench(tmp_path_factory.mktemp('matrix'))
    with bench.fleet:
        yield bench


def assert_whole(answer, count=TOKENS):
    assert answer is not None
    tokens, has_ended = stream_tokens(answer.body)
    assert answer.status == 200
    assert [int(token.rpartition('-')[2]) for token in tokens] == list(
        range(count)
    )
    assert has_ended
    assert answer.body.count(b'"finish_reason": "stop"') == 1


def assert_honest(answer):
    """Whole, or an error that says so; never a part that looks whole."""
    if answer is None:
        return
    if answer.status != 200:
        assert answer.json()['error']['outcome'] in {'not_run', 'unknown'}
        return
    tokens, has_ended = stream_tokens(answer.body)
    numbers = [int(token.rpartition('-')[2]) for token in tokens]
    assert numbers == list(range(len(numbers)))
    if has_ended:
        assert len(numbers) == TOKENS
    else:
        assert b'"outcome": "cut"' in answer.body


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STREAM_STEPS)
def test_stream_comes_whole_through_one_fault(bench, step, fault):
    """The caller sees one whole stream whatever happens to one engine.

    The engine or the way to it fails at a step; the entry host notices, and
    repeats the request at the other engine or resumes the stream there after
    the last token delivered.
    """
    bench.repair()
    if step == 'chosen':
        bench.strike(ENGINES[0], fault)
    else:
        bench.arm(ENGINES, step, STREAM_MARKER, bench.striking(fault))
    assert_whole(bench.stream())


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STREAM_STEPS)
def test_stream_is_honest_when_both_engines_fail(bench, step, fault):
    """The caller sees a whole stream or a cut that says so.

    The fault strikes the first engine, then the second one at the same step
    of the retry or the resumed stream.
    """
    bench.repair()
    if step == 'chosen':
        for name in ENGINES:
            bench.strike(name, fault)
    else:
        bench.arm(ENGINES, step, STREAM_MARKER, bench.striking(fault), times=2)
    assert_honest(bench.stream())


def check_order(bench, key, part, first):
    """Retry at both hosts; count what ran against what was said."""
    if first is not None and first.status != 201:
        outcome = first.json()['error']['outcome']
        if outcome == 'not_run':
            assert bench.executions(part) == 0
    bench.repair()
    answers = [
        first,
        *(bench.order(h, key, part) for h in ('erie-a', 'erie-b')),
    ]
    count = bench.executions(part)
    assert count <= 1
    told = [answer for answer in answers if answer is not None]
    numbers = {one.json()['order'] for one in told if one.status == 201}
    assert len(numbers) <= 1
    if numbers:
        assert count == 1
    for answer in told:
        if answer.status != 201:
            outcome = answer.json()['error']['outcome']
            assert outcome in {'not_run', 'not_run_now', 'unknown'}


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', ORDER_STEPS)
@pytest.mark.parametrize('struck', ['desk-1', 'erie-a'])
def test_order_runs_at_most_once(bench, struck, step, fault):
    """The caller's order ships one unit or none, and the answer is true.

    The target, the entry host or a link fails at a step of the order. The
    caller retries with its key at the same host and at another one. The key
    names one process that may run it, so no retry runs it again.
    """
    if struck == 'erie-a' and fault not in PROCESS_FAULTS and step == 'chosen':
        # A caller that can't reach the host has asked nothing yet.
        step = 'head sent'
    bench.repair()
    key = issue_key(bench.fleet, 'erie-a', 'bound')
    part = bench.new_part()
    if step == 'chosen':
        bench.strike(struck, fault)
    else:
        place = struck if fault not in PROCESS_FAULTS else 'desk-1'
        act = bench.striking(fault, struck)
        bench.arm([place], step, ORDER_MARKER, act)
    first = bench.order('erie-a', key, part)
    check_order(bench, key, part, first)


@pytest.mark.parametrize('step', ORDER_STEPS)
def test_two_faults_at_one_order(bench, step):
    """Two things fail at once: the owner is frozen, the target's link cut."""
    bench.repair()
    key = issue_key(bench.fleet, 'erie-a', 'bound')
    part = bench.new_part()

    def act(name, link):
        bench.strike('erie-a', 'freeze')
        link.close(reset=True)

    if step == 'chosen':
        bench.strike('erie-a', 'freeze')
        bench.strike('desk-1', 'cut')
    else:
        bench.arm(['desk-1'], step, ORDER_MARKER, act)
    first = bench.order('erie-a', key, part)
    check_order(bench, key, part, first)


@pytest.mark.parametrize(
    'platform', [{'out': 1}, {'slow_seconds': 0.4}, {'lose_answers': 1}]
)
@pytest.mark.parametrize('fault', ['none', 'kill', 'reset'])
def test_callers_own_key_with_platform_and_target_faults(
    bench, platform, fault
):
    """An own key is arbitrated by the store, which is out, slow or forgetful.

    Both hosts get the same order at once. Out: both refuse, nothing runs. A
    lost answer: reading the claim back tells whose it is.
    """
    bench.repair()
    bench.fleet.set_faults('platform', **platform)
    part = bench.new_part()
    key = f'own-{part}'
    if fault != 'none':
        act = bench.striking(fault)
        bench.arm(['desk-1'], 'body sent', ORDER_MARKER, act)
    answers = {}
    threads = [
        threading.Thread(
            target=lambda h=h: answers.update({h: bench.order(h, key, part)})
        )
        for h in ('erie-a', 'erie-b')
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if 'out' in platform:
        assert bench.executions(part) == 0
    check_order(bench, key, part, answers['erie-a'])
    assert bench.executions(part) <= 1
