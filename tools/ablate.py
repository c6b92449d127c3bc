"""Take safeguards out of a copy, one at a time, and see their tests fail.

A proof that passes with its safeguard gone proves nothing. The copy lies in a
temporary folder; the project's own files are not touched.
"""

import json
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COPIED = ('jacinthfold', 'tests', 'tools', 'pyproject.toml', 'KNOWN-RED.txt')


class Ablation:
    """Name a safeguard, how to take it out, and the test that must fail."""

    def __init__(
        self, promise: str, edits: list[tuple[str, str, str]], test: str
    ) -> None:
        self.promise = promise
        self.edits = edits
        self.test = test


LIFE = 'tests/test_life_cycle.py::'
MATRIX = 'tests/test_matrix.py::'
CONFIGURATION = 'tests/test_configuration.py::'
PARTITION = 'tests/test_partition.py::'
NOBODY = 'tests/test_nobody_in.py::'
WHOLE = 'tests/test_whole_path.py::'
GATEWAY = 'tests/gateway/'

ABLATIONS = [
    Ablation(
        'runs at most once: no connection is used twice',
        [
            (
                'relay.py',
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
                'client.py',
                "        if call.method != 'GET':\n            refuse_reuse(curl)",
                '        if False:\n            refuse_reuse(curl)',
            ),
        ],
        LIFE + 'test_order_whose_answer_is_lost_is_read_back',
    ),
    Ablation(
        'runs at most once: the owner remembers its keys',
        [('keys.py', '            if record:\n', '            if False:\n')],
        WHOLE + 'test_order_retried_at_another_host_runs_once',
    ),
    Ablation(
        'runs at most once: a retry goes to the owner',
        [
            (
                'once.py',
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
                'relay.py',
                '    elif not turned.request_sent:\n',
                '    elif True:\n',
            ),
        ],
        MATRIX + 'test_order_runs_at_most_once[desk-1-body sent-reset]',
    ),
    Ablation(
        'residency: callers at a wrong region are refused',
        [
            (
                'front.py',
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
                'spill.py',
                '            and member.region in organisation.regions\n',
                '',
            ),
            (
                'relayed.py',
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
                'relay.py',
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
                'relay.py',
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
                'serving.py',
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
                'relay.py',
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
                'configuration.py',
                'if deployment.revision <= self.revision:',
                'if False:',
            ),
            (
                'revisions.py',
                'if head.revision > self._configuration.revision:',
                'if True:',
            ),
            (
                'revisions.py',
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
                'node.py',
                'return self._is_joined and paused_seconds < PAUSE_LIMIT_SECONDS',
                'return self._is_joined',
            ),
        ],
        PARTITION + 'test_thawed_host_waits_for_news_before_it_serves',
    ),
    Ablation(
        'configuration: conflicting plans',
        [('revisions.py', '    if touched:\n', '    if False:\n')],
        CONFIGURATION + 'test_two_operators_confirm_at_once_and_one_wins',
    ),
    Ablation(
        'configuration: a lost confirmation is found by its identifier',
        [
            (
                'revisions.py',
                'if earlier.plan_id == plan_id:',
                'if False:',
            ),
        ],
        CONFIGURATION
        + 'test_confirmation_whose_answer_is_lost_takes_effect_once',
    ),
    Ablation(
        'no loop: a request that came from a peer is not passed on',
        [('relayed.py', '        work.hops = 1\n', '')],
        LIFE + 'test_two_full_regions_do_not_pass_requests_to_and_fro',
    ),
    Ablation(
        'a cut-off region serves: readiness does not need the store',
        [
            (
                'node.py',
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
                'views.py',
                'and self.report.state in {ReportState.ACTIVE, ReportState.UNKNOWN}',
                'and True',
            ),
        ],
        LIFE + 'test_target_that_leaves_by_itself_gets_no_new_work',
    ),
    Ablation(
        'leaving targets: the list of hosts is heeded',
        [('views.py', '            and not self.is_listed_leaving\n', '')],
        LIFE + 'test_target_listed_as_leaving_gets_no_new_work',
    ),
    Ablation(
        'planned stop: an entry host ends what is in flight',
        [
            (
                'node.py',
                '        while self.in_flight.works():\n',
                '        while False:\n',
            )
        ],
        LIFE + 'test_entry_host_stops_without_cutting_a_stream',
    ),
    Ablation(
        'planned stop: a target is ordered to stop once it is idle',
        [('orders.py', 'if not self._is_quiet(target, report):', 'if False:')],
        LIFE + 'test_target_told_to_stop_is_ordered_so_once_it_is_idle',
    ),
    Ablation(
        'limits hold across entry hosts',
        [
            (
                'limits.py',
                'organisation.limit_requests_per_second * self.share(',
                'organisation.limit_requests_per_second * _whole(self.share)(',
            ),
            (
                'limits.py',
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
                'reading.py',
                "if DOT_SEGMENTS & set(request.path.split('/')):",
                'if False:',
            ),
            ('client.py', 'curl.setopt(pycurl.PATH_AS_IS, 1)', 'pass'),
        ],
        NOBODY + 'test_malformed_request_never_reaches_a_target[path climbing]',
    ),
    Ablation(
        'nobody in: a slow head has a deadline',
        [('server.py', '        if self.deadline:\n', '        if False:\n')],
        NOBODY + 'test_slow_sender_is_cut_by_the_deadline_of_the_head',
    ),
    Ablation(
        'silent links are replaced',
        [
            (
                'peers.py',
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
                'serving.py',
                'return min(work.deadline, self._clock.monotonic() + seconds)',
                'return work.deadline',
            ),
        ],
        MATRIX + 'test_stream_comes_whole_through_one_fault[head sent-silent]',
    ),
    Ablation(
        'gateway: a request that is out is not told not run',
        [
            (
                'proxy/delivery.py',
                '        self._progress.is_out = True',
                '        self._progress.is_out = False',
            ),
        ],
        GATEWAY
        + 'test_requests.py::test_deadline_of_a_request_that_is_out_is_no_refusal',
    ),
    Ablation(
        'gateway: a late answer of another request is passed over',
        [
            (
                'proxy/exchange.py',
                "while answer.facts.request_id not in {'', self._request_id}:",
                'while False:',
            ),
        ],
        GATEWAY
        + 'test_requests.py::test_late_answer_of_another_request_is_passed_over',
    ),
    Ablation(
        'gateway: a stream goes on behind the last whole event',
        [
            (
                'proxy/delivery.py',
                '            self._progress.last_event_id = splitter.last_event_id',
                "            self._progress.last_event_id = ''",
            ),
        ],
        GATEWAY + 'test_streams.py::test_cut_stream_goes_on_at_another_engine',
    ),
    Ablation(
        'gateway: one host alone paces a cold target',
        [
            (
                'placement/pace.py',
                '        return rank(target.record.instance, self._hosts)[0] == self._own_name',
                '        return True',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_cold_engine_gets_what_it_tolerates_over_all_hosts',
    ),
    Ablation(
        'gateway: a version never falls back',
        [
            (
                'catalogue/records.py',
                '        if self.routes is not None and table.version <= self.routes.version:',
                '        if False:',
            ),
        ],
        GATEWAY
        + 'test_translation.py::test_older_version_at_a_later_revision_is_ignored',
    ),
    Ablation(
        'gateway: crashed targets draw no requests',
        [
            (
                'placement/choice.py',
                '            and target.unreachable_until <= now',
                '',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_crashed_targets_don_t_draw_requests_from_other_regions',
    ),
    Ablation(
        'gateway: attempts elsewhere count like those at home',
        [
            (
                'proxy/relay_header.py',
                "        'max_attempts': 1,",
                "        'max_attempts': route.max_attempts,",
            ),
        ],
        GATEWAY
        + 'test_knowledge.py::test_attempts_in_other_regions_count_like_those_at_home',
    ),
    Ablation(
        'gateway: a leaving host refuses what it could not end',
        [
            (
                'gateway/leaving.py',
                '        return now + longest < self.ends_at',
                '        return True',
            ),
        ],
        GATEWAY
        + 'test_life.py::test_leaving_host_refuses_what_it_could_not_end',
    ),
    Ablation(
        'gateway: a repeat is held to the deadline, not to the aim',
        [
            (
                'placement/choice.py',
                '        if is_repeat:',
                '        if False:',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_cut_stream_is_placed_again_after_its_aim',
    ),
    Ablation(
        'gateway: prompts with a shared part stay together',
        [
            (
                'placement/limits.py',
                'KEEPERS = 2',
                'KEEPERS = 0',
            ),
        ],
        GATEWAY + 'test_placement.py::test_peak_of_a_region_with_many_hosts',
    ),
    Ablation(
        'gateway: a busy keeper is copied from',
        [
            (
                'placement/limits.py',
                'COPY_AT_LEAST_TOKENS = 2000',
                'COPY_AT_LEAST_TOKENS = 10**9',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_busy_keeper_of_a_subject_is_copied_from',
    ),
    Ablation(
        'gateway: hosts take over from watchers that lose the store',
        [
            (
                'fleet/table.py',
                '            and entry.reaches_store',
                '            and entry.record',
            ),
        ],
        GATEWAY
        + 'test_watchers.py::test_others_take_over_from_watchers_that_fail',
    ),
    Ablation(
        'gateway: a host that took a list tells all, not only changes',
        [
            (
                'catalogue/records.py',
                'self._removals_since = max(self._removals_since, revision)',
                'self._removals_since = self._removals_since',
            ),
        ],
        GATEWAY + 'test_watchers.py::test_neighbour_that_took_a_list_tells_all',
    ),
    Ablation(
        'gateway: hosts that do not watch ask who is ahead at once',
        [
            (
                'fleet/snapshots.py',
                'if is_due or self._catalogue.routes is None or not self.watches():',
                'if False:',
            ),
        ],
        GATEWAY
        + 'test_watchers.py::test_change_reaches_hosts_that_don_t_watch',
    ),
    Ablation(
        'gateway: signals are held while libraries load',
        [
            (
                '__main__.py',
                '        _hold_signals()',
                '        pass',
            ),
        ],
        GATEWAY + 'test_life.py::test_signal_during_start',
    ),
    Ablation(
        'gateway: the soak finds an unrepeatable request that runs twice',
        [
            (
                'proxy/forwarding.py',
                'return request.route.repetition is not Repetition.NEVER',
                'return True',
            ),
        ],
        GATEWAY + 'test_soak.py::test_promises_hold_under_random_faults',
    ),
    Ablation(
        'gateway: the soak finds a request that ran and was told not run',
        [
            (
                'proxy/progress.py',
                'return self.is_out or self.runs > 0',
                'return False',
            ),
        ],
        GATEWAY + 'test_soak.py::test_promises_hold_under_random_faults',
    ),
    Ablation(
        'gateway: few hosts of another region hear a heartbeat',
        [
            (
                'fleet/heartbeats.py',
                'count = min(REMOTE_FANOUT, len(entries))',
                'count = len(entries)',
            ),
        ],
        GATEWAY
        + 'test_watchers.py::test_few_hosts_of_another_region_hear_each_heartbeat',
    ),
    Ablation(
        'gateway: a leaving host does not register again',
        [
            (
                'catalogue/follower.py',
                '        self._has_left = True',
                '        self._has_left = False',
            ),
        ],
        GATEWAY + 'test_life.py::test_leaving_host_does_not_register_again',
    ),
    Ablation(
        'gateway: few share a leading part',
        [
            (
                'placement/affinity.py',
                'share * targets < limits.LEADING_SHARE',
                'share < 0',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_leading_part_that_few_share_keeps_prompts_together',
    ),
]


def copy_without(ablation: Ablation, folder: Path) -> None:
    """Copy the project with the safeguard taken out."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(
                source,
                folder / name,
                ignore=shutil.ignore_patterns('__pycache__'),
            )
        else:
            shutil.copy(source, folder / name)
    for name, old, new in ablation.edits:
        path = folder / 'jacinthfold' / name
        text = path.read_text()
        if text.count(old) != 1:
            raise SystemExit(f'error: {ablation.promise}: {name} lacks {old!r}')
        path.write_text(text.replace(old, new))


def run(folder: Path, test: str) -> str:
    """Run a test in the copy; return 'passed', 'failed' or what else."""
    done = subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', '-x', test],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    words = {0: 'passed', 1: 'failed'}
    return words.get(done.returncode, done.stdout[-400:] + done.stderr[-400:])


def main() -> int:
    """Run all ablations whose promise contains the argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    rows = []
    for ablation in ABLATIONS:
        if wanted not in ablation.promise:
            continue
        with tempfile.TemporaryDirectory(prefix='jf-ablation-') as name:
            copy_without(ablation, Path(name))
            began = time.monotonic()
            outcome = run(Path(name), ablation.test)
        seconds = time.monotonic() - began
        rows.append([ablation.promise, ablation.test, outcome])
        print(f'{outcome:8} {seconds:5.1f} s  {ablation.promise}', flush=True)
    survivors = [row for row in rows if row[2] != 'failed']
    out = ROOT / 'bench' / 'out'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'ablations.json').write_text(json.dumps(rows, indent=2))
    print(
        f'{len(rows) - len(survivors)} of {len(rows)} tests failed as they should'
    )
    return 1 if survivors else 0


if __name__ == '__main__':
    sys.exit(main())
