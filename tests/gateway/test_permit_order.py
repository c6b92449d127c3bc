"""Requests that wait for their permit before they reach a cold engine."""

import asyncio

import pytest

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.placement.budget import RetryBudgets
from jacinthfold.proxy.admission import Admission
from jacinthfold.proxy.attempt_hooks import AttemptHooks
from jacinthfold.proxy.forwarding import Forwarder
from jacinthfold.proxy.key_gate import KeyGate
from jacinthfold.proxy.metrics import ProxyMetrics
from jacinthfold.proxy.outcome import Ending, Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.quarantine.quarantine import Quarantine
from jacinthfold.quota.permits import CapRejection, Permit
from tests.gateway.test_freshness import KEY, digest_of
from tests.gateway.test_organisations import document, record, tenant
from tests.gateway.test_placement import Scene
from tests.gateway.test_translation import catalogue


class SlowPermits:
    """Grant every permit only after other tasks have run."""

    def __init__(self):
        self.returned = []

    async def acquire(self, organisation, cost):
        for _ in range(5):
            await asyncio.sleep(0)
        return Permit(organisation, cost, 'pool', 1e9)

    def is_valid(self, permit):
        return permit is not None

    def refund(self, permit):
        if permit is not None:
            self.returned.append(permit)


class Attempts:
    """Record what is sent; every attempt ends with an unknown outcome."""

    def __init__(self):
        self.sent = []
        self.hooks = AttemptHooks()

    async def send_to_target(self, request, answer, progress, estimate):
        self.sent.append(request)
        return Outcome(Ending.UNKNOWN, 'gone')


class RevokingAttempts(Attempts):
    """Revoke the key during the first attempt, which fails."""

    def __init__(self, ending):
        super().__init__()
        self.ending = ending
        self.catalogue = None

    async def send_to_target(self, request, answer, progress, estimate):
        self.sent.append(request)
        gone = document(tenant('other', 'another-key'), version=6)
        self.catalogue.apply([record(gone, 2)], 2)
        answer.has_started = self.ending is Ending.CUT
        return Outcome(self.ending, 'broken')


class Answer:
    """Record the status of a response."""

    def __init__(self):
        self.status = 0
        self.has_started = False
        self.is_finished = False

    async def send(self, status, headers, body):
        self.status = status
        self.is_finished = True


class Dialect:
    """Write no headers."""

    def gateway_headers(self, request_id):
        return []

    def retry_headers(self, after_seconds):
        return []


def forwarder(scene, permits, attempts):
    records, _ = catalogue(scene.clock)
    capped = tenant('north', KEY, **{'rate-per-s': 1000, 'burst': 1000})
    records.apply([record(document(capped), 1)], 1)
    quarantine = Quarantine(scene.targets, None, scene.clock)
    metrics = ProxyMetrics()
    admission = Admission(KeyGate(records, None), quarantine, permits, metrics)
    return records, Forwarder(
        scene.placer,
        attempts,
        RetryBudgets(0.2, 1000, 10, scene.clock),
        quarantine,
        admission,
        Dialect(),
        metrics,
        scene.clock,
    )


def serve_together(count, scene, permits, attempts, **fields):
    """Serve requests that arrive at once; return their responses."""
    records, serving = forwarder(scene, permits, attempts)
    attempts.catalogue = records

    async def serve():
        answers = [Answer() for _ in range(count)]
        requests = [scene.request(**fields) for _ in answers]
        for request in requests:
            request.facts.key_digest = digest_of(KEY.encode())
            request.organisation = records.routes.organisations.find_by_name(
                'north'
            )
        await asyncio.gather(
            *(
                serving.serve(request, answer)
                for request, answer in zip(requests, answers, strict=True)
            )
        )
        return answers

    return asyncio.run(serve())


def test_requests_that_wait_for_permits_don_t_overload_a_cold_engine():
    """Ten requests arrive at once for an engine that takes three per second.

    Each waits a moment for its permit. Had it chosen its target before, all ten
    would go to the engine at once, since none had been counted when the next
    one chose.
    """
    scene = Scene()
    scene.add('i-1', cold_seconds=5.0)
    scene.clock.advance(3)
    permits, attempts = SlowPermits(), Attempts()
    serve_together(10, scene, permits, attempts, max_attempts=1)
    assert len(attempts.sent) == 1


def test_permit_of_a_rejected_request_is_returned():
    scene = Scene()
    permits, attempts = SlowPermits(), Attempts()
    answers = serve_together(3, scene, permits, attempts)
    assert {one.status for one in answers} == {503}
    assert len(permits.returned) == 3


@pytest.mark.parametrize(
    'ending', [Ending.NOT_RUN, Ending.FAILED, Ending.UNKNOWN, Ending.CUT]
)
def test_no_retry_runs_with_a_key_revoked_meanwhile(ending):
    """A target rejects a request, fails it or truncates its stream.

    Meanwhile the key was revoked. Another target is ready, and the request may
    be repeated or resumed there; it must not be sent again.
    """
    scene = Scene()
    for name in ('i-1', 'i-2'):
        scene.add(name)
    attempts = RevokingAttempts(ending)
    serve_together(
        1,
        scene,
        SlowPermits(),
        attempts,
        max_attempts=3,
        is_stream=True,
        retry_policy=RetryPolicy.RESUMED,
    )
    assert len(attempts.sent) == 1


class NoPermits(SlowPermits):
    """Reject every run."""

    async def acquire(self, organisation, cost):
        return CapRejection(1.0, is_over_cap=True)


def test_silent_answer_is_kept_while_no_permit_is_free():
    """Guards against an answer given up before its next run is permitted."""
    scene = Scene()
    for name in ('i-1', 'i-2'):
        scene.add(name)
    attempts = Attempts()
    records, _ = forwarder(scene, NoPermits(), attempts)
    request = scene.request(max_attempts=2, retry_policy=RetryPolicy.WHOLE)
    request.facts.key_digest = digest_of(KEY.encode())
    request.organisation = records.routes.organisations.find_by_name('north')
    progress = Progress(request)
    prepare = attempts.hooks.prepare_next
    assert not asyncio.run(prepare(request, Answer(), progress, {'i-1'}, ()))
    assert (progress.runs, progress.sends) == (0, 0)
