"""Safeguards of answers whose end only their connection marks."""

from tools.ablations.model import Ablation

ANSWERS = 'tests/gateway/test_answers_without_length.py::'
EARLY = 'tests/gateway/test_early_answers.py::'
DENIALS = (
    'tests/gateway/test_denials.py::'
    'test_what_was_added_is_not_denied_once_it_has_to_be_in_force'
)
ENDS = 'tests/gateway/test_ends_within_answers.py::'

ANSWER_ENDS = [
    Ablation(
        'answers: a stream that ends inside an event is broken off',
        [
            (
                'proxy/delivery.py',
                'if splitter.is_inside_event and _has_events(head):',
                'if False:',
            ),
        ],
        ANSWERS
        + 'test_stream_broken_inside_an_event_is_not_framed_as_complete[False]',
    ),
    Ablation(
        'answers: an unmarked end is passed on unmarked',
        [
            (
                'proxy/delivery.py',
                'return request.is_relayed or head.body_end is not BodyEnd.CONNECTION',
                'return True',
            ),
        ],
        ANSWERS
        + 'test_stream_whose_end_is_not_known_is_not_framed_as_complete[/chat/1]',
    ),
    Ablation(
        'answers: hosts tell each other that an end was not marked',
        [
            (
                'proxy/delivery.py',
                '            relay_header.take_end(head)\n',
                '',
            ),
        ],
        ANSWERS
        + 'test_relayed_answer_whose_end_is_not_known_is_not_framed_as_complete',
    ),
    Ablation(
        'answers: a stream that promised its end is left open without one',
        [
            (
                'proxy/delivery.py',
                'if self._response.promises_end and head.body_end is',
                'if False and head.body_end is',
            ),
        ],
        ANSWERS
        + 'test_stream_that_promised_an_end_is_left_open_if_none_is_known',
    ),
    Ablation(
        'answers: a connection that this host ends is no end of an answer',
        [
            (
                'transport/channel.py',
                "raise ConnectionLostError('closed by this host')",
                "return b''",
            ),
        ],
        ANSWERS + 'test_connection_that_this_host_ends_is_no_end_of_an_answer',
    ),
    Ablation(
        'answers: a broken answer without chunks ends by a reset',
        [
            (
                'proxy/caller_response.py',
                'self._channel.set_reset_on_close(is_on=True)',
                'pass',
            ),
        ],
        ANSWERS
        + 'test_broken_stream_looks_broken_to_callers_of_each_version[1.0]',
    ),
    Ablation(
        'answers: the kernel resets what a killed host leaves open',
        [
            (
                'proxy/caller_response.py',
                'self._channel.set_reset_on_close(is_on=True)',
                'pass',
            ),
        ],
        ENDS + 'test_stream_looks_broken_when_its_host_is_killed[unmarked-9]',
    ),
    Ablation(
        'answers: a whole answer ends in an orderly way',
        [
            (
                'proxy/caller_response.py',
                'self._channel.set_reset_on_close(is_on=False)',
                'pass',
            ),
        ],
        ENDS + 'test_whole_answers_end_in_an_orderly_way[1.1]',
    ),
    Ablation(
        'answers: a response is finished when its host holds no more of it',
        [
            (
                'transport/channel.py',
                '0 if is_on else SEND_BUFFER_BYTES',
                'SEND_BUFFER_BYTES',
            ),
        ],
        ENDS + 'test_response_is_not_finished_while_its_host_holds_the_end',
    ),
    Ablation(
        'answers: a part that ends while the upload is on its way is broken',
        [
            (
                'transport/exchange.py',
                'if self._body_end is BodyEnd.CONNECTION and is_request_lost:',
                'if False:',
            ),
        ],
        EARLY + 'test_part_that_ends_an_upload_is_no_answer'
        '[/order/1-shutdown-connection]',
    ),
    Ablation(
        'answers: a status above 599 is no response',
        [('request/numbers.py', 'MAX_STATUS = 599', 'MAX_STATUS = 999')],
        EARLY + 'test_status_that_is_none_is_no_response[600]',
    ),
    Ablation(
        'answers: an unknown path is denied by recent records alone',
        [
            (
                'gateway/request_handlers.py',
                'may_deny = await self._denials.may_deny()',
                'pass',
            ),
        ],
        DENIALS + '[/new/x-404-0]',
    ),
    Ablation(
        'answers: an unknown key is denied by recent records alone',
        [
            (
                'gateway/request_handlers.py',
                'if not await self._denials.may_deny():',
                'if False:',
            ),
        ],
        DENIALS + '[/desk/x-401-0]',
    ),
]
