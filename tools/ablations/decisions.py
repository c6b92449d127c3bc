"""Decisions of entry hosts that follow a metadata store."""

from tools.ablations.model import Ablation

GATEWAY = 'tests/gateway/'

DECISIONS = [
    Ablation(
        'gateway: a silent target is left only for one that can take over',
        [
            (
                'proxy/response_timeout.py',
                '        if is_prepared:\n            self.is_expired',
                '        if True:\n            self.is_expired',
            )
        ],
        GATEWAY
        + 'test_streams.py::test_silent_engine_is_not_left_when_no_other_can_take_the_stream',
    ),
    Ablation(
        'gateway: the measured speed of a plain target expires',
        [
            (
                'placement/target.py',
                'return self.slowness if age_seconds < CALL_SPEED_LIFETIME_SECONDS else 1',
                'return self.slowness',
            )
        ],
        GATEWAY
        + 'test_failing_targets.py::test_plain_target_that_was_slow_for_a_moment_gets_calls_again',
    ),
    Ablation(
        'gateway: hosts level the waits of targets by stale load data',
        [
            (
                'placement/water_filling.py',
                'return source.choices(range(len(parts)), parts)[0]',
                'return min(range(len(parts)), key=waits_seconds.__getitem__)',
            )
        ],
        GATEWAY
        + 'test_stale_load.py::test_hosts_level_the_waits_of_their_engines',
    ),
    Ablation(
        'gateway: the measured lag of answers counts at admission',
        [
            (
                'placement/choice.py',
                'return self._answer_lag.seconds(service, is_urgent=is_urgent)',
                'return 0.0',
            )
        ],
        GATEWAY
        + 'test_stale_load.py::test_measured_lag_rejects_what_reports_admit',
    ),
    Ablation(
        'gateway: a target in backoff gets no requests',
        [
            (
                'placement/usable.py',
                '        if not target.pushback.backoff.allows(now):',
                '        if False:',
            ),
            (
                'placement/pushback.py',
                '        if now < self.backoff.until:',
                '        if False:',
            ),
        ],
        GATEWAY
        + 'test_target_rest.py::test_host_sends_nothing_during_a_backoff',
    ),
    Ablation(
        'gateway: one request at a time probes a target after its backoff',
        [
            (
                'placement/backoff.py',
                '        return not self._is_probing or now >= self._probed_at + PROBE_SECONDS',
                '        return True',
            ),
        ],
        GATEWAY
        + 'test_target_rest.py::test_one_request_probes_a_target_after_its_backoff',
    ),
    Ablation(
        'gateway: a target that announced leaving gets no new requests',
        [
            (
                'placement/target.py',
                '        if pushback.leaving_since is None:',
                '        if True:',
            ),
        ],
        GATEWAY
        + 'test_leaving_in_answers.py::test_leaving_target_gets_no_requests_while_the_store_is_down',
    ),
    Ablation(
        'gateway: pushback of an incarnation outlives its record',
        [
            (
                'placement/targets.py',
                '            self._retained.add(target.record.incarnation_id, target.pushback)',
                '',
            ),
        ],
        GATEWAY
        + 'test_leaving_in_answers.py::test_leaving_outlives_a_lapsed_record_but_not_the_incarnation',
    ),
    Ablation(
        'gateway: a target with a limit gets no more requests than that',
        [
            (
                'placement/usable.py',
                '        return self._limit_shares.allows(target, now, is_urgent=is_urgent)',
                '        return True',
            ),
        ],
        GATEWAY
        + 'test_request_limit.py::test_hosts_together_keep_to_a_target_limit',
    ),
    Ablation(
        'gateway: a limit is shared by the hosts and not per host',
        [
            (
                'placement/limit_shares.py',
                '        return granted / limit.holders if rank < limit.holders else 0.0',
                '        return granted',
            ),
        ],
        GATEWAY
        + 'test_limit_shares.py::test_limit_holds_over_all_hosts_and_is_used',
    ),
    Ablation(
        'gateway: a limit rotates away from hosts without callers',
        [
            (
                'placement/request_limit.py',
                '        return self.rotation + int((now - self.reported_at) / rotation_seconds)',
                '        return self.rotation',
            ),
        ],
        GATEWAY
        + 'test_limit_shares.py::test_limit_of_a_holder_without_callers_moves_on',
    ),
    Ablation(
        'gateway: a request placed before a limit was received is placed again',
        [
            (
                'proxy/delivery.py',
                '        return self._progress.rejection_reason() or self.target_rejection()',
                '        return self._progress.rejection_reason()',
            ),
        ],
        GATEWAY
        + 'test_limit_shares.py::test_target_is_checked_before_the_send',
    ),
    Ablation(
        'gateway: only one host sends to a cold target',
        [
            (
                'placement/pace.py',
                '        return self.ranks.position(target.record.instance) == 0',
                '        return True',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_cold_engine_gets_what_it_tolerates_over_all_hosts',
    ),
    Ablation(
        'gateway: crashed targets attract no requests',
        [
            (
                'placement/usable.py',
                '            and target.unreachable_until <= now',
                '',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_crashed_targets_don_t_draw_requests_from_other_regions',
    ),
    Ablation(
        'gateway: a failed target gets trial requests',
        [
            (
                'placement/choice.py',
                '        trial = self._trial(request)',
                '        trial = None',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_failing_target_costs_little_and_returns',
    ),
    Ablation(
        'gateway: the hosts of a region take turns in trials',
        [
            (
                'placement/trials.py',
                '        position = self._ranks.position(',
                '        position = 0 * self._ranks.position(',
            ),
            (
                'placement/failure_rate.py',
                '                self.next_trial_at, event_at + limits.EJECT_LIMIT_SECONDS',
                '                self.next_trial_at, event_at',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_failing_target_costs_little_and_returns',
    ),
    Ablation(
        'gateway: a digest carries the trials of its hosts',
        [
            (
                'fleet/aggregation.py',
                '            trials=self._trials(now),',
                '',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_failing_target_costs_little_and_returns',
    ),
    Ablation(
        'gateway: an error that goes to the caller is a failure',
        [
            (
                'proxy/target_outcomes.py',
                '            if outcome.reason:',
                '            if False:',
            ),
        ],
        GATEWAY
        + 'test_targets_return.py::test_errors_of_calls_that_may_run_only_once_count_as_failures',
    ),
    Ablation(
        'gateway: speeds are learned anew after a return',
        [
            (
                'placement/targets.py',
                '            one.forget_speed()',
                '            pass',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_slow_answers_during_a_failure_do_not_count_after_the_return',
    ),
    Ablation(
        'gateway: unrepeatable requests are tried last',
        [
            (
                'placement/trials.py',
                '            return UNREPEATABLE_DELAY_SECONDS',
                '            return 0.0',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_unrepeatable_requests_are_tried_last',
    ),
    Ablation(
        'gateway: an answer from before the failure is no trial',
        [
            (
                'placement/failure_rate.py',
                '        if self.is_ejected and sent_at < self.last_failed_at:',
                '        if False:',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_answer_to_a_request_from_before_the_failure_is_no_trial',
    ),
    Ablation(
        'gateway: a return that only another host saw is taken back',
        [
            (
                'placement/failure_rate.py',
                '        if self._is_returned_by_report or self._is_confirmed(now):',
                '        if self._is_confirmed(now):',
            ),
        ],
        GATEWAY
        + 'test_failing_targets.py::test_reported_return_is_taken_back_with_the_next_reported_failure',
    ),
    Ablation(
        'gateway: a retry is limited by the deadline, not by the latency objective',
        [
            (
                'placement/choice.py',
                '        if is_retry or is_resumed:',
                '        if is_resumed:',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_cut_stream_is_placed_again_after_its_objective',
    ),
    Ablation(
        'gateway: prompts with a shared prefix stay together',
        [
            (
                'placement/limits.py',
                'PREFERRED_TARGETS = 2',
                'PREFERRED_TARGETS = 0',
            ),
        ],
        GATEWAY + 'test_placement.py::test_peak_of_a_region_with_many_hosts',
    ),
    Ablation(
        'gateway: a prefix is copied from a busy target',
        [
            (
                'placement/limits.py',
                'COPY_AT_LEAST_TOKENS = 2000',
                'COPY_AT_LEAST_TOKENS = 10**9',
            ),
        ],
        GATEWAY + 'test_placement.py::test_prefix_is_copied_from_a_busy_target',
    ),
    Ablation(
        'gateway: prompts with a rare leading segment stay together',
        [
            (
                'placement/affinity.py',
                'share * targets < limits.LEADING_SHARE',
                'share < 0',
            ),
        ],
        GATEWAY
        + 'test_placement.py::test_rare_leading_segment_keeps_prompts_together',
    ),
    Ablation(
        'gateway: a restarted target begins with fresh state',
        [
            (
                'placement/targets.py',
                'target is None or _is_other_incarnation(target, record)',
                'target is None',
            ),
        ],
        GATEWAY + 'test_rebirth.py',
    ),
    Ablation(
        'gateway: reports name the incarnation that they are about',
        [
            (
                'placement/targets.py',
                'for incarnation_id, load in loads.items():\n            target = self._by_incarnation.get(incarnation_id)',
                "for incarnation_id, load in loads.items():\n            target = self._by_incarnation.get(f'{incarnation_id.split(chr(47))[0]}/1790000000000')",
            ),
        ],
        GATEWAY + 'test_rebirth.py',
    ),
    Ablation(
        'gateway: the latency model is fitted to answers',
        [
            (
                'placement/latency_model.py',
                '        self._refit(now)\n\n    def record_slot_hold',
                '        self._own = list(terms)\n\n    def record_slot_hold',
            ),
        ],
        GATEWAY + 'test_law.py',
    ),
    Ablation(
        'gateway: newer prompts evict cached prefixes',
        [
            (
                'placement/prefix_cache.py',
                'if used_at is None or used_at < oldest:',
                'if used_at is None:',
            ),
        ],
        GATEWAY + 'test_kept.py',
    ),
    Ablation(
        'gateway: requests in transit count by their prefill',
        [
            (
                'placement/regions.py',
                'return model.prefill_seconds(self._token_cost(request, prefix_tokens))',
                'return self._first_event_seconds(request, prefix_tokens)',
            ),
        ],
        GATEWAY + 'test_placement.py',
    ),
    Ablation(
        'gateway: prefixes are cached in one region',
        [
            (
                'placement/choice.py',
                '        if preferred is not None:\n',
                '        if False:\n',
            ),
        ],
        GATEWAY + 'test_placement.py',
    ),
    Ablation(
        'gateway: large unbound prompts are relayed',
        [
            (
                'placement/choice.py',
                'self._should_relay(request, best, remote, allowed)',
                'False',
            ),
        ],
        GATEWAY + 'test_placement.py',
    ),
    Ablation(
        'gateway: no directory answer without routes',
        [
            (
                'fleet/directory.py',
                'if self._catalogue.routes is None:\n            return []',
                'if self._catalogue.routes is None:\n            return self._hosts.serving(self._hosts.own.region)',
            ),
        ],
        GATEWAY + 'test_directory.py',
    ),
    Ablation(
        'gateway: rejections together estimate the targets once',
        [
            (
                'placement/least_waits.py',
                '            and now - found.taken_at <= MAX_AGE_SECONDS\n',
                '            and False\n',
            ),
        ],
        GATEWAY
        + 'test_rejections.py::test_rejections_together_estimate_the_targets_once',
    ),
    Ablation(
        'gateway: a place that came free counts at once',
        [
            (
                'placement/least_waits.py',
                '            and found.version == version\n',
                '',
            ),
        ],
        GATEWAY + 'test_rejections.py',
    ),
]
