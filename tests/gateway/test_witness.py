"""Which crashes are detected, and which requests count as present."""

import asyncio
import itertools

import pytest

from jacinthfold.quarantine import crash_detector as detector_module
from jacinthfold.quarantine.crash_detector import CrashDetector
from jacinthfold.quarantine.crash_model import CrashCause
from jacinthfold.quarantine.fingerprints import Fingerprints
from tests.gateway.test_placement import Scene


class Harness:
    """Crash detector with its reports and simulated probe results."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(detector_module, 'SETTLE_SECONDS', 0.0)
        monkeypatch.setattr(detector_module, 'RECHECK_DELAY_SECONDS', 0.0)
        monkeypatch.setattr(detector_module, 'PROBE_TIMEOUT_SECONDS', 0.0)
        self.scene = Scene()
        self.fingerprints = Fingerprints()
        self.fingerprints.set_key(b'a key')
        self.detector = CrashDetector(
            self.scene.targets, self.fingerprints, self.scene.clock
        )
        self.reports = []
        self.detector.on_crash = self.reports.append
        self.detector.is_listening = self._is_listening
        # By instance: whether the port is open; None for no response.
        self.listening = {}
        self._numbers = itertools.count()

    async def _is_listening(self, target):
        return self.listening.get(target.record.instance, False)

    def start(self, instance, body=b'', *, has_head=True, has_events=False):
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
        """Record a response to learn when heads come."""
        attempt = self.start('i-1')
        first_at = attempt.started_at + lead_seconds
        self.detector.record_finish(attempt, first_at, is_broken=False)

    async def break_all(self, *attempts):
        for attempt in attempts:
            first_at = attempt.first_event_at or 0.0
            self.detector.record_finish(attempt, first_at, is_broken=True)
        await self.wait_confirmed()

    async def wait_confirmed(self):
        while self.detector._tasks:
            await asyncio.gather(*self.detector._tasks)

    def fingerprint_of(self, attempt):
        return self.fingerprints.of(attempt.request)

    def present(self, report):
        return {one.fingerprint for one in report.present}


@pytest.fixture
def harness(monkeypatch):
    harness_with_targets = Harness(monkeypatch)
    for instance in ('i-1', 'i-2', 'i-3'):
        harness_with_targets.scene.add(instance)
    harness_with_targets.learn_heads()
    return harness_with_targets


def test_broken_connections_of_a_listening_target_are_no_crash(harness):
    """A link was reset: all responses broke, and the target is healthy."""
    harness.listening['i-1'] = True
    asyncio.run(harness.break_all(harness.start('i-1'), harness.start('i-1')))
    assert harness.reports == []


def test_crash_is_reported_once_with_all_present_requests(harness):
    first, queued = harness.start('i-1'), harness.start('i-1', has_head=False)
    streaming = harness.start('i-1', has_events=True)
    harness.start('i-2')
    asyncio.run(harness.break_all(first, queued, streaming))
    (report,) = harness.reports
    assert report.cause is CrashCause.UNKNOWN
    assert report.present[0].fingerprint == harness.fingerprint_of(first)
    found = {
        one.fingerprint: (one.is_started, one.has_events)
        for one in report.present
    }
    assert found == {
        harness.fingerprint_of(first): (True, False),
        harness.fingerprint_of(queued): (False, False),
        harness.fingerprint_of(streaming): (True, True),
    }


def test_heads_that_come_with_the_first_event_are_ignored(harness):
    """Some engines send nothing before the first event.

    A request without a head may be running there. Counted as queued it would
    weigh half, and could crash six engines instead of three.
    """
    for _ in range(20):
        harness.learn_heads(lead_seconds=0.0)
    asyncio.run(harness.break_all(harness.start('i-1', has_head=False)))
    (report,) = harness.reports
    assert report.present[0].is_started


def test_target_that_was_leaving_has_not_crashed(harness):
    """A release replaces targets, which drain and cut long requests."""
    attempt = harness.start('i-1')
    harness.scene.targets.remove('i-1')
    asyncio.run(harness.break_all(attempt))
    assert harness.reports == []


def test_simultaneous_crashes_are_a_lost_rack(harness):
    """Two targets of a data centre crash at the same time.

    A request present at only one of them didn't crash both. One present at both
    may have.
    """
    alone = (harness.start('i-1'), harness.start('i-2'))
    asyncio.run(harness.break_all(*alone))
    assert [report.present for report in harness.reports] == [[], []]
    harness.reports.clear()
    for instance in ('i-4', 'i-5'):
        harness.scene.add(instance)
    both = (harness.start('i-4', b'same'), harness.start('i-5', b'same'))
    asyncio.run(harness.break_all(*both, harness.start('i-5')))
    same = {harness.fingerprint_of(both[0])}
    assert [harness.present(report) for report in harness.reports] == [
        same,
        same,
    ]


def test_crash_of_an_overloaded_cold_target_blames_no_request(harness):
    """A cold target crashes because it receives too many requests."""
    target = harness.scene.add('cold', cold_seconds=3.0)
    assert target.cold_until > harness.scene.clock.monotonic()
    attempts = [harness.start('cold') for _ in range(8)]
    asyncio.run(harness.break_all(*attempts))
    (report,) = harness.reports
    assert report.cause is CrashCause.COLD_OVERRUN
    assert report.present == []


def test_crash_of_a_cold_target_within_its_rate_counts(harness):
    """A target that has just started crashes with a single request."""
    harness.scene.add('cold', cold_seconds=3.0)
    attempt = harness.start('cold')
    asyncio.run(harness.break_all(attempt))
    (report,) = harness.reports
    assert harness.present(report) == {harness.fingerprint_of(attempt)}


def test_silent_target_has_crashed_when_its_record_is_removed(harness):
    """The machine is gone too, so connections are not even refused."""
    harness.listening['i-1'] = None
    attempt = harness.start('i-1')

    async def lose():
        harness.detector.record_finish(attempt, 0.0, is_broken=True)
        await asyncio.sleep(0.01)
        assert harness.reports == []
        harness.scene.targets.remove('i-1')
        await harness.wait_confirmed()

    asyncio.run(lose())
    (report,) = harness.reports
    assert harness.present(report) == {harness.fingerprint_of(attempt)}


def test_fingerprints_differ_by_caller_path_and_body():
    """Nobody may have another caller's request refused with the same body."""
    fingerprints = Fingerprints()
    scene = Scene()

    def fingerprint(**changes):
        request = scene.request()
        for name, content in changes.items():
            holder = request if hasattr(request, name) else request.facts
            setattr(holder, name, content)
        return fingerprints.of(request)

    assert fingerprint() == ''
    fingerprints.set_key(b'a key')
    same = fingerprint(body=b'one')
    assert same == fingerprint(body=b'one')
    others = {
        fingerprint(body=b'two'),
        fingerprint(body=b'one', caller='Bearer other'),
        fingerprint(body=b'one', method=b'PUT'),
        fingerprint(body=b'one', target=b'/y'),
        fingerprint(body=b'one', host_name='other.example'),
        fingerprint(body=b'', target=b'/xone'),
    }
    assert len(others | {same}) == 7
    fingerprints.set_key(b'another key')
    assert fingerprint(body=b'one') != same
