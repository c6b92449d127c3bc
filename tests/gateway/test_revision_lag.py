"""How long a host has been behind the others, as logs and metrics tell it."""

import re

from jacinthfold.fleet.revision_lag import RevisionLag
from tests.fakes import FakeClock
from tests.gateway.deployment import call, route, wait_served


def test_lag_counts_from_the_oldest_revision_that_is_missing():
    """Guards against a host that is always behind and never seems so."""
    clock = FakeClock()
    lag = RevisionLag(clock)
    lag.observe(5, 6)
    clock.advance(1.0)
    lag.observe(5, 9)
    assert lag.seconds == 1.0
    lag.observe(7, 9)
    clock.advance(0.5)
    assert lag.seconds == 0.5
    lag.observe(9, 9)
    assert lag.seconds == 0.0


def test_refusal_of_a_path_tells_by_which_records_it_was_decided(deployment):
    """Guards against refusals that can't be told from those of a late host."""
    deployment.put_routes(route('/desk/', 'desk'))
    deployment.add_target('d-1', 'desk')
    host = deployment.start_host('north-a')
    wait_served(deployment, 'north-a', '/desk/x')
    assert deployment.ask('north-a', '/none/x').status == 404
    deployment.wait_log('north-a', 'event=request_unrouted')
    line = re.search(r'.*event=request_unrouted.*', host.log())[0]
    assert f'version={deployment.version}' in line
    assert re.search(r' revision=\d+ .*knowledge_age_seconds=\d', line)
    assert 'behind_seconds=0' in line
    first = re.search(r'.*event=routes_in_force.*', host.log())[0]
    assert 'learned_from=store' in first
    body = call(host.metrics, '/metrics').body
    assert b'jacinthfold_gateway_behind_seconds 0.0' in body
