"""Read callers' requests, and refuse what is malformed."""

import json
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

from jacinthfold.serve.answers import (
    HOP_HEADERS,
    INTERNAL_PREFIX,
    CallerError,
    CutError,
    json_response,
)
from jacinthfold.serve.deployment import Organisation
from jacinthfold.serve.once import KEY_HEADER
from jacinthfold.serve.routing import Prompt
from jacinthfold.serve.work import Work

COMPLETION_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
DEADLINE_HEADER = 'X-Request-Timeout-Seconds'
LONGEST_DEADLINE_SECONDS = 3600
KEY_LENGTH_LIMIT = 256
PRIORITY_LIMIT = 9
DOT_SEGMENTS = frozenset(('.', '..'))
DROPPED_HEADERS = HOP_HEADERS | {
    'authorization',
    'expect',
    'host',
    'idempotency-key',
    'x-api-key',
    'x-not-run',
    'x-request-id',
}


def health(ready: bool) -> Response:
    """Return whether the host serves callers."""
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return json_response({'ready': ready}, status)


def check_framing(request: Request) -> None:
    """Refuse what two readers may take apart differently."""
    headers = request.headers
    if 'Transfer-Encoding' in headers and 'Content-Length' in headers:
        raise CallerError(
            HTTPStatus.BAD_REQUEST,
            'Content-Length and Transfer-Encoding exclude each other.',
            'bad_framing',
        )
    if DOT_SEGMENTS & set(request.path.split('/')):
        raise CallerError(
            HTTPStatus.BAD_REQUEST,
            'The path has dot segments.',
            'bad_path',
        )
    inside = [
        name for name, _ in headers if name.lower().startswith(INTERNAL_PREFIX)
    ]
    if inside:
        raise CallerError(
            HTTPStatus.BAD_REQUEST,
            f'The header {inside[0]} is for entry hosts only.',
            'reserved_header',
        )


def read_body(request: Request, limit_bytes: int) -> bytes:
    """Return the body; raise CallerError when too long or too slow."""
    too_large = CallerError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f'The body is larger than {limit_bytes} bytes.',
        'body_too_large',
    )
    if (request.content_length or 0) > limit_bytes:
        raise too_large
    source = request.environ['wsgi.input']
    try:
        body: bytes = source.read(request.content_length or limit_bytes + 1)
    except TimeoutError as error:
        raise CallerError(
            HTTPStatus.REQUEST_TIMEOUT,
            'The body did not arrive in time.',
            'body_timeout',
        ) from error
    except (OSError, ValueError) as error:
        raise CallerError(
            HTTPStatus.BAD_REQUEST, 'The body could not be read.', 'bad_body'
        ) from error
    if len(body) > limit_bytes:
        raise too_large
    if len(body) < (request.content_length or 0):
        raise CutError('the caller hung up before its body had come')
    return body


def completion_work(
    organisation: Organisation, path: str, request: Request, body: bytes
) -> Work:
    """Return the work of a completion; raise CallerError when malformed."""
    document = _decode(body)
    model = document.get('model')
    if not isinstance(model, str) or model not in organisation.models:
        raise CallerError(
            HTTPStatus.NOT_FOUND,
            f'There is no model {model!r} for you.',
            'model_not_found',
        )
    if not isinstance(document.get('stream', False), bool | None):
        raise _bad('stream must be true or false')
    work = Work(
        organisation, model, 'POST', path, passed_headers(request), body
    )
    work.document = document
    work.prompt = Prompt(_prompt_bytes(document))
    work.priority = max(organisation.priority, _priority(document))
    return work


def passed_headers(request: Request) -> dict[str, str]:
    """Return the caller's headers that a target is to see."""
    named = {
        token.strip().lower()
        for token in request.headers.get('Connection', '').split(',')
    }
    return {
        name: value
        for name, value in request.headers
        if name.lower() not in DROPPED_HEADERS and name.lower() not in named
    }


def read_deadline(text: str | None, default_seconds: float) -> float:
    """Return the seconds that a request may take to its first byte."""
    if text is None:
        return default_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0
    if not 0 < seconds <= LONGEST_DEADLINE_SECONDS:
        raise _bad(
            f'{DEADLINE_HEADER} must be above 0 and at most '
            f'{LONGEST_DEADLINE_SECONDS}'
        )
    return seconds


def _decode(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _bad('the body is not JSON') from error
    if not isinstance(document, dict):
        raise _bad('the body is not a JSON object')
    return document


def _prompt_bytes(document: dict[str, Any]) -> bytes:
    prompt = document.get('messages', document.get('prompt'))
    if not prompt or not isinstance(prompt, str | list):
        raise _bad('messages or prompt is needed')
    return json.dumps(prompt, ensure_ascii=False).encode(errors='replace')


def _priority(document: dict[str, Any]) -> int:
    priority = document.get('priority') or 0
    if not isinstance(priority, int) or not 0 <= priority <= PRIORITY_LIMIT:
        raise _bad(f'priority must be from 0 to {PRIORITY_LIMIT}')
    return priority


def checked_key(key: str) -> str:
    """Return an idempotency key; raise CallerError when malformed."""
    if len(key) > KEY_LENGTH_LIMIT or not key.isprintable():
        raise _bad(
            f'{KEY_HEADER} must be at most {KEY_LENGTH_LIMIT} characters'
        )
    return key


def need_method(request: Request, method: str) -> None:
    """Raise CallerError when a call has another method."""
    if request.method != method:
        raise CallerError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f'{request.path} takes {method}.',
            'method_not_allowed',
        )


def _bad(message: str) -> CallerError:
    return CallerError(HTTPStatus.BAD_REQUEST, message, 'invalid_request')
