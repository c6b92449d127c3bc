"""Share one running deployment between tests that do it no harm."""

import pytest
from hypothesis import strategies

from tests.helpers import small_fleet


@pytest.fixture(scope='session', autouse=True)
def character_table():
    """Build what takes seconds in a fresh clone, outside of any test's time."""
    strategies.text(max_size=1).validate()


@pytest.fixture(scope='session')
def shared_fleet(tmp_path_factory):
    """Run two regions, three entry hosts, three engines and a service."""
    with small_fleet(tmp_path_factory.mktemp('fleet')) as fleet:
        yield fleet


@pytest.fixture
def own_fleet(tmp_path):
    """Run a deployment that the test may break."""
    with small_fleet(tmp_path) as fleet:
        yield fleet
