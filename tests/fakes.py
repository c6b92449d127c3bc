"""Stand for the clock and the store inside one process."""

import itertools
from datetime import UTC, datetime, timedelta

from jacinthfold import config
from jacinthfold.serve.store import (
    Entry,
    StoreAnswerLostError,
    StoreUnavailableError,
)

SETTINGS_TEXT = """
[host]
name = {name}
region = erie
data_centre = erie-1
address = 127.0.0.1
caller_port = 1
control_port = 2
peer_port = 3
relay_port = 4
[platform]
store_url = http://127.0.0.1:5
host_list_url = http://127.0.0.1:5
[peers]
secret = a-secret-of-some-length
[operators]
key = a-key-of-a-fair-length
"""


def settings(name='host', extra=''):
    return config.parse(SETTINGS_TEXT.format(name=name) + extra)


class FakeClock:
    """Tell the time that a test sets."""

    def __init__(self):
        self.seconds = 1000.0

    def monotonic(self):
        return self.seconds

    def boottime(self):
        return self.seconds

    def advance(self, seconds):
        self.seconds += seconds

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(
            seconds=self.seconds
        )


class FakeStore:
    """Keep keys and leases; lose answers or be out when told."""

    def __init__(self, clock):
        self.clock = clock
        self.entries = {}
        self.leases = {}
        self.index = 0
        self.is_out = False
        self.lost_answers = 0
        self._numbers = itertools.count(1)

    def get(self, key):
        self._enter()
        return self.entries.get(key)

    def watch(self, key, index, wait_seconds):
        return self.get(key)

    def swap(self, key, value, index):
        self._enter()
        entry = self.entries.get(key)
        applied = (entry.index if entry else 0) == index
        if applied:
            self._put(key, value, '')
        return self._leave(applied)

    def acquire(self, key, value, lease_id):
        self._enter()
        entry = self.entries.get(key)
        held = entry.lease_id if entry else ''
        applied = lease_id in self.leases and held in {'', lease_id}
        if applied:
            self._put(key, value, lease_id)
        return self._leave(applied)

    def grant_lease(self, lifetime_seconds, *, delete=False):
        self._enter()
        lease_id = f'lease-{next(self._numbers)}'
        until = self.clock.monotonic() + lifetime_seconds
        self.leases[lease_id] = [lifetime_seconds, until, delete]
        return self._leave(lease_id)

    def renew_lease(self, lease_id):
        self._enter()
        lease = self.leases.get(lease_id)
        if lease:
            lease[1] = self.clock.monotonic() + lease[0]
        return self._leave(lease is not None)

    def _put(self, key, value, lease_id):
        self.index += 1
        self.entries[key] = Entry(self.index, value, lease_id)

    def _enter(self):
        if self.is_out:
            raise StoreUnavailableError('out')
        now = self.clock.monotonic()
        for lease_id, lease in list(self.leases.items()):
            if lease[1] < now:
                self.leases.pop(lease_id)
                self._free(lease_id, delete=lease[2])

    def _free(self, lease_id, *, delete):
        for key, entry in list(self.entries.items()):
            if entry.lease_id == lease_id:
                if delete:
                    self.entries.pop(key)
                else:
                    entry.lease_id = ''

    def _leave(self, answer):
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreAnswerLostError('lost')
        return answer
