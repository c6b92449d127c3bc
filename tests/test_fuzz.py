"""Feed nonsense to what reads: a clear error, never a crash or a leak."""

import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from jacinthfold import config, options
from jacinthfold.serve import intents
from jacinthfold.serve.answers import CallerError
from jacinthfold.serve.configuration import (
    Change,
    Configuration,
    ConfigurationError,
    decode_snapshot,
)
from jacinthfold.serve.deployment import KINDS, Deployment, Organisation
from jacinthfold.serve.exchange import Knowledge
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.keys import InvalidKeyError, KeyIssuer
from jacinthfold.serve.members import Member, MemberTable
from jacinthfold.serve.peers_pb2 import Exchange
from jacinthfold.serve.reading import completion_work
from jacinthfold.serve.targets import TargetTable
from tests import fakes

CALM = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(HealthCheck),
)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
)
JSON = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
FIELDS = st.sampled_from([
    'kind', 'name', 'action', 'regions', 'home', 'models', 'serves', 'state',
    'url', 'region', 'data_centre', 'key_hashes', 'interface', 'priority',
    'limit_requests_per_second', 'data_centres', 'path_prefix',
    'checks_fencing',
])  # fmt: skip
NEARLY = st.dictionaries(
    FIELDS,
    JSON
    | st.sampled_from([*KINDS, 'put', 'remove', 'active', 'engine', 'a', 'b'])
    | st.lists(st.sampled_from(['a', 'b', 'erie']), max_size=2),
    max_size=9,
)
FREE = Organisation('free', 'erie', ('erie',), ('k',), models=('review',))


@CALM
@given(st.lists(NEARLY, max_size=4) | JSON)
def test_intents_are_refused_or_applied_whole(document):
    try:
        parsed = intents.parse(document)
        after = intents.apply(Deployment(), parsed, 1)
        intents.check(after, [intent.key for intent in parsed])
    except intents.IntentError as error:
        assert error.faults
        return
    again = decode_snapshot(Configuration.encode(after))
    assert again.things.keys() == after.things.keys()


@CALM
@given(st.text(max_size=200))
def test_settings_text_gets_errors_with_places(text):
    with pytest.raises(config.SettingsError) as caught:
        config.parse(text)
    assert caught.value.faults


@CALM
@given(
    st.sampled_from(
        [
            (section, key)
            for section, options in options.OPTIONS.items()
            for key in options
        ]
    ),
    st.text(
        st.characters(exclude_characters='\r\n', codec='utf-8'), max_size=12
    ),
)
def test_one_bad_setting_is_named_with_what_is_allowed(place, value):
    section, key = place
    text = fakes.SETTINGS_TEXT.format(name='host')
    lines = [line for line in text.splitlines() if line.split(' =')[0] != key]
    number = lines.index(f'[{section}]') if f'[{section}]' in lines else None
    if number is None:
        lines += [f'[{section}]']
        number = len(lines) - 1
    lines.insert(number + 1, f'{key} = {value}')
    try:
        config.parse('\n'.join(lines))
    except config.SettingsError as error:
        assert all(fault.strip() for fault in error.faults)


@CALM
@given(JSON)
def test_change_of_a_peer_is_read_or_refused(document):
    with pytest.raises(ConfigurationError):
        Change.from_document(document)


@CALM
@given(st.binary(max_size=200))
def test_snapshot_of_a_peer_is_read_or_refused(value):
    with pytest.raises(ConfigurationError):
        decode_snapshot(value)


@CALM
@given(st.binary(max_size=300))
def test_message_of_a_peer_never_breaks_the_tables(payload):
    clock = fakes.FakeClock()
    made = fakes.settings()
    own = Member('host', 1, ('erie', 'erie-1'), '127.0.0.1', (1, 2, 3, 4))
    knowledge = Knowledge(
        MemberTable(own, made, clock),
        Configuration(clock),
        TargetTable('erie', made, clock),
        Guard('a secret', clock),
    )
    message = Exchange()
    try:
        message.ParseFromString(payload)
    except Exception:
        return
    try:
        knowledge.take_in(message)
    except (ConfigurationError, ValueError):
        pass
    assert knowledge.members.live()
    assert knowledge.message(None, 0).sender == 1
    assert knowledge.configuration.revision == 0


def request(body):
    return Request(EnvironBuilder(method='POST', data=body).get_environ())


@CALM
@given(
    st.binary(max_size=100)
    | JSON.map(json.dumps).map(str.encode)
    | st.dictionaries(
        st.sampled_from(['model', 'messages', 'prompt', 'stream', 'priority']),
        JSON | st.just('review'),
    )
    .map(json.dumps)
    .map(str.encode)
)
def test_completion_is_read_or_refused(body):
    try:
        work = completion_work(FREE, '/v1/completions', request(body), body)
    except CallerError as error:
        assert 400 <= error.status < 500
        return
    assert work.service == 'review'
    assert 0 <= work.priority <= 9


@CALM
@given(st.text(max_size=60) | st.text('jf1.0123abc', max_size=80))
def test_forged_key_is_never_taken(text):
    issuer = KeyIssuer(7, fakes.settings(), fakes.FakeClock())
    try:
        assert issuer.read(text, 'free') is None
    except InvalidKeyError:
        return
    assert not text.startswith('jf1.')


def test_key_is_read_by_its_organisation_alone():
    issuer = KeyIssuer(7, fakes.settings(), fakes.FakeClock())
    key = issuer.issue('free')
    assert issuer.read(key, 'free').incarnation == 7
    with pytest.raises(InvalidKeyError):
        issuer.read(key, 'bound')
