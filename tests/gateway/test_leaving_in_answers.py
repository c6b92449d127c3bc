"""Targets that say in their answers that they leave."""

import time

from tests.gateway.deployment import pause
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, start
from tests.gateway.target_standin import echoed

# The platform's bound on requests to a target after its word.
LEFT_SECONDS = 3.0


class Leaver:
    """Say in all answers that the target leaves, and keep arrivals."""

    def __init__(self):
        self.told_at = None
        self.arrivals = []

    async def serve(self, target, request, writer):
        """Answer with the word."""
        now = time.monotonic()
        self.told_at = self.told_at or now
        self.arrivals.append(now)
        target.executed.append(request)
        headers = [*echoed(request), ('Server-Leaving', '1')]
        writer.write(Reply(200, headers, target.instance.encode()).wire())
        await writer.drain()
        return True


def test_target_that_said_it_leaves_gets_no_more_while_the_store_is_away(
    deployment,
):
    """Guards against hosts that go by the record alone, which can't change."""
    start(deployment, hosts=2, targets=['i-1', 'i-2', 'i-3'])
    leaver = Leaver()
    deployment.targets['i-1'].script = leaver.serve
    deployment.store.is_down = True
    with Callers(deployment, '/d/x', count=4):
        pause(LEFT_SECONDS + 3)
        late = [at for at in leaver.arrivals if at > leaver.told_at + 3]
        deployment.store.is_down = False
        pause(3)
    after = [at for at in leaver.arrivals if at > leaver.told_at + 3]
    assert late == []
    # Its record still says ready once the store is back.
    assert after == []
