"""Soak hosts while callers send requests under which engines end.

    python -m tests.gateway.soak_endings --first 1 --count 50 --seconds 8

All faults of the other soak come as well: hosts that know are killed, frozen
and stopped, the store is away, and a crowd runs beside at the same engines.
"""

import random
import sys
import threading
import time

from tests.gateway.deployment import ask, route
from tests.gateway.ending_targets import FATAL, EndingTargets
from tests.gateway.soak import HOSTS, Soak, main

BRITTLE = 'model-brittle'
PATH = '/brittle/x'
ENGINES = ('north-1', 'north-1', 'north-1', 'south-1', 'south-1')
CULPRITS = 2
CROWD = 4
ASK_SECONDS = 2
# What is promised: so long after three engines have ended under a request,
# it is sent to at most so many more.
NEWS_SECONDS = 5.0
MORE_SENDS = 3
LAST_SENDS = 3


class EndingsSoak(Soak):
    """Run one seed with engines that end under two requests."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.routes = (
            *self.routes,
            route('/brittle/', BRITTLE, 'stream', resumable=True),
        )
        self.services = (*self.services, BRITTLE)
        self.bodies = [FATAL + b' %d' % number for number in range(CULPRITS)]
        self.engines = EndingTargets(self.deployment, fatal=self.bodies)

    def _start(self):
        super()._start()
        for data_centre in ENGINES:
            self.engines.add(data_centre, BRITTLE)

    def _soak(self):
        senders = [*self.bodies, *(None for _ in range(CROWD))]
        for body in senders:
            seed = self.random.random()
            thread = threading.Thread(target=self._send, args=[body, seed])
            thread.start()
            self._threads.append(thread)
            self.faults['culprits' if body else 'crowd'] += 1
        super()._soak()

    def _send(self, fatal, seed):
        source = random.Random(seed)
        while not self._is_over.is_set():
            body = fatal or b'innocent %d' % source.randrange(10**9)
            name = source.choice(sorted(HOSTS))
            status = self._ask(name, body)
            if status == 429 and not fatal:
                self.problems.append(f'{name} refused what only ran beside')
            time.sleep(source.uniform(0.02, 0.2))

    def _ask(self, name, body):
        place = self.deployment.hosts[name].callers
        try:
            answer = ask(place, PATH, 'POST', body=body, seconds=ASK_SECONDS)
        except OSError:
            return 0
        return answer.status

    def _recover(self):
        super()._recover()
        time.sleep(NEWS_SECONDS)
        for body in self.bodies:
            self._check_quarantine(body)

    def _check_quarantine(self, body):
        before = self._arrived(body)
        for _ in range(LAST_SENDS):
            for name in HOSTS:
                self._ask(name, body)
        more = self._arrived(body) - before
        if before >= MORE_SENDS and more > MORE_SENDS:
            self.problems.append(
                f'{body!r} had ended engines {before} times '
                f'and was sent {more} times more'
            )

    def _arrived(self, body):
        return sum(one.body == body for one in self.engines.arrived)


if __name__ == '__main__':
    sys.exit(main(EndingsSoak))
