"""Cut regions from each other and from the platform, then heal."""

import threading
import time

import pytest

from tests.helpers import all_orders, chat, issue_key, order, small_intents
from tools.fleet import ORDER_KEY, Fleet, wait_until
from tools.partition import PeerNetwork
from tools.proxy import Proxy

ERIE = ('erie-a', 'erie-b')
HURON = ('huron-a', 'huron-b')
BEATS_PAST_A_TIMEOUT = 30
OVERRIDES = {'callers': {'deadline_seconds': 3}}


@pytest.fixture
def split_fleet(tmp_path):
    """Run two regions of two hosts that meet through proxies."""
    with Fleet(tmp_path) as fleet:
        fleet.start_platform()
        port = int(fleet.platform_url.rpartition(':')[2])
        fleet.stores = {}
        network = PeerNetwork(fleet)
        fleet.network = network
        options = {'order_key': ORDER_KEY}
        for name in ('review-1', 'review-2'):
            fleet.start_target(name, 'erie', 'erie-1', 'review', **options)
        fleet.start_target('review-3', 'huron', 'huron-1', 'review', **options)
        fleet.start_target('desk-1', 'erie', 'erie-1', 'desk', 'service')
        fleet.start_target('desk-2', 'huron', 'huron-1', 'desk', 'service')
        for name in (*ERIE, *HURON):
            region = name.partition('-')[0]
            fleet.stores.setdefault(region, Proxy('127.0.0.1', port))
            fleet.store_url = fleet.stores[region].url
            network.start_host(name, region, f'{region}-1', overrides=OVERRIDES)
        fleet.wait_listening(f'{fleet.platform_url}/counts')
        fleet.wait_ready()
        revision = fleet.change('erie-a', small_intents(fleet))
        fleet.wait_revision(revision)
        fleet.wait_targets_found()
        fleet.wait_members(4)
        yield fleet


def sequences(fleet, name):
    records = fleet.dump(name)['member_records']
    return {one['name']: one['sequence'] for one in records}


def put_limit(value):
    return [
        {
            'kind': 'organisation',
            'name': 'free',
            'limit_requests_per_second': value,
        }
    ]


def test_region_cut_off_from_all_serves_its_own(split_fleet):
    """huron loses the other region and the platform at once.

    Its callers see no error; a change that erie confirms meanwhile reaches
    huron after the cut heals, and nothing that huron holds comes back.
    """
    fleet = split_fleet
    fleet.network.split(ERIE, HURON)
    fleet.stores['huron'].cut()
    fleet.wait_members(2)
    for host, name in (
        ('huron-a', 'away'),
        ('huron-b', 'away'),
        ('erie-a', 'bound'),
    ):
        for _ in range(5):
            assert chat(fleet, host, name).status == 200
        key = issue_key(fleet, host, name)
        assert order(fleet, host, key, name=name).status == 201
    revision = fleet.change('erie-b', put_limit(500))
    fleet.wait_revision(revision, *ERIE)
    assert fleet.status('huron-a')['revision'] == revision - 1
    fleet.network.heal()
    fleet.stores['huron'].heal()
    fleet.wait_revision(revision)
    fleet.wait_members(4)
    assert len(all_orders(fleet)) == 3


def test_change_reaches_hosts_that_only_neighbours_can_reach(split_fleet):
    """huron loses the platform only; erie's hosts bring it the change."""
    fleet = split_fleet
    fleet.stores['huron'].cut()
    revision = fleet.change('erie-a', put_limit(400))
    fleet.wait_revision(revision)


def test_spread_goes_on_when_the_one_who_confirmed_dies(split_fleet):
    """A host confirms and is killed before it can tell anybody.

    The store's watchers of the other data centre and of its own have it.
    """
    fleet = split_fleet
    revision = fleet.change('erie-a', put_limit(300))
    fleet.processes['erie-a'].kill()
    fleet.wait_revision(revision, 'erie-b', *HURON)


def test_order_of_an_owner_beyond_the_cut_is_not_run_again(split_fleet):
    """A key's owner is on the other side of a partition.

    The retry on this side is told `unknown`; after the cut has healed it
    gets the first run's answer. The order has run once.
    """
    fleet = split_fleet
    key = issue_key(fleet, 'erie-a')
    first = order(fleet, 'erie-a', key)
    fleet.network.split(ERIE, HURON)
    answer = order(fleet, 'huron-a', key)
    assert answer.json()['error']['outcome'] == 'unknown'
    fleet.network.heal()
    fleet.wait_members(4)
    again = order(fleet, 'huron-a', key)
    assert again.json() == first.json()
    assert len(all_orders(fleet)) == 1


def test_callers_own_key_on_both_sides_of_a_cut_runs_once(split_fleet):
    """The same own key comes to both sides at once; the store decides."""
    fleet = split_fleet
    fleet.network.split(ERIE, HURON)
    answers = []
    threads = [
        threading.Thread(
            target=lambda host=host: answers.append(
                order(fleet, host, 'own-1', timeout_seconds=10)
            )
        )
        for host in ('erie-a', 'huron-a')
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(all_orders(fleet)) == 1
    assert sorted(one.status for one in answers) == [201, 409]


def test_thawed_host_waits_for_news_before_it_serves(split_fleet):
    """An organisation is withdrawn while a host is frozen; news travel slowly.

    Its request lies in the thawed host's socket before any news of the
    change. The host notices its pause and refuses until its peers have
    answered, so nothing runs under the withdrawn rules.
    """
    fleet = split_fleet
    before = sum(len(fleet.executions(f'review-{n}')) for n in (1, 2, 3))
    fleet.processes['erie-b'].freeze()
    intent = {'kind': 'organisation', 'name': 'bound', 'action': 'remove'}
    revision = fleet.change('erie-a', [intent])
    fleet.wait_revision(revision, 'erie-a', *HURON)
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(chat(fleet, 'erie-b', 'bound'))
    )
    thread.start()
    time.sleep(3)  # longer than the pause that a host takes for none
    for store in fleet.stores.values():
        store.delay_seconds = 0.4
        store.close_links()
    fleet.network.delay(0.4)
    fleet.network.close_links()
    fleet.processes['erie-b'].thaw()
    thread.join()
    assert answers[0].status in {401, 421, 503}
    fleet.wait_revision(revision, 'erie-b')
    after = sum(len(fleet.executions(f'review-{n}')) for n in (1, 2, 3))
    assert after == before


def test_data_centre_cut_off_inside_its_region_serves_its_own(tmp_path):
    """A region has two data centres; one loses the other and the platform.

    The other's engine is out of its reach too. Callers of both sides get
    whole answers from the engine on their own side.
    """
    with Fleet(tmp_path) as fleet:
        fleet.start_platform()
        network = PeerNetwork(fleet)
        for centre in ('erie-1', 'erie-2'):
            fleet.start_target(f'review-{centre}', 'erie', centre, 'review')
            network.start_host(
                f'host-{centre}', 'erie', centre, overrides=OVERRIDES
            )
        fleet.wait_listening(f'{fleet.platform_url}/counts')
        fleet.wait_ready()
        intents = small_intents(fleet)[1:]
        intents[0:0] = [
            {
                'kind': 'region',
                'name': 'erie',
                'data_centres': ['erie-1', 'erie-2'],
            },
        ]
        port = int(fleet.targets['review-erie-1']['url'].rpartition(':')[2])
        ways = Proxy('127.0.0.1', port)
        for intent in intents:
            if intent['name'] == 'review-erie-1':
                intent['url'] = ways.url
        fleet.wait_revision(fleet.change('host-erie-1', intents))
        fleet.wait_members(2)
        fleet.wait_targets_found()
        network.split(['host-erie-1'], ['host-erie-2'])
        fleet.set_faults('platform', out=1)
        fleet.wait_members(1)
        ways.is_allowed = lambda port: network.owner(port) == 'host-erie-1'
        ways.close_links()
        for host in ('host-erie-1', 'host-erie-2') * 10:
            assert chat(fleet, host, 'bound').status == 200
        assert len(fleet.executions('review-erie-2')) >= 10


def test_silent_links_are_replaced_by_new_ones(split_fleet):
    """Every open link between hosts swallows what it carries, for good.

    Nothing reports an error. Exchanges time out, the next ones open new
    links, and no member is lost to a change.
    """
    fleet = split_fleet
    fleet.network.silence()
    before = {name: sequences(fleet, name) for name in fleet.hosts}
    for name in fleet.hosts:
        wait_until(
            lambda name=name: (
                all(
                    found > before[name][other] + BEATS_PAST_A_TIMEOUT
                    for other, found in sequences(fleet, name).items()
                )
                and len(sequences(fleet, name)) == 4
            ),
            f'{name} hears of all hosts again',
        )
