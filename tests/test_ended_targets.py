"""Requests that end the engines that run them, at hosts run by intents."""

import itertools

import pytest

from jacinthfold.serve import guard as module
from jacinthfold.serve.deployment import Organisation, Target
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.views import ReportState, TargetView
from jacinthfold.serve.work import Work
from tests.fakes import FakeClock
from tests.gateway.deployment import pause
from tests.helpers import chat, small_fleet
from tools.fleet import wait_until

HOSTS = ('erie-a', 'erie-b', 'huron-a')
ENGINES = ('review-1', 'review-2', 'review-3')
FATAL = 'a prompt under which engines end'
# The promise: at most so many more sends, some seconds after the third end.
MORE_SENDS = 3
# What an engine takes at least to load its model again.
LOADING_SECONDS = 3.2
REPEATS = 6


class Supervised:
    """Start engines again when they have ended, and count that."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ended_count = 0
        self.arm(ENGINES)

    def arm(self, names):
        for name in names:
            self.fleet.set_faults(name, ends_on=FATAL)

    def look(self):
        """Start again what has ended; return how many ends there were."""
        ended = [
            name
            for name in ENGINES
            if not self.fleet.processes[name].is_running
        ]
        # One that ends meanwhile is found at the next look.
        if ended:
            pause(LOADING_SECONDS)
        for name in ended:
            self.fleet.processes[name].start()
        for name in ended:
            self.fleet.wait_listening(f'{self.fleet.targets[name]["url"]}/work')
        self.arm(ended)
        self.ended_count += len(ended)
        return self.ended_count


@pytest.fixture
def supervised(tmp_path):
    """Give three engines in two regions behind three hosts."""
    with small_fleet(tmp_path) as fleet:
        yield Supervised(fleet)


def view_of(name):
    target = Target(name, 'http://127.0.0.1:1', 'erie', 'erie-1', ('review',))
    return TargetView(target, 0.0)


def guard(clock):
    return Guard('a secret of some length', clock)


def work_of(organisation, body):
    owner = Organisation(organisation, 'erie', ('erie',), ())
    return Work(owner, 'review', 'POST', '/v1/completions', {}, body)


def test_one_end_that_two_hosts_saw_counts_once(monkeypatch):
    """Two copies were at an engine when it ended, through two hosts.

    The engine's name tells no life from the next: ends of one name that are
    closer together than an engine takes to load are one.
    """
    monkeypatch.setattr(module, '_listens', lambda url: False)
    clock = FakeClock()
    one, other = guard(clock), guard(clock)
    work = work_of('free', b'body')
    for name in ('review-1', 'review-2'):
        for each in (one, other):
            clock.advance(0.4)
            each.note_broken(work, view_of(name), has_events=False)
        clock.advance(4)
    for each, words in ((one, other.news()), (other, one.news())):
        each.take(words)
        assert each.refused_seconds(work) is None
    one.note_broken(work, view_of('review-1'), has_events=False)
    assert one.refused_seconds(work) is not None
    other.take(one.news())
    assert other.refused_seconds(work) is not None
    assert other.refused_seconds(work_of('bound', b'body')) is None
    other.note_served(work)
    assert other.refused_seconds(work) is None


def test_target_that_still_listens_as_it_ends_is_looked_at_again(monkeypatch):
    """Guards against ends that are missed: connections close before the port.

    All hosts must refuse a request after three ends; one that was missed left
    it to two hosts in three.
    """
    looks = []
    monkeypatch.setattr(module, '_listens', lambda url: len(looks) % 2 == 0)
    made = guard(FakeClock())
    pending = []
    made.later = lambda seconds, call: pending.append(call)
    work = work_of('free', b'body')
    for name in ('review-1', 'review-2', 'review-3'):
        made.note_broken(work, view_of(name), has_events=False)
        looks.append(name)
        pending.pop()()
        looks.append(name)
    assert made.refused_seconds(work) is not None
    assert not pending


def test_leaving_target_has_not_been_ended(monkeypatch):
    monkeypatch.setattr(module, '_listens', lambda url: False)
    made = guard(FakeClock())
    work = work_of('free', b'body')
    for number in range(4):
        view = view_of(f'review-{number}')
        view.report.state = ReportState.LEAVING
        made.note_broken(work, view, has_events=False)
    assert made.news() == b''


def send(fleet, host, text, **fields):
    messages = [{'role': 'user', 'content': text}]
    return chat(fleet, host, messages=messages, **fields)


@pytest.mark.parametrize('is_stream', [False, True])
def test_completion_that_ends_engines_is_not_sent_to_more(
    supervised, is_stream
):
    """A completion ended every engine that took it, and came again.

    Each host tried it at one engine after the other, and so did the next host
    that the caller went to: nothing outlived the request but the failures
    noted against the engines. `event=attempt_ended target=review-1
    ending=unknown reason="Empty reply from server"`, 7 ms later the same at
    review-2, and 0.4 s later both again through another host.
    """
    fleet = supervised.fleet
    turn = itertools.cycle(HOSTS)

    def have_ended():
        if supervised.look() < 3:
            send(fleet, next(turn), FATAL, stream=is_stream)
        return supervised.look() >= 3

    wait_until(have_ended, 'three engines have ended')
    wait_until(
        lambda: all(fleet.dump(name).get('quarantined') for name in HOSTS),
        'all hosts refuse it',
        20,
    )
    before = supervised.look()
    for host in itertools.islice(itertools.cycle(HOSTS), REPEATS):
        answer = send(fleet, host, FATAL, stream=is_stream)
        supervised.look()
        assert answer.status == 429
        assert answer.headers['x-outcome'] == 'not_run'
        assert int(answer.headers['retry-after']) > 60
    assert supervised.look() - before <= MORE_SENDS
    for host in HOSTS:
        assert send(fleet, host, 'another').status == 200
