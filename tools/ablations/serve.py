"""Safeguards of entry hosts that operators run by plans."""

from tools.ablations.model import Ablation

LIFE = 'tests/test_life_cycle.py::'
MATRIX = 'tests/test_matrix.py::'
CONFIGURATION = 'tests/test_configuration.py::'
PARTITION = 'tests/test_partition.py::'
NOBODY = 'tests/test_nobody_in.py::'
WHOLE = 'tests/test_whole_path.py::'

SERVE = [
    Ablation(
        'runs at most once: no connection is used twice',
        [
            (
                'serve/relay.py',
                '        if not attempt.is_repeatable:\n            refuse_reuse(curl)',
                '        if False:\n            refuse_reuse(curl)',
            ),
        ],
        LIFE + 'test_order_cut_without_answer_is_told_unknown',
    ),
    Ablation(
        'runs at most once: orders to engines are not resent',
        [
            (
                'serve/client.py',
                "        if call.method != 'GET':\n            refuse_reuse(curl)",
                '        if False:\n            refuse_reuse(curl)',
            ),
        ],
        LIFE + 'test_order_whose_answer_is_lost_is_read_back',
    ),
    Ablation(
        'runs at most once: the owner remembers its keys',
        [
            (
                'serve/keys.py',
                '            if record:\n',
                '            if False:\n',
            )
        ],
        WHOLE + 'test_order_retried_at_another_host_runs_once',
    ),
    Ablation(
        'runs at most once: a retry goes to the owner',
        [
            (
                'serve/once.py',
                'if claim.incarnation == self._members.own.incarnation:',
                'if True:',
            ),
        ],
        WHOLE + 'test_order_retried_at_another_host_runs_once',
    ),
    Ablation(
        'told not run means not run: a sent request is unknown',
        [
            (
                'serve/relay.py',
                'return Ending.UNKNOWN if request_sent else Ending.NOT_RUN',
                'return Ending.NOT_RUN',
            ),
        ],
        MATRIX + 'test_order_runs_at_most_once[desk-1-body sent-reset]',
    ),
    Ablation(
        'residency: callers at a wrong region are refused',
        [
            (
                'serve/front.py',
                'if current is None or region not in current.regions:',
                'if False:',
            ),
        ],
        NOBODY + 'test_bound_data_is_refused_outside_its_region',
    ),
    Ablation(
        'residency: neither end of a spill lets bound data through',
        [
            (
                'serve/spill.py',
                '            and member.region in organisation.regions\n',
                '',
            ),
            (
                'serve/relayed.py',
                'if found is None or self._settings.host.region not in found.regions:',
                'if found is None:',
            ),
        ],
        LIFE + 'test_full_home_spills_once_and_never_for_bound_data',
    ),
    Ablation(
        'whole answer: only whole events leave',
        [
            (
                'serve/relay.py',
                "        if payload.endswith(EVENT_END):\n            self._pending = b''",
                "        if True:\n            self._pending = b''",
            ),
        ],
        MATRIX + 'test_stream_comes_whole_through_one_fault[middle-cut half]',
    ),
    Ablation(
        'whole answer: a stream needs its end marker',
        [
            (
                'serve/relay.py',
                'return self._is_stream and not self._stream_ended',
                'return False',
            ),
        ],
        LIFE + 'test_stream_that_ends_without_its_marker_is_resumed',
    ),
    Ablation(
        'whole answer: a resumed stream goes on after the last token',
        [
            (
                'serve/serving.py',
                "document['resume_after_tokens'] = run.delivered_events",
                "document['resume_after_tokens'] = 0",
            ),
        ],
        MATRIX + 'test_stream_comes_whole_through_one_fault[middle-kill]',
    ),
    Ablation(
        'whole answer: an echoed identifier must be the own one',
        [
            (
                'serve/relay.py',
                "self.crossed = echoed not in {None, '', self._attempt.request_id}",
                'self.crossed = False',
            ),
        ],
        LIFE + 'test_answer_to_another_request_never_reaches_the_caller',
    ),
    Ablation(
        'configuration never reverts: older snapshots are refused',
        [
            (
                'serve/configuration.py',
                'if deployment.revision <= self.revision:',
                'if False:',
            ),
            (
                'serve/revisions.py',
                'if head.revision > self._configuration.revision:',
                'if True:',
            ),
            (
                'serve/revisions.py',
                'if self._configuration.offer_changes(head.changes):',
                'if head.changes and self._configuration.offer_changes(head.changes):',
            ),
        ],
        CONFIGURATION + 'test_store_that_lost_everything_reverts_nothing',
    ),
    Ablation(
        'configuration: a paused host refuses until it has met its peers',
        [
            (
                'serve/node.py',
                'return self._is_joined and paused_seconds < PAUSE_LIMIT_SECONDS',
                'return self._is_joined',
            ),
        ],
        PARTITION + 'test_thawed_host_waits_for_news_before_it_serves',
    ),
    Ablation(
        'configuration: conflicting plans',
        [('serve/revisions.py', '    if touched:\n', '    if False:\n')],
        CONFIGURATION + 'test_two_operators_confirm_at_once_and_one_wins',
    ),
    Ablation(
        'configuration: a lost confirmation is found by its identifier',
        [
            (
                'serve/revisions.py',
                'if earlier.plan_id == plan_id:',
                'if False:',
            ),
        ],
        CONFIGURATION
        + 'test_confirmation_whose_answer_is_lost_takes_effect_once',
    ),
    Ablation(
        'no loop: a request that came from a peer is not passed on',
        [('serve/relayed.py', '        work.hops = 1\n', '')],
        LIFE + 'test_two_full_regions_do_not_pass_requests_to_and_fro',
    ),
    Ablation(
        'a cut-off region serves: readiness does not need the store',
        [
            (
                'serve/node.py',
                'return self._is_joined and paused_seconds < PAUSE_LIMIT_SECONDS',
                'return self._is_joined and self.watcher.is_store_reachable',
            ),
        ],
        PARTITION + 'test_region_cut_off_from_all_serves_its_own',
    ),
    Ablation(
        'leaving targets: reports decide',
        [
            (
                'serve/views.py',
                'and self.report.state in {ReportState.ACTIVE, ReportState.UNKNOWN}',
                'and True',
            ),
        ],
        LIFE + 'test_target_that_leaves_by_itself_gets_no_new_work',
    ),
    Ablation(
        'leaving targets: the list of hosts is heeded',
        [
            (
                'serve/views.py',
                '            and not self.is_listed_leaving\n',
                '',
            )
        ],
        LIFE + 'test_target_listed_as_leaving_gets_no_new_work',
    ),
    Ablation(
        'planned stop: an entry host ends what is in flight',
        [
            (
                'serve/node.py',
                '        while self.in_flight.works():\n',
                '        while False:\n',
            )
        ],
        LIFE + 'test_entry_host_stops_without_cutting_a_stream',
    ),
    Ablation(
        'planned stop: a target is ordered to stop once it is idle',
        [
            (
                'serve/orders.py',
                'if not self._is_quiet(target, report):',
                'if False:',
            )
        ],
        LIFE + 'test_target_told_to_stop_is_ordered_so_once_it_is_idle',
    ),
    Ablation(
        'limits hold across entry hosts',
        [
            (
                'serve/limits.py',
                'organisation.limit_requests_per_second * self.share(',
                'organisation.limit_requests_per_second * _whole(self.share)(',
            ),
            (
                'serve/limits.py',
                'class LimitError(Exception):',
                'def _whole(_):\n    return lambda *args: 1.0\n\n\n'
                'class LimitError(Exception):',
            ),
        ],
        CONFIGURATION + 'test_limit_holds_across_entry_hosts',
    ),
    Ablation(
        'nobody in: dot segments',
        [
            (
                'serve/reading.py',
                "if DOT_SEGMENTS & set(request.path.split('/')):",
                'if False:',
            ),
            ('serve/client.py', 'curl.setopt(pycurl.PATH_AS_IS, 1)', 'pass'),
        ],
        NOBODY + 'test_malformed_request_never_reaches_a_target[path climbing]',
    ),
    Ablation(
        'nobody in: a slow head has a deadline',
        [
            (
                'serve/server.py',
                '        if self.deadline:\n',
                '        if False:\n',
            )
        ],
        NOBODY + 'test_slow_sender_is_cut_by_the_deadline_of_the_head',
    ),
    Ablation(
        'silent links are replaced',
        [
            (
                'serve/peers.py',
                '            self._drop(place)\n            logs',
                '            logs',
            )
        ],
        PARTITION + 'test_silent_links_are_replaced_by_new_ones',
    ),
    Ablation(
        'a silent connection to a target is given up in time',
        [
            (
                'serve/serving.py',
                'return min(work.deadline, self._clock.monotonic() + seconds)',
                'return work.deadline',
            ),
        ],
        MATRIX + 'test_stream_comes_whole_through_one_fault[head sent-silent]',
    ),
]
