"""Keys and organisations: who is served, and what targets receive."""

import json
import socket

import pytest

from jacinthfold.catalogue.record import Record, UnreadableRecordError
from jacinthfold.organisations.credentials import bearer_digest, digest_of
from jacinthfold.organisations.model import Organisation
from jacinthfold.platform.documents import PlatformReader
from jacinthfold.request.messages import Request, RequestFacts
from tests.gateway.deployment import (
    Connection,
    ask,
    bearer,
    route,
    service,
    tenant,
    wait_served,
)
from tests.gateway.test_translation import catalogue
from tools.fleet import wait_until

KEY = 'a-key-of-the-north-1'
OTHER = 'a-key-of-the-south-2'


@pytest.fixture
def keyed(deployment):
    """Provide one target behind a host; two organisations have keys."""
    deployment.put_routes(
        route('/order/'),
        route('/open/', public=True),
        tenants=[tenant('north', KEY, 'second-key'), tenant('south', OTHER)],
    )
    deployment.add_target('i-1', 'desk')
    deployment.start_host('north-a', revocation_ms=5000)
    wait_served(deployment, 'north-a', '/open/x')
    deployment.targets['i-1'].executed.clear()
    return deployment


def ran(deployment):
    return deployment.targets['i-1'].executed


def send_with_headers(deployment, *headers, path='/order/x'):
    return deployment.ask('north-a', path, headers=headers)


def test_target_receives_the_organisation_and_never_the_key(keyed):
    """A caller sends its key together with the name of another organisation.

    The target must run the request for the owner of the key, and must not
    receive the key, which would end up in its log.
    """
    response = send_with_headers(keyed, bearer(KEY), ('Tenant', 'south'))
    assert response.status == 200
    headers = ran(keyed)[0].headers
    assert headers['tenant'] == 'north'
    assert 'authorization' not in headers


@pytest.mark.parametrize('key', ['second-key', KEY])
def test_each_key_of_an_organisation_serves(keyed, key):
    assert send_with_headers(keyed, bearer(key)).status == 200
    assert ran(keyed)[0].headers['tenant'] == 'north'


def test_public_route_is_served_without_key_or_organisation(keyed):
    response = send_with_headers(
        keyed, bearer(KEY), ('Tenant', 'south'), path='/open/x'
    )
    assert response.status == 200
    headers = ran(keyed)[0].headers
    assert 'tenant' not in headers
    assert 'authorization' not in headers


@pytest.mark.parametrize(
    'headers',
    [
        [],
        [bearer('nobody-holds-this')],
        [('Authorization', KEY)],
        [('Authorization', f'Basic {KEY}')],
        [('Authorization', 'Bearer')],
        [('Authorization', '')],
        [bearer(KEY), bearer(OTHER)],
        [bearer(KEY), bearer(KEY)],
        [('Authorization', f'Bearer {KEY} {OTHER}')],
        [bearer('x' * 8000)],
        [('Authorization', b'Bearer \xff\xfe\x80')],
        [('Tenant', 'north')],
    ],
    ids=str,
)
def test_request_without_exactly_one_known_key_is_denied(keyed, headers):
    """A caller sends no key, an unknown one, two, or a malformed one.

    The response is final, nothing runs, and the host keeps serving.
    """
    response = send_with_headers(keyed, *headers)
    assert response.status == 401
    assert response.headers['www-authenticate'] == 'Bearer'
    assert not ran(keyed)
    assert send_with_headers(keyed, bearer(KEY)).status == 200


def test_key_moves_to_another_organisation(keyed):
    """The operator moves one key to another organisation and removes one.

    From the new version on, requests count for the new owner, and requests with
    the removed key are denied, also on a connection opened before.
    """
    connection = Connection(keyed.hosts['north-a'].callers)
    connection.send('/order/1', headers=[bearer(KEY)], request_id='before')
    assert connection.receive().status == 200
    version = keyed.put_routes(
        route('/order/'),
        tenants=[tenant('north'), tenant('south', OTHER, KEY)],
    )
    keyed.wait_log('north-a', f'version={version}')
    connection.send('/order/2', headers=[bearer(KEY)], request_id='after')
    assert connection.receive().status == 200
    assert ran(keyed)[-1].headers['tenant'] == 'south'
    connection.send('/order/3', headers=[bearer('second-key')])
    assert connection.receive().status == 401
    connection.close()


def test_key_appears_in_no_log_and_no_dump(keyed):
    send_with_headers(keyed, bearer(KEY))
    send_with_headers(keyed, bearer('nobody-holds-this'))
    host = keyed.hosts['north-a']
    shown = host.log() + ask(host.control, '/state').body.decode()
    shown += ask(host.metrics, '/metrics').body.decode()
    assert KEY not in shown
    assert 'nobody-holds-this' not in shown


@pytest.mark.parametrize(
    'line',
    [
        f'Authorization : Bearer {KEY}',
        f'Authorization\x00: Bearer {KEY}',
        f'Authorization Bearer {KEY}',
        f'Authorization: Bearer {KEY}\x00',
    ],
    ids=repr,
)
def test_key_in_a_malformed_line_appears_in_no_log(keyed, line):
    """A caller's library writes the header with a space before the colon.

    The parser's error quotes the line, and hosts logged the error with the key.
    """
    host = keyed.hosts['north-a']
    with socket.create_connection(host.callers, timeout=10) as sent:
        head = f'GET /order/x HTTP/1.1\r\nHost: api.example\r\n{line}\r\n\r\n'
        sent.sendall(head.encode('latin-1'))
        assert sent.recv(1000).startswith(b'HTTP/1.1 400')
    keyed.wait_log('north-a', 'event=request_malformed')
    assert KEY not in host.log()


def test_configuration_without_organisations_asks_for_no_key(deployment):
    """Headers of callers are forwarded to targets unchanged."""
    deployment.put_routes(route('/order/'))
    deployment.add_target('i-1', 'desk')
    deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/order/x')
    send_with_headers(deployment, bearer(KEY), ('Tenant', 'x'))
    headers = ran(deployment)[-1].headers
    assert headers['authorization'] == f'Bearer {KEY}'
    assert headers['tenant'] == 'x'


def test_other_region_runs_a_request_for_the_same_organisation(deployment):
    """An organisation with its home in the south calls a host in the north.

    The host relays the request with the organisation's name and without its
    key; the target in the south receives the name.
    """
    deployment.put_routes(
        route('/order/', **{'timeout-ms': 4000}),
        tenants=[tenant('south', OTHER, **{'allowed-regions': ['south']})],
    )
    deployment.add_target('i-1', 'desk', 'south-1')
    deployment.add_target('i-2', 'desk', 'north-1')
    deployment.start_host('south-a', 'south-1', revocation_ms=5000)
    deployment.start_host('north-a', revocation_ms=5000)
    headers = [bearer(OTHER)]
    wait_until(
        lambda: (
            deployment.ask('north-a', '/order/x', headers=headers).status == 200
        ),
        'the host in the north serves the organisation',
    )
    assert ran(deployment)[-1].headers['tenant'] == 'south'
    assert 'authorization' not in ran(deployment)[-1].headers
    assert not deployment.targets['i-2'].executed


def request_of(route_homes, organisation_homes):
    request = Request(b'GET', b'/', [], b'', RequestFacts('1', 'api'))
    request.route.home_regions = frozenset(route_homes)
    request.organisation = Organisation('o', ())
    request.organisation.home_regions = frozenset(organisation_homes)
    return request


@pytest.mark.parametrize(
    ('route_homes', 'organisation_homes', 'expected'),
    [
        ('', '', 'abc'),
        ('ab', '', 'ab'),
        ('', 'bc', 'bc'),
        ('ab', 'bc', 'b'),
        ('a', 'c', ''),
    ],
)
def test_home_regions_of_route_and_organisation_both_apply(
    route_homes, organisation_homes, expected
):
    request = request_of(route_homes, organisation_homes)
    assert [one for one in 'abc' if request.allows(one)] == list(expected)


def test_priority_of_the_organisation_overrides_the_route():
    request = request_of('', '')
    request.route.priority = 0
    assert request.is_urgent
    request.organisation.priority = 2
    assert not request.is_urgent
    assert request.priority == 2


def test_route_priority_ranks_requests_of_equal_organisations():
    """Guards against short questions that wait behind long prompts.

    Two organisations have the same priority, which overrides those of the
    routes: engines then serve their questions and their long prompts in the
    order of arrival, and the questions are late behind the prompts.
    """
    ranks = {}
    for organisation_priority in range(3):
        for route_priority in (0, 2):
            request = request_of('', '')
            request.organisation.priority = organisation_priority
            request.route.priority = route_priority
            ranks[organisation_priority, route_priority] = request.rank
    assert sorted(ranks, key=ranks.__getitem__) == sorted(ranks)
    assert len(set(ranks.values())) == len(ranks)


def test_questions_of_most_organisations_are_urgent():
    request = request_of('', '')
    request.route.priority = 0
    request.organisation.priority = 1
    assert request.is_urgent
    request.route.priority = 2
    assert not request.is_urgent
    request.organisation.priority = None
    request.route.priority = 0
    assert request.rank == 0


def document(*tenants, version=5):
    content = {
        'version': version,
        'routes': [route('/a/')],
        'backends': [service('desk')],
        'tenants': list(tenants),
    }
    return json.dumps(content).encode()


@pytest.mark.parametrize(
    'tenants',
    [
        [tenant('', KEY)],
        [{'api-keys': [KEY]}],
        [tenant('north', KEY), tenant('south', KEY)],
        [tenant('north', KEY), tenant('north', OTHER)],
        [tenant('north', '')],
        [tenant('north', 'x' * 9000)],
        [tenant('north', KEY, **{'rate-per-s': -1})],
        [tenant('north', KEY, **{'rate-per-s': 2**70})],
        [tenant('north', KEY, **{'rate-per-s': 10, 'burst': -5})],
        [tenant('north', KEY, **{'rate-per-s': 10, 'burst': 2**70})],
        [tenant('north', KEY, **{'uncached-tokens': -1})],
        [tenant('north', KEY, priority=-1)],
        [tenant('north', KEY, **{'allowed-regions': 'north'})],
        ['north'],
        {'north': KEY},
    ],
    ids=str,
)
def test_invalid_configuration_changes_nothing(tenants):
    """An operator writes an invalid cap, key or name.

    The version in force stays, and decoding raises an error.
    """
    with pytest.raises(UnreadableRecordError):
        PlatformReader().read_routes(document(*tenants))
    reader, notifications = catalogue()
    reader.apply([record(document(tenant('north', KEY)), 1)], 1)
    reader.apply([record(document(*tenants, version=6), 2)], 2)
    assert reader.routes.version == 5
    assert notifications == [('routes', 5)]


def record(content, revision):
    return Record('op/config', revision, content)


def test_cap_is_read_in_its_unit():
    fields = {'rate-per-s': 36000, 'burst': 5000}
    table = PlatformReader().read_routes(
        document(tenant('north', KEY, **fields), tenant('south', unit=''))
    )
    found = table.organisations.find_by_key(digest_of(KEY.encode()))
    assert (found.cap.per_second, found.cap.burst) == (36000, 5000)
    assert found.cap.cost(10, 2) == 12
    assert table.organisations.find_by_name('south').cap is None


def test_digest_needs_exactly_one_bearer_key():
    assert bearer_digest([b'bearer  key ']) == digest_of(b'key')
    assert bearer_digest([b'BEARER key']) == digest_of(b'key')
    assert bearer_digest([b'Bearer key', b'Bearer key']) is None
    assert bearer_digest([]) is None


def test_request_that_no_region_may_serve_is_refused_at_once(deployment):
    """The home regions of the route and the organisation don't overlap.

    Only a new configuration can change that, so the caller must not be told to
    retry at once, again and again.
    """
    south = {'allowed-regions': ['south']}
    deployment.put_routes(
        route('/order/', **{'allowed-regions': ['north']}),
        tenants=[tenant('south', OTHER, **south)],
    )
    deployment.add_target('i-1', 'desk')
    deployment.start_host('north-a', revocation_ms=5000)
    response = deployment.ask(
        'north-a', '/order/x', headers=[bearer(OTHER)], seconds=4
    )
    assert response.status == 503
    assert float(response.headers['retry-after']) >= 1
    deployment.wait_log('north-a', 'reason=no_region')
    assert not ran(deployment)
