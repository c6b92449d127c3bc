"""Safeguards of the retry budget, of stops and of connections' turns."""

from tools.ablations.model import Ablation

BUDGET = 'tests/gateway/test_retry_budget.py'
CHARGED = 'tests/gateway/test_repeats_charged.py'
STOP = 'tests/gateway/test_late_in_a_stop.py'
CHUNKS = 'tests/gateway/test_small_chunks.py'
FLEET = f'{BUDGET}::test_repeats_of_a_fleet_stay_within_the_budget_whatever_hosts_know'

REPEATS = [
    Ablation(
        'budget: the slack is split among many before all hosts are known',
        [
            (
                'placement/budget.py',
                '        least = MIN_HOSTS if self._is_counted else MAX_HOSTS',
                '        least = MIN_HOSTS',
            ),
        ],
        FLEET,
    ),
    Ablation(
        'budget: the requests of the last window set the capacity',
        [
            (
                'placement/budget.py',
                '        self._tokens = min(capacity, self._tokens + refill)',
                '        self._tokens += refill',
            ),
        ],
        f'{BUDGET}::test_tokens_go_with_the_load_that_they_came_from',
    ),
    Ablation(
        'budget: a count of hosts is not current without the store',
        [
            (
                'placement/budget.py',
                '        if not is_current:',
                '        if False:',
            ),
        ],
        f'{BUDGET}::test_slack_is_not_shared_out_before_all_hosts_can_be_known',
    ),
    Ablation(
        'budget: what a rejected send is followed by is charged',
        [
            (
                'proxy/progress.py',
                '        if not outcome.is_unsent:',
                '        if outcome.ending is not Ending.NOT_RUN:',
            ),
        ],
        CHARGED,
    ),
    Ablation(
        'stop: requests end before the process does',
        [
            (
                'gateway/node.py',
                '        self._time_limits.begin_drain(self._drain.ends_at)\n',
                '',
            ),
        ],
        f'{STOP}::test_request_taken_while_stopping_gets_an_answer',
    ),
    Ablation(
        'stop: streams that may not be repeated need time to spare',
        [
            (
                'gateway/drain.py',
                'UNREPEATABLE_MARGIN = 2.0',
                'UNREPEATABLE_MARGIN = 1.0',
            ),
        ],
        'tests/gateway/test_drain.py::test_unrepeatable_stream_is_taken_on_with_time_to_spare',
    ),
    Ablation(
        'turns: a body of tiny chunks is malformed',
        [
            (
                'transport/chunk_framing.py',
                '        if self._chunks <= FREE_CHUNKS:',
                '        if self._chunks:',
            ),
        ],
        f'{CHUNKS}::test_body_whose_chunks_hold_a_byte_each_is_malformed',
    ),
    Ablation(
        'turns: a connection whose bytes take long pauses',
        [
            (
                'transport/turns.py',
                '        return self._seconds >= LONG_TURN_SECONDS',
                '        return False',
            ),
            (
                'transport/chunk_framing.py',
                '        if self._chunks <= FREE_CHUNKS:',
                '        if self._chunks:',
            ),
        ],
        f'{CHUNKS}::test_target_that_sends_bytes_apart_stops_no_other_request',
    ),
    Ablation(
        'serve: a host ends whatever its peers answer',
        [
            (
                'serve/peers.py',
                'LAST_EXCHANGE_SECONDS = 1.0',
                'LAST_EXCHANGE_SECONDS = 60.0',
            ),
            (
                'serve/peers.py',
                '        except TimeoutError:\n            closing.cancel()\n',
                '        except ValueError:\n            closing.cancel()\n',
            ),
        ],
        'tests/test_life_cycle.py::test_host_ends_while_its_peers_are_frozen',
    ),
]
