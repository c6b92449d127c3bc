"""Call HTTP servers with separate bounds on each stage."""

import io
import json
import threading
from collections.abc import Mapping
from typing import Any

import pycurl

MILLISECONDS = 1000
PROTOCOL_ERRORS = frozenset(
    (
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_GOT_NOTHING,
        pycurl.E_SEND_ERROR,
    )
)


class ClientError(Exception):
    """Report a call that got no whole answer."""

    def __init__(self, message: str, *, request_sent: bool) -> None:
        """Tell whether any byte of the request may have left."""
        super().__init__(message)
        self.request_sent = request_sent


class Call:
    """Describe one request."""

    __slots__ = (
        'body',
        'connect_timeout_seconds',
        'headers',
        'method',
        'timeout_seconds',
        'url',
    )

    def __init__(
        self,
        method: str,
        url: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        connect_timeout_seconds: float = 1,
        timeout_seconds: float = 5,
    ) -> None:
        """Take the request line, headers, body and bounds."""
        self.method = method
        self.url = url
        self.headers = dict(headers or {})
        self.body = body
        self.connect_timeout_seconds = connect_timeout_seconds
        self.timeout_seconds = timeout_seconds


class Answer:
    """Hold one whole answer."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Take the status, lower-case headers and body."""
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the decoded body; raise ClientError when malformed."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise ClientError(
                'The answer is not JSON.', request_sent=True
            ) from error


class HeaderCollector:
    """Collect header lines as libcurl hands them over."""

    __slots__ = ('headers', 'status')

    def __init__(self) -> None:
        """Start with no header."""
        self.status = 0
        self.headers: dict[str, str] = {}

    def __call__(self, line: bytes) -> None:
        """Take one header line; a status line starts anew."""
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self.status = int(text.split(' ', 2)[1])
            self.headers = {}
            return
        name, separator, value = text.partition(':')
        if separator:
            self.headers[name.strip().lower()] = value.strip()


def prepare(curl: pycurl.Curl, call: Call) -> None:
    """Set a handle up for a call."""
    curl.setopt(pycurl.URL, call.url)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    curl.setopt(pycurl.NOSIGNAL, 1)
    # libcurl folds dot segments: a caller's /desk/../orders would reach the
    # target as /orders, outside the service that the caller may use.
    curl.setopt(pycurl.PATH_AS_IS, 1)
    # Without this an environment variable of the host sends callers' data
    # through a proxy that no residency rule knows.
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(
        pycurl.CONNECTTIMEOUT_MS,
        int(call.connect_timeout_seconds * MILLISECONDS),
    )
    if call.timeout_seconds:
        curl.setopt(pycurl.TIMEOUT_MS, int(call.timeout_seconds * MILLISECONDS))
    if call.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    elif call.body is not None:
        curl.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    # libcurl asks 100-continue for large bodies and waits a second for
    # targets that ignore it; an empty header turns that off.
    lines = ['Expect:', *_header_lines(call.headers)]
    curl.setopt(pycurl.HTTPHEADER, lines)


def refuse_reuse(curl: pycurl.Curl) -> None:
    """Send a call that may not be repeated on a connection of its own."""
    # libcurl sends a request again by itself when a kept connection closes
    # before the answer: the order or write runs twice and nothing shows it.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def turn_error(curl: pycurl.Curl, error: pycurl.error) -> ClientError:
    """Return our error for libcurl's, with whether bytes had left."""
    code, message = error.args[:2]
    sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0 or code in PROTOCOL_ERRORS
    return ClientError(f'{message} (libcurl {code})', request_sent=sent)


class HttpClient:
    """Make short calls, each thread on its own kept connections."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._local = threading.local()

    def call(self, call: Call) -> Answer:
        """Return the whole answer; raise ClientError otherwise."""
        curl = self._handle()
        collector = HeaderCollector()
        buffer = io.BytesIO()
        prepare(curl, call)
        curl.setopt(pycurl.HEADERFUNCTION, collector)
        curl.setopt(pycurl.WRITEDATA, buffer)
        if call.method != 'GET':
            refuse_reuse(curl)
        try:
            curl.perform()
        except pycurl.error as error:
            raise turn_error(curl, error) from error
        return Answer(collector.status, collector.headers, buffer.getvalue())

    def call_json(
        self, method: str, url: str, document: object = None, **bounds: Any
    ) -> Answer:
        """Send a JSON document and return the answer."""
        headers = bounds.pop('headers', {})
        body = None
        if document is not None:
            body = json.dumps(document).encode()
            headers = {'Content-Type': 'application/json', **headers}
        return self.call(
            Call(method, url, headers=headers, body=body, **bounds)
        )

    def _handle(self) -> pycurl.Curl:
        curl = getattr(self._local, 'curl', None)
        if curl is None:
            curl = pycurl.Curl()
            self._local.curl = curl
        curl.reset()
        return curl


def _header_lines(headers: Mapping[str, str]) -> list[str]:
    # libcurl drops a header that ends in a colon; a semicolon sends it empty.
    return [
        f'{name}: {value}' if value else f'{name};'
        for name, value in headers.items()
    ]
