"""Safeguards against requests that crash targets."""

from tools.ablations.model import Ablation

PROCESSES = 'tests/gateway/test_quarantine.py::'
SUSPECTS = 'tests/gateway/test_suspects.py::'
WITNESS = 'tests/gateway/test_witness.py::'

QUARANTINE = [
    Ablation(
        'quarantine: a request that crashed three targets is not sent',
        [
            (
                'proxy/admission.py',
                'if refusal is None:',
                'if True:',
            ),
        ],
        PROCESSES
        + 'test_request_that_crashes_targets_is_not_sent_to_more[/ask/x]',
    ),
    Ablation(
        'quarantine: hosts add up the crashes that each of them saw',
        [
            (
                'fleet/heartbeats.py',
                '        self.builder.suspects.merge_reports(heartbeat.suspects, is_near=is_near)',
                '',
            ),
        ],
        SUSPECTS
        + 'test_all_hosts_of_a_region_learn_of_crashes_seen_by_three[8-0.03]',
    ),
    Ablation(
        'quarantine: collectors forward suspects',
        [
            (
                'fleet/digests.py',
                '        self.on_suspects(digest.suspects)',
                '',
            ),
        ],
        SUSPECTS
        + 'test_all_hosts_of_a_region_learn_of_crashes_seen_by_three[65-0.03]',
    ),
    Ablation(
        'quarantine: neighbours repeat reports of refused requests',
        [('quarantine/suspects.py', 'if is_full:', 'if False:')],
        SUSPECTS + 'test_hosts_that_observed_the_crashes_may_all_be_replaced',
    ),
    Ablation(
        'quarantine: the store keeps crashes when all hosts restart',
        [
            (
                'quarantine/quarantine.py',
                'suspect.is_observed_here\n            and len',
                'False\n            and len',
            ),
        ],
        PROCESSES + 'test_hosts_that_all_restart_read_crashes_from_the_store',
    ),
    Ablation(
        'quarantine: a response clears a request',
        [
            (
                'quarantine/suspects.py',
                '            self._clear(\n                fingerprint, suspect, self._now_ms(), is_new_in_region=True\n            )',
                '            return',
            ),
        ],
        SUSPECTS + 'test_popular_request_that_is_served_is_never_refused',
    ),
    Ablation(
        'quarantine: queued requests count half',
        [
            (
                'quarantine/crashes.py',
                'RUNNING_WEIGHT, QUEUED_WEIGHT = 2, 1',
                'RUNNING_WEIGHT, QUEUED_WEIGHT = 2, 2',
            )
        ],
        SUSPECTS + 'test_request_queued_at_three_crashes_is_not_refused',
    ),
    Ablation(
        'quarantine: crashes that a likelier request explains do not count',
        [
            (
                'quarantine/suspects.py',
                'if remaining <= 0 or self._is_explained(fingerprint, suspect):',
                'if remaining <= 0:',
            ),
        ],
        SUSPECTS + 'test_stream_that_runs_beside_the_culprit_is_not_refused',
    ),
    Ablation(
        'quarantine: a flood displaces the entries with the least weight',
        [
            (
                'quarantine/suspects.py',
                'sorted(self._suspects, key=self._rank)[:excess]',
                'list(self._suspects)[:excess]',
            ),
        ],
        SUSPECTS + 'test_flood_of_other_bodies_does_not_displace_a_suspect',
    ),
    Ablation(
        'quarantine: a broken connection is no crash',
        [
            (
                'quarantine/crash_detector.py',
                'if is_listening is False:',
                'if True:',
            )
        ],
        WITNESS + 'test_broken_connections_of_a_listening_target_are_no_crash',
    ),
    Ablation(
        'quarantine: a planned end is no crash',
        [
            (
                'quarantine/crash_detector.py',
                'if target.last_resort_until is not None:',
                'if False:',
            ),
        ],
        WITNESS + 'test_target_that_was_leaving_has_not_crashed',
    ),
    Ablation(
        'quarantine: a lost rack blames no request',
        [('quarantine/crash_detector.py', 'if not simultaneous:', 'if True:')],
        WITNESS + 'test_simultaneous_crashes_are_a_lost_rack',
    ),
    Ablation(
        'quarantine: an overloaded cold target blames no request',
        [
            (
                'quarantine/crash_detector.py',
                '0 < overrun_rate < send_count',
                'send_count < 0',
            )
        ],
        WITNESS + 'test_crash_of_an_overloaded_cold_target_blames_no_request',
    ),
    Ablation(
        'quarantine: fingerprints include the caller',
        [
            (
                'quarantine/fingerprints.py',
                '            facts.caller.encode(),\n',
                '',
            ),
        ],
        PROCESSES + 'test_another_callers_request_with_the_same_body_is_sent',
    ),
    Ablation(
        'quarantine: copies queued elsewhere are withdrawn',
        [('quarantine/quarantine.py', 'attempt.withdraw()', 'pass')],
        PROCESSES + 'test_copy_queued_elsewhere_is_withdrawn',
    ),
    Ablation(
        'quarantine: hosts run by intents refuse it',
        [('serve/serving.py', 'if seconds is None:', 'if True:')],
        'tests/test_ended_targets.py::'
        'test_completion_that_ends_engines_is_not_sent_to_more[False]',
    ),
    Ablation(
        'quarantine: crashes of one name close together count once',
        [('serve/guard.py', '< SAME_END_MS', '< 0')],
        'tests/test_ended_targets.py::'
        'test_one_end_that_two_hosts_saw_counts_once',
    ),
    Ablation(
        'quarantine: whether heads come early is learned',
        [
            (
                'quarantine/crash_detector.py',
                'is_started=attempt.is_started\n                or not self._heads_are_early(target)',
                'is_started=attempt.is_started',
            ),
        ],
        WITNESS + 'test_heads_that_come_with_the_first_event_are_ignored',
    ),
]
