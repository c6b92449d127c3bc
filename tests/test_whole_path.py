"""Serve requests from end to end."""

import json

from tests.helpers import all_orders, chat, issue_key, order, stream_tokens


def test_streamed_completion_comes_whole(shared_fleet):
    answer = chat(shared_fleet, 'erie-a', stream=True, max_tokens=20)
    tokens, has_ended = stream_tokens(answer.body)
    assert answer.status == 200
    assert len(tokens) == 20
    assert has_ended


def test_usage_comes_in_the_last_chunk(shared_fleet):
    answer = chat(
        shared_fleet,
        'erie-a',
        stream=True,
        stream_options={'include_usage': True},
    )
    events = [
        json.loads(line[6:])
        for line in answer.body.decode().splitlines()
        if line.startswith('data: {')
    ]
    assert events[-1]['usage']['completion_tokens'] == 5


def test_whole_completion_with_tool_call(shared_fleet):
    tool = {'type': 'function', 'function': {'name': 'lookup'}}
    answer = chat(shared_fleet, 'erie-b', tools=[tool], unknown_field=[1])
    choice = answer.json()['choices'][0]
    assert choice['message']['tool_calls'][0]['function']['name'] == 'lookup'


def test_megabyte_body_passes(shared_fleet):
    message = {'role': 'user', 'content': 'x' * 1_000_000}
    answer = chat(shared_fleet, 'erie-a', messages=[message])
    assert answer.status == 200


def test_service_method_and_body_pass_intact(shared_fleet):
    answer = shared_fleet.call(
        'erie-a', 'PUT', '/desk/echo', {'ü': '✓'}, key='key-free'
    )
    assert answer.json() == {'ü': '✓'}


def test_models_are_listed(shared_fleet):
    answer = shared_fleet.call('erie-a', 'GET', '/v1/models', key='key-free')
    assert [model['id'] for model in answer.json()['data']] == ['review']


def test_directory_names_home_hosts_first(shared_fleet):
    answer = shared_fleet.call(
        'huron-a', 'GET', '/v1/directory', key='key-free'
    )
    hosts = answer.json()['entry_hosts']
    assert {host['name'] for host in hosts[:2]} == {'erie-a', 'erie-b'}
    assert hosts[2]['name'] == 'huron-a'


def test_order_retried_at_another_host_runs_once(shared_fleet):
    before = len(all_orders(shared_fleet))
    key = issue_key(shared_fleet, 'erie-a')
    first = order(shared_fleet, 'erie-a', key)
    second = order(shared_fleet, 'erie-b', key)
    assert first.json() == second.json()
    assert second.headers['x-idempotent-replay'] == 'true'
    assert len(all_orders(shared_fleet)) == before + 1


def test_callers_own_key_runs_once_at_two_hosts(shared_fleet):
    before = len(all_orders(shared_fleet))
    answers = [
        order(shared_fleet, host, 'my-own-key-1')
        for host in ('erie-a', 'erie-b')
    ]
    assert answers[0].json() == answers[1].json()
    assert len(all_orders(shared_fleet)) == before + 1
