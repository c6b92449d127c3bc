"""Measure the processor time of one host by kind of request.

One host process, 36 engines and 3 plain targets in the process of this
program. With --profile each kind runs at a host of its own under cProfile, and
the table says which modules the time is spent in.
"""

import argparse
import collections
import pathlib
import pstats
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from jacinthfold.platform import dialect
from tests.gateway import deployment
from tests.gateway.http_server import Reply
from tests.gateway.target_standin import echoed

ENGINES, PLAIN_TARGETS = 36, 3
THREADS = 4
# Tokens of a prompt's segments. A prompt that needs most of its latency
# objective for its own prefill is served late and not rejected, so those of the
# route with an objective of 1 ms are short.
TOKENS = (341, 227, 1800)
LATE_TOKENS = (3, 2, 5)
REQUESTS = 2400
ROUNDS = 8
IDLE_SECONDS = 5
SETTLED_SECONDS = 4
# Name, path, and whether each request opens its own connection.
KINDS = (
    ('stream, kept connection', '/s/x', False),
    ('stream, new connection', '/s/x', True),
    ('plain call, kept connection', '/p/x', False),
    ('late, kept connection', '/late/x', False),
    ('late, new connection', '/late/x', True),
)
MODULES_SHOWN = 16


async def three_events(target, request, writer):
    """Answer with a stream of three events."""
    target.executed.append(None)
    target.executed.clear()
    body = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, b'x' * 48) for number in (1, 2, 3)
    )
    headers = [*echoed(request), ('Content-Type', 'text/event-stream')]
    writer.write(Reply(200, headers, body).wire())
    await writer.drain()
    return True


def processor_seconds(pid):
    """Return the processor time of a process, of all its threads."""
    paths = pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    return sum(int(path.read_text().split()[0]) for path in paths) / 1e9


def send_requests(host, path, count, is_fresh, statuses, caller):
    """Send requests one after the other, as one caller does."""
    connection = None
    for number in range(count):
        connection = connection or deployment.Connection(host.callers)
        subject = (caller * 1000 + number) % 50
        tokens = LATE_TOKENS if path.startswith('/late') else TOKENS
        headers = [
            ('Request-Deadline', '3000'),
            ('Model', 'm'),
            (dialect.TOKEN_USAGE.decode(), f'{sum(tokens)},30'),
            (
                dialect.PROMPT_PREFIX.decode(),
                f'aa{subject % 3:x}:{tokens[0]},bb{subject:x}:{tokens[1]},'
                f'cc{caller:x}{number:x}:{tokens[2]}',
            ),
        ]
        connection.send(path, 'POST', headers, b'x' * 2400, deployment.new_id())
        answer = connection.receive()
        statuses[answer.status] += 1
        if is_fresh or answer.headers.get('connection') == 'close':
            connection.close()
            connection = None


def measure(host, path, is_fresh, count):
    """Return milliseconds of processor time per request, and statuses."""
    statuses = collections.Counter()
    callers = [
        threading.Thread(
            target=send_requests,
            args=(host, path, count // THREADS, is_fresh, statuses, number),
        )
        for number in range(THREADS)
    ]
    before = processor_seconds(host.process.pid)
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    used = processor_seconds(host.process.pid) - before
    return used / sum(statuses.values()) * 1000, statuses


def add_routes_and_targets(place):
    place.put_routes(
        deployment.route('/s/', 'model', 'stream', sticky=True, priority=0),
        deployment.route(
            '/late/',
            'model',
            'stream',
            sticky=True,
            priority=0,
            **{'target-latency-ms': 1},
        ),
        deployment.route('/p/', 'desk', 'idempotent'),
    )
    for number in range(ENGINES):
        added = place.add_target(f'e-{number}', 'model', slots=64)
        added.script = three_events
    for number in range(PLAIN_TARGETS):
        place.add_target(f'p-{number}', 'desk', slots=6)


def start_profiled(host, path):
    """Start a host under cProfile, which writes its result at the end."""
    command = [sys.executable, '-m', 'cProfile', '-o', str(path)]
    command += ['-m', 'jacinthfold', 'gateway', '--settings']
    with host.log_path.open('ab') as log:
        host.process = subprocess.Popen(
            [*command, str(host.settings_path)], stdout=log, stderr=log
        )


def module_of(place):
    path, _, function = place
    for root in ('/jacinthfold/', '/site-packages/', '/lib/python3.11/'):
        if root in path:
            inside = path.split(root)[-1]
            prefix = 'jacinthfold/' if root == '/jacinthfold/' else ''
            return prefix + inside
    return function


def print_profile(path, count):
    """Print own time and calls per request by module."""
    seconds = collections.Counter()
    calls = collections.Counter()
    for place, figures in pstats.Stats(str(path)).stats.items():
        if 'importlib' in place[0] or 'epoll' in place[2]:
            continue
        module = module_of(place)
        calls[module] += figures[1]
        seconds[module] += figures[2]
    total = sum(seconds.values())
    print(f'  all: {total / count * 1000:.2f} ms under cProfile')
    for module, spent in seconds.most_common(MODULES_SHOWN):
        print(
            f'  {module:45} {spent / total:6.1%}'
            f' {calls[module] / count:7.1f} calls/request'
        )


def profile(place, count):
    for name, path, is_fresh in KINDS:
        host = place.make_host(f'h{len(place.hosts)}')
        found = place.directory / f'{host.name}.prof'
        start_profiled(host, found)
        place.wait_ready(host.name)
        time.sleep(SETTLED_SECONDS)
        measure(host, path, is_fresh, count)
        host.process.terminate()
        host.process.wait()
        print(name)
        print_profile(found, count)


def print_table(place, count):
    """Print the least and the median of several rounds of each kind.

    On a busy machine a round costs up to twice as much as on an idle one.
    """
    host = place.start_host('h')
    time.sleep(SETTLED_SECONDS)
    measure(host, '/s/x', False, count)
    found = collections.defaultdict(list)
    statuses = collections.defaultdict(collections.Counter)
    for _ in range(ROUNDS):
        for name, path, is_fresh in KINDS:
            spent_ms, seen = measure(host, path, is_fresh, count // ROUNDS)
            found[name].append(spent_ms)
            statuses[name].update(seen)
    print(f'{"ms per request":30} least median')
    for name, spent in found.items():
        print(
            f'{name:30} {min(spent):5.2f} {statistics.median(spent):6.2f}'
            f'  {dict(statuses[name])}'
        )
    before = processor_seconds(host.process.pid)
    time.sleep(IDLE_SECONDS)
    used = processor_seconds(host.process.pid) - before
    print(f'idle: {used / IDLE_SECONDS:.1%} of a core')


def main():
    """Print the table, or the profiles."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--requests', type=int, default=REQUESTS)
    options = parser.parse_args()
    place = deployment.Deployment(pathlib.Path(tempfile.mkdtemp()))
    try:
        add_routes_and_targets(place)
        show = profile if options.profile else print_table
        show(place, options.requests)
    finally:
        place.close()


if __name__ == '__main__':
    main()
