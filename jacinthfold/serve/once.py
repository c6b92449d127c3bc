"""Serve requests that may not be repeated, under a key, at most once."""

from http import HTTPStatus

from werkzeug.wrappers import Response

from jacinthfold.clock import Clock
from jacinthfold.serve import keys
from jacinthfold.serve.answers import BufferSink, CallerError, CutError
from jacinthfold.serve.deployment import Organisation
from jacinthfold.serve.keys import (
    Claim,
    Claims,
    KeptAnswer,
    KeyIssuer,
    KeyRecord,
    KeyTable,
)
from jacinthfold.serve.members import Member, MemberTable
from jacinthfold.serve.relay import Attempt, Ending, Relay
from jacinthfold.serve.serving import Server
from jacinthfold.serve.spill import Spill
from jacinthfold.serve.work import Work

KEY_HEADER = 'Idempotency-Key'
CLAIMED_AT_HEADER = 'X-Jacinthfold-Claimed-At'
FORWARD_REASON = 'key'
REPLAY_HEADER = 'X-Idempotent-Replay'


class OnceServer:
    """Find the one process that may run a keyed request, and run it there."""

    def __init__(
        self,
        issuer: KeyIssuer,
        table: KeyTable,
        claims: Claims,
        server: Server,
        relay: Relay,
        spill: Spill,
        members: MemberTable,
        clock: Clock,
    ) -> None:
        """Take the keys' parts, the server, and the way to peers."""
        self._issuer = issuer
        self._table = table
        self._claims = claims
        self._server = server
        self._relay = relay
        self._spill = spill
        self._members = members
        self._clock = clock

    def issue(self, organisation: Organisation) -> str:
        """Return a key that names this process."""
        return self._issuer.issue(organisation.name)

    def serve(self, work: Work, key: str) -> Response:
        """Return the answer, run here or at the key's owner."""
        try:
            claim = self._issuer.read(
                key, work.organisation.name
            ) or self._claims.claim(key, work.organisation.name)
        except keys.InvalidKeyError as error:
            raise CallerError(
                HTTPStatus.BAD_REQUEST, str(error), 'invalid_key'
            ) from error
        except keys.ClaimUnavailableError as error:
            # With the store out nobody can tell whether this key has run.
            # The request is refused unrun; issued keys need no store.
            raise CallerError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'The key cannot be checked now; POST /v1/keys gives one that '
                'can.',
                'key_store_unavailable',
                # A first request of this key elsewhere may have run.
                outcome='not_run_now',
                retry_after_seconds=2,
            ) from error
        if claim.incarnation == self._members.own.incarnation:
            return self.run(work, key, claim)
        return self._forward(work, key, claim)

    def run(self, work: Work, key: str, claim: Claim) -> Response:
        """Return the answer of the key's only run, which is here."""
        print_ = keys.fingerprint(work.method, work.path, work.body)
        try:
            self._issuer.check_age(claim)
            record, is_first = self._table.begin(
                key, work.organisation.name, print_
            )
        except keys.KeyUseError as error:
            raise _refusal(error) from error
        if is_first:
            answer = self._run_first(work, record)
        else:
            answer = self._await(work, record)
        response = Response(
            answer.body, status=answer.status, content_type=answer.content_type
        )
        response.headers['X-Outcome'] = answer.outcome
        response.headers['X-Request-Id'] = work.request_id
        if not is_first:
            response.headers[REPLAY_HEADER] = 'true'
        return response

    def _run_first(self, work: Work, record: KeyRecord) -> KeptAnswer:
        sink = BufferSink()
        answer = _unknown_answer()
        try:
            # The caller may hang up and retry with the key: the run goes on,
            # so that the retry finds a whole answer.
            self._server.serve(work, sink, _never)
        except CallerError as error:
            answer = _error_answer(error)
            if error.outcome == 'not_run':
                self._table.forget(record, answer)
            raise
        except CutError as error:
            raise _unknown_error('the answer was cut') from error
        else:
            answer = _kept(sink)
        finally:
            if record.kept is None:
                self._table.finish(record, _replayable(answer))
        return answer

    def _await(self, work: Work, record: KeyRecord) -> KeptAnswer:
        remaining_seconds = work.deadline - self._clock.monotonic()
        try:
            return record.wait(max(0, remaining_seconds))
        except TimeoutError as error:
            raise CallerError(
                HTTPStatus.CONFLICT,
                'The request with this key is still running.',
                'in_progress',
                outcome='unknown',
                retry_after_seconds=1,
            ) from error

    def _forward(self, work: Work, key: str, claim: Claim) -> Response:
        owner = self._members.find(claim.incarnation)
        if owner is None or work.hops:
            raise _unknown_error('the entry host that may run it is gone')
        if owner.region not in work.organisation.regions:
            raise _unknown_error('its entry host is outside your regions')
        sink = BufferSink()
        result = self._relay.send(self._attempt(work, key, claim, owner), sink)
        if result.ending != Ending.WHOLE and not result.body:
            raise _unknown_error(
                f'its entry host does not answer: {owner.name}'
            )
        status = sink.status or result.status
        response = Response(
            bytes(sink.body) or result.body,
            status=status,
            content_type=result.headers.get('content-type'),
        )
        for name in ('X-Outcome', REPLAY_HEADER, 'Retry-After', 'X-Not-Run'):
            if name.lower() in result.headers:
                response.headers[name] = result.headers[name.lower()]
        response.headers['X-Request-Id'] = work.request_id
        return response

    def _attempt(
        self, work: Work, key: str, claim: Claim, owner: Member
    ) -> Attempt:
        remaining_seconds = work.deadline - self._clock.monotonic()
        call = self._spill.call(owner, work, remaining_seconds, FORWARD_REASON)
        call.headers[KEY_HEADER] = key
        call.headers[CLAIMED_AT_HEADER] = str(claim.claimed_at)
        return Attempt(
            call,
            work.request_id,
            is_repeatable=False,
            first_byte_deadline=work.deadline,
            silence_timeout_seconds=remaining_seconds,
            write_timeout_seconds=remaining_seconds,
            is_given_up=_never,
        )


def _never() -> bool:
    return False


def _refusal(error: keys.KeyUseError) -> CallerError:
    message = str(error)
    if isinstance(error, keys.KeyReusedError):
        return CallerError(
            HTTPStatus.UNPROCESSABLE_ENTITY, message, 'key_reused'
        )
    if isinstance(error, keys.KeyExpiredError):
        return CallerError(
            HTTPStatus.CONFLICT, message, 'key_expired', outcome='unknown'
        )
    return CallerError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        message,
        'overloaded',
        retry_after_seconds=5,
    )


def _unknown_error(reason: str) -> CallerError:
    return CallerError(
        HTTPStatus.CONFLICT,
        f'It is not known whether the request ran: {reason}.',
        'unknown',
        outcome='unknown',
    )


def _error_answer(error: CallerError) -> KeptAnswer:
    response = error.response('')
    return KeptAnswer(
        error.status, 'application/json', response.get_data(), error.outcome
    )


def _unknown_answer() -> KeptAnswer:
    return _error_answer(_unknown_error('its first attempt did not end'))


def _kept(sink: BufferSink) -> KeptAnswer:
    return KeptAnswer(
        sink.status,
        sink.headers.get('content-type', 'application/octet-stream'),
        bytes(sink.body),
        'whole',
    )


def _replayable(answer: KeptAnswer) -> KeptAnswer:
    if len(answer.body) <= keys.REPLAY_LIMIT_BYTES:
        return answer
    error = CallerError(
        HTTPStatus.CONFLICT,
        'The request has run; its answer is too large to be kept.',
        'answer_not_kept',
        outcome='ran',
    )
    return _error_answer(error)
