"""Requests that wait for capacity, and the return of rejected callers."""

from tools.ablations.model import Ablation

GATEWAY = 'tests/gateway/'
DRIVER = GATEWAY + 'test_waiting_driver.py::'
QUEUE = GATEWAY + 'test_waiting_queue.py::'

WAITING = [
    Ablation(
        'gateway: requests wait at a plain service above its capacity',
        [
            (
                'proxy/waiting.py',
                '        return self._bounds.limit_requests > 0',
                '        return False',
            ),
        ],
        GATEWAY
        + 'test_waiting_replay.py::test_plain_service_above_its_capacity',
    ),
    Ablation(
        'gateway: requests wait during a step on engines',
        [
            (
                'proxy/waiting.py',
                '        return self._bounds.limit_requests > 0',
                '        return False',
            ),
        ],
        GATEWAY + 'test_waiting_replay.py::test_step_on_engines',
    ),
    Ablation(
        'gateway: waiting requests keep lower priorities back',
        [
            (
                'placement/waiting_queue.py',
                '        return self.priority < other.priority',
                '        return False',
            ),
        ],
        QUEUE + 'test_blocked_request_keeps_lower_priorities_back',
    ),
    Ablation(
        'gateway: a large prompt that waited goes first in its priority',
        [
            (
                'placement/waiting_queue.py',
                '        is_overdue = self.overdue_at <= now',
                '        is_overdue = False',
            ),
        ],
        QUEUE + 'test_large_request_goes_first_when_overdue',
    ),
    Ablation(
        'gateway: the rest of a blocked class is not tried',
        [
            (
                'placement/waiting_queue.py',
                '            self._blocked.add(request.request_class)',
                '            pass',
            ),
        ],
        QUEUE + 'test_rest_of_a_blocked_class_is_not_tried_in_the_same_turn',
    ),
    Ablation(
        'gateway: a request that ended leaves the queue',
        [
            (
                'proxy/waiting.py',
                '        self._queue_of(place.request).remove(entry)',
                '',
            ),
        ],
        DRIVER + 'test_cancelled_request_leaves_the_queue',
    ),
    Ablation(
        'gateway: a request is not held without a likely turn',
        [
            (
                'placement/placement_rates.py',
                '    return max(0.0, min(useful_seconds, cautious_seconds))',
                '    return useful_seconds',
            ),
        ],
        DRIVER + 'test_request_is_not_held_in_vain',
    ),
    Ablation(
        'gateway: a relayed request waits no longer than the trip',
        [
            (
                'proxy/waiting.py',
                '        if request.is_relayed:',
                '        if False:',
            ),
        ],
        DRIVER + 'test_relayed_request_waits_no_longer_than_the_trip',
    ),
    Ablation(
        'gateway: no request waits past the grace period',
        [
            (
                'proxy/waiting.py',
                '            queue.limit_wait(ends_at)',
                '            pass',
            ),
        ],
        DRIVER + 'test_grace_period_ends_a_wait',
    ),
    Ablation(
        'gateway: the key of a waiting request is checked in its turn',
        [
            (
                'proxy/admitted_placement.py',
                '        """Admit and place a waiting request again, as a new one."""\n        if self._admission.is_rejected(request, progress):',
                '        if False:',
            ),
        ],
        GATEWAY
        + 'test_waiting.py::test_key_taken_away_while_its_request_waits',
    ),
    Ablation(
        'gateway: rejected callers return at the rate of placements',
        [
            (
                'placement/retry_schedule.py',
                '        self._next_at[request_class] = min(next_at, now + longest)\n',
                '',
            ),
        ],
        GATEWAY
        + 'test_return_schedule.py::test_returns_arrive_at_the_rate_of_placements',
    ),
]
