"""Safeguards against requests under which targets end."""

from tools.ablations.model import Ablation

PROCESSES = 'tests/gateway/test_quarantine.py::'
WORDS = 'tests/gateway/test_suspects.py::'
WITNESS = 'tests/gateway/test_witness.py::'

QUARANTINE = [
    Ablation(
        'quarantine: a request that ended three targets is not sent',
        [
            (
                'proxy/admission.py',
                'if refusal is None:',
                'if True:',
            ),
        ],
        PROCESSES
        + 'test_request_that_ends_targets_is_not_sent_to_more[/ask/x]',
    ),
    Ablation(
        'quarantine: hosts add up the crashes that each of them saw',
        [
            (
                'fleet/heartbeats.py',
                '        self.builder.suspects.take(heartbeat.suspects, is_near=is_near)',
                '',
            ),
        ],
        WORDS
        + 'test_all_hosts_of_a_region_hear_of_ends_that_three_saw[8-0.03]',
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
        WORDS
        + 'test_all_hosts_of_a_region_hear_of_ends_that_three_saw[65-0.03]',
    ),
    Ablation(
        'quarantine: neighbours go on telling what is refused',
        [('quarantine/suspects.py', 'if is_full:', 'if False:')],
        WORDS + 'test_hosts_that_saw_the_ends_may_all_be_replaced',
    ),
    Ablation(
        'quarantine: the store outlives all hosts',
        [
            (
                'quarantine/quarantine.py',
                'if suspect.is_witnessed and len',
                'if False and len',
            ),
        ],
        PROCESSES + 'test_hosts_that_all_restart_read_it_from_the_store',
    ),
    Ablation(
        'quarantine: an answer clears a request',
        [
            (
                'quarantine/suspects.py',
                '            self._clear(fingerprint, suspect, self._now_ms(), is_own=True)',
                '            return',
            ),
        ],
        WORDS + 'test_popular_request_that_is_served_is_never_refused',
    ),
    Ablation(
        'quarantine: queued requests weigh half',
        [
            (
                'quarantine/ends.py',
                'BEGUN, WAITING = 2, 1',
                'BEGUN, WAITING = 2, 2',
            )
        ],
        WORDS + 'test_request_that_waited_at_three_ends_is_not_refused',
    ),
    Ablation(
        'quarantine: ends that a likelier request explains do not count',
        [
            (
                'quarantine/suspects.py',
                'if left <= 0 or self._is_explained(fingerprint, suspect):',
                'if left <= 0:',
            ),
        ],
        WORDS + 'test_stream_that_runs_beside_the_culprit_is_not_refused',
    ),
    Ablation(
        'quarantine: a flood pushes the lightest out',
        [
            (
                'quarantine/suspects.py',
                'sorted(self._suspects, key=self._rank)[:excess]',
                'list(self._suspects)[:excess]',
            ),
        ],
        WORDS + 'test_flood_of_other_bodies_does_not_push_a_suspect_out',
    ),
    Ablation(
        'quarantine: a broken connection is no end',
        [('quarantine/witness.py', 'if listens is False:', 'if True:')],
        WITNESS + 'test_broken_connections_of_a_target_that_listens_are_no_end',
    ),
    Ablation(
        'quarantine: a planned end is no fault',
        [
            (
                'quarantine/witness.py',
                'if target.last_resort_until is not None:',
                'if False:',
            ),
        ],
        WITNESS + 'test_target_that_was_leaving_has_not_been_ended',
    ),
    Ablation(
        'quarantine: a lost rack is no fault',
        [('quarantine/witness.py', 'if not together:', 'if True:')],
        WITNESS + 'test_targets_that_end_together_lost_their_rack',
    ),
    Ablation(
        'quarantine: an overrun cold target is no fault',
        [('quarantine/witness.py', '0 < pace < sends', 'sends < 0')],
        WITNESS
        + 'test_cold_target_that_got_too_much_was_not_ended_by_one_request',
    ),
    Ablation(
        'quarantine: the caller belongs to the request',
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
        'quarantine: copies that wait elsewhere are taken back',
        [('quarantine/quarantine.py', 'attempt.withdraw()', 'pass')],
        PROCESSES + 'test_copy_that_waits_elsewhere_is_taken_back',
    ),
    Ablation(
        'quarantine: hosts run by intents refuse it',
        [('serve/serving.py', 'if seconds is None:', 'if True:')],
        'tests/test_ended_targets.py::'
        'test_completion_that_ends_engines_is_not_sent_to_more[False]',
    ),
    Ablation(
        'quarantine: ends of one name close together are one',
        [('serve/guard.py', '< SAME_END_MS', '< 0')],
        'tests/test_ended_targets.py::'
        'test_one_end_that_two_hosts_saw_counts_once',
    ),
    Ablation(
        'quarantine: whether heads tell is learned',
        [
            (
                'quarantine/witness.py',
                'is_begun=attempt.is_begun or not self._heads_tell(target)',
                'is_begun=attempt.is_begun',
            ),
        ],
        WITNESS + 'test_heads_that_come_with_the_first_event_tell_nothing',
    ),
]
