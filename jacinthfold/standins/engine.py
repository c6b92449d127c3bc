"""Stand in for a model engine: batching, prefix cache, orders, faults.

Decode steps take `step_seconds * (1 + step_slope * running / slots)`; prefill
runs one request at a time at `prefill_tokens_per_second` over the tokens that
the prefix cache does not hold. Waiting requests start by priority.
"""

import collections
import hashlib
import heapq
import itertools
import json
import os
import threading
import time

from werkzeug.wrappers import Request, Response

from jacinthfold.serve.server import CONNECTION_KEY
from jacinthfold.standins.web import (
    CROSSED_KEY,
    App,
    Dropped,
    json_response,
)

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
EVENT_LIMIT = 1000
WORDS = (
    'core',
    'trace',
    'Prüfung',
    'bin',
    'overhaul',
    'Abrechnung',
    'tag',
    '✓',
)


class Cut(Exception):
    """Tell that the stream was cut by a fault or the caller."""


class EngineSettings:
    """Hold the engine's identity and speed."""

    def __init__(
        self, name: str, region: str, data_centre: str, **speed
    ) -> None:
        """Take the engine's place in the deployment and its speeds."""
        self.name = name
        self.region = region
        self.data_centre = data_centre
        self.slots = speed.get('slots', 16)
        self.step_seconds = speed.get('step_seconds', 0.012)
        self.step_slope = speed.get('step_slope', 1.0)
        self.prefill_tokens_per_second = speed.get('prefill_rate', 8000)
        self.cache_tokens = speed.get('cache_tokens', 60000)
        self.status_lag_seconds = speed.get('status_lag_seconds', 0.5)
        self.checks_fencing = speed.get('checks_fencing', True)
        self.order_key = speed.get('order_key', '')
        self.models = list(speed.get('models', ()))


class Engine:
    """Run requests in a bounded batch and keep count of the work."""

    def __init__(self, settings: EngineSettings) -> None:
        """Start with an empty cache."""
        self.settings = settings
        self.guard = threading.Condition()
        self.prefill_guard = threading.Lock()
        self.waiting: list = []
        self.numbers = itertools.count()
        self.running = 0
        self.state = 'active'
        self.role = 'serve'
        self.models = list(settings.models)
        self.fencing_number = 0
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.events: list = []
        self.faults: dict = {}
        self.executions: list = []
        self.last_start = 0.0
        self.work = collections.Counter()
        self.reported = (0.0, {})

    def app(self) -> App:
        """Return the web application."""
        return App(
            {
                'POST /v1/chat/completions': self.complete,
                'POST /v1/completions': self.complete,
                'GET /v1/models': self.list_models,
                'GET /status': self.status,
                'GET /cache/events': self.cache_events,
                'PUT /orders': self.order,
                'GET /executions': lambda request: json_response(
                    self.executions
                ),
                'GET /work': lambda request: json_response(self.work),
                'PUT /faults': self.set_faults,
                'PUT /state/<state>': self.set_state,
            }
        )

    def list_models(self, request: Request) -> Response:
        """Return the loaded models."""
        listed = [{'id': name, 'object': 'model'} for name in self.models]
        return json_response({'object': 'list', 'data': listed})

    def status(self, request: Request) -> Response:
        """Return the load as it was some time ago."""
        now = time.monotonic()
        if now - self.reported[0] > self.settings.status_lag_seconds:
            self.reported = (now, self._load())
        lagging = dict(self.reported[1])
        return json_response(
            lagging
            | {
                'name': self.settings.name,
                'region': self.settings.region,
                'data_centre': self.settings.data_centre,
                'state': self.state,
                'role': self.role,
                'models': self.models,
                'fencing_number': self.fencing_number,
                'resumes': not self.faults.get('no_resume'),
            }
        )

    def cache_events(self, request: Request) -> Response:
        """Return cache events after a number; old ones are gone."""
        after = int(request.args.get('after', 0))
        return json_response(
            [event for event in self.events if event[0] > after]
        )

    def set_state(self, request: Request, state: str) -> Response:
        """Let the engine itself begin to leave, or return."""
        self.state = state
        return json_response(self.state)

    def set_faults(self, request: Request) -> Response:
        """Replace the faults."""
        self.faults = json.loads(request.get_data())
        return json_response(self.faults)

    def order(self, request: Request) -> Response:
        """Take an order to serve, load or stop; check its fencing number."""
        if self.settings.order_key and (
            request.headers.get('Authorization')
            != f'Bearer {self.settings.order_key}'
        ):
            return json_response('who are you', 401)
        order = json.loads(request.get_data())
        if order['fencing_number'] < self.fencing_number and (
            self.settings.checks_fencing
            and not self.faults.get('ignore_fencing')
        ):
            return json_response({'error': 'old fencing number'}, 409)
        self.fencing_number = max(self.fencing_number, order['fencing_number'])
        self.state = order['state']
        self.models = list(order['models'])
        self.work['orders'] += 1
        if self.faults.get('lose_order_answers'):
            raise Dropped
        return json_response({'state': self.state})

    def complete(self, request: Request) -> Response:
        """Answer a completion, streamed or whole."""
        content = request.get_data()
        document = json.loads(content)
        self.work['arrivals'] += 1
        ends_on = self.faults.get('ends_on')
        if ends_on and ends_on.encode() in content:
            os._exit(1)
        refusal = self._refusal(document)
        if refusal:
            return refusal
        if self.faults.get('cross_answers'):
            request.environ[CROSSED_KEY] = True
        run = _Run(self, request, document)
        if document.get('stream'):
            return Response(run.stream(), content_type='text/event-stream')
        return json_response(run.whole())

    def _refusal(self, document: dict) -> Response | None:
        if self.state != 'active':
            return _not_run('leaving', 'leaving')
        if document.get('model') not in self.models:
            return json_response({'error': {'message': 'no such model'}}, 404)
        queue_limit = self.faults.get('queue_limit', self.settings.slots * 8)
        if self.faults.get('full') or len(self.waiting) >= queue_limit:
            return _not_run('full', 'full')
        return None

    def enter(self, priority: int) -> None:
        """Wait for a place in the batch, the most urgent first."""
        with self.guard:
            ticket = (priority, next(self.numbers))
            heapq.heappush(self.waiting, ticket)
            while (
                self.running >= self.settings.slots or self.waiting[0] != ticket
            ):
                self.guard.wait(1)
            heapq.heappop(self.waiting)
            self.running += 1
            self.guard.notify_all()

    def leave(self) -> None:
        """Give the place in the batch back."""
        with self.guard:
            self.running -= 1
            self.guard.notify_all()

    def prefill(self, prompt: str) -> tuple[int, int]:
        """Read the prompt; return its tokens and those from the cache."""
        blocks = _block_hashes(prompt)
        token_count = max(1, len(prompt) // CHARACTERS_PER_TOKEN)
        with self.prefill_guard:
            cached = self._cached_blocks(blocks)
            fresh = max(0, token_count - cached * BLOCK_TOKENS)
            seconds = fresh / self.settings.prefill_tokens_per_second
            seconds *= self.faults.get('slow_factor', 1)
            time.sleep(seconds)
            self._remember(blocks)
        self.work['prefill_tokens'] += fresh
        self.work['cached_tokens'] += token_count - fresh
        self.work['busy_microseconds'] += int(seconds * 1e6)
        return token_count, token_count - fresh

    def step(self) -> float:
        """Return how long the next decode step takes."""
        load = self.running / self.settings.slots
        seconds = self.settings.step_seconds * (
            1 + self.settings.step_slope * load
        )
        seconds *= self.faults.get('slow_factor', 1)
        self.work['busy_microseconds'] += int(
            seconds * 1e6 / max(1, self.running)
        )
        return seconds

    def _load(self) -> dict:
        return {
            'running': self.running,
            'waiting': len(self.waiting),
            'slots': self.settings.slots,
        }

    def _cached_blocks(self, blocks: list[str]) -> int:
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            count += 1
        return count

    def _remember(self, blocks: list[str]) -> None:
        for block in blocks:
            if block not in self.cache:
                self.events.append((len(self.events), 'stored', block))
            self.cache[block] = True
        while len(self.cache) * BLOCK_TOKENS > self.settings.cache_tokens:
            self.cache.popitem(last=False)
        del self.events[:-EVENT_LIMIT]


class _Run:
    """Produce one answer, token by token."""

    def __init__(
        self, engine: Engine, request: Request, document: dict
    ) -> None:
        self.engine = engine
        self.connection = request.environ[CONNECTION_KEY]
        self.document = document
        self.request_id = request.headers.get('X-Request-Id', '')
        self.is_chat = 'messages' in document
        self.prompt = json.dumps(
            document.get('messages') or document.get('prompt', ''),
            ensure_ascii=False,
        )
        self.max_tokens = int(document.get('max_tokens') or 16)
        self.first = int(document.get('resume_after_tokens') or 0)
        self.usage: dict = {}

    def tokens(self):
        """Yield the answer's tokens from where it is to resume."""
        engine = self.engine
        engine.executions.append(
            [self.request_id, self.document.get('user', '')]
        )
        engine.enter(int(self.document.get('priority') or 0))
        try:
            prompt_tokens, cached = engine.prefill(self.prompt)
            self.usage = {
                'prompt_tokens': prompt_tokens,
                'completion_tokens': self.max_tokens,
                'total_tokens': prompt_tokens + self.max_tokens,
                'prompt_tokens_details': {'cached_tokens': cached},
            }
            yield from self._decode()
        except GeneratorExit:
            engine.work['cancelled'] += 1
            raise
        finally:
            engine.leave()

    def _decode(self):
        engine = self.engine
        due = time.monotonic()
        seed = hashlib.sha256(self.prompt.encode()).digest()
        for number in range(self.first, self.max_tokens):
            due += engine.step()
            time.sleep(max(0, due - time.monotonic()))
            if engine.faults.get('cut_after_tokens') == number:
                self.connection.socket.shutdown(2)
                raise Cut
            if engine.state == 'stopped':
                self.connection.socket.shutdown(2)
                raise Cut
            if number % 8 == 0 and self.connection.is_closed_by_caller():
                engine.work['cancelled'] += 1
                raise Cut
            engine.work['tokens'] += 1
            word = WORDS[seed[number % len(seed)] % len(WORDS)]
            yield f'{word}-{number} '

    def stream(self):
        """Yield server-sent events."""
        for number, token in enumerate(self.tokens()):
            if number == self.engine.faults.get('end_early_after_tokens'):
                return
            yield _event(self._chunk(token, None))
        last = self._chunk('', 'stop')
        if (self.document.get('stream_options') or {}).get('include_usage'):
            last['usage'] = self.usage
        yield _event(last)
        if self.engine.faults.get('end_without_marker'):
            return
        yield b'data: [DONE]\n\n'

    def whole(self) -> dict:
        """Return the answer as one document."""
        text = ''.join(self.tokens())
        choice: dict = {'index': 0, 'finish_reason': 'stop'}
        if self.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
            if self.document.get('tools'):
                choice['message'] = _tool_call(self.document['tools'][0])
                choice['finish_reason'] = 'tool_calls'
        else:
            choice['text'] = text
        return {
            'id': self.request_id,
            'object': 'chat.completion' if self.is_chat else 'text_completion',
            'model': self.document['model'],
            'served_by': self.engine.settings.name,
            'choices': [choice],
            'usage': self.usage,
        }

    def _chunk(self, token: str, finish_reason: str | None) -> dict:
        choice: dict = {'index': 0, 'finish_reason': finish_reason}
        if self.is_chat:
            choice['delta'] = {'content': token} if token else {}
        else:
            choice['text'] = token
        kind = 'chat.completion.chunk' if self.is_chat else 'text_completion'
        return {
            'id': self.request_id,
            'object': kind,
            'model': self.document['model'],
            'choices': [choice],
        }


def _tool_call(tool: dict) -> dict:
    call = {'name': tool['function']['name'], 'arguments': '{}'}
    return {
        'role': 'assistant',
        'content': None,
        'tool_calls': [{'id': 'call_0', 'type': 'function', 'function': call}],
    }


def _event(document: dict) -> bytes:
    text = json.dumps(document, ensure_ascii=False)
    return b'data: ' + text.encode() + b'\n\n'


def _not_run(message: str, state: str) -> Response:
    response = json_response({'error': {'message': message}}, 503)
    response.headers['X-Not-Run'] = 'true'
    response.headers['X-Engine-State'] = state
    return response


def _block_hashes(prompt: str) -> list[str]:
    size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for start in range(0, len(prompt) - size + 1, size):
        digest.update(prompt[start : start + size].encode())
        hashes.append(digest.hexdigest())
    return hashes
