"""Safeguards against the use of targets that left."""

from tools.ablations.model import Ablation

LEAVING_TESTS = 'tests/gateway/test_used_after_leaving.py'

LEAVING = [
    Ablation(
        'leaving: a late watch restores no removed record',
        [
            (
                'catalogue/records.py',
                'newer = [record for record in records if self._is_newer(record)]',
                'newer = list(records)',
            ),
        ],
        f'{LEAVING_TESTS}::test_late_watch_does_not_restore_a_removed_record',
    ),
    Ablation(
        'leaving: a removal of an unknown record is passed on',
        [
            (
                'catalogue/records.py',
                """            self._remember_removal(record)
            if known is None:
                return
""",
                """            if known is None:
                return
            self._remember_removal(record)
""",
            ),
        ],
        f'{LEAVING_TESTS}::test_removal_of_an_unknown_record_is_passed_on',
    ),
    Ablation(
        'leaving: the last resort is bounded by the age of the records',
        [
            (
                'placement/target.py',
                'return min(limits.LAST_RESORT_SECONDS, bound_seconds - age_seconds)',
                'return limits.LAST_RESORT_SECONDS',
            ),
        ],
        f'{LEAVING_TESTS}::test_nothing_is_sent_five_seconds_after_the_record',
    ),
    Ablation(
        'leaving: a late record does not revive a target that drained',
        [
            (
                'placement/targets.py',
                '            if record.started_at_ms is None:',
                '            if True:',
            ),
        ],
        f'{LEAVING_TESTS}::test_late_record_does_not_revive_a_target_that_left',
    ),
    Ablation(
        'leaving: an answer to a host with old records starts no last resort',
        [
            (
                'placement/target.py',
                'return _earlier(until, pushback.answer_until)',
                'return until',
            ),
        ],
        f'{LEAVING_TESTS}::test_leaving_answer_to_a_host_with_old_records_ends_its_use',
    ),
    Ablation(
        'leaving: a lapsed target that answered lately is a last resort',
        [
            (
                'placement/target.py',
                'age_seconds = min(age_seconds, now - self.pushback.confirmed_at)',
                'pass',
            ),
        ],
        f'{LEAVING_TESTS}::test_lapsed_target_that_answers_is_a_last_resort_despite_old_records',
    ),
]
