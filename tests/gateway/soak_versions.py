"""Soak hosts whose engines run several software versions that come and go.

    python -m tests.gateway.soak_versions --first 1 --count 50 --seconds 8

All faults of the other soak come as well. Callers leave streams, or lose them
with their host, and take them up at other hosts.
"""

import random
import sys
import threading
import time

from tests.gateway import versioned_streams as streams
from tests.gateway.deployment import Connection, ask, new_id, route
from tests.gateway.soak import HOSTS, Soak, main

SERVICE = 'model-versions'
PATH = '/versions/x'
VERSIONS = ('v1', 'v2', 'v3')
DATA_CENTRES = ('north-1', 'north-1', 'north-1', 'south-1', 'south-1')
STREAM_CALLERS = 6
TRIES = 3
CHANGE_SHARE = 0.3
CUT_SHARE = 0.15
PAUSE_SECONDS = 0.03
ASK_SECONDS = 3


class VersionsSoak(Soak):
    """Run one seed with engines of several versions."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.routes = (
            *self.routes,
            route('/versions/', SERVICE, 'stream', resumable=True),
        )
        self.services = (*self.services, SERVICE)
        self._engines = []
        self._count = 0

    def _start(self):
        super()._start()
        for data_centre in DATA_CENTRES:
            self._add_engine(data_centre)

    def _add_engine(self, data_centre):
        self._count += 1
        version = self.random.choice(VERSIONS)
        name = f'{version}-engine-{self._count}'
        target = self.deployment.add_target(
            name, SERVICE, data_centre, version=version
        )
        target.script = self._versioned(version)
        self._engines.append((name, data_centre))

    def _versioned(self, version):
        source = random.Random(self.random.random())
        whole = streams.stream(version, pause_seconds=PAUSE_SECONDS)
        cut = streams.stream(version, cut_at=2, pause_seconds=PAUSE_SECONDS)

        async def script(target, request, writer):
            chosen = cut if source.random() < CUT_SHARE else whole
            return await chosen(target, request, writer)

        return script

    def _begin_fault(self):
        if self.random.random() > CHANGE_SHARE:
            super()._begin_fault()
            return
        self.faults['engine'] += 1
        name, data_centre = self._engines.pop(
            self.random.randrange(len(self._engines))
        )
        self._add_engine(data_centre)
        self.deployment.store.remove(f'servers/{name}')

    def _soak(self):
        for _ in range(STREAM_CALLERS):
            seed = self.random.random()
            thread = threading.Thread(target=self._call, args=[seed])
            thread.start()
            self._threads.append(thread)
        super()._soak()

    def _call(self, seed):
        source = random.Random(seed)
        while not self._is_over.is_set():
            self._stream_once(source)
            time.sleep(source.uniform(0, 0.1))

    def _stream_once(self, source):
        """Begin a stream and take it up until it is whole or tries are used."""
        first_id, body = '', b''
        for _ in range(TRIES):
            attempt_id = new_id()
            host = self.deployment.hosts[source.choice(sorted(HOSTS))]
            pieces = source.choice((1, 3, None))
            body += _attempt(host.callers, attempt_id, first_id, body, pieces)
            if body and not first_id:
                first_id = attempt_id
            if len(streams.numbers_of(body)) >= streams.TOTAL:
                break
        versions, numbers = streams.versions_of(body), streams.numbers_of(body)
        if len(versions) > 1:
            self.problems.append(f'{first_id} has pieces of {sorted(versions)}')
        if numbers != list(range(1, len(numbers) + 1)):
            self.problems.append(f'{first_id} has pieces {numbers}')
        self.faults['taken_up'] += attempt_id != first_id


def _attempt(address, attempt_id, first_id, body, pieces):
    """Return the events of one attempt, left after some pieces if given."""
    headers = [*streams.PROMPT]
    if first_id:
        last = str(streams.numbers_of(body)[-1])
        headers += [('Last-Event-Id', last), ('Resumes', first_id)]
    try:
        if pieces is None:
            content = ask(
                address, PATH, 'POST', headers, b'p', attempt_id, ASK_SECONDS
            ).body
        else:
            content = _read_some(address, headers, attempt_id, pieces)
    except OSError:
        return b''
    end = content.rfind(b'\n\n')
    return content[: end + 2] if end >= 0 else b''


def _read_some(address, headers, attempt_id, pieces):
    connection = Connection(address)
    # A rejection ends the connection, too.
    more = [
        ('Request-Deadline', str(ASK_SECONDS * 1000)),
        ('Connection', 'close'),
    ]
    try:
        connection.send(PATH, 'POST', headers + more, b'p', attempt_id)
        content = b''
        while len(streams.numbers_of(content)) < pieces:
            received = connection.socket.recv(4096)
            if not received:
                break
            content += received
    finally:
        connection.close()
    return content


if __name__ == '__main__':
    sys.exit(main(VersionsSoak))
