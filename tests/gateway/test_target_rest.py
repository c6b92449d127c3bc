"""Targets that turn requests away and ask for a rest."""

import time

import pytest

from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, start

REST_SECONDS = 3.0
# What the platform allows from one host, from this time after the word on.
NOTICE_SECONDS = 0.5
ALLOWED = 2


class Resting:
    """Turn all requests away for a while, and keep when they came."""

    def __init__(self):
        self.arrivals = []

    async def serve(self, target, request, writer):
        """Refuse, and ask for a rest."""
        self.arrivals.append(time.monotonic())
        headers = [('Not-Executed', '1'), ('Retry-After', f'{REST_SECONDS}')]
        writer.write(Reply(503, headers).wire())
        await writer.drain()
        return True

    def most_in_a_rest(self):
        """Return the most arrivals in the rest after any refusal."""
        return max(
            (
                sum(
                    told_at + NOTICE_SECONDS < at < told_at + REST_SECONDS
                    for at in self.arrivals
                )
                for told_at in self.arrivals
            ),
            default=0,
        )


@pytest.mark.parametrize('resting_count', [1, 3, 4])
def test_target_that_asked_for_a_rest_gets_none_of_its_host(
    deployment, resting_count
):
    """Guards against a pause of our own that is shorter than the target's."""
    targets = ['i-1', 'i-2', 'i-3', 'i-4']
    start(deployment, hosts=1, targets=targets)
    resting = {name: Resting() for name in targets[:resting_count]}
    for name, one in resting.items():
        deployment.targets[name].script = one.serve
    with Callers(deployment, '/d/x', count=6, pause_seconds=0.005) as callers:
        pause(4 * REST_SECONDS)
    most = max(one.most_in_a_rest() for one in resting.values())
    assert most <= ALLOWED
    served = [one for _, one in callers.answers if one.status == 200]
    assert bool(served) is (resting_count < len(targets))
