"""Handle requests from callers and relays from other regions."""

from collections.abc import Callable
from http import HTTPStatus

from jacinthfold import logs
from jacinthfold.catalogue.denials import Denials
from jacinthfold.catalogue.model import Route
from jacinthfold.catalogue.records import Catalogue
from jacinthfold.clock import Clock
from jacinthfold.gateway.drain import Drain
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.admission import STALE_RETRY_AFTER_SECONDS
from jacinthfold.proxy.caller_response import CallerResponse, RawRequest
from jacinthfold.proxy.forwarding import Forwarder
from jacinthfold.proxy.key_gate import KeyGate
from jacinthfold.request.messages import Request
from jacinthfold.transport.dialect import Dialect

# Required in a 401 response, sent for unknown keys (RFC 9110, section 11.6.1).
CHALLENGE = (b'WWW-Authenticate', b'Bearer')
# Retry-After of a host without routes. It queries peers and the store several
# times within this time.
NOT_READY_RETRY_SECONDS = 0.5
# Retry-After of a draining host: another host can serve at once.
OTHER_HOST_RETRY_SECONDS = 0.05


class CallerHandler:
    """Handle callers' requests according to the routes in force."""

    def __init__(
        self,
        catalogue: Catalogue,
        key_gate: KeyGate,
        denials: Denials,
        forwarder: Forwarder,
        dialect: Dialect,
        drain: Drain,
        clock: Clock,
    ) -> None:
        """Set the catalogue, what identifies callers, and the forwarder."""
        self._denials = denials
        self._key_gate = key_gate
        self._drain = drain
        self._catalogue = catalogue
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock
        # For how long this host has known that others are ahead.
        self.behind_seconds: Callable[[], float] = float

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Match a request to its route and forward it."""
        now = self._clock.monotonic()
        headers = relay_header.without_internal(request.headers)
        try:
            facts = self._dialect.read_request(headers)
        except ValueError as error:
            logs.warning('request_malformed', status=400, reason=str(error))
            await response.send(HTTPStatus.BAD_REQUEST, [], b'')
            return
        parsed = Request(
            request.method, request.target, headers, request.take_body(), facts
        )
        parsed.memory = request.memory
        parsed.received_at = now
        route = await self._find_route(parsed, response)
        if route is None:
            return
        parsed.route = route
        status = await self._identify(parsed)
        if status is not HTTPStatus.OK:
            await self._reject_unidentified(parsed, status, response)
            return
        parsed.service_name = route.service_for(facts.request_id)
        allowed_seconds = route.timeout_seconds
        if facts.caller_timeout_seconds is not None:
            allowed_seconds = min(allowed_seconds, facts.caller_timeout_seconds)
        parsed.deadline = now + allowed_seconds
        if not self._drain.may_accept(parsed):
            await _reject_draining(parsed, self._dialect, response)
            return
        await self._forwarder.serve(parsed, response)

    async def _find_route(
        self, parsed: Request, response: CallerResponse
    ) -> Route | None:
        """Return the request's route; reject the request if there is none."""
        route, version = self._look_up(parsed)
        may_deny = version > 0
        if route is None and may_deny:
            may_deny = await self._denials.may_deny()
            route, version = self._look_up(parsed)
        if route is not None:
            return route
        status = HTTPStatus.NOT_FOUND
        headers = self._dialect.gateway_headers(parsed.facts.request_id)
        if not may_deny:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            headers += self._dialect.retry_headers(
                STALE_RETRY_AFTER_SECONDS
                if version
                else NOT_READY_RETRY_SECONDS
            )
        self._log_unrouted(parsed, status, version)
        await response.send(status, headers, b'')
        return None

    def _look_up(self, parsed: Request) -> tuple[Route | None, int]:
        """Return the route and the version of the routes, 0 before any."""
        table = self._catalogue.routes
        if table is None:
            return None, 0
        return table.find(parsed.facts.host_name, parsed.path), table.version

    async def _identify(self, parsed: Request) -> HTTPStatus:
        """Identify the organisation; return 200 or the rejection status."""
        if not self._key_gate.has_keys:
            return HTTPStatus.OK
        parsed.headers = self._dialect.without_credentials(parsed.headers)
        parsed.facts.caller = ''
        if parsed.route.is_public:
            return HTTPStatus.OK
        if not self._key_gate.is_fresh:
            return HTTPStatus.SERVICE_UNAVAILABLE
        organisation = self._key_gate.holder(parsed.facts.key_digest)
        if organisation is None:
            if not await self._denials.may_deny():
                return HTTPStatus.SERVICE_UNAVAILABLE
            organisation = self._key_gate.holder(parsed.facts.key_digest)
        if organisation is None:
            return HTTPStatus.UNAUTHORIZED
        parsed.organisation = organisation
        # The quarantine distinguishes callers by this name.
        parsed.facts.caller = organisation.name
        return HTTPStatus.OK

    async def _reject_unidentified(
        self, parsed: Request, status: HTTPStatus, response: CallerResponse
    ) -> None:
        logs.event(
            'request_not_identified',
            request=parsed.facts.request_id,
            status=int(status),
            knowledge_age_seconds=self._key_gate.age_seconds,
        )
        headers = self._dialect.gateway_headers(parsed.facts.request_id)
        if status is HTTPStatus.UNAUTHORIZED:
            headers.append(CHALLENGE)
        else:
            headers += self._dialect.retry_headers(STALE_RETRY_AFTER_SECONDS)
        await response.send(status, headers, b'')

    def _log_unrouted(self, parsed: Request, status: int, version: int) -> None:
        logs.event(
            'request_unrouted',
            request=parsed.facts.request_id,
            host_name=parsed.facts.host_name,
            path=parsed.path,
            status=int(status),
            version=version,
            **self._catalogue.revision_fields(),
            knowledge_age_seconds=self._catalogue.freshness.age_seconds,
            behind_seconds=self.behind_seconds(),
        )


class RelayHandler:
    """Handle requests relayed by entry hosts of other regions."""

    def __init__(
        self,
        key_gate: KeyGate,
        forwarder: Forwarder,
        dialect: Dialect,
        drain: Drain,
        clock: Clock,
    ) -> None:
        """Set the key gate and the forwarder."""
        self._key_gate = key_gate
        self._drain = drain
        self._forwarder = forwarder
        self._dialect = dialect
        self._clock = clock

    async def handle(
        self, request: RawRequest, response: CallerResponse
    ) -> None:
        """Forward a request by the route in its relay header."""
        try:
            facts = self._dialect.read_request(request.headers)
            parsed = Request(
                request.method,
                request.target,
                request.headers,
                request.take_body(),
                facts,
            )
            parsed.memory = request.memory
            organisation_name = relay_header.apply_route(
                parsed, self._clock.monotonic()
            )
        except (ValueError, KeyError) as error:
            logs.warning('relay_malformed', reason=repr(error))
            await response.send(HTTPStatus.BAD_REQUEST, [], b'')
            return
        parsed.headers = relay_header.without_internal(parsed.headers)
        if organisation_name:
            parsed.organisation = self._key_gate.named(organisation_name)
            parsed.facts.caller = organisation_name
            if parsed.organisation is None:
                # The organisation may be new or removed; the relaying host
                # may have a newer configuration.
                await _reject_unknown_organisation(
                    parsed, self._dialect, response
                )
                return
        if not self._drain.may_accept(parsed):
            await _reject_draining(parsed, self._dialect, response)
            return
        await self._forwarder.serve(parsed, response)


async def _reject_draining(
    parsed: Request, dialect: Dialect, response: CallerResponse
) -> None:
    """Reject a request so that the caller retries at another host."""
    logs.event('request_refused_leaving', request=parsed.facts.request_id)
    await _reject(parsed, dialect, response)


async def _reject_unknown_organisation(
    parsed: Request, dialect: Dialect, response: CallerResponse
) -> None:
    """Reject a relayed request of an organisation unknown to this host."""
    logs.event('request_refused_unknown', request=parsed.facts.request_id)
    await _reject(parsed, dialect, response)


async def _reject(
    parsed: Request, dialect: Dialect, response: CallerResponse
) -> None:
    headers = dialect.gateway_headers(parsed.facts.request_id)
    headers += dialect.retry_headers(OTHER_HOST_RETRY_SECONDS)
    if parsed.is_relayed:
        headers += relay_header.outcome_header(relay_header.OUTCOME_NOT_RUN)
    await response.send(HTTPStatus.SERVICE_UNAVAILABLE, headers, b'')
