"""Serve the requests of callers and of entry hosts of other regions."""

from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.gateway.leaving import Leaving
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.admission import STALE_RETRY_AFTER_SECONDS
from jacinthfold.proxy.caller_response import CallerResponse, RawRequest
from jacinthfold.proxy.forwarding import Forwarder
from jacinthfold.proxy.key_gate import KeyGate
from jacinthfold.request.messages import Request
from jacinthfold.transport.dialect import Dialect

# Of an answer to a caller whose key nobody holds (RFC 9110, section 11.6.1).
CHALLENGE = (b'WWW-Authenticate', b'Bearer')
# A host that knows no routes yet asks peers and the store several times in
# this long.
NOT_READY_SECONDS = 0.5
# Another host can serve at once; this one is about to stop.
OTHER_HOST_SECONDS = 0.05


class CallerHandler:
    """Serve callers' requests by the routes in force."""

    def __init__(
        self,
        catalogue: Catalogue,
        gate: KeyGate,
        forwarder: Forwarder,
        dialect: Dialect,
        leaving: Leaving,
        clock: Clock,
    ) -> None:
        """Take the routes, the keys and who serves."""
        self._gate = gate
        self._leaving = leaving
        self._catalogue = catalogue
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock

    async def handle(self, request: RawRequest, answer: CallerResponse) -> None:
        """Find a request's route and have it served."""
        now = self._clock.monotonic()
        headers = relay_header.without_internal(request.headers)
        try:
            facts = self._dialect.read_request(headers)
        except ValueError as error:
            logs.warning('request_malformed', status=400, reason=str(error))
            await answer.send(HTTPStatus.BAD_REQUEST, [], b'')
            return
        work = Request(
            request.method, request.target, headers, request.body, facts
        )
        work.received_at = now
        own = self._dialect.gateway_headers(facts.request_id)
        table = self._catalogue.routes
        if table is None:
            self._log_unrouted(work, HTTPStatus.SERVICE_UNAVAILABLE, 0)
            retry = self._dialect.retry_headers(NOT_READY_SECONDS)
            await answer.send(
                HTTPStatus.SERVICE_UNAVAILABLE, [*own, *retry], b''
            )
            return
        route = table.find(facts.host_name, work.path)
        if route is None:
            self._log_unrouted(work, HTTPStatus.NOT_FOUND, table.version)
            await answer.send(HTTPStatus.NOT_FOUND, own, b'')
            return
        work.route = route
        if len(table.organisations):
            status = self._identify(work)
            if status is not HTTPStatus.OK:
                await self._turn_away(work, status, answer)
                return
        work.service_name = route.service_for(facts.request_id)
        patience = route.timeout_seconds
        if facts.caller_timeout_seconds is not None:
            patience = min(patience, facts.caller_timeout_seconds)
        work.deadline = now + patience
        if not self._leaving.may_take(work):
            await _refuse_leaving(work, self._dialect, answer)
            return
        await self._forwarder.serve(work, answer)

    def _identify(self, work: Request) -> HTTPStatus:
        """Find who calls; return 200, or the status to answer with."""
        work.headers = self._dialect.without_credentials(work.headers)
        work.facts.caller = ''
        if work.route.is_public:
            return HTTPStatus.OK
        if not self._gate.is_fresh:
            return HTTPStatus.SERVICE_UNAVAILABLE
        organisation = self._gate.holder(work.facts.key_digest)
        if organisation is None:
            if self._gate.may_deny:
                return HTTPStatus.UNAUTHORIZED
            return HTTPStatus.SERVICE_UNAVAILABLE
        work.organisation = organisation
        # The quarantine knows callers apart by this.
        work.facts.caller = organisation.name
        return HTTPStatus.OK

    async def _turn_away(
        self, work: Request, status: HTTPStatus, answer: CallerResponse
    ) -> None:
        logs.event(
            'request_not_identified',
            request=work.facts.request_id,
            status=int(status),
            knowledge_age_seconds=self._gate.age_seconds,
        )
        headers = self._dialect.gateway_headers(work.facts.request_id)
        if status is HTTPStatus.UNAUTHORIZED:
            headers.append(CHALLENGE)
        else:
            headers += self._dialect.retry_headers(STALE_RETRY_AFTER_SECONDS)
        await answer.send(status, headers, b'')

    def _log_unrouted(self, work: Request, status: int, version: int) -> None:
        logs.event(
            'request_unrouted',
            request=work.facts.request_id,
            host_name=work.facts.host_name,
            path=work.path,
            status=int(status),
            version=version,
        )


class RelayHandler:
    """Serve requests that entry hosts of other regions passed on."""

    def __init__(
        self,
        gate: KeyGate,
        forwarder: Forwarder,
        dialect: Dialect,
        leaving: Leaving,
        clock: Clock,
    ) -> None:
        """Take who calls and who serves."""
        self._gate = gate
        self._leaving = leaving
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock

    async def handle(self, request: RawRequest, answer: CallerResponse) -> None:
        """Serve a request under the route that came with it."""
        try:
            facts = self._dialect.read_request(request.headers)
            work = Request(
                request.method,
                request.target,
                request.headers,
                request.body,
                facts,
            )
            caller = relay_header.apply_route(work, self._clock.monotonic())
        except (ValueError, KeyError) as error:
            logs.warning('relay_malformed', reason=repr(error))
            await answer.send(HTTPStatus.BAD_REQUEST, [], b'')
            return
        work.headers = relay_header.without_internal(work.headers)
        if caller:
            work.organisation = self._gate.named(caller)
            work.facts.caller = caller
            if work.organisation is None:
                # Not known yet, or not any more: the other host may know more.
                await _refuse_relayed(work, self._dialect, answer)
                return
        if not self._leaving.may_take(work):
            await _refuse_leaving(work, self._dialect, answer)
            return
        await self._forwarder.serve(work, answer)


async def _refuse_leaving(
    work: Request, dialect: Dialect, answer: CallerResponse
) -> None:
    """Send a caller to another host."""
    logs.event('request_refused_leaving', request=work.facts.request_id)
    await _refuse(work, dialect, answer)


async def _refuse_relayed(
    work: Request, dialect: Dialect, answer: CallerResponse
) -> None:
    """Tell another host that nobody is known here for whom it asks."""
    logs.event('request_refused_unknown', request=work.facts.request_id)
    await _refuse(work, dialect, answer)


async def _refuse(
    work: Request, dialect: Dialect, answer: CallerResponse
) -> None:
    headers = dialect.gateway_headers(work.facts.request_id)
    headers += dialect.retry_headers(OTHER_HOST_SECONDS)
    if work.is_relayed:
        headers += relay_header.outcome_header(relay_header.OUTCOME_NOT_RUN)
    await answer.send(HTTPStatus.SERVICE_UNAVAILABLE, headers, b'')
