"""Targets that name how many requests they take from all hosts together."""

import time

from jacinthfold.placement.request_limit import RequestLimit
from tests.gateway.deployment import pause
from tests.gateway.limited_targets import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    Callers,
    Need,
    allowed,
    most_in_a_window,
    start,
)


def test_only_an_answer_to_a_later_request_ends_a_limit():
    """Guards against a limit that an overtaken answer lifts too soon."""
    limit = RequestLimit('i-1')
    limit.record_answer(1.5, sent_at=1.0, now=2.0)
    limit.record_answer(None, sent_at=1.9, now=2.1)
    assert limit.per_second == 1.5
    limit.record_answer(None, sent_at=2.05, now=2.2)
    assert limit.per_second is None


def test_hosts_together_keep_to_a_target_limit(deployment):
    """Guards against hosts that go on sending to a target in need."""
    start(deployment, hosts=3, targets=['i-1', 'i-2', 'i-3'])
    need = Need(1.2)
    deployment.targets['i-1'].script = need.serve
    with Callers(deployment, '/d/x', count=6) as callers:
        pause(CONTACT_SECONDS + 2 * WINDOW_SECONDS)
    assert need.named_at is not None
    since = need.named_at + CONTACT_SECONDS
    assert most_in_a_window(need.arrivals, since) <= allowed(1.2)
    served = [answer for at, answer in callers.answers if answer.status == 200]
    assert len(served) == len(callers.answers)
    assert time.monotonic() > since
