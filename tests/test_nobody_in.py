"""Refuse callers, operators and peers that don't belong, with a clear word."""

import json
import socket

import pytest

from tests.helpers import all_orders, chat, issue_key, order
from tools.fleet import ADDRESS

HEAD = 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
AUTH = 'Authorization: Bearer key-free\r\n'
BODY = '{"model":"review","messages":[{"role":"user","content":"x"}]}'
SMUGGLED = 'GET /desk/quotes/1 HTTP/1.1\r\nHost: x\r\n\r\n'


def raw(fleet, text, port='caller_port', pause=''):
    """Send bytes and return the first part of the answer."""
    place = (ADDRESS, fleet.hosts['erie-a'][port])
    with socket.create_connection(place, timeout=20) as connection:
        connection.sendall(text.encode('latin-1'))
        answer = b''
        while b'\r\n\r\n' not in answer:
            part = connection.recv(65536)
            if not part:
                break
            answer += part
        return answer.decode('latin-1')


def runs(fleet):
    names = ('review-1', 'review-2', 'review-3', 'desk-1', 'desk-2')
    return sum(len(fleet.executions(name)) for name in names)


MALFORMED = {
    'both lengths': HEAD + AUTH + 'Content-Length: 5\r\n'
    'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'two lengths': HEAD
    + AUTH
    + 'Content-Length: 61\r\nContent-Length: 3\r\n\r\n'
    + BODY,
    'length with sign': HEAD + AUTH + 'Content-Length: +61\r\n\r\n' + BODY,
    'length not a number': HEAD + AUTH + 'Content-Length: x\r\n\r\n' + BODY,
    'space before colon': HEAD + AUTH + 'Content-Length : 61\r\n\r\n' + BODY,
    'underscore twin': HEAD + AUTH + 'Content_Length: 1\r\n'
    f'Content-Length: {len(BODY)}\r\n\r\n' + BODY,
    'folded header': HEAD + AUTH + 'X-A: 1\r\n Content-Length: 3\r\n'
    'Content-Length: 0\r\n\r\n',
    'bad chunk size': HEAD + AUTH + 'Transfer-Encoding: chunked\r\n\r\n'
    'zz\r\n' + SMUGGLED,
    'unknown coding': HEAD
    + AUTH
    + 'Transfer-Encoding: xchunked\r\n\r\n'
    + SMUGGLED,
    'not JSON': HEAD + AUTH + 'Content-Length: 3\r\n\r\n{"a',
    'no object': HEAD + AUTH + 'Content-Length: 2\r\n\r\n[]',
    'no method': '\x00\x01\x02\r\n\r\n',
    'old version': 'GET /v1/models HTTP/0.9\r\n\r\n',
    'internal header': HEAD + AUTH + 'X-Jacinthfold-Organisation: bound\r\n'
    f'Content-Length: {len(BODY)}\r\n\r\n' + BODY,
    'two keys': HEAD + AUTH + 'Authorization: Bearer key-bound\r\n'
    f'Content-Length: {len(BODY)}\r\n\r\n' + BODY,
    'huge head': HEAD + AUTH + 'X-A: ' + 'a' * 60000 + '\r\n\r\n',
    'huge body': HEAD + AUTH + 'Content-Length: 99999999\r\n\r\n',
    'no key': HEAD + f'Content-Length: {len(BODY)}\r\n\r\n' + BODY,
    'wrong key': HEAD + 'Authorization: Bearer nobody\r\n'
    f'Content-Length: {len(BODY)}\r\n\r\n' + BODY,
    'unknown path': 'GET /desk2/orders HTTP/1.1\r\nHost: x\r\n' + AUTH + '\r\n',
    'path climbing': 'GET /desk/../status HTTP/1.1\r\nHost: x\r\n'
    + AUTH
    + '\r\n',
}


@pytest.mark.parametrize('name', MALFORMED)
def test_malformed_request_never_reaches_a_target(shared_fleet, name):
    before = runs(shared_fleet)
    status_line = raw(shared_fleet, MALFORMED[name]).split('\r\n')[0]
    assert status_line.split(' ')[1][0] == '4', status_line
    assert runs(shared_fleet) == before


@pytest.mark.parametrize(
    'document',
    [
        {'model': 'review', 'messages': []},
        {'model': 'review', 'messages': 7},
        {'model': 'other', 'messages': ['x']},
        {'model': ['review'], 'messages': ['x']},
        {'model': 'review', 'messages': ['x'], 'stream': 'yes'},
        {'model': 'review', 'messages': ['x'], 'priority': -1},
    ],
)
def test_bad_completion_gets_one_clear_error(shared_fleet, document):
    answer = shared_fleet.call(
        'erie-a', 'POST', '/v1/chat/completions', document, key='key-free'
    )
    error = answer.json()['error']
    assert 400 <= answer.status < 500
    assert error['outcome'] == 'not_run'
    assert error['message']


def test_slow_sender_is_cut_by_the_deadline_of_the_head(own_fleet):
    """A sender of one byte now and then must not hold a thread for ever.

    The head's deadline spans all its bytes, so a drip that never pauses long
    is answered with 408 all the same.
    """
    host = own_fleet.hosts['erie-a']
    host['overrides'] = {'callers': {'head_timeout_seconds': 0.6}}
    own_fleet.processes['erie-a'].kill()
    own_fleet.restart_host('erie-a')
    own_fleet.wait_ready('erie-a')
    place = (ADDRESS, host['caller_port'])
    with socket.create_connection(place, timeout=10) as connection:
        connection.settimeout(0.1)
        answer = b''
        for byte in (HEAD + 'X-A: ' + 'a' * 500).encode():
            try:
                connection.sendall(bytes([byte]))
                answer = connection.recv(4096)
            except TimeoutError:
                continue
            except OSError:
                break
            break
    assert b' 408 ' in answer


def test_operators_calls_need_the_operators_key(shared_fleet):
    for method, path in (
        ('GET', '/status'),
        ('GET', '/dump'),
        ('POST', '/plans'),
        ('GET', '/deployment'),
        ('POST', '/plans/x/confirm'),
    ):
        answer = shared_fleet.client.call_json(
            method, f'{shared_fleet.control_url("erie-a")}{path}', {}
        )
        assert answer.status == 401


def test_peers_listeners_need_the_secret(shared_fleet):
    before = runs(shared_fleet)
    text = (
        HEAD + 'X-Jacinthfold-Organisation: free\r\n'
        'X-Jacinthfold-Request-Id: 1\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n{BODY}'
    )
    assert ' 403 ' in raw(shared_fleet, text, 'relay_port')
    assert runs(shared_fleet) == before


def test_key_of_one_organisation_gives_nothing_to_another(shared_fleet):
    before = len(all_orders(shared_fleet))
    key = issue_key(shared_fleet, 'erie-a', 'free')
    assert order(shared_fleet, 'erie-a', key).status == 201
    stolen = order(shared_fleet, 'erie-a', key, name='bound')
    assert stolen.status == 400
    assert stolen.json()['error']['code'] == 'invalid_key'
    assert len(all_orders(shared_fleet)) == before + 1


def test_same_callers_key_of_two_organisations_is_two_keys(shared_fleet):
    free = order(shared_fleet, 'erie-a', 'shared-text', part='a')
    bound = order(shared_fleet, 'erie-b', 'shared-text', part='b', name='bound')
    assert free.json()['order'] != bound.json()['order']


def test_key_with_another_body_is_refused(shared_fleet):
    key = issue_key(shared_fleet, 'erie-a')
    assert order(shared_fleet, 'erie-a', key, part='a').status == 201
    answer = order(shared_fleet, 'erie-b', key, part='b')
    assert answer.status == 422
    assert answer.json()['error']['code'] == 'key_reused'


def test_bound_data_is_refused_outside_its_region(shared_fleet):
    answer = chat(shared_fleet, 'huron-a', 'bound')
    error = answer.json()['error']
    assert answer.status == 421
    assert error['outcome'] == 'not_run'
    assert {host['region'] for host in error['entry_hosts']} == {'erie'}


def test_dump_shows_no_secret(shared_fleet):
    text = json.dumps(shared_fleet.dump('erie-a'))
    for secret in ('sample-operator-key', 'sample-peer-secret', 'sample-order'):
        assert secret not in text
