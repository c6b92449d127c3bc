"""Targets that fail for a while, seen by the hosts of a region together."""

import pytest

from jacinthfold.fleet.heartbeat_message import decode, encode
from jacinthfold.placement import limits
from jacinthfold.placement.failure_rate import (
    TRIALS_TO_RETURN,
    FailureRate,
    TrialEvent,
)
from jacinthfold.placement.trial_reports import MAX_REPORTS, apply_reports
from tests.gateway.failing_targets import FAILURE_SECONDS, FailingReplay
from tests.gateway.test_placement import Scene

FAILING_SECONDS = 20.0
# Until hosts know of a failure, each of them may lose a request.
DETECTION_SECONDS = 3.0
HALF_SHARE_SECONDS = 5.0
FULL_SHARE_SECONDS = 10.0
MEASURED_SECONDS = 3.0
# With about 150 calls per target, a fair share varies by a tenth.
NEARLY_FULL = 0.75
MAX_COST = 0.01


@pytest.mark.parametrize('hosts', [1, 8, 60])
@pytest.mark.parametrize('kind', sorted(FAILURE_SECONDS))
def test_failing_target_costs_little_and_returns(kind, hosts):
    """Guards against targets that get no requests after they recovered.

    Also against hosts that each try a failing target: 60 hosts would send 60
    times as many trials as one.
    """
    replay = FailingReplay(hosts)
    replay.run(2.0)
    since = replay.now
    replay.kinds['i-1'] = kind
    replay.run(FAILING_SECONDS)
    until = replay.now
    later = since + DETECTION_SECONDS
    made = sum(later <= at < until for at in replay.requests)
    failed = replay.failed(later, until)
    assert len(failed) <= MAX_COST * made
    assert replay.failed(until - limits.EJECT_LIMIT_SECONDS * 3, until)
    # One trial for each pause, and as many again by hosts that heard late.
    most_trials = 2 * FAILING_SECONDS / limits.EJECT_LIMIT_SECONDS
    assert sum(one.is_trial for one in replay.failed(since)) <= most_trials
    replay.kinds.clear()
    replay.run(HALF_SHARE_SECONDS)
    measured_from = replay.now
    replay.run(MEASURED_SECONDS)
    assert replay.share('i-1', measured_from) >= 0.5
    replay.run(FULL_SHARE_SECONDS - HALF_SHARE_SECONDS - MEASURED_SECONDS)
    measured_from = replay.now
    replay.run(MEASURED_SECONDS)
    assert replay.share('i-1', measured_from) >= NEARLY_FULL


def test_path_cut_for_some_hosts_is_used_again():
    """Guards against hosts that never return to a target of their own path.

    The others see no failure, rank before it and never try the target.
    """
    replay = FailingReplay(8)
    replay.run(2.0)
    replay.cut_hosts = {'h003', 'h005'}
    replay.kinds['i-1'] = 'silent'
    replay.run(10.0)
    others = set(replay.fleet.hosts) - replay.cut_hosts
    assert replay.share('i-1', replay.now - 5, others) >= NEARLY_FULL
    replay.kinds.clear()
    replay.run(HALF_SHARE_SECONDS)
    measured_from = replay.now
    replay.run(MEASURED_SECONDS)
    assert replay.share('i-1', measured_from, replay.cut_hosts) >= 0.5


@pytest.mark.parametrize('hosts', [1, 8])
def test_first_in_rank_may_die_during_trials(hosts):
    """Guards against a target that only a dead host may try."""
    replay = FailingReplay(hosts + 1)
    replay.kinds['i-1'] = 'error'
    replay.run(5.0)
    some = next(iter(replay.fleet.hosts.values()))
    rate = some.scene.targets.find('i-1').failure_rate
    key = f'i-1/{rate.round % 32}'
    for host in replay.fleet.hosts.values():
        if host.scene.pace.ranks.position(key) == 0:
            host.is_running = False
    replay.kinds.clear()
    replay.run(HALF_SHARE_SECONDS)
    measured_from = replay.now
    replay.run(MEASURED_SECONDS)
    assert replay.share('i-1', measured_from) >= 0.5


def test_unrepeatable_requests_are_tried_last():
    """Guards against trials that lose calls that may run only once."""
    replay = FailingReplay(4, repeatable_share=0.5)
    replay.kinds['i-1'] = 'error'
    replay.run(20.0)
    trials = [one for one in replay.arrivals if one.is_trial]
    assert trials
    assert sum(not one.is_repeatable for one in trials) <= len(trials) / 10


def test_service_with_only_unrepeatable_requests_returns():
    replay = FailingReplay(4, repeatable_share=0.0)
    replay.kinds['i-1'] = 'error'
    replay.run(5.0)
    replay.kinds.clear()
    replay.run(HALF_SHARE_SECONDS)
    measured_from = replay.now
    replay.run(MEASURED_SECONDS)
    assert replay.share('i-1', measured_from) >= 0.5


def ejected_rate(now):
    rate = FailureRate()
    assert rate.record_failure(now, now, is_unreachable=True)
    return rate


def test_answer_to_a_request_from_before_the_failure_is_no_trial():
    rate = ejected_rate(10.0)
    for _ in range(TRIALS_TO_RETURN + 1):
        assert not rate.record_success(9.0, 10.5)
    assert rate.is_ejected
    assert [rate.record_success(11.0, 11.1) for _ in range(2)] == [False, True]


def test_time_out_from_before_the_return_does_not_eject_again():
    rate = ejected_rate(10.0)
    for _ in range(TRIALS_TO_RETURN):
        rate.record_success(12.0, 12.1)
    assert not rate.record_failure(9.5, 12.5, is_unreachable=True)
    assert not rate.is_ejected


def test_cut_stream_is_no_answered_trial_after_its_first_event():
    """Guards against a target whose streams all end early and that returns."""
    rate = FailureRate()
    for _ in range(limits.FAILURES_TO_EJECT):
        rate.record_failure(10.0, 10.0, is_unreachable=False, is_cut=True)
    assert rate.is_ejected
    for _ in range(TRIALS_TO_RETURN):
        assert not rate.record_first_event(13.0, 13.1)
    assert rate.is_ejected


def test_reported_return_is_taken_back_with_the_next_reported_failure():
    rate = ejected_rate(10.0)
    assert rate.apply_report(TrialEvent.RETURNED, 12.0, 1, 12.2)
    assert not rate.apply_report(TrialEvent.FAILED, 11.9, 1, 12.3)
    assert rate.apply_report(TrialEvent.FAILED, 12.5, 1, 12.6)
    assert rate.is_ejected


def test_reported_failure_alone_does_not_eject():
    """Guards against a host with a cut path that ejects targets for all."""
    rate = FailureRate()
    assert not rate.apply_report(TrialEvent.FAILED, 10.0, 1, 10.2)
    assert not rate.is_ejected
    assert rate.share(10.2) > 0
    rate.record_success(10.5, 10.6)
    assert not rate.record_failure(10.7, 10.7, is_unreachable=False)


@pytest.mark.parametrize(
    'report', [(-1, 0, 0), (0, -1, 0), (0, 10**9, 0), (0, 0, 3), (0, 0, -1)]
)
def test_invalid_report_is_ignored(report):
    scene = Scene()
    target = scene.add('i-1')
    now = scene.clock.monotonic()
    apply_reports(scene.targets, {'i-1': report, 'i-9': (0, 0, 0)}, now)
    assert target.failure_rate.share(now) == 0
    assert target.failure_rate.round == 0


def test_heartbeat_of_the_previous_version_has_no_reports():
    replay = FailingReplay(2)
    builder = next(iter(replay.fleet.hosts.values())).heartbeats.builder
    heartbeat = builder.for_own_region(1, is_full=False)
    content = encode(heartbeat).replace(b',"trials":{}', b'')
    assert b'trials' not in content
    assert decode(content).trials == {}


def test_heartbeat_carries_a_bounded_number_of_reports():
    """Guards against heartbeats that grow when all targets fail at once."""
    names = tuple(f'i-{number}' for number in range(3 * MAX_REPORTS))
    replay = FailingReplay(2, names)
    host = next(iter(replay.fleet.hosts.values()))
    for name in names:
        target = host.scene.targets.find(name)
        target.record_failure(replay.now, is_unreachable=True)
    heartbeat = host.heartbeats.builder.for_own_region(1, is_full=False)
    assert len(heartbeat.trials) == MAX_REPORTS


def test_slow_answers_during_a_failure_do_not_count_after_the_return():
    """Guards against targets that get no requests after another one returned.

    While three of four targets were ejected, the fourth was overloaded. It was
    measured slow, and got 5 of some 850 calls after the others had returned.
    """
    scene = Scene()
    failing, left = scene.add('i-1'), scene.add('i-2')
    failing.record_failure(10.0, is_unreachable=True)
    for one in (failing, left):
        one.seconds_per_call = 2.0
        for _ in range(10):
            one.record_success(2.0, 0.1)
        assert one.slowness > 4
    for _ in range(TRIALS_TO_RETURN):
        failing.record_served(12.0, 12.1)
    assert not failing.is_ejected
    for one in (failing, left):
        assert (one.slowness, one.seconds_per_call) == (
            1.0,
            limits.CALL_SECONDS,
        )


def test_plain_target_that_was_slow_for_a_moment_gets_calls_again():
    """Guards against a target that counts as slow for ever.

    A few calls took twice their time while the host was busy. The target gets
    no more calls then, since others are as idle, and has no answers that could
    show its usual speed.
    """
    scene = Scene()
    slow, _ = scene.add('i-1', 'desk'), scene.add('i-2', 'desk')
    for _ in range(20):
        slow.record_call(0.1, 0.05, scene.clock.monotonic())

    def chosen():
        return {
            scene.instance(
                scene.request(0, 'desk', latency_objective_seconds=0.6)
            )
            for _ in range(40)
        }

    assert chosen() == {'i-2'}
    scene.clock.advance(2.5)
    assert chosen() == {'i-1', 'i-2'}
    slow.record_call(0.05, 0.05, scene.clock.monotonic())
    assert chosen() == {'i-1', 'i-2'}


def test_events_are_counted_by_service():
    scene = Scene()
    counted = []
    scene.targets.on_failure_event = lambda *event: counted.append(event)
    target, _ = scene.add('i-1', 'desk'), scene.add('i-2', 'desk')
    now = scene.clock.monotonic()
    target.record_failure(now, is_unreachable=True)
    scene.clock.advance(limits.EJECT_SECONDS)
    for _ in range(TRIALS_TO_RETURN):
        request = scene.request(0, 'desk', latency_objective_seconds=0.6)
        choice = scene.choose(request)
        assert choice.estimate.target is target
        scene.placer.record_sent(choice, request)
        now = scene.clock.monotonic()
        target.record_served(now, now)
    events = ['ejected', 'trial', 'trial', 'returned']
    assert counted == [('desk', event) for event in events]
