"""Let the store come back from copies amid all the other faults.

python -m tests.gateway.soak_restored --first 1 --count 50 --seconds 12
"""

import json
import sys
import threading
import time

from tests.gateway.deployment import call
from tests.gateway.soak import Soak, main
from tools.fleet import wait_until

# Copies are up to this old.
COPY_SECONDS = 4.0
AWAY_SECONDS = (0.1, 1.5)
# The operator and the targets write again within this time.
REPEAT_SECONDS = 2.0
RESTORE_SHARE = 0.25
POLL_SECONDS = 0.3
CURRENT_SECONDS = 20


class RestoredSoak(Soak):
    """Run one seed with returns of the store from a copy."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.deployment.store.era = 1
        self._copies = []
        self._is_restoring = False

    def _soak(self):
        poller = threading.Thread(target=self._poll_versions)
        poller.start()
        self._threads.append(poller)
        super()._soak()

    def _begin_fault(self):
        now = time.monotonic()
        store = self.deployment.store
        self._copies = [
            one for one in self._copies if now - one[0] < COPY_SECONDS
        ]
        self._copies.append((now, store.backup()))
        if self.random.random() < RESTORE_SHARE and not self._is_restoring:
            self._restore()
        else:
            super()._begin_fault()

    def _restore(self):
        self.faults['store_restored'] += 1
        self._is_restoring = True
        store = self.deployment.store
        copy = self.random.choice(self._copies)[1]
        store.is_away = True
        repeat_seconds = self.random.uniform(0, REPEAT_SECONDS)

        def come_back():
            store.restore(copy)
            # A second return must not find copies of the state before.
            self._copies.clear()
            store.is_away = False
            self._is_restoring = False
            self._later(repeat_seconds, self.deployment.write_again)

        self._later(self.random.uniform(*AWAY_SECONDS), come_back)

    def _heal_due(self, *, all_of_them=False):
        # What ends a fault may begin its second part.
        super()._heal_due(all_of_them=all_of_them)
        if all_of_them:
            super()._heal_due(all_of_them=True)

    def _poll_versions(self):
        """Check that no process goes back to an older configuration."""
        known = {}
        while not self._is_over.is_set():
            for name, host in self.deployment.hosts.items():
                state = read_state(host)
                if state is None or state['version'] is None:
                    continue
                process = (name, host.process.pid)
                if state['version'] < known.get(process, 0):
                    self.problems.append(
                        f'{name}: version {state["version"]} after '
                        f'{known[process]}'
                    )
                known[process] = state['version']
            time.sleep(POLL_SECONDS)

    def _recover(self):
        super()._recover()
        for name, host in self.deployment.hosts.items():
            wait_until(
                lambda host=host: self._is_current(host),
                f'{name} knows what the store has',
                CURRENT_SECONDS,
            )

    def _is_current(self, host):
        state = read_state(host)
        if state is None:
            return False
        targets = {
            one['instance'] for one in state['targets'] if not one['is_leaving']
        }
        store = self.deployment.store
        listed = sum(key.startswith('hosts/') for key in store.items)
        return (
            state['era'] == store.era
            and state['version'] == self.deployment.version
            and targets == set(self.deployment.targets)
            and listed == len(self.deployment.hosts)
        )


def read_state(host):
    """Return a host's dump, None if it doesn't answer."""
    try:
        answer = call(host.control, '/state')
        return json.loads(answer.body)
    except (OSError, ValueError):
        return None


if __name__ == '__main__':
    sys.exit(main(RestoredSoak))
