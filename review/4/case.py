# flake8: noqa
"""A host is killed while it passes on streams without a marked end."""

import asyncio
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig_2'))
import rig  # noqa: E402
from tests.gateway import broken_answers, target_standin  # noqa: E402
from tests.gateway.deployment import Connection, new_id, route  # noqa: E402

EVENTS = 55
PAUSE_SECONDS = 0.08
CLIENTS = 8
KILL_AFTER_SECONDS = 2.0
PROMPT = [
    ('Model', 'm'),
    ('Token-Usage', '2368,21'),
    ('Request-Deadline', '15000'),
]


async def unmarked_stream(target, request, writer):
    """Stream all events with neither a length nor chunks, then close."""
    target.executed.append(request)
    writer.write(broken_answers.head(request))
    for number in range(1, EVENTS + 1):
        writer.write(target_standin.event(number))
        await writer.drain()
        if request.is_left:
            return False
        await asyncio.sleep(PAUSE_SECONDS)
    target.finished.append(request.headers['attempt-id'])
    return False


class Client:
    """Read one stream, and tell how it ended."""

    def __init__(self, deployment, name, number):
        self.request_id = new_id()
        self._address = deployment.hosts[name].callers
        # Last parts differ, so that the prompts share only their first part.
        prefix = ('Prompt-Prefix', f'5c1e07a2:568,9{number:07x}:1800')
        self._headers = [*PROMPT, prefix]
        self.answer = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        connection = Connection(self._address)
        connection.send(
            '/chat/x', 'POST', self._headers, b'prompt', self.request_id
        )
        self.answer = connection.receive()


def play(deployment, record, is_disturbed):
    deployment.put_routes(
        route(
            '/chat/',
            'model',
            'stream',
            **{'timeout-ms': 15000, 'target-latency-ms': 1000},
        ),
        services=('model',),
    )
    for number in (1, 2):
        server = deployment.add_target(f'i-{number}', 'model')
        server.finished = []
        server.script = unmarked_stream
    for name in ('north-a', 'north-b'):
        deployment.start_host(name)
    time.sleep(2)
    clients = [Client(deployment, 'north-a', one) for one in range(CLIENTS)]
    for client in clients:
        record('sent to north-a:', client.request_id)
        client.thread.start()
    time.sleep(KILL_AFTER_SECONDS)
    if is_disturbed:
        record('SIGKILL to north-a')
        deployment.hosts['north-a'].signal(signal.SIGKILL)
    for client in clients:
        client.thread.join(15)
    finished = {
        one for server in deployment.targets.values() for one in server.finished
    }
    broken = 0
    for client in clients:
        answer = client.answer
        if answer is None:
            record(client.request_id, 'no answer')
            continue
        count = answer.body.count(b'\n\n')
        framing = [
            name
            for name in ('content-length', 'transfer-encoding')
            if name in answer.headers
        ]
        record(
            f'{client.request_id}: status {answer.status},',
            f'Response-Seal {answer.headers.get("response-seal")},',
            f'framing {framing or "end of channel"}, {count} of {EVENTS} events,',
            'orderly end, looks complete' if answer.is_whole else 'broken off,',
            'server made all' if client.request_id in finished else '',
        )
        if answer.status == 200 and answer.is_whole and count < EVENTS:
            broken += 1
    if not any(one.answer and one.answer.status == 200 for one in clients):
        return rig.NOT_RUN
    record(f'{broken} answers ended early and look complete')
    return rig.BROKEN if broken else rig.HELD


rig.run(Path(__file__).resolve().parent, play)
