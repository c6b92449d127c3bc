"""Safeguards against parts of prompts that crash targets."""

from tools.ablations.model import Ablation

PARTS = 'tests/gateway/test_prompt_parts.py::'
PROCESSES = 'tests/gateway/test_crashing_part.py::'

PROMPT_PARTS = [
    Ablation(
        'parts: parts of prompts are suspects',
        [
            (
                'quarantine/quarantine.py',
                'if not present_request.is_started:',
                'if True:',
            ),
        ],
        PROCESSES
        + 'test_prompts_with_a_part_that_crashes_targets_are_not_sent_to_more',
    ),
    Ablation(
        'parts: whole answers show that parts are sound',
        [('proxy/delivery.py', '        self.on_whole()', '        pass')],
        PROCESSES + 'test_crashes_for_other_reasons_refuse_no_shared_part',
    ),
    Ablation(
        'parts: what targets bear is not suspected',
        [
            (
                'quarantine/prompt_parts.py',
                'return borne_at is not None and borne_at > oldest',
                'return False',
            ),
            (
                'quarantine/prompt_parts.py',
                'self.on_borne(fingerprint)',
                'pass',
            ),
        ],
        PARTS + 'test_part_that_targets_bear_between_crashes_is_never_refused',
    ),
    Ablation(
        'parts: a stream that has gone on clears its parts',
        [
            (
                'quarantine/prompt_parts.py',
                'if not attempt.had_just_begun(BORNE_SECONDS):',
                'if False:',
            ),
        ],
        PARTS
        + 'test_streams_that_have_gone_on_for_some_time_clear_their_parts',
    ),
    Ablation(
        'parts: a silent target clears nothing',
        [
            (
                'quarantine/prompt_parts.py',
                'return attempt.is_complete or heard_at >= begun_at',
                'return True or heard_at >= begun_at',
            ),
        ],
        PARTS + 'test_stream_at_a_silent_target_does_not_clear_its_parts',
    ),
    Ablation(
        'parts: the part that comes with fewer requests is likelier',
        [
            (
                'quarantine/suspects.py',
                'return likelier[1].seen_count < suspected[1].seen_count',
                'return False',
            ),
        ],
        PARTS
        + 'test_part_that_no_host_has_seen_borne_is_not_blamed_for_another',
    ),
    Ablation(
        'parts: a request that crashes targets explains their crashes',
        [
            (
                'quarantine/suspects.py',
                'return likelier[1].no_output_count >= REFUSAL_CRASHES',
                'return False',
            ),
        ],
        PARTS
        + 'test_request_that_crashes_targets_does_not_get_its_parts_refused',
    ),
    Ablation(
        'parts: a part does not explain a request that crashes targets',
        [
            (
                'quarantine/suspects.py',
                'if is_part(other) and suspected[1].no_output_count >= REFUSAL_CRASHES:',
                'if False:',
            ),
        ],
        PARTS
        + 'test_common_part_does_not_explain_a_request_that_crashes_targets',
    ),
    Ablation(
        'parts: a refusal is for a version of the software',
        [
            (
                'quarantine/prompt_parts.py',
                'software_version.encode(),',
                "b'',",
            ),
        ],
        PARTS + 'test_part_may_be_tried_at_another_version',
    ),
    Ablation(
        'parts: a refusal is for an organisation',
        [
            (
                'quarantine/prompt_parts.py',
                "organisation.name.encode() if organisation else b'',",
                "b'',",
            ),
        ],
        PARTS + 'test_part_of_another_organisation_is_not_refused',
    ),
    Ablation(
        'parts: a host that was frozen waits for news',
        [
            (
                'quarantine/suspects.py',
                ' or self._resume_guard.is_resuming()',
                '',
            ),
        ],
        PARTS
        + 'test_host_that_was_frozen_waits_for_news_before_it_refuses_a_part',
    ),
]
