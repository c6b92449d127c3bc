"""Targets of several software versions, and callers that take streams up."""

import asyncio

from tests.gateway import target_standin as standin
from tests.gateway.deployment import (
    HOST_NAME,
    Connection,
    new_id,
    route,
    wait_served,
)

PROMPT = [('Model', 'm'), ('Token-Usage', '800,50'), ('Prompt-Prefix', 'aa:9')]
PATH = '/review/1'
TOTAL = 6


def piece(version, number):
    """Return one event, which names the version that made it."""
    return f'id: {number}\ndata: {version}.{number}\n\n'.encode()


def stream(version, *, cut_at=None, pause_seconds=0.0, silent_after=TOTAL):
    """Return a script that streams pieces of a version.

    It ends a stream that begins here after cut_at pieces, or says nothing more
    after others.
    """

    async def script(target, request, writer):
        target.executed.append(request)
        resumed_after = int(request.headers.get('last-event-id') or 0)
        writer.write(standin.stream_head(request))
        for number in range(resumed_after + 1, TOTAL + 1):
            if cut_at is not None and not resumed_after and number > cut_at:
                await writer.drain()
                return False
            writer.write(standin._chunk(piece(version, number)))
            await writer.drain()
            await asyncio.sleep(pause_seconds)
            while number == silent_after < TOTAL and not request.is_left:
                await asyncio.sleep(0.01)
            if request.is_left:
                return False
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    return script


def set_scripts(deployment, **options):
    """Let each target stream pieces of its own version."""
    for instance, target in deployment.targets.items():
        version = instance.split('-')[0]
        target.script = stream(version, **options)


def add_targets(deployment, *names):
    """Add engines; the names read version-data centre-number."""
    for name in names:
        version, region, _ = name.split('-')
        deployment.add_target(name, 'model', f'{region}-1', version=version)
    set_scripts(deployment)


def start(deployment, *hosts):
    """Start hosts that serve streams which may be resumed."""
    deployment.put_routes(
        route('/review/', 'model', 'stream', resumable=True),
        route('/warm/', 'model', 'idempotent'),
    )
    seeds = ''
    for name, data_centre in hosts:
        host = deployment.start_host(name, data_centre, seeds=seeds)
        seeds = seeds or f'{host.control[0]}:{host.control[1]}'
    for name, _ in hosts:
        for target in deployment.targets.values():
            target.script = standin.serve_plain
        wait_served(deployment, name, '/warm/x')
    set_scripts(deployment)
    for target in deployment.targets.values():
        target.executed.clear()


def earn_retries(deployment, host, count):
    """Send requests that are served, from which a host may retry others."""
    for target in deployment.targets.values():
        target.script = standin.serve_plain
    for _ in range(count):
        deployment.ask(host, '/warm/x')
    set_scripts(deployment)


def versions_of(*bodies):
    """Return the versions whose pieces stand in the bodies."""
    return {
        line.removeprefix(b'data: ').split(b'.')[0].decode()
        for body in bodies
        for line in body.splitlines()
        if line.startswith(b'data: ')
    }


def numbers_of(*bodies):
    """Return the numbers of the pieces in the bodies, in order."""
    return [
        int(line.removeprefix(b'id: '))
        for body in bodies
        for line in body.splitlines()
        if line.startswith(b'id: ')
    ]


def ask(deployment, host, *headers, request_id=None, seconds=4):
    """Send a prompt and return the answer."""
    return deployment.ask(
        host,
        PATH,
        'POST',
        headers=[*PROMPT, *headers],
        body=b'prompt',
        request_id=request_id,
        seconds=seconds,
    )


class TakenUp:
    """Begin a stream, leave it after some pieces, and take it up again."""

    def __init__(self, deployment, host, pieces=3):
        self._deployment = deployment
        self.attempt_id = new_id()
        self.first_body = b''
        connection = Connection(deployment.hosts[host].callers)
        connection.send(PATH, 'POST', PROMPT, b'prompt', self.attempt_id)
        while len(numbers_of(self.first_body)) < pieces:
            content = connection.socket.recv(4096)
            if not content:
                break
            self.first_body += content
        # Only whole events count.
        end = self.first_body.rfind(b'\n\n')
        self.first_body = self.first_body[: max(0, end)]
        connection.close()

    def go_on(self, host, **options):
        """Return the answer of another attempt, at any host."""
        last = str(numbers_of(self.first_body)[-1])
        return ask(
            self._deployment,
            host,
            ('Last-Event-Id', last),
            ('Resumes', self.attempt_id),
            **options,
        )


__all__ = [
    'HOST_NAME',
    'TakenUp',
    'add_targets',
    'ask',
    'earn_retries',
    'numbers_of',
    'set_scripts',
    'start',
    'stream',
    'versions_of',
]
