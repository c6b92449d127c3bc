"""Configuration changes under failures are neither lost nor reverted."""

import threading
import time

import pytest

from tests.helpers import chat, order
from tools.fleet import Fleet, organisation, wait_until

HOSTS = ('erie-a', 'erie-b', 'huron-a')


def limit_intent(value):
    return {
        'kind': 'organisation',
        'name': 'free',
        'limit_requests_per_second': value,
    }


def plan(fleet, host, intents):
    answer = fleet.control(host, 'POST', '/plans', {'intents': intents})
    assert answer.status == 201, answer.body
    return answer.json()['plan_id']


def confirm(fleet, host, plan_id):
    return fleet.control(host, 'POST', f'/plans/{plan_id}/confirm')


def revisions(fleet):
    return {name: fleet.status(name)['revision'] for name in HOSTS}


def test_nothing_changes_before_the_plan_is_confirmed(shared_fleet):
    before = revisions(shared_fleet)
    plan_id = plan(shared_fleet, 'erie-a', [limit_intent(100)])
    shown = shared_fleet.control('huron-a', 'GET', f'/plans/{plan_id}').json()
    assert shown['differences'] == [
        '  organisation/free limit_requests_per_second: 0 -> 100'
    ]
    assert revisions(shared_fleet) == before


def test_plan_names_the_rule_that_it_would_break(shared_fleet):
    intents = [
        {'kind': 'target', 'name': name, 'state': 'leaving'}
        for name in ('review-1', 'review-2')
    ]
    answer = shared_fleet.control(
        'erie-b', 'POST', '/plans', {'intents': intents}
    )
    effects = answer.json()['effects']
    assert 'capacity of review in erie: 2 -> 0 active targets' in effects
    assert any('rule broken: bound is left with no' in line for line in effects)


def test_all_intent_faults_are_reported_together(shared_fleet):
    intents = [
        {'kind': 'target', 'name': 'x', 'state': 'gone', 'color': 'red'},
        {'kind': 'planet', 'name': 'x'},
        {
            'kind': 'organisation',
            'name': 'a b',
            'limit_requests_per_second': -1,
        },
        {'action': 'burn', 'kind': 'model', 'name': 'm'},
        7,
    ]
    answer = shared_fleet.control(
        'erie-a', 'POST', '/plans', {'intents': intents}
    )
    faults = answer.json()['error']['faults']
    assert answer.status == 422
    assert len(faults) == 6


@pytest.mark.parametrize(
    'intent',
    [
        {'kind': 'model', 'name': 'review', 'action': 'remove'},
        {'kind': 'organisation', 'name': 'bound', 'home': 'huron'},
        {'kind': 'organisation', 'name': 'bound', 'models': ['none']},
        {'kind': 'target', 'name': 'review-1', 'data_centre': 'huron-1'},
        {'kind': 'target', 'name': 'new'},
        organisation('thief', 'erie', ['erie'], key_hashes=['a', 'a']),
    ],
)
def test_conflicting_intent_gets_no_plan(shared_fleet, intent):
    answer = shared_fleet.control(
        'erie-a', 'POST', '/plans', {'intents': [intent]}
    )
    assert answer.status == 422, answer.body


def test_two_operators_confirm_at_once_and_one_wins(own_fleet):
    """Confirm two plans for one organisation at the same time.

    Both plans are based on the same revision. The store's compare-and-swap
    accepts one; the other operator gets an error that names what has changed,
    from any host.
    """
    for round_number in range(8):
        base = max(revisions(own_fleet).values())
        plans = [
            plan(
                own_fleet, host, [limit_intent(100 + round_number * 2 + number)]
            )
            for number, host in enumerate(('erie-a', 'huron-a'))
        ]
        answers = {}
        threads = [
            threading.Thread(
                target=lambda host=host, plan_id=plan_id: answers.update(
                    {host: confirm(own_fleet, host, plan_id)}
                )
            )
            for host, plan_id in zip(('erie-b', 'huron-a'), plans, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(one.status for one in answers.values()) == [200, 409]
        loser = next(one for one in answers.values() if one.status == 409)
        assert loser.json()['error']['code'] == 'stale_plan'
        assert 'organisation/free' in loser.json()['error']['message']
        own_fleet.wait_revision(base + 1)
        assert max(revisions(own_fleet).values()) == base + 1


def test_plans_without_conflict_both_take_effect(own_fleet):
    plans = [
        plan(own_fleet, 'erie-a', [limit_intent(50)]),
        plan(own_fleet, 'erie-b', [{'kind': 'model', 'name': 'extra'}]),
    ]
    answers = [confirm(own_fleet, 'erie-a', plan_id) for plan_id in plans]
    assert [one.json()['revision'] for one in answers] == [2, 3]


def test_confirmation_whose_answer_is_lost_takes_effect_once(own_fleet):
    """Lose the store's response to a confirmation that it applied.

    The host reads the head again, finds the identifier of the plan and responds
    with its revision. Confirming again at any host gives the same revision.
    """
    plan_id = plan(own_fleet, 'erie-a', [limit_intent(70)])
    own_fleet.set_faults('platform', lose_answers=1)
    first = confirm(own_fleet, 'erie-a', plan_id)
    again = confirm(own_fleet, 'huron-a', plan_id)
    assert (first.status, again.status) == (200, 200)
    assert first.json() == again.json()
    history = own_fleet.control('erie-b', 'GET', '/history').json()
    assert [one['plan_id'] for one in history].count(plan_id) == 1


def test_confirmation_in_an_outage_is_refused_and_not_in_force(own_fleet):
    plan_id = plan(own_fleet, 'erie-a', [limit_intent(70)])
    own_fleet.set_faults('platform', out=1)
    answer = confirm(own_fleet, 'erie-a', plan_id)
    assert answer.status in {503, 504}
    assert answer.json()['error']['retry_after_seconds'] > 0
    assert chat(own_fleet, 'erie-a').status == 200
    own_fleet.set_faults('platform')
    assert confirm(own_fleet, 'erie-a', plan_id).json()['revision'] == 2


def test_host_replaced_in_an_outage_gets_its_neighbours_configuration(
    own_fleet,
):
    """Replace an entry host during an outage of the platform.

    The new process has no configuration. It takes the highest revision that any
    of its peers holds.
    """
    revision = own_fleet.change('huron-a', [limit_intent(1000)])
    own_fleet.wait_revision(revision)
    own_fleet.set_faults('platform', out=1)
    own_fleet.processes['erie-b'].kill()
    own_fleet.restart_host('erie-b')
    own_fleet.wait_ready('erie-b')
    assert own_fleet.status('erie-b')['revision'] == revision
    assert chat(own_fleet, 'erie-b').status == 200


def test_host_alone_in_an_outage_says_that_it_is_not_ready(own_fleet):
    own_fleet.set_faults('platform', out=1)
    for name in HOSTS:
        own_fleet.processes[name].kill()
    own_fleet.restart_host('erie-a')
    url = own_fleet.control_url('erie-a')
    # The log also holds lines of the first start, which may have found no
    # platform either.
    restarted = own_fleet.processes['erie-a']
    wait_until(
        lambda: 'no_configuration_yet' in restarted.log_since_start(),
        'erie-a has looked for a configuration',
    )
    assert own_fleet.client.call_json('GET', f'{url}/health').status == 503
    answer = chat(own_fleet, 'erie-a')
    assert answer.status == 503
    assert answer.json()['error']['outcome'] == 'not_run'
    own_fleet.set_faults('platform')
    own_fleet.wait_ready('erie-a')
    own_fleet.wait_targets_found('erie-a')
    assert chat(own_fleet, 'erie-a').status == 200


def test_store_that_lost_everything_reverts_nothing(own_fleet):
    """Restart the platform's store empty, at revision 0.

    Hosts keep the configuration in force and log that the store is behind. A
    host replaced afterwards takes the revision of its peers, not the store's.
    """
    revision = own_fleet.change('erie-a', [limit_intent(1000)])
    own_fleet.wait_revision(revision)
    own_fleet.processes['platform'].kill()
    own_fleet.processes['platform'].start()
    wait_until(
        lambda: any(
            'store_is_behind' in own_fleet.processes[name].log()
            for name in HOSTS
        ),
        'a host says that the store is behind',
    )
    own_fleet.processes['erie-b'].kill()
    own_fleet.restart_host('erie-b')
    own_fleet.wait_ready('erie-b')
    assert set(revisions(own_fleet).values()) == {revision}
    refused = own_fleet.control(
        'erie-b', 'POST', '/plans', {'intents': [limit_intent(1)]}
    )
    assert refused.status == 503


def test_frozen_host_serves_nothing_under_withdrawn_rules(own_fleet):
    """Remove an organisation while an entry host is frozen.

    Its request waits in the socket of the frozen host. When resumed, the host
    detects the pause and rejects requests until it has contact with its peers.
    """
    before = sum(len(own_fleet.executions(f'review-{n}')) for n in (1, 2, 3))
    frozen = own_fleet.processes['erie-b']
    frozen.freeze()
    revision = own_fleet.change(
        'erie-a',
        [{'kind': 'organisation', 'name': 'bound', 'action': 'remove'}],
    )
    own_fleet.wait_revision(revision, 'erie-a', 'huron-a')
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(chat(own_fleet, 'erie-b', 'bound'))
    )
    thread.start()
    time.sleep(3)  # longer than a pause that a host tolerates
    frozen.thaw()
    thread.join()
    assert answers[0].status in {401, 421, 503}
    own_fleet.wait_revision(revision, 'erie-b')
    after = sum(len(own_fleet.executions(f'review-{n}')) for n in (1, 2, 3))
    assert after == before


def test_head_is_compacted_and_history_stays_whole(own_fleet):
    """Make more changes than the head holds.

    A host that starts alone afterwards reads the snapshot and the later changes
    from the store.
    """
    for number in range(70):
        own_fleet.change('erie-a', [limit_intent(1000 + number)])
    own_fleet.wait_revision(71)
    history = own_fleet.control('huron-a', 'GET', '/history').json()
    assert [one['revision'] for one in history] == list(range(1, 72))
    for name in HOSTS:
        own_fleet.processes[name].kill()
    own_fleet.restart_host('huron-a')
    own_fleet.wait_ready('huron-a')
    assert own_fleet.status('huron-a')['revision'] == 71


def test_limit_holds_across_entry_hosts(own_fleet):
    """Send ten times the limit to all hosts.

    Each host grants its share of the limit; the shares add up to the limit.
    """
    revision = own_fleet.change('erie-a', [limit_intent(10)])
    own_fleet.wait_revision(revision)
    statuses = []

    def ask(host):
        for _ in range(60):
            answer = own_fleet.call(
                host, 'GET', '/desk/quotes/1', key='key-free'
            )
            statuses.append(answer.status)
            if answer.status == 429:
                assert int(answer.headers['retry-after']) >= 1
                assert answer.json()['error']['outcome'] == 'not_run'
            time.sleep(0.02)

    began = time.monotonic()
    threads = [threading.Thread(target=ask, args=(host,)) for host in HOSTS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    seconds = time.monotonic() - began
    burst_seconds = 2
    allowed = 10 * (seconds + burst_seconds) + len(HOSTS)
    assert 10 < statuses.count(200) <= allowed
    assert statuses.count(429) == len(statuses) - statuses.count(200)


def test_order_is_rejected_without_running_in_a_store_outage(own_fleet):
    own_fleet.set_faults('platform', out=1)
    answer = order(own_fleet, 'erie-a', 'my-own')
    assert answer.status == 503
    assert answer.json()['error']['code'] == 'key_store_unavailable'
    assert own_fleet.executions('desk-1') == []


def test_directory_is_never_empty(tmp_path):
    """Query a host that is alone: it names at least itself."""
    with Fleet(tmp_path) as fleet:
        fleet.start_platform()
        fleet.start_host('only', 'erie', 'erie-1')
        fleet.wait_ready()
        intents = [
            {'kind': 'region', 'name': 'erie', 'data_centres': ['erie-1']},
            organisation('free', 'erie', ['erie']),
        ]
        fleet.change('only', intents)

        def names():
            found = fleet.call('only', 'GET', '/v1/directory', key='key-free')
            return [one['name'] for one in found.json()['entry_hosts']]

        assert wait_until(names, 'the directory names a host') == ['only']
