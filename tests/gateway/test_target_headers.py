"""Compare what callers send with what targets receive, header by header."""

import pytest

from tests.gateway.deployment import (
    HOST_NAME,
    bearer,
    route,
    tenant,
    wait_served,
)
from tests.gateway.target_standin import stream

KEY = 'a-key-of-the-north-1'
CALLER_HEADERS = [
    ('Model', 'm'),
    ('Token-Usage', '800,50'),
    ('Prompt-Prefix', 'aa:9,bb:4'),
    ('X-Repeated', 'first'),
    ('X-Repeated', 'second'),
    ('X-Empty', ''),
]
# Set by the host beside the target, each once.
SYSTEM_NAMES = {'request-deadline', 'target-instance', 'request-priority'}


@pytest.fixture
def relaying(deployment):
    """Provide a host without targets and one beside them, in two regions."""
    deployment.put_routes(
        route('/order/'),
        route('/review/', 'model', 'stream', resumable=True),
        route('/open/', public=True),
        tenants=[tenant('north', KEY)],
    )
    deployment.add_target('i-1', 'desk', 'south-1')
    deployment.add_target('i-2', 'model', 'south-1').script = stream(2)
    host = deployment.start_host('south-a', 'south-1', revocation_ms=5000)
    seeds = ':'.join(str(part) for part in host.control)
    deployment.start_host('north-a', 'north-1', revocation_ms=5000, seeds=seeds)
    for name in ('south-a', 'north-a'):
        wait_served(deployment, name, '/open/x')
    for target in deployment.targets.values():
        target.executed.clear()
    return deployment


def received(deployment, host, path, *headers, body=b'prompt'):
    """Send a request; return the request as its target received it."""
    answer = deployment.ask(
        host, path, 'POST', [bearer(KEY), *headers], body, 'attempt-1'
    )
    assert answer.status == 200
    (ran,) = [
        one for target in deployment.targets.values() for one in target.executed
    ]
    return ran


@pytest.mark.parametrize('host', ['south-a', 'north-a'], ids=['own', 'relayed'])
@pytest.mark.parametrize('path', ['/order/a%2fb?q=1&q=2', '/review/x'])
def test_target_receives_each_header_once(relaying, host, path):
    """Guards against a header that each host on the way adds once more.

    Targets that join equal headers read another organisation.
    """
    ran = received(relaying, host, path, ('Tenant', 'south'), *CALLER_HEADERS)
    assert ran.target == path
    assert ran.body == b'prompt'
    names = [name for name, _ in ran.pairs]
    assert names.count('tenant') == 1
    assert ran.headers['tenant'] == 'north'
    assert 'authorization' not in names
    sent = [(name.lower(), content) for name, content in CALLER_HEADERS]
    sent.append(('attempt-id', 'attempt-1'))
    assert [one for one in ran.pairs if one in sent] == sent
    known = {name for name, _ in sent} | SYSTEM_NAMES
    others = [name for name in names if name not in known]
    assert sorted(others) == ['content-length', 'host', 'tenant']
    assert len([name for name in names if name in SYSTEM_NAMES]) == len(
        SYSTEM_NAMES & set(names)
    )


def test_relayed_request_of_a_public_route_names_no_organisation(relaying):
    """Guards against a name that the caller of a public route has made up."""
    ran = received(relaying, 'north-a', '/open/x', ('Tenant', 'south'))
    assert not {'tenant', 'authorization'} & {name for name, _ in ran.pairs}


def head_bytes(headers, path):
    """Return the size of a head as the limit counts it."""
    return len(path) + sum(len(one) for pair in headers for one in pair)


@pytest.mark.parametrize('host', ['south-a', 'north-a'], ids=['own', 'relayed'])
@pytest.mark.parametrize(('excess', 'status'), [(0, 200), (1, 431)])
def test_head_of_the_largest_size_is_served_through_a_relay(
    relaying, host, excess, status
):
    """Guards against a limit that what hosts add to a head counts towards."""
    path, limit = '/order/x', 16384
    fixed = [
        ('Host', HOST_NAME),
        bearer(KEY),
        ('Request-Deadline', '4000'),
        ('Attempt-Id', 'attempt-1'),
        ('Content-Length', '6'),
        ('X-Fill', ''),
    ]
    fill = limit + excess - head_bytes(fixed, path)
    answer = relaying.ask(
        host,
        path,
        'POST',
        [bearer(KEY), ('X-Fill', 'x' * fill)],
        b'prompt',
        'attempt-1',
    )
    assert answer.status == status
