"""What a choice costs, and plain calls at a region's peak."""

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthfold.placement import limits
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.decision import RelayTo, SendTo
from jacinthfold.placement.estimates import CopySource
from jacinthfold.placement.target import Load
from tests.gateway.test_placement import Scene, prompt

SLOTS = 6


def test_plain_call_leaves_a_region_whose_targets_make_it_wait():
    """A region's desks have a queue of calls, another region's stand idle.

    In its aim the call would be here too, but the queue is short, and what
    finds it full is turned away.
    """
    scene = Scene()
    target = scene.add('i-0', 'desk', slots=SLOTS)
    target.seconds_per_call = 0.06
    target.own = Load(SLOTS + 25)
    scene.receive_report(0.0)
    request = scene.request(0, 'desk', aim_seconds=0.6)
    assert isinstance(scene.choose(request), RelayTo)
    target.own = Load(SLOTS)
    assert isinstance(scene.choose(request), SendTo)


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_deduplicated_copy_sources_give_the_same_estimates(data):
    """Targets of two data centres keep nothing, one part, or both.

    Compared with every target as a keeper, the chosen few must lead to the
    same estimate of each.
    """
    scene = Scene()
    request = prompt(scene, 'subject')
    chain = [link.name for link in request.facts.shared_chain]
    for number in range(data.draw(st.integers(2, 9))):
        place = data.draw(st.sampled_from(['n-1', 's-1']))
        target = scene.add(f'i-{number}', data_centre=place)
        target.cached_prefixes.record_use(chain[: data.draw(st.integers(0, 2))])
        pending = data.draw(st.sampled_from([0, 20000, 60000]))
        target.own = Load(2, pending, pending)
    placer: Placer = scene.placer
    estimator, now = placer._estimator, scene.clock.monotonic()
    targets = scene.targets.all()
    memory = scene.targets.service('model').memory_tokens
    shared = request.facts.shared_chain
    every = [
        CopySource(one, kept)
        for one in targets
        if (kept := one.cached_prefixes.cached_tokens(shared, memory))
        >= limits.COPY_AT_LEAST_TOKENS
    ]
    few = estimator.copy_sources(request, targets)
    assert len(few) <= len(every)
    for target in targets:
        one = estimator.estimate_with_copy(request, target, now, few)
        other = estimator.estimate_with_copy(request, target, now, every)
        assert one.seconds == other.seconds
        assert one.copy_source is other.copy_source
