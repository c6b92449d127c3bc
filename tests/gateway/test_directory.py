"""Resolution of callers to entry hosts."""

import json
import random

from jacinthfold.catalogue.host_codec import decode_host
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.catalogue.record import Record
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.fleet.directory import Directory
from jacinthfold.fleet.table import HostState, HostTable
from jacinthfold.platform.documents import PlatformReader
from tests.fakes import FakeClock
from tests.gateway.deployment import HOST_NAME, route


def host(name, region):
    return HostRecord(name, 1, (region, f'{region}-1'), '10.0.0.1', (1, 2, 3))


def scene(routes):
    """Return the directory of a host in west with one live neighbour."""
    clock = FakeClock()
    hosts = HostTable(host('west-a', 'west'), clock)
    hosts.record_heartbeat(host('west-b', 'west'), HostState.ACTIVE, 1)
    known = Catalogue(PlatformReader(), decode_host, clock)
    if routes:
        document = {'version': 1, 'routes': routes, 'backends': []}
        content = json.dumps(document).encode()
        known.apply([Record('op/config', 1, content)], 1)
    return Directory(hosts, known, random.Random(1)), hosts


def names(found):
    return {one.name for one in found}


def test_host_without_routes_returns_no_hosts_of_other_regions():
    """All hosts of a home region stop while a host of west starts.

    It receives heartbeats of its region before it has the configuration. A
    caller whose route is limited to north would be sent to west, and stay there
    until the directory entry expires.
    """
    directory, _ = scene([])
    assert not directory.resolve(HOST_NAME, 'north', 'north-1')
    assert names(directory.resolve(HOST_NAME, 'west', 'west-1')) == {'west-b'}


def test_home_regions_limit_the_returned_hosts():
    bound = route('/a/', **{'allowed-regions': ['north', 'south']})
    directory, hosts = scene([bound])
    assert not directory.resolve(HOST_NAME, 'north', 'north-1')
    hosts.record_heartbeat(host('south-a', 'south'), HostState.ACTIVE, 1)
    found = directory.resolve(HOST_NAME, 'north', 'north-1')
    assert names(found) == {'south-a'}


def test_routes_without_home_regions_return_any_region():
    directory, _ = scene([route('/a/')])
    found = directory.resolve(HOST_NAME, 'north', 'north-1')
    assert names(found) == {'west-b'}
