"""Shares of the places of plain targets."""

from tools.ablations.model import Ablation

TESTS = 'tests/gateway/test_target_places.py'

PLACES = [
    Ablation(
        'places: a host keeps to its share of the places of a target',
        [
            (
                'placement/usable.py',
                '        return self.place_shares.select(found, objective, now)',
                '        return found',
            ),
        ],
        f'{TESTS}::test_targets_reject_little_at_110_percent',
    ),
    Ablation(
        'places: a busy host is lent the places of idle ones',
        [
            (
                'placement/place_shares.py',
                '        if not counted or self._is_cut_off():',
                '        if True:',
            ),
        ],
        f'{TESTS}::test_busy_host_uses_the_places_of_idle_ones',
    ),
    Ablation(
        'places: a host that is cut off is lent nothing',
        [
            (
                'placement/place_shares.py',
                '        if not counted or self._is_cut_off():',
                '        if not counted:',
            ),
        ],
        f'{TESTS}::test_cut_off_host_is_lent_nothing',
    ),
    Ablation(
        'places: nothing is lent after a full answer',
        [
            (
                'placement/concurrency_limit.py',
                '        self.full_at = now',
                '        pass',
            ),
        ],
        f'{TESTS}::test_nothing_is_lent_after_a_full_answer',
    ),
    Ablation(
        'places: lent places follow the demand',
        [
            (
                'placement/place_shares.py',
                '        if own >= self._demand_share(counted, now):',
                '        if False:',
            ),
        ],
        f'{TESTS}::test_targets_reject_little_when_load_steps_up',
    ),
    Ablation(
        'places: a host that hears nobody keeps to its share',
        [
            (
                'placement/place_shares.py',
                'return self._known if self._is_cut_off() else self._live',
                'return self._live',
            ),
        ],
        f'{TESTS}::test_host_that_hears_nobody_keeps_to_its_share',
    ),
    Ablation(
        'places: a starting host does not use places of hosts it has not heard',
        [
            (
                'placement/place_shares.py',
                '            return min(STARTING_PLACES, share)',
                '            return places',
            ),
        ],
        f'{TESTS}::test_restart_of_all_hosts_at_the_peak_fills_no_target',
    ),
    Ablation(
        'places: full answers lower the limit of a target',
        [
            (
                'placement/concurrency_limit.py',
                '        self._learned = lowered',
                '        self._learned = before',
            ),
        ],
        f'{TESTS}::test_full_answers_lower_the_limit_and_accepted_calls_raise_it',
    ),
    Ablation(
        'places: the wait in a queue is no part of the time per call',
        [
            (
                'proxy/in_flight_load.py',
                '    return seconds * slots / max(slots, in_flight + 1)',
                '    return seconds',
            ),
        ],
        f'{TESTS}::test_time_in_the_queue_does_not_count_as_time_per_call',
    ),
    Ablation(
        'places: a region without a free place is not reported',
        [
            (
                'placement/choice.py',
                '            for target in self._usable.find(\n'
                '                service, (), now, is_urgent=is_urgent\n',
                '            for target in self._usable._find_admitted(\n'
                '                service, (), now, is_urgent=is_urgent\n',
            ),
        ],
        f'{TESTS}::test_region_without_free_place_is_not_reported',
    ),
    Ablation(
        'places: a call that is placed repeatedly takes one retry time',
        [
            (
                'placement/usable.py',
                '        if request.retry_at <= now:',
                '        if True:',
            ),
        ],
        f'{TESTS}::test_call_that_is_placed_repeatedly_takes_one_retry_time',
    ),
]
