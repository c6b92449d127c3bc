"""Safeguards of large regions, whose heartbeats go through collectors."""

from tools.ablations.model import Ablation

GATEWAY = 'tests/gateway/'
COLLECTORS = 'tests/gateway/test_collectors.py'
CHOICE = 'tests/gateway/test_choice.py'
ODD = 'tests/gateway/test_odd_records.py'

LARGE_FLEETS = [
    Ablation(
        'collectors: datagrams per host do not grow with its region',
        [
            (
                'fleet/heartbeats.py',
                'is_collected=self._collectors.are_used()',
                'is_collected=False',
            ),
        ],
        COLLECTORS + '::test_received_datagrams_do_not_grow_with_region_size',
    ),
    Ablation(
        'collectors: a host that no digest includes sends to all itself',
        [
            (
                'fleet/heartbeats.py',
                '        if self._digest_view.includes_own():\n            self._send_to(self._hosts.entries',
                '        if names:\n            self._send_to(self._hosts.entries',
            ),
        ],
        COLLECTORS,
    ),
    Ablation(
        'collectors: own requests count once beside the digest sums',
        [
            (
                'fleet/digests.py',
                'return self.own_loads.at(summary.heartbeat_number)',
                'return {}',
            ),
        ],
        COLLECTORS + '::test_digest_sums_equal_the_sum_over_all_hosts',
    ),
    Ablation(
        'collectors: a digest of few hosts does not replace one of many',
        [
            (
                'fleet/digests.py',
                'return is_covering and one.rank < other.rank',
                'return one.rank <= other.rank',
            ),
        ],
        COLLECTORS + '::test_digest_of_a_resumed_collector_is_not_preferred',
    ),
    Ablation(
        'collectors: data centres reconnect after a partition',
        [
            (
                'fleet/digest_exchange.py',
                'count = min(FALLBACK_FANOUT, len(entries))',
                'count = 0',
            ),
        ],
        COLLECTORS + '::test_data_centres_reconnect_after_a_partition',
    ),
    Ablation(
        "collectors: totals of two collectors aren't compared",
        [
            (
                'placement/targets.py',
                'is_same_source = self._totals_sources.get(reporter) == source',
                'is_same_source = True',
            ),
        ],
        COLLECTORS + '::test_totals_of_two_collectors_are_not_compared',
    ),
    Ablation(
        'collectors: hosts without digest support get all heartbeats',
        [
            (
                'fleet/collectors.py',
                ' and hosts.all_live_support_digests()',
                '',
            ),
        ],
        COLLECTORS
        + '::test_host_without_digest_support_gets_heartbeats_directly',
    ),
    Ablation(
        'gateway: plain calls are relayed from a region with a queue',
        [
            (
                'placement/choice.py',
                'is_engine:\n            return True',
                'is_engine:\n            return False',
            ),
        ],
        CHOICE,
    ),
    Ablation(
        'gateway: choices have jitter for the unreported load of other hosts',
        [
            (
                'placement/choice.py',
                'self._random.uniform(0, jitter_seconds)',
                'self._random.uniform(0, 0.004)',
            ),
        ],
        GATEWAY + 'test_herd.py',
    ),
    Ablation(
        'gateway: one copy source of each kind is used',
        [
            (
                'placement/estimates.py',
                '                cached,\n'
                '                target.record.data_centre,\n',
                "                cached,\n                '',\n",
            ),
        ],
        CHOICE,
    ),
    Ablation(
        'records: ports are bounded where they are read',
        [
            (
                'catalogue/host_codec.py',
                '    ports: tuple[Port, Port, Port]',
                '    ports: tuple[int, int, int]',
            ),
        ],
        f'{ODD}::test_host_with_a_value_out_of_range_is_unreadable',
    ),
    Ablation(
        'records: numbers of crashes are bounded where they are read',
        [('quarantine/crashes.py', '    at_ms: Number', '    at_ms: int')],
        f'{ODD}::test_any_crash_that_is_read_can_be_passed_on',
    ),
    Ablation(
        'socket: a closed one is opened again',
        [
            (
                'fleet/datagram_socket.py',
                '            if not self.is_open:',
                '            if not self._endpoint:',
            ),
        ],
        f'{ODD}::test_closed_socket_is_opened_again',
    ),
    Ablation(
        'socket: endpoints that close it are left out',
        [
            (
                'fleet/datagram_socket.py',
                '        elif is_endpoint(*endpoint):',
                '        elif endpoint:',
            ),
        ],
        f'{ODD}::test_closed_socket_is_opened_again',
    ),
    Ablation(
        'records: a host writes its overwritten record again',
        [
            (
                'catalogue/follower.py',
                '            if self._is_overwritten:',
                '            if self._has_left:',
            ),
        ],
        f'{ODD}::test_host_whose_record_was_overwritten_stays_in_touch',
    ),
    Ablation(
        'records: a host that is heard overrules what the store says of it',
        [
            (
                'fleet/table.py',
                '            if entry.is_confirmed:\n                return\n            entry.replace',
                '            if entry:\n                return\n            entry.replace',
            ),
        ],
        f'{ODD}::test_host_whose_record_was_overwritten_stays_in_touch',
    ),
]
