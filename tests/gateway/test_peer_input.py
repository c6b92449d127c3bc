"""Values from targets and other hosts that are malformed or out of range."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthfold.platform.dialect import PlatformDialect
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.outcome import outcome_from_head
from jacinthfold.request.messages import (
    Request,
    RequestFacts,
    ResponseFacts,
    ResponseHead,
)
from jacinthfold.transport.errors import MalformedResponseError
from jacinthfold.transport.exchange import Exchange, _content_length

UNREADABLE = [
    b'nan',
    b'NaN',
    b'inf',
    b'-inf',
    b'Infinity',
    b'-1',
    b'-0.001',
    b'1e999',
    b'9' * 400,
    b'\xb2',
    b'x',
    b'1,2',
    b'0x10',
]
UNREADABLE_IDS = [content[:10].decode('latin-1') for content in UNREADABLE]


@pytest.mark.parametrize('content', UNREADABLE, ids=UNREADABLE_IDS)
def test_unreadable_warm_up_is_reported_and_ignored(content):
    """Guards against a target's header that fails its caller's request."""
    headers = [(b'Warmup-Remaining', content)]
    facts = PlatformDialect().read_response(200, headers)
    assert facts.cold_seconds is None
    assert 'Warmup-Remaining' in facts.invalid_headers


@pytest.mark.parametrize(
    ('content', 'expected_seconds'),
    [(b'1500', 1.5), (b'0', 0.0), (b'3600000', 3600.0), (b'3600001', None)],
)
def test_warm_up_is_bounded(content, expected_seconds):
    headers = [(b'Warmup-Remaining', content)]
    facts = PlatformDialect().read_response(200, headers)
    assert facts.cold_seconds == expected_seconds


@pytest.mark.parametrize('content', UNREADABLE, ids=UNREADABLE_IDS)
def test_unreadable_idle_time_is_ignored(content):
    """Guards against a digit of another script, which float() rejects."""
    headers = [(b'Keep-Alive', b'timeout=' + content)]
    facts = PlatformDialect().read_response(200, headers)
    assert facts.idle_seconds is None or facts.idle_seconds <= 3600


def rejected_by_peer(content):
    headers = [
        (relay_header.OUTCOME_HEADER, relay_header.OUTCOME_NOT_RUN),
        (b'retry-after', content),
    ]
    head = ResponseHead(503, headers, ResponseFacts())
    return outcome_from_head(head, is_peer=True)


@pytest.mark.parametrize('content', UNREADABLE, ids=UNREADABLE_IDS)
def test_unreadable_retry_after_of_a_peer_is_the_default(content):
    """Guards against a peer's header that fails its caller's request.

    The caller gets the default time, and the request still counts as not run.
    """
    outcome = rejected_by_peer(content)
    assert outcome.after_seconds is None
    assert outcome.reason == 'region_refused'


@pytest.mark.parametrize(
    ('content', 'expected_seconds'),
    [(b'0.300', 0.3), (b'0', 0.0), (b'999999999', 60.0), (b'', None)],
)
def test_retry_after_of_a_peer_is_bounded(content, expected_seconds):
    assert rejected_by_peer(content).after_seconds == expected_seconds


@pytest.mark.parametrize('content', UNREADABLE, ids=UNREADABLE_IDS)
def test_content_length_out_of_range_is_a_malformed_response(content):
    """Guards against a length that fails with another error than ProxyError."""
    with pytest.raises(MalformedResponseError, match='Content-Length'):
        _content_length([(b'content-length', content)])


def test_content_length_is_bounded():
    assert _content_length([]) is None
    assert _content_length([(b'content-length', b'7')]) == 7
    with pytest.raises(MalformedResponseError):
        _content_length([(b'content-length', b'9' * 20)])


class BytesChannel:
    """Deliver the bytes of a response."""

    has_unread_bytes = False
    is_peer_closed = False

    def __init__(self, content):
        self.content = content

    async def write(self, _content):
        """Drop what is sent."""

    async def read(self):
        content, self.content = self.content, b''
        return content


@pytest.mark.parametrize('content', [b'-1', b'nan', b'9' * 20, b'9' * 400])
def test_response_with_such_a_length_is_malformed(content):
    """Guards against the length of a real response that passes the parser."""
    wire = b'HTTP/1.1 200 OK\r\nContent-Length: ' + content + b'\r\n\r\n'
    exchange = Exchange(BytesChannel(wire), PlatformDialect())

    async def run():
        await exchange.send(b'GET', b'/x', [(b'Host', b'x')], b'', '1')
        await exchange.read_head()

    with pytest.raises(MalformedResponseError):
        asyncio.run(run())


def route_document(**fields):
    return {
        'service': 'desk',
        'stream': False,
        'repetition': 'whole',
        'aim_seconds': 0.5,
        'gap_aim_seconds': 0,
        'priority': 1,
        'max_attempts': 1,
        'homes': ['north'],
        'left_seconds': 3.0,
        'elapsed_seconds': 0.1,
        **fields,
    }


def applied(content):
    headers = [(relay_header.REQUEST_HEADER, content)]
    request = Request(b'GET', b'/x', headers, b'', RequestFacts('id', 'api'))
    organisation = relay_header.apply_route(request, 100.0)
    return request, organisation


def encoded(**fields):
    return json.dumps(route_document(**fields)).encode()


def test_route_of_the_previous_version_is_applied():
    """Guards against required fields that hosts without organisations omit."""
    request, organisation = applied(encoded(unknown='x'))
    assert organisation == ''
    assert request.service_name == 'desk'
    assert request.deadline == 103.0
    assert request.received_at == 99.9
    assert not request.has_permit
    request, organisation = applied(encoded(organisation='o', paid=True))
    assert (organisation, request.has_permit) == ('o', True)


@pytest.mark.parametrize(
    'name',
    ['aim_seconds', 'gap_aim_seconds', 'left_seconds', 'elapsed_seconds'],
)
@pytest.mark.parametrize(
    'number',
    ['NaN', 'Infinity', '-Infinity', '1e999', '9' * 400, '"1"', 'null', '-1e9'],
    ids=lambda number: number[:10],
)
def test_time_of_a_relayed_route_out_of_range_is_rejected(name, number):
    """Guards against a deadline that never comes, or an uncaught error."""
    document = json.dumps(route_document(**{name: 'number'}))
    content = document.replace('"number"', number).encode()
    with pytest.raises(ValueError, match='jacinthfold-passed'):
        applied(content)


@pytest.mark.parametrize(
    'fields',
    [
        {'service': 7},
        {'stream': 1},
        {'repetition': 'often'},
        {'priority': 'high'},
        {'max_attempts': 0},
        {'max_attempts': -1},
        {'max_attempts': 10**9},
        {'homes': 'north'},
        {'homes': [1]},
        {'elapsed_seconds': -0.1},
        {'aim_seconds': -1},
    ],
    ids=str,
)
def test_malformed_relayed_route_is_rejected(fields):
    with pytest.raises(ValueError, match='jacinthfold-passed'):
        applied(encoded(**fields))


@pytest.mark.parametrize(
    'content', [b'[]', b'7', b'{}', b'{', b'[' * 5000, b'\xff', b'nan']
)
def test_header_that_is_no_route_is_rejected(content):
    with pytest.raises(ValueError, match='jacinthfold-passed'):
        applied(content)


def test_deadline_that_passed_on_the_way_leaves_no_time():
    """Guards against a rejection of requests that are a moment late."""
    request, _ = applied(encoded(left_seconds=-0.02))
    assert request.deadline == 100.0


def test_priority_of_a_relayed_route_is_bounded():
    assert applied(encoded(priority=-5))[0].route.priority == 0
    for priority in (10**15, 10**400):
        request, _ = applied(encoded(priority=priority))
        assert request.route.priority == relay_header.MAX_RELAYED_PRIORITY


@given(
    st.dictionaries(
        st.sampled_from(sorted(route_document())),
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=9)
        | st.lists(st.text(max_size=3), max_size=3),
        max_size=4,
    )
)
def test_any_relayed_route_is_applied_within_bounds_or_rejected(fields):
    try:
        request, _ = applied(encoded(**fields))
    except ValueError:
        return
    assert 100.0 <= request.deadline <= 100.0 + relay_header.MAX_RELAYED_SECONDS
    assert 0 <= request.route.priority <= relay_header.MAX_RELAYED_PRIORITY
