"""Which ends of targets are seen, and what counts as there when they came."""

import asyncio
import itertools

import pytest

from jacinthfold.quarantine import crash_detector as seen
from jacinthfold.quarantine.crash_detector import CrashDetector
from jacinthfold.quarantine.crash_model import CrashCause
from jacinthfold.quarantine.fingerprints import Fingerprints
from tests.gateway.test_placement import Scene


class Watch:
    """Hold a witness, what it reported, and what the network would say."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(seen, 'SETTLE_SECONDS', 0.0)
        monkeypatch.setattr(seen, 'RECHECK_DELAY_SECONDS', 0.0)
        monkeypatch.setattr(seen, 'PROBE_TIMEOUT_SECONDS', 0.0)
        self.scene = Scene()
        self.fingerprints = Fingerprints()
        self.fingerprints.set_key(b'a key')
        self.detector = CrashDetector(
            self.scene.targets, self.fingerprints, self.scene.clock
        )
        self.reports = []
        self.detector.on_crash = self.reports.append
        self.detector.is_listening = self._is_listening
        # By instance: whether something listens; None is no answer.
        self.listening = {}
        self._numbers = itertools.count()

    async def _is_listening(self, target):
        return self.listening.get(target.record.instance, False)

    def begin(self, instance, body=b'', *, has_head=True, has_events=False):
        request = self.scene.request()
        request.body = body or b'body %d' % next(self._numbers)
        target = self.scene.targets.find(instance)
        attempt = self.detector.start_attempt(request, target, lambda: None)
        now = self.scene.clock.monotonic()
        if has_head:
            attempt.record_activity(self.scene.clock)
        if has_events:
            attempt.first_event_at = now + 0.1
        return attempt

    def learn_heads(self, lead_seconds=0.1):
        """Have an answer show when heads come."""
        attempt = self.begin('i-1')
        first_at = attempt.started_at + lead_seconds
        self.detector.record_finish(attempt, first_at, is_broken=False)

    async def break_all(self, *attempts):
        for attempt in attempts:
            first_at = attempt.first_event_at or 0.0
            self.detector.record_finish(attempt, first_at, is_broken=True)
        await self.looked()

    async def looked(self):
        while self.detector._tasks:
            await asyncio.gather(*self.detector._tasks)

    def print_of(self, attempt):
        return self.fingerprints.of(attempt.request)

    def present(self, report):
        return {one.fingerprint for one in report.present}


@pytest.fixture
def watch(monkeypatch):
    made = Watch(monkeypatch)
    for instance in ('i-1', 'i-2', 'i-3'):
        made.scene.add(instance)
    made.learn_heads()
    return made


def test_broken_connections_of_a_target_that_listens_are_no_end(watch):
    """A link was reset: all answers broke off, and the target is well."""
    watch.listening['i-1'] = True
    asyncio.run(watch.break_all(watch.begin('i-1'), watch.begin('i-1')))
    assert watch.reports == []


def test_end_of_a_target_is_told_once_with_all_that_was_there(watch):
    first, queued = watch.begin('i-1'), watch.begin('i-1', has_head=False)
    streaming = watch.begin('i-1', has_events=True)
    watch.begin('i-2')
    asyncio.run(watch.break_all(first, queued, streaming))
    (report,) = watch.reports
    assert report.cause is CrashCause.UNKNOWN
    assert report.present[0].fingerprint == watch.print_of(first)
    found = {
        one.fingerprint: (one.is_started, one.has_events)
        for one in report.present
    }
    assert found == {
        watch.print_of(first): (True, False),
        watch.print_of(queued): (False, False),
        watch.print_of(streaming): (True, True),
    }


def test_heads_that_come_with_the_first_event_tell_nothing(watch):
    """Another maker's engine says nothing before the first event.

    A request without a head may be running there: as queued it would count
    half, and end six engines in place of three.
    """
    for _ in range(20):
        watch.learn_heads(lead_seconds=0.0)
    asyncio.run(watch.break_all(watch.begin('i-1', has_head=False)))
    (report,) = watch.reports
    assert report.present[0].is_started


def test_target_that_was_leaving_has_not_been_ended(watch):
    """A release replaces targets: they drain, and cut what lasts too long."""
    attempt = watch.begin('i-1')
    watch.scene.targets.remove('i-1')
    asyncio.run(watch.break_all(attempt))
    assert watch.reports == []


def test_targets_that_end_together_lost_their_rack(watch):
    """Two targets of a data centre end in the same moment.

    Requests that were at one of them are not what ended both. One that was
    at both may be.
    """
    alone = (watch.begin('i-1'), watch.begin('i-2'))
    asyncio.run(watch.break_all(*alone))
    assert [report.present for report in watch.reports] == [[], []]
    watch.reports.clear()
    for instance in ('i-4', 'i-5'):
        watch.scene.add(instance)
    both = (watch.begin('i-4', b'same'), watch.begin('i-5', b'same'))
    asyncio.run(watch.break_all(*both, watch.begin('i-5')))
    same = {watch.print_of(both[0])}
    assert [watch.present(report) for report in watch.reports] == [same, same]


def test_cold_target_that_got_too_much_was_not_ended_by_one_request(watch):
    """A target crashes when it is sent too much while it is cold."""
    target = watch.scene.add('cold', cold_seconds=3.0)
    assert target.cold_until > watch.scene.clock.monotonic()
    attempts = [watch.begin('cold') for _ in range(8)]
    asyncio.run(watch.break_all(*attempts))
    (report,) = watch.reports
    assert report.cause is CrashCause.COLD_OVERRUN
    assert report.present == []


def test_cold_target_at_its_pace_counts(watch):
    """It had just started and held one request, and ended under it."""
    watch.scene.add('cold', cold_seconds=3.0)
    attempt = watch.begin('cold')
    asyncio.run(watch.break_all(attempt))
    (report,) = watch.reports
    assert watch.present(report) == {watch.print_of(attempt)}


def test_silent_target_has_ended_when_its_record_goes(watch):
    """Its machine went with it: nobody refuses, and nobody answers."""
    watch.listening['i-1'] = None
    attempt = watch.begin('i-1')

    async def lose():
        watch.detector.record_finish(attempt, 0.0, is_broken=True)
        await asyncio.sleep(0.01)
        assert watch.reports == []
        watch.scene.targets.remove('i-1')
        await watch.looked()

    asyncio.run(lose())
    (report,) = watch.reports
    assert watch.present(report) == {watch.print_of(attempt)}


def test_fingerprints_tell_callers_paths_and_bodies_apart():
    """Nobody may have another caller's request refused with the same body."""
    fingerprints = Fingerprints()
    scene = Scene()

    def made(**changes):
        request = scene.request()
        for name, content in changes.items():
            holder = request if hasattr(request, name) else request.facts
            setattr(holder, name, content)
        return fingerprints.of(request)

    assert made() == ''
    fingerprints.set_key(b'a key')
    same = made(body=b'one')
    assert same == made(body=b'one')
    others = {
        made(body=b'two'),
        made(body=b'one', caller='Bearer other'),
        made(body=b'one', method=b'PUT'),
        made(body=b'one', target=b'/y'),
        made(body=b'one', host_name='other.example'),
        made(body=b'', target=b'/xone'),
    }
    assert len(others | {same}) == 7
    fingerprints.set_key(b'another key')
    assert made(body=b'one') != same
