"""What a host denies, and how recent its records are then."""

import asyncio
import time

import pytest

from jacinthfold.catalogue.denials import (
    MAX_DENY_AGE_SECONDS,
    MAX_WAIT_SECONDS,
    Denials,
)
from jacinthfold.catalogue.freshness import Freshness
from jacinthfold.catalogue.freshness_prover import FreshnessProver
from jacinthfold.catalogue.metadata import MetadataError
from jacinthfold.clock import SystemClock
from tests.gateway.deployment import bearer, route, tenant

KNOWN_REVISION = 7
# A change has to be in force within this time on small deployments.
ALLOWED_SECONDS = 3.0
KEY = 'key-of-north'
NEW_KEY = 'key-of-south'


class Store:
    """Tell a revision, or fail."""

    def __init__(self, revision=KNOWN_REVISION):
        self.revision = revision
        self.calls = 0

    async def current_revision(self):
        self.calls += 1
        if self.revision is None:
            raise MetadataError('away')
        return self.revision


def make_denials(store, age_seconds):
    """Give records whose proof has an age."""
    clock = SystemClock()
    freshness = Freshness(clock)
    freshness.advance(KNOWN_REVISION)
    freshness.record_revision(clock.boottime() - age_seconds, KNOWN_REVISION)
    prover = FreshnessProver(store, freshness, clock)
    return Denials(freshness, prover, clock)


def test_recent_records_deny_without_a_call():
    """Guards against a call of the store for each path that nobody has."""
    store = Store()
    assert asyncio.run(make_denials(store, 0).may_deny())
    assert not store.calls


def test_old_records_deny_once_they_are_proven():
    """Guards against unknown paths that are refused for ever as not ready."""
    store = Store()
    assert asyncio.run(make_denials(store, 3).may_deny())
    assert store.calls == 1


@pytest.mark.parametrize('revision', [KNOWN_REVISION + 1, None])
def test_records_that_may_be_outdated_deny_nothing(revision):
    """Guards against a route or key that was added and is denied for good.

    Callers don't ask again after a 401 or a 404.
    """

    async def ask_twice():
        denials = make_denials(Store(revision), 3)
        began_at = time.monotonic()
        first = await denials.may_deny()
        paused_at = time.monotonic()
        second = await denials.may_deny()
        ended_at = time.monotonic()
        return first, second, paused_at - began_at, ended_at - paused_at

    first, second, waited, waited_again = asyncio.run(ask_twice())
    assert not first
    assert not second
    assert waited >= MAX_WAIT_SECONDS
    # Without a proof, no request after it waits.
    assert waited_again < waited


def ask_until_served(deployment, path, headers=()):
    """Ask again and again; return the statuses with their times."""
    began_at = time.monotonic()
    seen = []
    while not seen or seen[-1][1] != 200:
        sent_at = time.monotonic() - began_at
        assert sent_at < 20
        seen.append(
            (sent_at, deployment.ask('north-a', path, 'GET', headers).status)
        )
        time.sleep(0.05)
    return seen


@pytest.mark.parametrize('revocation_ms', [0, 5000])
@pytest.mark.parametrize(
    ('path', 'status'), [('/new/x', 404), ('/desk/x', 401)]
)
def test_what_was_added_is_not_denied_once_it_has_to_be_in_force(
    deployment, path, status, revocation_ms
):
    """Guards against a denial by records whose age nobody asked for.

    The store answers, but for a watch: the host learns of changes late.
    """
    routes = [route('/desk/', 'desk', 'idempotent')]
    north = tenant('north', KEY)
    deployment.put_routes(*routes, tenants=[north])
    deployment.add_target('d-1', 'desk')
    deployment.start_host('north-a', revocation_ms=revocation_ms)
    deployment.wait_log('north-a', 'event=routes_in_force')
    deployment.store.hangs_watches = True
    routes.append(route('/new/', 'desk', 'idempotent'))
    deployment.put_routes(*routes, tenants=[north, tenant('south', NEW_KEY)])
    seen = ask_until_served(deployment, path, [bearer(NEW_KEY)])
    deployment.store.hangs_watches = False
    denied = [at for at, found in seen if found == status]
    assert all(at <= ALLOWED_SECONDS for at in denied)
    assert MAX_DENY_AGE_SECONDS < ALLOWED_SECONDS
