"""Safeguards of answers whose targets fall silent."""

from tools.ablations.model import Ablation

SILENT = 'tests/gateway/test_silent_targets.py'

SILENCES = [
    Ablation(
        'silences: an answer stays open until another target took the request',
        [
            (
                'proxy/handover.py',
                '        outcome = prepared.opening.result() if prepared.opening.done() else None',
                '        outcome = None',
            ),
        ],
        f'{SILENT}::test_one_silent_target_keeps_streams_that_others_turn_away',
    ),
    Ablation(
        'silences: work is not moved to a target that is silent too',
        [
            (
                'placement/targets.py',
                '        return {target.record.instance for target in silent}',
                '        return set()',
            ),
        ],
        f'{SILENT}::test_all_targets_silent_at_once_lose_no_stream',
    ),
    Ablation(
        'silences: a stream moves once another target took it',
        [
            (
                'proxy/response_timeout.py',
                '        if is_prepared:\n            self.is_expired',
                '        if False:\n            self.is_expired',
            ),
        ],
        f'{SILENT}::test_stream_of_a_target_that_stays_silent_goes_on_elsewhere',
    ),
    Ablation(
        'silences: an attempt that is not needed is withdrawn',
        [
            (
                'proxy/handover.py',
                '        self._attempts.withdraw(prepared)\n',
                '',
            ),
        ],
        f'{SILENT}::test_answer_that_goes_on_first_is_kept',
    ),
    Ablation(
        'silences: an attempt prepared as the answer goes on is withdrawn',
        [
            (
                'proxy/response_timeout.py',
                '                self._timeout.discard_next()',
                '                pass',
            ),
        ],
        f'{SILENT}::test_attempt_prepared_as_the_answer_goes_on_is_withdrawn',
    ),
    Ablation(
        'silences: a stream runs at two targets for a moment only',
        [
            (
                'proxy/handover.py',
                'MAX_OVERLAP_SECONDS = 0.3',
                'MAX_OVERLAP_SECONDS = 0.9',
            ),
        ],
        f'{SILENT}::test_stream_runs_at_two_targets_for_a_moment_only',
    ),
]
