"""What a choice costs, and plain calls at a region's peak."""

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthfold.placement import limits
from jacinthfold.placement.choice import Placer
from jacinthfold.placement.decision import PassTo, SendTo
from jacinthfold.placement.estimates import Keeper
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
    scene.hear(0.0)
    request = scene.request(0, 'desk', latency_objective_seconds=0.6)
    assert isinstance(scene.choose(request), PassTo)
    target.own = Load(SLOTS)
    assert isinstance(scene.choose(request), SendTo)


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_keepers_that_matter_give_the_same_choice_as_all(data):
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
        target.kept.note(chain[: data.draw(st.integers(0, 2))])
        unread = data.draw(st.sampled_from([0, 20000, 60000]))
        target.own = Load(2, unread, unread)
    placer: Placer = scene.placer
    estimator, now = placer._estimator, scene.clock.monotonic()
    targets = scene.targets.all()
    memory = scene.targets.service('model').kv_cache_tokens
    shared = request.facts.shared_chain
    every = [
        Keeper(one, kept)
        for one in targets
        if (kept := one.kept.tokens(shared, memory))
        >= limits.COPY_AT_LEAST_TOKENS
    ]
    few = estimator.keepers(request, targets)
    assert len(few) <= len(every)
    for target in targets:
        one = estimator.copying(request, target, now, few)
        other = estimator.copying(request, target, now, every)
        assert one.seconds == other.seconds
        assert one.keeper is other.keeper
