"""Which parts of prompts are suspected, and what clears them."""

import asyncio

import pytest

from jacinthfold.organisations.model import Organisation
from jacinthfold.quarantine import crash_detector as detector_module
from jacinthfold.quarantine import prompt_parts
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quarantine.suspects import PART_DELAY_SECONDS
from jacinthfold.request.messages import PrefixSegment
from tests.gateway.test_placement import Scene

BAD, SYSTEM = 'bad', 'system'


class NoStore:
    """Stand for a store that is never called."""


class Harness:
    """A host's quarantine beside engines that end and come back."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(detector_module, 'SETTLE_SECONDS', 0.0)
        self.scene = Scene()
        self.clock = self.scene.clock
        for number in range(9):
            self.scene.add(f'i-{number}')
        self.quarantine = Quarantine(self.scene.targets, NoStore(), self.clock)
        self.quarantine._fingerprints.set_key(b'key')
        self.detector = self.quarantine.crash_detector
        self.detector.is_listening = self._is_listening
        self.numbers = iter(range(10**6))

    async def _is_listening(self, _target):
        return False

    def request(self, *parts, organisation=None):
        request = self.scene.request()
        request.body = b'%d' % next(self.numbers)
        names = [*parts, f'own-{next(self.numbers)}']
        request.facts.prefix_segments = tuple(
            PrefixSegment(name, 10) for name in names
        )
        if organisation:
            request.organisation = Organisation(organisation, ())
        return request

    def start(self, target, *parts, **options):
        request = self.request(*parts, **options)
        found = self.scene.targets.find(target)
        attempt = self.detector.start_attempt(request, found, lambda: None)
        attempt.record_activity(self.clock)
        return attempt

    def serve(self, target, *parts, **options):
        """Answer a prompt; the target stands long enough after it."""
        attempt = self.start(target, *parts, **options)
        self.detector.parts.record_begun(attempt)
        self.detector.record_finish(
            attempt, self.clock.monotonic(), is_broken=False, is_complete=True
        )
        self.clock.advance(prompt_parts.BORNE_SECONDS + 0.1)
        self.detector.parts.settle()

    def crash(self, target, *attempts):
        async def break_all():
            for attempt in attempts:
                first = attempt.first_event_at or 0.0
                self.detector.record_finish(attempt, first, is_broken=True)
            while self.detector._tasks:
                await asyncio.gather(*self.detector._tasks)

        asyncio.run(break_all())
        self.clock.advance(0.2)

    def crash_under(self, count, *parts, first=0, **options):
        for number in range(first, first + count):
            target = f'i-{number}'
            self.crash(target, self.start(target, *parts, **options))

    def is_refused(self, *parts, **options):
        self.clock.advance(PART_DELAY_SECONDS)
        request = self.request(*parts, **options)
        return self.quarantine.refusal(request) is not None


@pytest.fixture
def harness(monkeypatch):
    return Harness(monkeypatch)


def test_part_at_three_crashes_is_refused_and_its_neighbours_are_not(harness):
    """Guards against new prompts with the part, and against blaming others."""
    harness.serve('i-8', SYSTEM)
    harness.crash_under(3, SYSTEM, BAD)
    assert harness.is_refused(SYSTEM, BAD)
    assert harness.is_refused('other', BAD, 'more')
    assert not harness.is_refused(SYSTEM, 'other')


def test_part_that_no_host_has_seen_borne_is_not_blamed_for_another(harness):
    """Guards against refusing the common part on hosts that just started."""
    harness.crash_under(1, SYSTEM, BAD)
    for _ in range(3):
        harness.is_refused(SYSTEM, 'sound')
    harness.crash_under(2, SYSTEM, BAD, first=1)
    assert harness.is_refused(SYSTEM, BAD)
    assert not harness.is_refused(SYSTEM, 'sound')


def test_last_part_is_not_suspected(harness):
    """Guards against parts that belong to one request only."""
    harness.serve('i-8', SYSTEM)
    harness.crash_under(3, SYSTEM)
    assert len(harness.quarantine.suspects.refused()) == 0


def test_part_that_targets_bear_between_crashes_is_never_refused(harness):
    """Guards against refusing what only was present, at any crash."""
    for number in range(6):
        harness.crash_under(1, SYSTEM, first=number)
        harness.serve('i-8', SYSTEM)
        assert not harness.is_refused(SYSTEM)


def test_streams_that_have_gone_on_for_some_time_clear_their_parts(harness):
    """Guards against blaming a long stream beside the culprit."""
    for number in range(3):
        target = f'i-{number}'
        stream = harness.start(target, 'long')
        stream.first_event_at = harness.clock.monotonic()
        harness.clock.advance(prompt_parts.BORNE_SECONDS + 1)
        harness.crash(target, stream, harness.start(target, BAD))
    assert harness.is_refused(BAD)
    assert not harness.is_refused('long')


def test_stream_at_a_silent_target_does_not_clear_its_parts(harness):
    """Guards against a dark machine whose connections stay open."""
    harness.crash_under(2, BAD)
    attempt = harness.start('i-2', BAD)
    harness.detector.parts.record_begun(attempt)
    harness.clock.advance(prompt_parts.BORNE_SECONDS + 1)
    harness.detector.parts.settle()
    harness.crash('i-2', attempt)
    assert harness.is_refused(BAD)


def test_part_that_was_sound_long_ago_is_suspected(harness):
    """Guards against a part that goes bad and is trusted for ever."""
    harness.serve('i-8', BAD)
    harness.clock.advance(prompt_parts.SOUND_SECONDS + 1)
    harness.crash_under(3, BAD)
    assert harness.is_refused(BAD)


def test_hosts_that_have_seen_a_part_borne_clear_it_for_others(harness):
    """Guards against a host that suspects what others serve."""
    harness.crash_under(3, SYSTEM)
    reports = harness.quarantine.suspects.reports_to_send(
        is_near=True, is_full=True
    )
    assert harness.is_refused(SYSTEM)
    other = Harness(pytest.MonkeyPatch())
    other.serve('i-8', SYSTEM)
    other.quarantine.suspects.merge_reports(reports, is_near=True)
    assert not other.is_refused(SYSTEM)
    answers = other.quarantine.suspects.reports_to_send(
        is_near=True, is_full=True
    )
    harness.quarantine.suspects.merge_reports(answers, is_near=True)
    assert not harness.is_refused(SYSTEM)


def test_part_of_another_organisation_is_not_refused(harness):
    """Guards against getting another one's prompts refused by crashes."""
    harness.crash_under(3, BAD, organisation='one')
    assert harness.is_refused(BAD, organisation='one')
    assert not harness.is_refused(BAD, organisation='two')


def test_part_may_be_tried_at_another_version(harness):
    """Guards against a refusal of what a new version bears."""
    harness.crash_under(3, BAD)
    assert harness.is_refused(BAD)
    harness.scene.add('new', software_version='v2')
    assert not harness.is_refused(BAD)
    request = harness.request(BAD)
    assert not harness.quarantine.refuses_version(request, 'v2')
    assert harness.quarantine.refuses_version(
        request, harness.scene.targets.find('i-8').record.software_version
    )


def test_targets_that_a_part_crashes_together_count(harness):
    """Guards against copies at two targets that look like a lost rack."""
    harness.serve('i-8', SYSTEM)
    for first in (0, 2, 4):
        one = harness.start(f'i-{first}', BAD)
        two = harness.start(f'i-{first + 1}', BAD)
        harness.crash(f'i-{first}', one, two)
    assert harness.is_refused(BAD)


def test_flood_of_made_up_parts_does_not_displace_a_real_one(harness):
    """Guards against prompts that fill the table with parts."""
    harness.crash_under(2, BAD)
    many = [f'made-up-{number}' for number in range(4000)]
    for number in range(3, 8):
        harness.crash(
            f'i-{number}', harness.start(f'i-{number}', *many[number::8])
        )
    harness.quarantine.suspects._expire()
    harness.crash_under(1, BAD, first=8)
    assert harness.is_refused(BAD)


def test_sound_parts_are_bounded(harness):
    """Guards against a table that grows with the number of parts."""
    parts = harness.detector.parts
    for number in range(400):
        names = [f'{number}-{one}' for one in range(32)]
        harness.serve('i-8', *names)
    assert len(parts._borne_at) == prompt_parts.MAX_SOUND_PARTS


def test_request_that_crashes_targets_does_not_get_its_parts_refused(harness):
    """Guards against refusing what a bad request shares with sound ones."""
    request = harness.request(SYSTEM)
    for number in range(3):
        target = harness.scene.targets.find(f'i-{number}')
        attempt = harness.detector.start_attempt(request, target, lambda: None)
        attempt.record_activity(harness.clock)
        harness.crash(f'i-{number}', attempt)
    harness.clock.advance(PART_DELAY_SECONDS)
    assert harness.quarantine.refusal(request) is not None
    assert not harness.is_refused(SYSTEM)


def test_host_that_was_frozen_waits_for_news_before_it_refuses_a_part(harness):
    """Guards against a refusal of what others have cleared meanwhile."""
    suspects = harness.quarantine.suspects
    suspects.expire_if_due()
    harness.crash_under(3, SYSTEM)
    harness.clock.advance(PART_DELAY_SECONDS + 2)
    assert harness.quarantine.refusal(harness.request(SYSTEM)) is None
    suspects.expire_if_due()
    assert harness.quarantine.refusal(harness.request(SYSTEM)) is None


def test_common_part_does_not_explain_a_request_that_crashes_targets(harness):
    """Guards against a part and a request that excuse each other."""
    harness.crash_under(3, SYSTEM)
    request = harness.request(SYSTEM)
    for number in range(3, 6):
        target = harness.scene.targets.find(f'i-{number}')
        attempt = harness.detector.start_attempt(request, target, lambda: None)
        attempt.record_activity(harness.clock)
        harness.crash(f'i-{number}', attempt)
    harness.clock.advance(PART_DELAY_SECONDS)
    parts = harness.detector.parts.fingerprints_of(request, '')
    assert harness.quarantine.suspects.get(next(iter(parts))) is not None
    fingerprint = harness.quarantine._fingerprints.of(request)
    assert fingerprint in harness.quarantine.suspects.refused()
