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
                'placement/leaving_limit.py',
                'return min(limits.LAST_RESORT_SECONDS, bound_seconds - age_seconds)',
                'return limits.LAST_RESORT_SECONDS',
            ),
        ],
        f'{LEAVING_TESTS}::test_nothing_is_sent_five_seconds_after_the_record',
    ),
    Ablation(
        'leaving: the bound is the one of the deployment',
        [
            (
                'placement/leaving_limit.py',
                '            use_after_leaving_seconds - limits.SEND_MARGIN_SECONDS',
                '            DEFAULT_USE_AFTER_LEAVING_SECONDS - limits.SEND_MARGIN_SECONDS',
            ),
        ],
        f'{LEAVING_TESTS}::test_nothing_is_sent_past_the_bound_of_the_deployment',
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
    Ablation(
        'leaving: a silent host does not delay a pull from another',
        [
            (
                'fleet/snapshots.py',
                'await _any_succeeds(fetches, HEDGE_DELAY_SECONDS)',
                'await _any_succeeds(fetches, 1e9)',
            ),
        ],
        'tests/gateway/test_watchers.py::test_silent_host_does_not_delay_the_pull_from_another',
    ),
    Ablation(
        'leaving: a negative age makes no proof newer',
        [
            (
                'fleet/freshness_exchange.py',
                'max(0, proof[0])',
                'proof[0]',
            ),
        ],
        'tests/gateway/test_freshness.py::test_negative_age_of_a_neighbour_makes_no_proof_newer',
    ),
    Ablation(
        'leaving: a resumed host sends nothing before it reads the news',
        [
            (
                'placement/target.py',
                'if is_resuming and self.knowledge_age() > max_age_seconds:',
                'if False:',
            ),
        ],
        f'{LEAVING_TESTS}::test_frozen_host_uses_no_target_that_left_meanwhile',
    ),
    Ablation(
        'leaving: a resumed host uses no last resort',
        [
            (
                'placement/target.py',
                'is_resuming or now > until + limits.LAST_SEND_SECONDS',
                'now > until + limits.LAST_SEND_SECONDS',
            ),
        ],
        f'{LEAVING_TESTS}::test_resumed_host_sends_nothing_to_a_leaving_target',
    ),
    Ablation(
        'leaving: a resumed host that stays cut off serves again',
        [
            (
                'placement/resume_guard.py',
                'self._resumed_at < RESUME_SECONDS',
                "self._resumed_at < float('inf')",
            ),
        ],
        f'{LEAVING_TESTS}::test_frozen_host_without_the_store_serves_again',
    ),
]

INPUT_TESTS = 'tests/gateway/test_peer_input.py'

PEER_INPUT = [
    Ablation(
        'input: a warm-up time is bounded',
        [
            (
                'platform/dialect.py',
                'if cold_ms is None or cold_ms > MAX_COLD_SECONDS * _MS:',
                'if cold_ms is None:',
            ),
        ],
        f'{INPUT_TESTS}::test_warm_up_is_bounded',
    ),
    Ablation(
        'input: numbers in headers are plain decimals',
        [
            (
                'request/numbers.py',
                'if not _DECIMAL.fullmatch(text):',
                'if False:',
            ),
        ],
        INPUT_TESTS,
    ),
    Ablation(
        'input: times of a relayed route are bounded',
        [
            (
                'proxy/relay_header.py',
                '_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_RELAYED_SECONDS)]',
                '_Seconds = float',
            ),
        ],
        f'{INPUT_TESTS}::test_time_of_a_relayed_route_out_of_range_is_rejected',
    ),
    Ablation(
        'input: the length of a response is bounded',
        [
            (
                'transport/exchange.py',
                'if not 0 <= length <= MAX_CONTENT_LENGTH_BYTES:',
                'if False:',
            ),
        ],
        f'{INPUT_TESTS}::test_response_with_such_a_length_is_malformed',
    ),
    Ablation(
        'input: a retry time of a peer is bounded',
        [
            (
                'proxy/outcome.py',
                'return min(seconds, MAX_PEER_RETRY_AFTER_SECONDS)',
                'return seconds',
            ),
        ],
        f'{INPUT_TESTS}::test_retry_after_of_a_peer_is_bounded',
    ),
]
