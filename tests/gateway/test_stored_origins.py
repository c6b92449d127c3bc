"""Store where streams began, without processes."""

import asyncio

import pytest

from jacinthfold.catalogue.metadata import Lease, LeaseLostError, MetadataError
from jacinthfold.catalogue.model import HostRecord
from jacinthfold.fleet.table import HostTable
from jacinthfold.placement.software_versions import SoftwareVersions
from jacinthfold.streams import origin_writer
from jacinthfold.streams.origin_writer import OriginWriter
from jacinthfold.streams.stored_origins import StoredOrigins
from tests.fakes import FakeClock


class Store:
    """Keep records, and fail as often as a test asks."""

    def __init__(self):
        self.origins = StoredOrigins()
        self.names = []
        self.leases = 0
        self.errors = []

    async def grant_lease(self, _seconds):
        self.leases += 1
        return Lease(self.leases, 0)

    async def write_origins(self, contents, _lease):
        if self.errors:
            raise self.errors.pop()
        for name, content in contents.items():
            self.origins.apply(name, content)
            self.names.append(name)


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch):
    monkeypatch.setattr(origin_writer, 'RETRY_SECONDS', 0.0)


def writer_of(store, clock, incarnation=1):
    record = HostRecord('a', incarnation, ('r', 'z'), 'ip', (1, 2, 3))
    hosts = HostTable(record, clock)
    return OriginWriter(hosts, store, SoftwareVersions(clock), clock)


def write(writer, store, *attempts, version='v1'):
    """Add attempts and wait until one of them can be found."""

    async def run():
        task = asyncio.ensure_future(writer.run())
        writer.add('model', version, list(attempts))
        async with asyncio.timeout(5):
            while store.origins.version(attempts[-1], 'model') != version:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize(
    'error', [MetadataError('down'), LeaseLostError('another era')]
)
def test_origins_are_written_again_after_a_failure(error):
    """Guards against streams that are unknown since one write failed."""
    store, clock = Store(), FakeClock()
    writer = writer_of(store, clock)
    write(writer, store, 1)
    # A store that came back from a copy has lost all records.
    store.origins = StoredOrigins()
    store.errors = [error]
    write(writer, store, 2)
    assert store.origins.version(1, 'model') == 'v1'
    assert store.leases == 1 + isinstance(error, LeaseLostError)


def test_host_that_starts_again_keeps_what_it_wrote_before():
    """Guards against a start that overwrites the streams it has cut off."""
    store, clock = Store(), FakeClock()
    write(writer_of(store, clock), store, 1)
    write(writer_of(store, clock, incarnation=2), store, 2, version='v2')
    assert store.origins.version(1, 'model') == 'v1'
    assert store.origins.version(2, 'model') == 'v2'
    assert store.origins.version(1, 'other') is None


def test_old_origins_are_replaced():
    """Guards against records that grow for as long as a host runs."""
    store, clock = Store(), FakeClock()
    writer = writer_of(store, clock)
    for number in range(20):
        clock.advance(25.0)
        write(writer, store, number)
    assert len(set(store.names)) == origin_writer.SLOTS
    assert store.origins.version(0, 'model') is None
    assert store.origins.version(19, 'model') == 'v1'


@pytest.mark.parametrize('content', [b'', b'\x93', b'\x91' * 3000, b'\xff'])
def test_unreadable_record_names_no_version(content):
    origins = StoredOrigins()
    origins.apply('x', content)
    assert origins.version(1, 'model') is None


def test_attempt_with_two_versions_names_none():
    """Guards against a guess between two records."""
    store, clock = Store(), FakeClock()
    write(writer_of(store, clock), store, 7)
    other = writer_of(Store(), clock, incarnation=2)
    other._store = store

    async def run():
        other.add('model', 'v2', [7])
        await other._write([0])

    asyncio.run(run())
    assert store.origins.version(7, 'model') is None
