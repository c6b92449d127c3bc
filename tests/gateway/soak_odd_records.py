"""Soak hosts while another writer puts odd records into the store.

    python -m tests.gateway.soak_odd_records --first 1 --count 50 --seconds 8

All faults of the other soak come as well. In the end, with the odd records
still there, every host serves, hears all others and has the configuration.
"""

import base64
import json
import re
import sys

from tests.gateway.deployment import LOOPBACK, call
from tests.gateway.soak import HOSTS, RECOVERY_SECONDS, Soak, main
from tools.fleet import wait_until

ODD_SHARE = 0.4
# What a host may say of a record that it leaves out.
LEFT_OUT = re.compile('event=(record_unreadable|item_unreadable)')
NUMBERS = (-1, 0, 99999, 2**63, 10**39, 1.5, 'text', None, [[]], {})
TEXTS = ('', 'x' * 100_000, 'a\0b', 'line\nend', '\u202e', 7, None, [], {})
PREFIXES = (
    'hosts/',
    'issuers/',
    'quarantine/',
    'servers/',
    'streams/',
    'versions/',
)


class OddRecordsSoak(Soak):
    """Run one seed with odd records of each kind."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self._count = 0

    def _begin_fault(self):
        if self.random.random() > ODD_SHARE:
            super()._begin_fault()
            return
        kinds = (self._put_odd_host, self._put_odd_record, self._overwrite)
        self.random.choice(kinds)(self.random.uniform(0.5, 3.0))

    def _put_odd_host(self, _seconds):
        """Write a host's record with one value out of range."""
        self.faults['odd_host'] += 1
        self._count += 1
        self.deployment.store.put(
            f'hosts/odd-{self._count}', self._odd_host(f'odd-{self._count}')
        )

    def _odd_host(self, name):
        document = {
            'name': name,
            'incarnation': 1,
            'region': 'north',
            'data_centre': 'north-1',
            'address': LOOPBACK,
            'ports': [1, 2, 3],
        }
        field = self.random.choice(sorted(document))
        odd = self.random.choice(TEXTS)
        if field == 'incarnation':
            odd = self.random.choice(NUMBERS)
        if field == 'ports':
            odd = [self.random.choice(NUMBERS)] * 3
        return {**document, field: odd}

    def _put_odd_record(self, seconds):
        """Write a record of any kind that nests deeply or has odd values."""
        self.faults['odd_record'] += 1
        self._count += 1
        key = f'{self.random.choice(PREFIXES)}odd-{self._count}/x'
        document = self.random.choice(
            (
                self._nested(),
                ['i', *self.random.choices(NUMBERS, k=3)],
                dict.fromkeys(
                    ('backend', 'address', 'zone', 'version', 'slots'),
                    self.random.choice(NUMBERS),
                ),
                self.random.choice(NUMBERS),
            )
        )
        self.deployment.store.put(key, document)
        self._later(seconds, lambda: self.deployment.store.remove(key))

    def _nested(self):
        document = []
        for _ in range(400):
            document = [document]
        return document

    def _overwrite(self, _seconds):
        """Put another record in the place of a host's own."""
        self.faults['overwritten'] += 1
        name = self.random.choice(sorted(HOSTS))
        item = self.deployment.store.items.get(f'hosts/{name}')
        if item is None:
            return
        own = json.loads(base64.b64decode(item['value']))
        odd = self.random.choice(
            (
                {'ports': [99999, 99999, 99999]},
                {'address': '127.0.0.9'},
                {'incarnation': 5},
                {'incarnation': 2**62, 'address': '127.0.0.9'},
                {'name': ''},
            )
        )
        self.deployment.store.put(f'hosts/{name}', {**own, **odd})

    def _recover(self):
        super()._recover()
        for name in HOSTS:
            wait_until(
                lambda name=name: self._is_in_touch(name),
                f'{name} hears all others and has the configuration',
                RECOVERY_SECONDS,
            )

    def _is_in_touch(self, name):
        host = self.deployment.hosts[name]
        state = json.loads(call(host.control, '/state').body)
        heard = {
            one['name']
            for one in state['hosts']
            if one['silent_seconds'] < 2.0 and one['state'] == 'active'
        }
        has_all = set(HOSTS) - {name} <= heard
        return has_all and state['version'] == self.deployment.version

    def _check(self):
        super()._check()
        self.problems = [
            one for one in self.problems if not LEFT_OUT.search(one)
        ]


if __name__ == '__main__':
    sys.exit(main(OddRecordsSoak))
