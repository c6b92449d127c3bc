"""Decisions of entry hosts that follow a metadata store."""

from tools.ablations.model import Ablation

GATEWAY = 'tests/gateway/'

DECISIONS = [
    Ablation(
        'gateway: a target that asked for a rest gets nothing',
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
        'gateway: one request at a time tries a target after its rest',
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
        'gateway: a target that said it leaves gets nothing new',
        [
            (
                'placement/target.py',
                '        if since is None:',
                '        if True:',
            ),
        ],
        GATEWAY
        + 'test_leaving_in_answers.py::test_leaving_target_gets_no_requests_while_the_store_is_down',
    ),
    Ablation(
        'gateway: what a life said outlives its record',
        [
            (
                'placement/targets.py',
                '            self._retained.add(\n                target.record.incarnation_id, target.pushback\n            )',
                '',
            ),
        ],
        GATEWAY
        + 'test_leaving_in_answers.py::test_leaving_outlives_a_lapsed_record_but_not_the_incarnation',
    ),
    Ablation(
        'gateway: a target that named a limit gets no more',
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
        'gateway: a limit is shared and not kept by each host',
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
        'gateway: a limit moves on from hosts without callers',
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
        'gateway: what was chosen before a limit was heard is chosen again',
        [
            (
                'proxy/delivery.py',
                '        return self._progress.rejection_reason() or self.target_rejection()',
                '        return self._progress.rejection_reason()',
            ),
        ],
        GATEWAY
        + 'test_limit_shares.py::test_gate_before_the_send_asks_the_target',
    ),
    Ablation(
        'gateway: one host alone paces a cold target',
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
        'gateway: crashed targets draw no requests',
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
                'PREFERRED_TARGETS = 2',
                'PREFERRED_TARGETS = 0',
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
        GATEWAY + 'test_placement.py::test_prefix_is_copied_from_a_busy_target',
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
        + 'test_placement.py::test_rare_leading_segment_keeps_prompts_together',
    ),
    Ablation(
        'gateway: a target that starts again is known for nothing',
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
        'gateway: reports name the life they speak of',
        [
            (
                'placement/targets.py',
                'for life, load in loads.items():\n            target = self._by_incarnation.get(life)',
                "for life, load in loads.items():\n            target = self._by_incarnation.get(f'{life.split(chr(47))[0]}/1790000000000')",
            ),
        ],
        GATEWAY + 'test_rebirth.py',
    ),
    Ablation(
        'gateway: engines are learned from their answers',
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
        'gateway: newer prompts push kept parts out',
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
        'gateway: requests on their way count by their reading',
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
        'gateway: subjects are kept in one region',
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
        'gateway: large free prompts leave room',
        [
            (
                'placement/choice.py',
                'if self._should_relay(request, best, remote)',
                'if False',
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
]
