"""Targets that limit the request rate of all hosts together."""

import time

from jacinthfold.placement.request_limit import RequestLimit
from tests.gateway.deployment import pause
from tests.gateway.limited_targets import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    Callers,
    LimitedTarget,
    allowed,
    most_in_a_window,
    start,
)


def test_only_an_answer_to_a_later_request_ends_a_limit():
    """Guards against a limit that an earlier answer, arriving late, ends."""
    limit = RequestLimit('i-1')
    limit.record_answer(1.5, sent_at=1.0, now=2.0)
    limit.record_answer(None, sent_at=1.9, now=2.1)
    assert limit.per_second == 1.5
    limit.record_answer(None, sent_at=2.05, now=2.2)
    assert limit.per_second is None


def test_hosts_together_keep_to_a_target_limit(deployment):
    """Guards against hosts that exceed a target's limit together."""
    start(deployment, hosts=3, targets=['i-1', 'i-2', 'i-3'])
    limited_target = LimitedTarget(1.2)
    deployment.targets['i-1'].script = limited_target.serve
    with Callers(deployment, '/d/x', count=6) as callers:
        pause(CONTACT_SECONDS + 2 * WINDOW_SECONDS)
    assert limited_target.first_sent_at is not None
    since = limited_target.first_sent_at + CONTACT_SECONDS
    assert most_in_a_window(limited_target.arrivals, since) <= allowed(1.2)
    served = [answer for at, answer in callers.answers if answer.status == 200]
    assert len(served) == len(callers.answers)
    assert time.monotonic() > since
