"""Targets that recover from a failure get their share of requests again."""

import time

import pytest

from jacinthfold.placement import limits
from tests.gateway import target_standin as standin
from tests.gateway.deployment import pause, route, wait_served
from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import Callers, start

TARGETS = ('i-1', 'i-2', 'i-3', 'i-4')
FAILING = TARGETS[:3]
FAILING_SECONDS = 4.0
# From this time after its last failure on, a target gets at least half of its
# fair share.
RECOVERY_SECONDS = 5.0
MEASURED_SECONDS = 4.0
CALL_SECONDS = 0.05


async def reject_with_backoff(_target, request, writer):
    """Reject with a backoff that ends when the target recovers."""
    headers = [*standin.not_executed(request), ('Retry-After', '2')]
    writer.write(Reply(503, headers).wire())
    return True


KINDS = {
    'rest': reject_with_backoff,
    'refuse': standin.refuse,
    'error': standin.fail,
}


class CountingTarget:
    """Serve requests and record their times."""

    def __init__(self):
        self.served = []

    async def serve(self, target, request, writer):
        """Answer after a delay."""
        self.served.append(time.monotonic())
        script = standin.late(CALL_SECONDS, standin.serve_plain)
        return await script(target, request, writer)


@pytest.mark.parametrize('kind', sorted(KINDS))
def test_targets_that_serve_again_get_their_share(deployment, kind):
    """Guards against targets that get no requests after they recovered."""
    start(deployment, hosts=4, targets=TARGETS)
    targets = {name: CountingTarget() for name in TARGETS}
    with Callers(deployment, '/d/x', count=16, pause_seconds=0.005):
        for name in TARGETS:
            deployment.targets[name].script = targets[name].serve
        pause(1)
        for name in FAILING:
            deployment.targets[name].script = KINDS[kind]
        pause(FAILING_SECONDS)
        for name in FAILING:
            deployment.targets[name].script = targets[name].serve
        pause(RECOVERY_SECONDS)
        since = time.monotonic()
        pause(MEASURED_SECONDS)
    counts = {
        name: sum(at >= since for at in one.served)
        for name, one in targets.items()
    }
    fair = sum(counts.values()) / len(TARGETS)
    assert min(counts.values()) >= fair / 2, counts


def test_errors_of_calls_that_may_run_only_once_count_as_failures(deployment):
    """Guards against a target that attracts calls by failing quickly.

    The error of a call that can't be repeated goes to its caller, and was
    counted as an answer served.
    """
    start(deployment, hosts=1, targets=('i-1', 'i-2'))
    deployment.put_routes(
        route('/d/', 'desk', 'idempotent'), route('/order/', 'desk')
    )
    wait_served(deployment, 'h-0', '/order/x')
    deployment.targets['i-1'].script = standin.fail
    late_script = standin.late(CALL_SECONDS, standin.serve_plain)
    deployment.targets['i-2'].script = late_script
    answers = [deployment.ask('h-0', '/order/x').status for _ in range(60)]
    # Some more than eject it: each trial may lose one.
    assert answers.count(500) <= limits.FAILURES_TO_EJECT + 3
    assert answers.count(200) + answers.count(500) == len(answers)
