"""Simulate targets that limit the request rate in their answers."""

import threading
import time

from tests.gateway.deployment import route, wait_served
from tests.gateway.http_server import Reply
from tests.gateway.target_standin import echoed

# Requests that the platform allows beyond a target's limit, within a window.
WINDOW_SECONDS = 4.0
EXCESS = 1.5
SLACK_REQUESTS = 5
# Time after the first answer with a limit from which the limit must hold.
CONTACT_SECONDS = 5.0


class LimitedTarget:
    """Send a limit in all answers, and record arrivals."""

    def __init__(self, per_second):
        self.per_second = per_second
        self.first_sent_at = None
        self.arrivals = []
        self.header_text = None

    async def serve(self, target, request, writer):
        """Answer, with the limit if there is one."""
        now = time.monotonic()
        self.arrivals.append(now)
        headers = echoed(request)
        if self.per_second is not None:
            self.first_sent_at = self.first_sent_at or now
            text = self.header_text or f'{self.per_second}'
            headers.append(('Server-Limit', text))
        target.executed.append(request)
        writer.write(Reply(200, headers, target.instance.encode()).wire())
        await writer.drain()
        return True


def allowed(per_second):
    """Return how many requests may arrive in one window."""
    return EXCESS * per_second * WINDOW_SECONDS + SLACK_REQUESTS


def most_in_a_window(arrivals, since):
    """Return the most arrivals in any window since a time."""
    late = sorted(at for at in arrivals if at >= since)
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in late)
            for start in late
        ),
        default=0,
    )


class Callers:
    """Send requests to all hosts in turn from threads."""

    def __init__(self, deployment, path, count, pause_seconds=0.02):
        self._deployment = deployment
        self._path = path
        self._pause_seconds = pause_seconds
        self._is_over = threading.Event()
        self.answers = []
        self._threads = [
            threading.Thread(
                target=self._send_requests, args=(number,), daemon=True
            )
            for number in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _send_requests(self, number):
        names = sorted(self._deployment.hosts)
        while not self._is_over.wait(self._pause_seconds):
            name = names[number % len(names)]
            number += 1
            try:
                answer = self._deployment.ask(name, self._path)
            except OSError:
                # A host that a test stopped or killed.
                continue
            self.answers.append((time.monotonic(), answer))


def born_now(scene):
    """Return a start time in milliseconds, just after a scene's clock."""
    return int(scene.clock.now().timestamp() * 1000) + 1


def start(deployment, hosts, targets, prefix='/d/'):
    """Start hosts for targets of one service, and wait until they serve."""
    deployment.put_routes(route(prefix, 'desk', 'idempotent'))
    for instance in targets:
        deployment.add_target(instance, 'desk')
    names = [f'h-{number}' for number in range(hosts)]
    seeds = f'127.0.1.1:{deployment._host_ports[3]}'
    for name in names:
        deployment.start_host(name, seeds=seeds)
    for name in names:
        wait_served(deployment, name, f'{prefix}x')
    return names
