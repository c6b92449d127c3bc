"""The model of the prompt prefixes that a target has cached."""

from jacinthfold.placement.prefix_cache import (
    USE_REPORT_SECONDS,
    CachedPrefixes,
    RecentPrefixUses,
)
from jacinthfold.request.messages import PrefixSegment, RequestFacts

MEMORY_TOKENS = 100000


def prefixes_of(*names):
    facts = RequestFacts('id', 'api')
    facts.prefix_segments = tuple(PrefixSegment(name, 5000) for name in names)
    return facts.prefixes


def test_prefix_that_nobody_sent_is_not_cached():
    assert (
        CachedPrefixes().cached_tokens(prefixes_of('a', 'own'), MEMORY_TOKENS)
        == 0
    )


def test_segment_is_cached_only_with_all_before_it():
    cached = CachedPrefixes()
    cached.record_use(prefix.name for prefix in prefixes_of('a', 'b'))
    assert (
        cached.cached_tokens(prefixes_of('a', 'b', 'own'), MEMORY_TOKENS)
        == 10000
    )
    assert (
        cached.cached_tokens(prefixes_of('x', 'b', 'own'), MEMORY_TOKENS) == 0
    )


def test_newer_prompts_evict_older_prefixes():
    """A prefix is requested again after 80,000 tokens of other prompts."""
    cached = CachedPrefixes()
    cached.record_use(['/a'])
    cached.add_prefilled(50000)
    assert cached.cached_tokens(prefixes_of('a'), MEMORY_TOKENS) == 5000
    cached.update_counter('b', 30000)
    assert cached.cached_tokens(prefixes_of('a'), MEMORY_TOKENS) == 0


def test_counter_of_a_restarted_host_adds_up():
    cached = CachedPrefixes()
    cached.update_counter('b', 30000)
    cached.update_counter('b', 30000)
    cached.update_counter('b', 10000)
    assert cached.prefilled_tokens == 40000


def test_uses_are_reported_for_a_while():
    uses = RecentPrefixUses()
    uses.record_use('i-1', '/a', 1.0)
    uses.record_use('i-2', '/b', 1.5)
    assert uses.by_incarnation(1.6) == {'i-1': ['/a'], 'i-2': ['/b']}
    assert uses.by_incarnation(1.1 + USE_REPORT_SECONDS) == {'i-2': ['/b']}


def test_names_of_long_prompts_stay_short():
    """Guards against tables and heartbeats that long prompts fill."""
    names = [f'{number:08x}' for number in range(1300)]
    prefixes = prefixes_of(*names)
    assert max(len(prefix.name) for prefix in prefixes) <= 64
    assert len({prefix.name for prefix in prefixes}) == len(names)
    # Prompts with the same beginning share its names.
    other = prefixes_of(*names[:700], 'other', *names[701:])
    assert [one.name for one in other[:700]] == [
        one.name for one in prefixes[:700]
    ]
    assert not {one.name for one in other[700:]} & {
        one.name for one in prefixes
    }
    assert len(prefixes_of('x' * 9000)[0].name) <= 64
