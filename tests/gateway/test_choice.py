"""Copy sources of an estimate, and plain calls to a region with a queue."""

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
    """Guards against calls that wait in a short queue until it rejects them.

    The call would meet its latency objective in this region too, but the
    targets of the other region are idle.
    """
    scene = Scene()
    target = scene.add('i-0', 'desk', slots=SLOTS)
    target.seconds_per_call = 0.06
    target.own = Load(SLOTS + 25)
    scene.receive_report(0.0)
    request = scene.request(0, 'desk', latency_objective_seconds=0.6)
    assert isinstance(scene.choose(request), RelayTo)
    target.own = Load(SLOTS)
    assert isinstance(scene.choose(request), SendTo)


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_deduplicated_copy_sources_give_the_same_estimates(data):
    """Targets of two data centres cache none, one or both prefix segments.

    With one copy source of each kind, the estimates must be the same as with
    every target as a source.
    """
    scene = Scene()
    request = prompt(scene, 'subject')
    names = [prefix.name for prefix in request.facts.shared_prefixes]
    for number in range(data.draw(st.integers(2, 9))):
        data_centre = data.draw(st.sampled_from(['n-1', 's-1']))
        target = scene.add(f'i-{number}', data_centre=data_centre)
        target.cached_prefixes.record_use(names[: data.draw(st.integers(0, 2))])
        pending = data.draw(st.sampled_from([0, 20000, 60000]))
        target.own = Load(2, pending, pending)
    placer: Placer = scene.placer
    estimator, now = placer._estimator, scene.clock.monotonic()
    targets = scene.targets.all()
    memory = scene.targets.service('model').kv_cache_tokens
    shared = request.facts.shared_prefixes
    all_sources = [
        CopySource(one, cached)
        for one in targets
        if (cached := one.cached_prefixes.cached_tokens(shared, memory))
        >= limits.COPY_AT_LEAST_TOKENS
    ]
    distinct_sources = estimator.copy_sources(request, targets)
    assert len(distinct_sources) <= len(all_sources)
    for target in targets:
        one = estimator.estimate_with_copy(
            request, target, now, distinct_sources
        )
        other = estimator.estimate_with_copy(request, target, now, all_sources)
        assert one.seconds == other.seconds
        assert one.copy_source is other.copy_source
