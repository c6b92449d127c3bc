"""Answer peers that pass requests on."""

import hmac
from collections.abc import Callable, Iterable
from http import HTTPStatus

from werkzeug.wrappers import Request, Response

from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve import spill
from jacinthfold.serve.answers import INTERNAL_PREFIX, CallerError, CallerSink
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.deployment import Organisation
from jacinthfold.serve.front import Frame
from jacinthfold.serve.keys import Claim
from jacinthfold.serve.members import MemberTable
from jacinthfold.serve.once import (
    CLAIMED_AT_HEADER,
    FORWARD_REASON,
    KEY_HEADER,
    OnceServer,
)
from jacinthfold.serve.reading import (
    COMPLETION_PATHS,
    completion_work,
    passed_headers,
    read_body,
    read_deadline,
)
from jacinthfold.serve.server import CONNECTION_KEY, Environ, StartResponse
from jacinthfold.serve.serving import Server
from jacinthfold.serve.work import InFlight, Work


class RelayedApp:
    """Serve what peers pass on, here and never further."""

    def __init__(
        self,
        frame: Frame,
        configuration: Configuration,
        server: Server,
        once: OnceServer,
        in_flight: InFlight,
        members: MemberTable,
        settings: Settings,
        clock: Clock,
    ) -> None:
        """Take the parts that a request passes through."""
        self._frame = frame
        self._configuration = configuration
        self._server = server
        self._once = once
        self._in_flight = in_flight
        self._members = members
        self._settings = settings
        self._clock = clock
        self.is_ready: Callable[[], bool]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        request_id = str(environ.get('HTTP_X_JACINTHFOLD_REQUEST_ID', ''))
        return self._frame.answer(
            environ, start_response, request_id, self._answer
        )

    def _answer(self, request: Request, sink: CallerSink) -> Response | None:
        headers = request.headers
        shown = headers.get(spill.SECRET_HEADER, '').encode()
        if not hmac.compare_digest(shown, self._settings.peers.secret.encode()):
            raise CallerError(
                HTTPStatus.FORBIDDEN, 'For entry hosts only.', 'peers_only'
            )
        organisation = self._organisation(request)
        body = read_body(request, self._settings.callers.max_body_bytes)
        work = self._work(request, organisation, body)
        self._in_flight.enter(work)
        try:
            if headers.get(spill.REASON_HEADER) == FORWARD_REASON:
                claim = Claim(
                    self._members.own.incarnation,
                    int(headers[CLAIMED_AT_HEADER]),
                )
                return self._once.run(work, headers[KEY_HEADER], claim)
            connection = request.environ[CONNECTION_KEY]
            self._server.serve(work, sink, connection.is_closed_by_caller)
        finally:
            self._in_flight.leave(work)
        return None

    def _organisation(self, request: Request) -> Organisation:
        headers = request.headers
        # The sender may know rules that have not reached this host. Serving
        # under older ones could break a residency rule just made.
        sender_revision = int(headers.get(spill.REVISION_HEADER, '0'))
        if (
            not self.is_ready()
            or sender_revision > self._configuration.revision
        ):
            raise _unserved('this entry host is behind')
        name = headers.get(spill.ORGANISATION_HEADER, '')
        found = self._configuration.deployment.organisations.get(name)
        if found is None or self._settings.host.region not in found.regions:
            raise _unserved('the data may not be in this region')
        return found

    def _work(
        self, request: Request, organisation: Organisation, body: bytes
    ) -> Work:
        headers = request.headers
        path = request.full_path.rstrip('?')
        passed = {
            name: value
            for name, value in passed_headers(request).items()
            if not name.lower().startswith(INTERNAL_PREFIX)
        }
        if request.path in COMPLETION_PATHS:
            work = completion_work(organisation, path, request, body)
            work.headers = passed
        else:
            service = self._configuration.deployment.find_service(request.path)
            if service is None or service.name not in organisation.services:
                raise _unserved('there is no such service')
            work = Work(
                organisation, service.name, request.method, path, passed, body
            )
            work.is_repeatable = request.method in service.idempotent_methods
        work.request_id = headers[spill.REQUEST_ID_HEADER]
        work.priority = int(headers.get(spill.PRIORITY_HEADER, '1'))
        # A request that came from a peer is not passed on: two full regions
        # would send it to and fro until its deadline.
        work.hops = 1
        remaining_seconds = read_deadline(
            headers.get(spill.DEADLINE_HEADER),
            self._settings.callers.deadline_seconds,
        )
        work.started_at = self._clock.monotonic()
        work.deadline = work.started_at + remaining_seconds
        # A peer sent it here to be served soon. Its place in the home queue
        # is better than one at the end of this one.
        work.admit_by = (
            work.started_at + self._settings.routing.spill_wait_seconds
        )
        return work


def _unserved(reason: str) -> CallerError:
    return CallerError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f'The request was not run: {reason}.',
        'not_run',
        retry_after_seconds=1,
    )
