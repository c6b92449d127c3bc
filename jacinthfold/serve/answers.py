"""Build answers and errors for callers."""

import json
import math
import os
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

from werkzeug.wrappers import Response

from jacinthfold.serve.pump import Outlet
from jacinthfold.serve.server import CONNECTION_KEY, Connection, Environ
from jacinthfold.transport.ending import set_reset_on_close

INTERNAL_PREFIX = 'x-jacinthfold-'
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-outcome',
    )
)


class CutError(Exception):
    """Make the server close a connection whose answer was cut."""


class CallerError(Exception):
    """Carry the answer to a request that goes no further."""

    def __init__(
        self,
        status: HTTPStatus,
        message: str,
        code: str,
        *,
        outcome: str = 'not_run',
        retry_after_seconds: float = 0,
        details: Mapping[str, Any] | None = None,
    ) -> None:
        """Take the status, the error object's fields and the outcome."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds
        self.details = dict(details or {})

    def to_document(self) -> dict[str, Any]:
        """Return the error object of the completions protocol."""
        is_ours = self.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        error: dict[str, Any] = {
            'message': str(self),
            'type': 'server_error' if is_ours else 'invalid_request_error',
            'param': None,
            'code': self.code,
            'outcome': self.outcome,
            **self.details,
        }
        if self.retry_after_seconds:
            error['retry_after_seconds'] = self.retry_after_seconds
        return {'error': error}

    def response(self, request_id: str) -> Response:
        """Return the whole answer."""
        response = json_response(self.to_document(), self.status)
        response.headers['X-Outcome'] = self.outcome
        response.headers['X-Request-Id'] = request_id
        if self.retry_after_seconds:
            seconds = math.ceil(self.retry_after_seconds)
            response.headers['Retry-After'] = str(seconds)
        if self.outcome == 'not_run':
            response.headers['X-Not-Run'] = 'true'
        return response


def json_response(document: object, status: int = HTTPStatus.OK) -> Response:
    """Return a JSON answer."""
    return Response(
        json.dumps(document, ensure_ascii=False),
        status=status,
        content_type='application/json',
    )


class AnswerSink(Protocol):
    """Take an answer, and tell whether it has begun."""

    @property
    def has_started(self) -> bool:
        """Tell whether the caller may have seen a status."""

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""

    def outlet(self) -> Outlet:
        """Return what takes the body, after the head has been sent."""

    def end_with(self, payload: bytes) -> None:
        """Send a last part; raise OSError when the caller is gone."""


class BufferSink:
    """Hold an answer until it is whole."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self) -> None:
        """Start empty."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    @property
    def has_started(self) -> bool:
        """Tell that the caller has seen nothing."""
        return False

    @property
    def held_bytes(self) -> int:
        """Tell that nothing waits."""
        return 0

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Take the status and headers."""
        self.status = status
        self.headers = dict(headers)

    def outlet(self) -> Outlet:
        """Return this sink, which takes the body too."""
        return self

    def send(self, payload: bytes) -> None:
        """Take a part of the body."""
        self.body.extend(payload)

    def flush(self) -> None:
        """Do nothing; nothing waits."""

    def end_with(self, payload: bytes) -> None:
        """Take the last part of the body."""
        self.body.extend(payload)

    def fileno(self) -> int:
        """Tell that there is no descriptor."""
        return -1


class SocketOutlet:
    """Write parts to a caller's socket and hold what it does not take."""

    __slots__ = ('_descriptor', '_held', '_is_chunking')

    def __init__(self, connection: Connection, *, is_chunking: bool) -> None:
        """Take a connection whose head has been sent."""
        # The server's own writer costs more than the rest of the relay, and
        # it waits. The descriptor is non-blocking as the socket has a
        # timeout, so a write takes what fits and returns.
        self._descriptor = connection.socket.fileno()
        self._is_chunking = is_chunking
        self._held = b''

    @property
    def held_bytes(self) -> int:
        """Return how much waits for the caller to read."""
        return len(self._held)

    def fileno(self) -> int:
        """Return the caller's descriptor."""
        return self._descriptor

    def send(self, payload: bytes) -> None:
        """Write a part; raise OSError when the caller is gone."""
        if self._is_chunking:
            payload = b'%x\r\n%b\r\n' % (len(payload), payload)
        if self._held:
            self._held += payload
            return
        self._write(payload)

    def flush(self) -> None:
        """Write what is held; raise OSError when the caller is gone."""
        self._write(self._held)

    def _write(self, payload: bytes) -> None:
        try:
            count = os.write(self._descriptor, payload)
        except BlockingIOError:
            count = 0
        self._held = payload[count:]


class CallerSink:
    """Send an answer to the caller, each part at once."""

    def __init__(
        self,
        environ: Environ,
        start_response: Callable[..., Callable[[bytes], object]],
        request_id: str,
    ) -> None:
        """Take the WSGI call's parts."""
        self._connection: Connection = environ[CONNECTION_KEY]
        self._is_chunking = environ['SERVER_PROTOCOL'] == 'HTTP/1.1'
        self._start_response = start_response
        self._request_id = request_id
        self._outlet: SocketOutlet | None = None
        # Whether only the end of the connection tells that the body is over.
        self._ends_with_connection = False

    @property
    def has_started(self) -> bool:
        """Tell whether the caller may have seen a status."""
        return self._outlet is not None

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers, once."""
        if self.has_started:
            return
        passed = [
            (name.title(), value)
            for name, value in headers.items()
            if _passes_back(name)
        ]
        length = headers.get('content-length')
        if length is not None:
            passed.append(('Content-Length', length))
        passed.append(('X-Request-Id', self._request_id))
        phrase = HTTPStatus(status).phrase if status in _STATUSES else 'Status'
        write = self._start_response(f'{status} {phrase}', passed)
        self._ends_with_connection = length is None and not self._is_chunking
        if self._ends_with_connection:
            set_reset_on_close(self._connection.socket, is_on=True)
        self._outlet = SocketOutlet(
            self._connection,
            is_chunking=self._is_chunking and length is None,
        )
        write(b'')

    def outlet(self) -> Outlet:
        """Return what takes the body, after the head has been sent."""
        if self._outlet is None:
            raise OSError('the head has not been sent')
        return self._outlet

    def end_with(self, payload: bytes) -> None:
        """Send a last part; raise OSError when the caller is gone."""
        if self._outlet is not None:
            self._outlet.send(payload)

    def finish(self) -> None:
        """Let the connection's end say that the answer is whole."""
        is_sent = self._outlet is not None and not self._outlet.held_bytes
        if self._ends_with_connection and is_sent:
            set_reset_on_close(self._connection.socket, is_on=False)


_STATUSES = frozenset(int(status) for status in HTTPStatus)


def _passes_back(name: str) -> bool:
    if name in HOP_HEADERS or name == 'x-request-id':
        return False
    return not name.startswith(INTERNAL_PREFIX)
