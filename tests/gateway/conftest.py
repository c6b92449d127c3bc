"""Run a deployment for one test."""

import pytest

from tests.gateway.deployment import Deployment


@pytest.fixture
def deployment(tmp_path):
    """Give a store, targets and hosts that the test may break."""
    made = Deployment(tmp_path)
    yield made
    made.close()
