"""Request limits while hosts start, and while the limit itself changes."""

from tests.gateway.limited_targets import CONTACT_SECONDS, allowed
from tests.gateway.test_limit_shares import Region


def test_host_that_just_started_learns_limits_from_peers():
    """Guards against new hosts that each learn a limit from the target."""
    region = Region(24)
    region.run(5, per_second=50)
    region.limits['i-0'] = 1.2
    region.run(10, per_second=50)
    # The new host has no callers: it can't learn the limit from the target.
    region.connected = set(region.fleet.hosts)
    added = region.fleet.add('h900', 'n-1')
    added.scene.add('i-0')
    region.run(2, per_second=50)
    assert added.scene.targets.find('i-0').pushback.limit.per_second == 1.2


def test_hosts_that_all_start_at_once_keep_a_limit():
    """Guards against hosts that each assume to be the only holder."""
    region = Region(24)
    region.limits['i-0'] = 1.2
    since = region.now + CONTACT_SECONDS
    region.run(30, per_second=50)
    assert region.most('i-0', since) <= allowed(1.2)


def test_lowered_limit_binds_all_hosts():
    """Guards against shares of a larger limit that are spent later."""
    region = Region(24)
    region.run(5, per_second=100)
    region.limits['i-0'] = 20.0
    region.run(10, per_second=100)
    region.limits['i-0'] = 1.2
    since = region.now + CONTACT_SECONDS
    region.run(20, per_second=100)
    assert region.most('i-0', since) <= allowed(1.2)
