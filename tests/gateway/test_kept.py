"""What is believed of the parts that a target keeps."""

from jacinthfold.placement.kept import TOLD_SECONDS, KeptParts, RecentUses
from jacinthfold.request.messages import PrefixSegment, RequestFacts

MEMORY_TOKENS = 100000


def chain(*names):
    facts = RequestFacts('id', 'api')
    facts.prefix_segments = tuple(PrefixSegment(name, 5000) for name in names)
    return facts.prefixes


def test_nothing_is_kept_that_nobody_sent():
    assert KeptParts().tokens(chain('a', 'own'), MEMORY_TOKENS) == 0


def test_part_is_kept_only_with_all_before_it():
    kept = KeptParts()
    kept.note(link.name for link in chain('a', 'b'))
    assert kept.tokens(chain('a', 'b', 'own'), MEMORY_TOKENS) == 10000
    assert kept.tokens(chain('x', 'b', 'own'), MEMORY_TOKENS) == 0


def test_newer_prompts_fill_the_memory():
    """A subject is asked for again after 80,000 tokens of other prompts."""
    kept = KeptParts()
    kept.note(['/a'])
    kept.note_read(50000)
    assert kept.tokens(chain('a'), MEMORY_TOKENS) == 5000
    kept.take_counter('b', 30000)
    assert kept.tokens(chain('a'), MEMORY_TOKENS) == 0


def test_counter_of_a_host_that_started_again_adds_up():
    kept = KeptParts()
    kept.take_counter('b', 30000)
    kept.take_counter('b', 30000)
    kept.take_counter('b', 10000)
    assert kept.read_tokens == 40000


def test_uses_are_told_for_a_while():
    uses = RecentUses()
    uses.note('i-1', '/a', 1.0)
    uses.note('i-2', '/b', 1.5)
    assert uses.by_life(1.6) == {'i-1': ['/a'], 'i-2': ['/b']}
    assert uses.by_life(1.1 + TOLD_SECONDS) == {'i-2': ['/b']}
