"""Streams: complete events, in order, once; truncation stays visible."""

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import Connection, new_id, route, wait_served
from tools.fleet import wait_until

PROMPT = [
    ('Model', 'm'),
    ('Token-Usage', '800,50'),
    ('Prompt-Prefix', 'aa:300,bb:300,cc:200'),
]


@pytest.fixture
def engines(deployment):
    """Start one host with two engines."""
    deployment.put_routes(
        route('/chat/', 'model', 'stream', **{'max-attempts': 1}),
        route('/review/', 'model', 'stream', resumable=True),
        route('/warm/', 'model', 'idempotent'),
    )
    deployment.add_target('i-1', 'model')
    deployment.add_target('i-2', 'model')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/warm/x')
    for target in deployment.targets.values():
        target.executed.clear()
        target.script = standin.stream(5)
    return deployment


def send_prompt(deployment, path, **options):
    """Send a prompt and return the response."""
    return deployment.ask(
        'north-a', path, 'POST', headers=PROMPT, body=b'prompt', **options
    )


def events(first, last):
    """Return the expected bytes of a range of events."""
    return b''.join(standin.event(number) for number in range(first, last + 1))


def test_stream_arrives_whole(engines):
    answer = send_prompt(engines, '/chat/1')
    assert answer.is_whole
    assert answer.body == events(1, 5)
    assert answer.headers['response-seal'] == standin.SEAL


def test_events_arrive_as_they_are_made(engines):
    for target in engines.targets.values():
        target.script = standin.stream(40, pause_seconds=0.1)
    connection = Connection(engines.hosts['north-a'].callers)
    connection.send('/chat/1', 'POST', PROMPT, b'p', new_id())
    seen = b''
    while b'piece 2' not in seen:
        seen += connection.socket.recv(4096)
    assert b'piece 30' not in seen
    connection.close()
    wait_until(
        lambda: any(one.left for one in engines.targets.values()),
        'the engine is free again',
    )


def test_cut_stream_that_may_not_be_resumed_looks_cut(engines):
    """The engine's connection breaks inside the fourth event.

    The caller gets three complete events and no end of the body: with it, a
    truncated response would look complete.
    """
    for target in engines.targets.values():
        target.script = standin.stream(5, cut_at=3, tail=b'id: 4\nda')
    answer = send_prompt(engines, '/chat/1')
    assert not answer.is_whole
    assert answer.body == events(1, 3)


def test_cut_stream_goes_on_at_another_engine(engines):
    """The engine that received the request disconnects inside an event.

    The other one resumes after the last complete event; the caller sees one
    stream with the first engine's headers, nothing missing or repeated.
    """
    for target in engines.targets.values():
        target.script = _cut_first_time
    answer = send_prompt(engines, '/review/1')
    assert answer.is_whole
    assert answer.body == events(1, 5)
    resumed = [
        one.headers.get('last-event-id')
        for target in engines.targets.values()
        for one in target.executed
    ]
    assert sorted(resumed, key=str) == ['3', None]


def test_engine_that_repeats_an_event_is_not_passed_through(engines):
    """The resuming engine begins with an event that the caller already has."""

    async def from_the_start(target, request, writer):
        request.headers['last-event-id'] = '2'
        return await standin.stream(5)(target, request, writer)

    for target in engines.targets.values():
        target.script = _cut_then_resume(from_the_start)
    assert send_prompt(engines, '/review/1').body == events(1, 5)


def test_silent_engine_is_left_for_another(engines):
    """An engine receives a repeatable request and sends no response.

    Its connection stays open. The request moves to another engine while its
    caller still waits, and is cancelled at the silent one first.
    """
    engines.targets['i-1'].script = standin.say_nothing
    engines.targets['i-2'].script = standin.say_nothing
    wait_for_first = standin.stream(5)

    async def second(target, request, writer):
        return await wait_for_first(target, request, writer)

    async def first(target, request, writer):
        for one in engines.targets.values():
            one.script = second
        return await standin.say_nothing(target, request, writer)

    for target in engines.targets.values():
        target.script = first
    answer = send_prompt(engines, '/review/1', seconds=10)
    assert answer.body == events(1, 5)


def test_silent_engine_is_not_left_when_no_other_can_take_the_stream(engines):
    """Guards against a stream that is ended for a pause and goes on nowhere.

    The engine sends one event, pauses for longer than the timeout of pauses and
    goes on. The route allows a second attempt, but the other engine is gone.
    """
    engines.targets['i-1'].script = standin.stream(2, pause_seconds=2.3)
    engines.store.remove('servers/i-2')
    wait_until(
        lambda: 'event=target_gone' in engines.hosts['north-a'].log(),
        'the host has dropped the other engine',
    )
    answer = send_prompt(engines, '/review/1', seconds=10)
    assert answer.is_whole
    assert answer.body == events(1, 2)


def test_busy_engine_is_not_left_for_another(engines):
    """An engine streams to others and begins this response after two seconds.

    Moved at the soft timeout, the request would be prefilled again at the other
    engine and be even later.
    """
    targets = list(engines.targets.values())
    for target in targets:
        target.script = standin.stream(60, pause_seconds=0.1)
    # With the same prompt, both requests go to the same engine.
    other = Connection(engines.hosts['north-a'].callers)
    other.send('/chat/1', 'POST', PROMPT, b'p', new_id())
    wait_until(
        lambda: any(one.executed for one in targets), 'an engine streams'
    )
    for target in targets:
        target.executed.clear()
        target.script = standin.late(2.0, standin.stream(5))
    answer = send_prompt(engines, '/review/1', seconds=10)
    assert answer.body == events(1, 5)
    assert sum(len(one.executed) for one in targets) == 1
    other.close()


def test_soft_timeout_does_not_end_the_last_attempt(engines):
    """An engine pauses for 2.4 s in its response, at the last attempt.

    A timeout would truncate the response although the remaining events were
    about to arrive: the caller would lose a request that was served.
    """
    engines.put_routes(
        route('/warm/', 'model', 'idempotent'),
        route(
            '/last/',
            'model',
            'stream',
            resumable=True,
            **{'max-attempts': 1, 'timeout-ms': 12000},
        ),
    )
    wait_until(
        lambda: send_prompt(engines, '/last/0').status == 200,
        'the route is in force',
    )
    for target in engines.targets.values():
        target.executed.clear()
        target.script = standin.stream(3, pause_seconds=2.4)
    answer = send_prompt(engines, '/last/1', seconds=12)
    assert answer.is_whole
    assert answer.body == events(1, 3)


def test_stream_resumed_by_its_caller_goes_on(engines):
    answer = engines.ask(
        'north-a',
        '/review/1',
        'POST',
        headers=[*PROMPT, ('Last-Event-Id', '2')],
        body=b'prompt',
    )
    assert answer.body == events(3, 5)


def test_failure_of_a_repeatable_stream_is_retried(engines):
    async def fail_once(target, request, writer):
        for one in engines.targets.values():
            one.script = standin.stream(5)
        return await standin.fail(target, request, writer)

    for target in engines.targets.values():
        target.script = fail_once
    answer = send_prompt(engines, '/review/1')
    assert (answer.status, answer.body) == (200, events(1, 5))


def test_prompts_with_a_shared_prefix_stay_with_one_engine(engines):
    """Prompts with a shared prefix go to the engine that caches it."""
    for _ in range(6):
        send_prompt(engines, '/chat/1')
    counts = sorted(len(one.executed) for one in engines.targets.values())
    assert counts == [0, 6]


async def _cut_first_time(target, request, writer):
    if 'last-event-id' in request.headers:
        return await standin.stream(5)(target, request, writer)
    script = standin.stream(5, cut_at=3, tail=b'id: 4\nda')
    return await script(target, request, writer)


def _cut_then_resume(later):
    async def script(target, request, writer):
        if 'last-event-id' in request.headers:
            return await later(target, request, writer)
        return await standin.stream(5, cut_at=3)(target, request, writer)

    return script
