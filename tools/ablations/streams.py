"""Safeguards of streams that go on only where they began."""

from tools.ablations.model import Ablation

MIXED = 'tests/gateway/test_mixed_versions.py'
ORIGIN = 'tests/gateway/test_stream_origin.py'
TAKEN_UP = 'tests/gateway/test_streams_taken_up.py'
UNDER_LOAD = 'tests/gateway/test_taken_up_under_load.py'

STREAMS = [
    Ablation(
        'streams: targets of other versions are left out',
        [
            (
                'placement/usable.py',
                '            if origin.admits(target.record.software_version)',
                '            if origin',
            ),
        ],
        f'{ORIGIN}::test_choice_stays_with_the_version',
    ),
    Ablation(
        'streams: a trial stays with the version',
        [
            (
                'placement/usable.py',
                '        targets = self._of_origin(service, request.origin)',
                '        targets = self._of_origin(service, None)',
            ),
        ],
        f'{ORIGIN}::test_trial_stays_with_the_version',
    ),
    Ablation(
        'streams: other regions need a target of the version',
        [
            (
                'placement/regions.py',
                '            and (within is None or name in within)',
                '',
            ),
        ],
        f'{ORIGIN}::test_stream_is_relayed_only_to_regions_with_its_version',
    ),
    Ablation(
        'streams: prefixes are copied within a version',
        [
            (
                'placement/estimates.py',
                '            or source_version != without_copy.target.record.software_version',
                '',
            ),
        ],
        f'{ORIGIN}::test_prefix_is_not_copied_between_versions',
    ),
    Ablation(
        'streams: a version that is gone is no wait for capacity',
        [
            (
                'placement/usable.py',
                '        rejection.is_permanent = True',
                '',
            ),
        ],
        f'{ORIGIN}::test_stream_without_a_target_is_rejected_for_good',
    ),
    Ablation(
        'streams: a stream that waits holds up its version only',
        [
            (
                'placement/waiting_queue.py',
                "        if self.software_version not in {'', other.software_version}:",
                '        if False:',
            ),
        ],
        f'{ORIGIN}::test_waiting_stream_does_not_hold_up_other_versions',
    ),
    Ablation(
        'streams: a target that tells two versions is of none',
        [
            (
                'placement/targets.py',
                "    record.software_version = ''",
                '',
            ),
        ],
        f'{ORIGIN}::test_target_that_tells_two_versions_is_of_none',
    ),
    Ablation(
        'streams: the relay tells the other region where a stream began',
        [
            (
                'proxy/relay_header.py',
                '        request.origin = StreamOrigin(*document.begun)',
                '        pass',
            ),
        ],
        f'{ORIGIN}::test_relay_header_carries_the_origin',
    ),
    Ablation(
        'streams: the other region tells the relay where a stream began',
        [
            (
                'proxy/delivery.py',
                '            headers += relay_header.version_header(self._request.origin)',
                '            pass',
            ),
        ],
        f'{TAKEN_UP}::test_relayed_stream_goes_on_at_its_version_in_a_third_region',
    ),
    Ablation(
        'streams: other hosts are told where a stream began',
        [
            (
                'streams/origins.py',
                '        if is_new and self._versions.is_mixed(service):',
                '        if False:',
            ),
        ],
        f'{TAKEN_UP}::test_stream_of_a_killed_host_goes_on',
    ),
    Ablation(
        'streams: other hosts are asked where a stream began',
        [
            (
                'streams/origins.py',
                '        testimony = await self.exchange.ask(service, attempt)',
                "        return None, 'unknown'",
            ),
        ],
        f'{TAKEN_UP}::test_host_that_was_not_told_asks_others',
    ),
    Ablation(
        'streams: a stream that is taken up needs its version',
        [
            (
                'streams/origins.py',
                '        request.origin = StreamOrigin(attempt_id, finding.version)',
                '        request.origin = None',
            ),
        ],
        f'{MIXED}::test_streams_never_go_on_at_another_version',
    ),
    Ablation(
        'streams: hosts are told of streams from before the second version',
        [
            (
                'streams/origins.py',
                '        versions.on_mixed = self._tell_recent',
                '',
            ),
        ],
        f'{TAKEN_UP}::test_stream_that_began_before_the_second_version_goes_on',
    ),
    Ablation(
        'streams: versions of mixed services are stored',
        [
            (
                'streams/version_writer.py',
                '            if services:',
                '            if False:',
            ),
        ],
        f'{TAKEN_UP}::test_restarted_hosts_know_of_a_version_that_has_just_gone',
    ),
    Ablation(
        'streams: an attempt is known for its own service',
        [
            (
                'streams/table.py',
                '        if entry is None or entry.service != service:',
                '        if entry is None:',
            ),
        ],
        f'{ORIGIN}::test_table_forgets_old_and_contradicted_streams',
    ),
    Ablation(
        'streams: a contradicted stream is unknown',
        [
            (
                'streams/table.py',
                '            known.version = None',
                '            pass',
            ),
        ],
        f'{ORIGIN}::test_table_forgets_old_and_contradicted_streams',
    ),
    Ablation(
        'streams: hosts of the previous version hold no origins',
        [
            (
                'streams/holders.py',
                '            if entry.record.keeps_origins and (',
                '            if (',
            ),
        ],
        f'{ORIGIN}::test_hosts_of_the_previous_version_hold_no_origins',
    ),
    Ablation(
        'streams: hosts of the previous version get no stream that has begun',
        [
            (
                'proxy/region_sends.py',
                '            and (request.origin is None or host.keeps_origins)',
                '',
            ),
        ],
        f'{ORIGIN}::test_begun_stream_is_not_relayed_to_the_previous_version',
    ),
    Ablation(
        'streams: another region resumes a stream past its latency objective',
        [
            (
                'placement/choice.py',
                '        if is_retry or is_resumed:',
                '        if is_retry:',
            ),
        ],
        f'{TAKEN_UP}::test_relayed_stream_goes_on_at_its_version_in_a_third_region',
    ),
    Ablation(
        'streams: young records prove no only version',
        [
            (
                'streams/origins.py',
                '            is_current = await proving',
                '            is_current = True',
            ),
        ],
        f'{ORIGIN}::test_host_that_hears_nobody_guesses_no_version',
    ),
    Ablation(
        'streams: what the proof brings counts',
        [
            (
                'streams/origins.py',
                '        as_of = self._clock.boottime()',
                '        as_of = self._clock.boottime()\n'
                '        only = self._versions.only(service)\n'
                '        if only and await self.prove_current(as_of):\n'
                "            return _Finding(only, 'only')",
            ),
        ],
        f'{ORIGIN}::test_version_that_the_proof_brings_counts',
    ),
    Ablation(
        'streams: the wait for a proof makes none late',
        [
            (
                'streams/origins.py',
                '        request.received_at += found_at - asked_at',
                '',
            ),
        ],
        f'{ORIGIN}::test_wait_for_a_proof_makes_no_stream_late',
    ),
    Ablation(
        'streams: one that is taken up is of use past its objective',
        [
            (
                'placement/first_event_limit.py',
                '    if request.origin is None:',
                '    if True:',
            ),
        ],
        f'{UNDER_LOAD}::test_stream_is_taken_up_at_a_target_that_is_too_busy_for_new_ones',
    ),
    Ablation(
        'streams: one that comes after its deadline is rejected at once',
        [
            (
                'placement/choice.py',
                '            ends_at = min(ends_at, request.deadline)',
                '            pass',
            ),
        ],
        f'{UNDER_LOAD}::test_stream_that_its_caller_would_leave_first_is_rejected_at_once',
    ),
    Ablation(
        'relays: other hosts of a region are tried',
        [
            (
                'proxy/attempts.py',
                '            if not outcome.is_unreachable:',
                '            if outcome:',
            ),
        ],
        f'{UNDER_LOAD}::test_streams_are_relayed_to_the_hosts_of_a_region_that_are_left',
    ),
    Ablation(
        'budget: what has not left the host is no retry',
        [
            (
                'proxy/repeats.py',
                '        if progress.next_attempt.is_retry:',
                '        if progress.sends:',
            ),
        ],
        f'{UNDER_LOAD}::test_refused_connection_spends_no_retry',
    ),
]
