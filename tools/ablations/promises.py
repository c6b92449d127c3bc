"""Safeguards of promises that a request has not run, and of what targets get."""

from tools.ablations.model import Ablation

NOT_RUN = 'tests/gateway/test_not_run.py::'
HEADERS = 'tests/gateway/test_target_headers.py::'
ENDLESS = 'tests/gateway/test_endless_answers.py::'
TAKEN_UP = 'tests/gateway/test_streams_taken_up.py::'

PROMISES = [
    Ablation(
        'promises: a request is not sent twice over a connection',
        [
            (
                'transport/pool.py',
                'if request_id in idle.channel.sent_requests:',
                'if False:',
            ),
        ],
        NOT_RUN
        + 'test_second_answer_to_an_earlier_send_is_no_answer_to_a_later_one',
    ),
    Ablation(
        "promises: a target's status alone is none",
        [
            (
                'proxy/delivery.py',
                'if self._is_false_promise(head):',
                'if False:',
            )
        ],
        NOT_RUN + 'test_status_of_a_target_that_ran_a_request_is_no_promise',
    ),
    Ablation(
        'promises: a rejection names its request',
        [
            (
                'proxy/outcome.py',
                'if is_not_run and not head.is_attributed:',
                'if False:',
            ),
        ],
        NOT_RUN + 'test_rejection_that_names_no_request_is_no_promise_on_a_'
        'used_connection',
    ),
    Ablation(
        "headers: an organisation's name stands once",
        [
            (
                'platform/dialect.py',
                '            replaced |= CREDENTIAL_HEADERS',
                '            pass',
            ),
            (
                'proxy/region_sends.py',
                '            headers = self._dialect.without_credentials(headers)',
                '            pass',
            ),
        ],
        HEADERS + 'test_target_receives_each_header_once',
    ),
    Ablation(
        "headers: what a relay adds is not the caller's",
        [
            (
                'gateway/cluster_view.py',
                'limits.head_bytes += RELAY_HEADER_BYTES',
                'limits.head_bytes += 0',
            ),
        ],
        HEADERS + 'test_head_of_the_largest_size_is_served_through_a_relay',
    ),
    Ablation(
        'endless: large answers share a limit',
        [
            (
                'transport/body_buffer.py',
                'if self._all.total_bytes > self._all.max_bytes:',
                'if False:',
            ),
        ],
        ENDLESS + 'test_answers_without_end_cost_bounded_memory[length]',
    ),
    Ablation(
        'endless: events are bounded',
        [
            (
                'proxy/events.py',
                'if len(self._incomplete) > MAX_EVENT_BYTES:',
                'if False:',
            ),
        ],
        ENDLESS + 'test_event_without_end_is_malformed',
    ),
    Ablation(
        'streams: where they began is stored',
        [
            (
                'streams/origins.py',
                '        self.origin_writer.add(service, version, attempts)',
                '',
            ),
        ],
        TAKEN_UP + 'test_streams_go_on_after_all_hosts_were_killed',
    ),
    Ablation(
        'streams: the only version counts last',
        [
            (
                'streams/origins.py',
                '        attempt = attempt_key(attempt_id)\n',
                '        only = self._versions.proven_only(service)\n'
                '        if only is not None:\n'
                "            return only, 'only'\n"
                '        attempt = attempt_key(attempt_id)\n',
            ),
        ],
        TAKEN_UP + 'test_stream_of_a_version_that_a_host_has_not_heard_of',
    ),
    Ablation(
        'streams: what other hosts know counts against the only version',
        [
            (
                'streams/exchange.py',
                'return not self.is_mixed and self.inferred <= {version}',
                'return True',
            ),
        ],
        'tests/gateway/test_stream_origin.py::'
        'test_host_without_a_proof_does_not_trust_the_only_version',
    ),
    Ablation(
        'stop: slow streams raise what is expected of others',
        [
            (
                'gateway/drain.py',
                '        self._slowness[service] = ratio',
                '        self._slowness[service] = 1.0',
            ),
        ],
        'tests/gateway/test_drain.py::'
        'test_stopped_host_takes_on_no_stream_that_it_would_cut_off',
    ),
    Ablation(
        'memory: a body takes its declared length first',
        [
            (
                'proxy/listener.py',
                '        memory.resize(declared_bytes)',
                '        memory.resize(0)',
            ),
            (
                'proxy/listener.py',
                '            memory.resize(max(declared_bytes, len(body)))',
                '            memory.resize(len(body))',
            ),
        ],
        'tests/gateway/test_held_memory.py::'
        'test_bodies_being_sent_leave_room_for_small_requests',
    ),
    Ablation(
        'memory: large bodies are let go once they are sent',
        [
            (
                'proxy/sender.py',
                '        request.release_body()',
                '        pass',
            ),
        ],
        'tests/gateway/test_held_memory.py::'
        'test_large_bodies_are_let_go_once_they_are_sent',
    ),
    Ablation(
        'memory: a request without its body has no further try',
        [
            (
                'proxy/retry_rules.py',
                ' or request.is_body_released',
                '',
            ),
        ],
        'tests/gateway/test_held_memory.py::'
        'test_request_without_its_body_is_not_sent_again',
    ),
    Ablation(
        'memory: an unread answer that waits longest ends',
        [
            (
                'proxy/unread_answers.py',
                '            if answer.read_at <= latest:',
                '            if answer.read_at < 0:',
            ),
        ],
        'tests/gateway/test_held_memory.py::'
        'test_answers_that_nobody_reads_end_and_others_go_on',
    ),
]
