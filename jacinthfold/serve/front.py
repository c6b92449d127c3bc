"""Answer callers: completions, plain services, the directory, keys."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

from werkzeug.wrappers import Request, Response

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.hashing import hash_key
from jacinthfold.serve.answers import (
    CallerError,
    CallerSink,
    CutError,
    json_response,
)
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.deployment import Organisation
from jacinthfold.serve.directory import Directory
from jacinthfold.serve.limits import Limiter, LimitError
from jacinthfold.serve.metrics import Metrics
from jacinthfold.serve.once import KEY_HEADER, OnceServer
from jacinthfold.serve.reading import (
    COMPLETION_PATHS,
    DEADLINE_HEADER,
    check_framing,
    checked_key,
    completion_work,
    health,
    need_method,
    passed_headers,
    read_body,
    read_deadline,
)
from jacinthfold.serve.server import CONNECTION_KEY, Environ, StartResponse
from jacinthfold.serve.serving import Server
from jacinthfold.serve.work import InFlight, Work

Answering = Callable[[Request, CallerSink], Response | None]


class Frame:
    """Turn what goes wrong into one clear answer."""

    def __init__(self, metrics: Metrics) -> None:
        """Take where endings are counted."""
        self._metrics = metrics

    def answer(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        answering: Answering,
    ) -> Iterable[bytes]:
        """Answer a call; an answer already begun is left as it is."""
        request = Request(environ)
        sink = CallerSink(environ, start_response, request_id)
        try:
            response = answering(request, sink)
        except CallerError as error:
            self._metrics.endings.labels(error.outcome).inc()
            logs.event(
                'request_refused',
                request_id=request_id,
                status=int(error.status),
                code=error.code,
                outcome=error.outcome,
                reason=str(error),
            )
            response = error.response(request_id)
        except CutError:
            raise
        except Exception as error:
            # A fault of ours must not look like an answer, nor say that
            # nothing ran.
            logs.error(
                'request_broke', request_id=request_id, reason=repr(error)
            )
            if sink.has_started:
                raise
            response = _internal_error().response(request_id)
        if response is None:
            sink.finish()
            return []
        return response(environ, start_response)


class CallerApp:
    """Answer callers at the listener that is open to them."""

    def __init__(
        self,
        frame: Frame,
        configuration: Configuration,
        directory: Directory,
        limiter: Limiter,
        server: Server,
        once: OnceServer,
        in_flight: InFlight,
        settings: Settings,
    ) -> None:
        """Take the parts that a request passes through."""
        self._frame = frame
        self._configuration = configuration
        self._directory = directory
        self._limiter = limiter
        self._server = server
        self._once = once
        self._in_flight = in_flight
        self._settings = settings
        self.clock: Clock
        self.is_ready: Callable[[], bool]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        work_id = Work.new_request_id()
        return self._frame.answer(
            environ,
            start_response,
            work_id,
            lambda request, sink: self._answer(request, sink, work_id),
        )

    def _answer(
        self, request: Request, sink: CallerSink, request_id: str
    ) -> Response | None:
        check_framing(request)
        if request.path == '/health':
            return health(self.is_ready())
        organisation = self._authenticate(request)
        if request.path == '/v1/directory':
            return self._directory_answer(organisation)
        self._check_ready()
        self._check_place(organisation)
        if request.path == '/v1/models':
            return self._models(organisation)
        if request.path == '/v1/keys':
            need_method(request, 'POST')
            return json_response({'key': self._once.issue(organisation)})
        body = read_body(request, self._settings.callers.max_body_bytes)
        work = self._work(request, organisation, body)
        work.request_id = request_id
        self._take_limit(organisation)
        return self._serve(request, work, sink)

    def _serve(
        self, request: Request, work: Work, sink: CallerSink
    ) -> Response | None:
        key = request.headers.get(KEY_HEADER, '')
        connection = request.environ[CONNECTION_KEY]
        self._in_flight.enter(work)
        try:
            # Nothing may run under rules that were withdrawn while the
            # body was still coming in, or while this process was paused.
            self._check_ready()
            self._check_place(work.organisation)
            if key and not work.is_repeatable:
                return self._once.serve(work, checked_key(key))
            self._server.serve(work, sink, connection.is_closed_by_caller)
        finally:
            self._in_flight.leave(work)
        return None

    def _authenticate(self, request: Request) -> Organisation:
        shown = request.headers.get('X-Api-Key', '')
        scheme, _, token = request.headers.get('Authorization', '').partition(
            ' '
        )
        if scheme.lower() == 'bearer':
            shown = token.strip()
        key_hash = hash_key(shown)
        organisation = self._configuration.deployment.find_organisation(
            key_hash
        )
        if organisation is None:
            if not self.is_ready():
                self._check_ready()
            raise CallerError(
                HTTPStatus.UNAUTHORIZED,
                'The API key is not known.',
                'invalid_api_key',
            )
        return organisation

    def _check_ready(self) -> None:
        if self._in_flight.is_stopping:
            raise CallerError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'This entry host is leaving; ask the directory for another.',
                'leaving',
                retry_after_seconds=1,
            )
        if not self.is_ready():
            raise CallerError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'This entry host has no current configuration yet.',
                'not_ready',
                retry_after_seconds=1,
            )

    def _check_place(self, organisation: Organisation) -> None:
        current = self._configuration.deployment.organisations.get(
            organisation.name
        )
        region = self._settings.host.region
        if current is None or region not in current.regions:
            hosts = self._directory.to_document(
                self._configuration.deployment, organisation
            )
            raise CallerError(
                HTTPStatus.MISDIRECTED_REQUEST,
                f'Your data may not be in region {region}.',
                'wrong_region',
                details={'entry_hosts': hosts['entry_hosts']},
            )

    def _directory_answer(self, organisation: Organisation) -> Response:
        return json_response(
            self._directory.to_document(
                self._configuration.deployment, organisation
            )
        )

    def _models(self, organisation: Organisation) -> Response:
        listed = [
            {'id': name, 'object': 'model', 'owned_by': 'jacinthfold'}
            for name in organisation.models
        ]
        return json_response({'object': 'list', 'data': listed})

    def _work(
        self, request: Request, organisation: Organisation, body: bytes
    ) -> Work:
        path = request.full_path.rstrip('?')
        if request.path in COMPLETION_PATHS:
            need_method(request, 'POST')
            work = completion_work(organisation, path, request, body)
        else:
            work = self._service_work(organisation, path, request, body)
        deadline_seconds = read_deadline(
            request.headers.get(DEADLINE_HEADER),
            self._settings.callers.deadline_seconds,
        )
        work.started_at = self.clock.monotonic()
        work.deadline = work.started_at + deadline_seconds
        return work

    def _service_work(
        self,
        organisation: Organisation,
        path: str,
        request: Request,
        body: bytes,
    ) -> Work:
        service = self._configuration.deployment.find_service(request.path)
        if service is None or service.name not in organisation.services:
            raise CallerError(
                HTTPStatus.NOT_FOUND,
                f'There is nothing for you at {request.path}.',
                'not_found',
            )
        work = Work(
            organisation,
            service.name,
            request.method,
            path,
            passed_headers(request),
            body,
        )
        work.is_repeatable = request.method in service.idempotent_methods
        return work

    def _take_limit(self, organisation: Organisation) -> None:
        try:
            self._limiter.take(self._configuration.deployment, organisation)
        except LimitError as error:
            raise CallerError(
                HTTPStatus.TOO_MANY_REQUESTS,
                str(error),
                'rate_limit_exceeded',
                retry_after_seconds=error.retry_after_seconds,
            ) from error


def _internal_error() -> CallerError:
    return CallerError(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'The entry host failed on this request.',
        'internal_error',
        outcome='unknown',
    )
