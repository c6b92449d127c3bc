"""Soak hosts while keys are taken away and an organisation presses.

    python -m tests.gateway.soak_organisations --first 1 --count 50 --seconds 12

All faults of the other soak come as well: the store is away or forgets, hosts
are cut from it, killed, frozen and stopped, links are cut in one direction.
"""

import sys
import time

from tests.gateway.deployment import tenant
from tests.gateway.soak import Soak, main

CALM, PRESSING, CHANGING = 'calm', 'pressing', 'changing'
LASTING_KEY = 'a-key-that-lasts'
PRESSING_KEY = 'a-key-that-presses'
REVOCATION_SECONDS = 5.0
# Callers' requests count 2,100 tokens each; ten callers ask several times a
# second, and half of what they ask is this organisation's.
REQUEST_TOKENS = 2100
CAP_PER_SECOND = 12000
CAP_SLACK = 20000
WINDOW_SECONDS = 8
EXCESS = 0.1
# Of the faults, those in which a key is taken away.
REVOCATIONS_SHARE = 0.15
LONG_SECONDS = 7.5


class OrganisationsSoak(Soak):
    """Run one seed with organisations."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.host_options = {
            'revocation_ms': int(REVOCATION_SECONDS * 1000),
            'cap_slack': CAP_SLACK,
        }
        # When a key was taken away, by the time at which the store knew.
        self.taken_at = {}
        self._key_number = 1
        self._write_organisations()

    def choose_key(self, source):
        """Return the key of an organisation; at times one that was taken."""
        keys = (
            LASTING_KEY,
            PRESSING_KEY,
            PRESSING_KEY,
            f'changing-{self._key_number}',
            f'changing-{max(1, self._key_number - 1)}',
            # The one that went as the store did.
            'changing-1',
        )
        return source.choice(keys)

    def lasting_key(self):
        """Return a key that is never taken away."""
        return LASTING_KEY

    def is_excused(self, seen, problem):
        """Tell whether a denial or refusal is of a key that was taken."""
        is_denial = problem.endswith('was denied with 401')
        # A key that was added a moment ago isn't known everywhere.
        return is_denial and seen.key.startswith('changing')

    def _write_organisations(self):
        self.organisations = (
            tenant(CALM, LASTING_KEY),
            tenant(
                PRESSING,
                PRESSING_KEY,
                **{'rate-per-s': CAP_PER_SECOND, 'burst': CAP_PER_SECOND},
            ),
            tenant(CHANGING, f'changing-{self._key_number}'),
        )

    def _begin_fault(self):
        if not self.faults['store_long']:
            # Longer than a key may outlive its end: once in each seed.
            self.faults['store_long'] += 1
            self.deployment.store.is_away = True
            self._later(LONG_SECONDS, self._end_long)
            self._take_key()
        elif self.random.random() < REVOCATIONS_SHARE:
            self._take_key()
        else:
            super()._begin_fault()

    def _end_long(self):
        self.deployment.store.is_away = False

    def _take_key(self):
        self.faults['key_taken'] += 1
        taken = f'changing-{self._key_number}'
        self._key_number += 1
        self._write_organisations()
        self.put_configuration()
        self.taken_at[taken] = time.monotonic()

    def _check(self):
        super()._check()
        keys = {one.request_id: one for one in self.seen}
        pressing = []
        for target in self.deployment.targets.values():
            for ran in target.executed:
                self._check_run(ran, keys.get(ran.headers['attempt-id']))
                if ran.headers.get('tenant') == PRESSING:
                    pressing.append(ran.arrived_at)
        self._check_cap(sorted(pressing))

    def _check_run(self, ran, seen):
        name = ran.headers['attempt-id']
        if 'authorization' in ran.headers:
            self.problems.append(f'{name}: the key went to a target')
        if seen is None:
            return
        holder = {LASTING_KEY: CALM, PRESSING_KEY: PRESSING}
        expected = holder.get(seen.key, CHANGING)
        if ran.headers.get('tenant') != expected:
            self.problems.append(
                f'{name}: ran for {ran.headers.get("tenant")}, not {expected}'
            )
        taken_at = self.taken_at.get(seen.key)
        if taken_at and seen.sent_at > taken_at + REVOCATION_SECONDS:
            late = seen.sent_at - taken_at
            self.problems.append(f'{name}: ran {late:.1f} s after its key')

    def _check_cap(self, times):
        owed = CAP_PER_SECOND * WINDOW_SECONDS + CAP_PER_SECOND
        allowed = owed * (1 + EXCESS) + CAP_SLACK
        for start in times:
            inside = [
                one for one in times if start <= one < start + WINDOW_SECONDS
            ]
            if len(inside) * REQUEST_TOKENS > allowed:
                self.problems.append(
                    f'{len(inside)} requests of a capped organisation ran in '
                    f'{WINDOW_SECONDS} s'
                )
                return


if __name__ == '__main__':
    sys.exit(main(OrganisationsSoak))
