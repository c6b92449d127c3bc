"""Answer operators: intents, plans, confirmation, status and dump."""

import hmac
import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve import intents
from jacinthfold.serve.answers import CallerError, json_response
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.deployment import thing_document
from jacinthfold.serve.metrics import Metrics
from jacinthfold.serve.reading import health, read_body
from jacinthfold.serve.revisions import (
    ConfirmUnknownError,
    NotConfirmedError,
    PlanNotFoundError,
    Revisions,
    StalePlanError,
)
from jacinthfold.serve.server import Environ, StartResponse
from jacinthfold.serve.store import StoreError

BODY_LIMIT_BYTES = 1048576
OPERATOR_HEADER = 'X-Operator'
NAME_LIMIT = 64
OPEN_PATHS = frozenset(('/health', '/metrics'))


class Inspectable(Protocol):
    """Show a process's state."""

    def status(self) -> dict[str, Any]:
        """Return a short summary."""

    def dump(self) -> dict[str, Any]:
        """Return the whole state."""


class ControlApp:
    """Answer at the listener that is open to operators."""

    def __init__(
        self,
        revisions: Revisions,
        configuration: Configuration,
        node: Inspectable,
        metrics: Metrics,
        settings: Settings,
        clock: Clock,
        is_ready: Callable[[], bool],
    ) -> None:
        """Take what operators may see and do."""
        self._revisions = revisions
        self._configuration = configuration
        self._node = node
        self._metrics = metrics
        self._settings = settings
        self._clock = clock
        self._is_ready = is_ready
        self._map = Map(
            [
                _rule('GET /health', self._health),
                _rule('GET /metrics', self._exposition),
                _rule('GET /status', self._status),
                _rule('GET /dump', self._dump),
                _rule('POST /plans', self._declare),
                _rule('GET /plans/<plan_id>', self._show),
                _rule('POST /plans/<plan_id>/confirm', self._confirm),
                _rule('GET /deployment', self._deployment),
                _rule('GET /history', self._history),
            ]
        )

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        request = Request(environ)
        try:
            response = self._answer(request)
        except CallerError as error:
            response = error.response('')
        return response(environ, start_response)

    def _answer(self, request: Request) -> Response:
        if request.path not in OPEN_PATHS:
            self._authenticate(request)
        try:
            endpoint, arguments = self._map.bind_to_environ(
                request.environ
            ).match()
        except HTTPException as error:
            raise CallerError(
                HTTPStatus(error.code or HTTPStatus.NOT_FOUND),
                error.name,
                'no_such_call',
            ) from error
        try:
            return endpoint(request, **arguments)
        except (
            intents.IntentError,
            StalePlanError,
            PlanNotFoundError,
        ) as error:
            raise _refusal(error) from error
        except (StoreError, NotConfirmedError, ConfirmUnknownError) as error:
            raise _failure(error) from error

    def _authenticate(self, request: Request) -> None:
        shown = request.headers.get('Authorization', '').encode()
        wanted = f'Bearer {self._settings.operators.key}'.encode()
        if not hmac.compare_digest(shown, wanted):
            raise CallerError(
                HTTPStatus.UNAUTHORIZED,
                'The operator key is wrong.',
                'invalid_operator_key',
            )

    def _health(self, request: Request) -> Response:
        return health(self._is_ready())

    def _exposition(self, request: Request) -> Response:
        return Response(
            self._metrics.exposition(),
            content_type='text/plain; version=0.0.4; charset=utf-8',
        )

    def _status(self, request: Request) -> Response:
        return json_response(self._node.status())

    def _dump(self, request: Request) -> Response:
        return json_response(self._node.dump())

    def _declare(self, request: Request) -> Response:
        body = read_body(request, BODY_LIMIT_BYTES)
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise intents.IntentError(['the body is not JSON']) from error
        plan = self._revisions.plan(intents.parse(document), _operator(request))
        logs.event(
            'plan_made', plan_id=plan.plan_id, base_revision=plan.base_revision
        )
        return json_response(plan.to_document(), HTTPStatus.CREATED)

    def _show(self, request: Request, plan_id: str) -> Response:
        return json_response(self._revisions.find_plan(plan_id).to_document())

    def _confirm(self, request: Request, plan_id: str) -> Response:
        revision = self._revisions.confirm(plan_id, self._clock.now())
        logs.event('plan_confirmed', plan_id=plan_id, revision=revision)
        return json_response({'plan_id': plan_id, 'revision': revision})

    def _deployment(self, request: Request) -> Response:
        deployment = self._configuration.deployment
        things = {
            kind: [thing_document(thing) for thing in named.values()]
            for kind, named in deployment.things.items()
        }
        return json_response({'revision': deployment.revision, **things})

    def _history(self, request: Request) -> Response:
        above = request.args.get('above', 0, type=int)
        changes = self._revisions.history(above)
        return json_response([change.to_document() for change in changes])


def _rule(route: str, endpoint: Callable[..., Response]) -> Rule:
    method, path = route.split(' ')
    return Rule(path, methods=[method], endpoint=endpoint)


def _operator(request: Request) -> str:
    name = request.headers.get(OPERATOR_HEADER, 'unnamed')
    if len(name) > NAME_LIMIT or not name.isprintable():
        raise intents.IntentError([f'{OPERATOR_HEADER}: too long'])
    return name


def _refusal(error: Exception) -> CallerError:
    if isinstance(error, StalePlanError):
        return CallerError(HTTPStatus.CONFLICT, str(error), 'stale_plan')
    if isinstance(error, PlanNotFoundError):
        return CallerError(HTTPStatus.NOT_FOUND, str(error), 'no_such_plan')
    faults = list(getattr(error, 'faults', ()))
    return CallerError(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        str(error),
        'bad_intents',
        details={'faults': faults},
    )


def _failure(error: Exception) -> CallerError:
    if isinstance(error, ConfirmUnknownError):
        return CallerError(
            HTTPStatus.GATEWAY_TIMEOUT,
            str(error),
            'confirm_unknown',
            outcome='unknown',
            retry_after_seconds=1,
        )
    return CallerError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        str(error),
        'store_unavailable',
        retry_after_seconds=2,
    )
