"""Streams that callers take up again while targets are busy or hosts end."""

from tests.gateway import target_standin as standin
from tests.gateway import versioned_streams as streams
from tests.gateway.deployment import Connection, new_id
from tools.fleet import wait_until


def slow_for_long_prompts(script):
    """Return a script that never answers long prompts."""

    async def choose(target, request, writer):
        tokens = int(request.headers.get('token-usage', '0').split(',')[0])
        if tokens > 50000:
            return await standin.say_nothing(target, request, writer)
        return await script(target, request, writer)

    return choose


def test_streams_go_on_where_new_ones_are_rejected_as_late(deployment):
    """Guards against streams that a host takes up less often than new ones."""
    streams.add_targets(deployment, 'v1-north-1')
    streams.start(deployment, ('north-a', 'north-1'), ('north-b', 'north-1'))
    streams.set_scripts(deployment, pause_seconds=0.03)
    begun = [streams.TakenUp(deployment, 'north-a') for _ in range(6)]
    deployment.hosts['north-a'].kill()
    target = deployment.targets['v1-north-1']
    target.script = slow_for_long_prompts(streams.stream('v1'))
    long_prompt = [('Model', 'm'), ('Token-Usage', '110000,9')]
    busy = Connection(deployment.hosts['north-b'].callers)
    busy.send('/review/2', 'POST', long_prompt, b'p', new_id())
    wait_until(
        lambda: streams.ask(deployment, 'north-b').status == 503,
        'new streams are rejected as late',
    )
    answers = [one.go_on('north-b') for one in begun]
    busy.close()
    assert [one.status for one in answers] == [200] * len(begun)
    assert 'reason=late' in deployment.hosts['north-b'].log()
