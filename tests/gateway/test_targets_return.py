"""Targets that failed for a while and serve again get their share."""

import time

import pytest

from tests.gateway import target_standin as standin
from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, start

TARGETS = ('i-1', 'i-2', 'i-3', 'i-4')
FAILING = TARGETS[:3]
FAILING_SECONDS = 4.0
# At least half of its fair share so long after its last failure, for the rest
# of the time.
BACK_SECONDS = 5.0
SEEN_SECONDS = 4.0
CALL_SECONDS = 0.05


async def reject_with_backoff(_target, _request, writer):
    """Refuse and ask for a rest that ends with the failure."""
    headers = [('Not-Executed', '1'), ('Retry-After', '2')]
    writer.write(Reply(503, headers).wire())
    return True


KINDS = {
    'rest': reject_with_backoff,
    'refuse': standin.refuse,
    'error': standin.fail,
}


class Counted:
    """Serve, and keep when."""

    def __init__(self):
        self.served = []

    async def serve(self, target, request, writer):
        """Answer after a while."""
        self.served.append(time.monotonic())
        script = standin.late(CALL_SECONDS, standin.serve_plain)
        return await script(target, request, writer)


@pytest.mark.parametrize('kind', sorted(KINDS))
def test_targets_that_serve_again_get_their_share(deployment, kind):
    """Guards against targets that nobody asks again after they failed."""
    start(deployment, hosts=4, targets=TARGETS)
    counted = {name: Counted() for name in TARGETS}
    with Callers(deployment, '/d/x', count=16, pause_seconds=0.005):
        for name in TARGETS:
            deployment.targets[name].script = counted[name].serve
        pause(1)
        for name in FAILING:
            deployment.targets[name].script = KINDS[kind]
        pause(FAILING_SECONDS)
        for name in FAILING:
            deployment.targets[name].script = counted[name].serve
        pause(BACK_SECONDS)
        since = time.monotonic()
        pause(SEEN_SECONDS)
    counts = {
        name: sum(at >= since for at in one.served)
        for name, one in counted.items()
    }
    fair = sum(counts.values()) / len(TARGETS)
    assert min(counts.values()) >= fair / 2, counts
