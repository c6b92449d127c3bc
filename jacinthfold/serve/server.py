"""Serve WSGI applications on threads, with bounds on slow senders."""

import select
import socket
import sys
import time
from collections.abc import Callable, Iterable
from threading import Thread
from typing import Any

from cheroot import server, wsgi

from jacinthfold import logs

Environ = dict[str, Any]
StartResponse = Callable[..., Callable[[bytes], object]]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

CONNECTION_KEY = 'jacinthfold.connection'
ACCEPT_BACKLOG = 1024
IDLE_CONNECTION_LIMIT = 4096
SINGLE_HEADERS = frozenset(
    (
        b'Authorization',
        b'Content-Length',
        b'Host',
        b'Idempotency-Key',
        b'Transfer-Encoding',
    )
)


class ListenerSettings:
    """Hold the address and the bounds of one listener."""

    __slots__ = (
        'address',
        'body_timeout_seconds',
        'head_timeout_seconds',
        'max_head_bytes',
        'port',
        'thread_count',
        'write_timeout_seconds',
    )

    def __init__(
        self,
        address: str,
        port: int,
        *,
        thread_count: int = 8,
        head_timeout_seconds: float = 10,
        body_timeout_seconds: float = 30,
        write_timeout_seconds: float = 30,
        max_head_bytes: int = 32768,
    ) -> None:
        """Take where to listen and how long to wait for a peer."""
        self.address = address
        self.port = port
        self.thread_count = thread_count
        self.head_timeout_seconds = head_timeout_seconds
        self.body_timeout_seconds = body_timeout_seconds
        self.write_timeout_seconds = write_timeout_seconds
        self.max_head_bytes = max_head_bytes


class _DeadlineSocket(socket.socket):
    """Read until a deadline that spans many reads."""

    # A sender of one byte every few seconds resets a plain socket timeout
    # for ever and holds a thread. The deadline spans the whole head or body.
    deadline = 0.0
    write_timeout_seconds = 30.0

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read what has come; raise TimeoutError after the deadline."""
        if self.deadline:
            remaining_seconds = self.deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise TimeoutError('timed out')
            self.settimeout(remaining_seconds)
        try:
            return super().recv_into(*args, **kwargs)
        finally:
            self.settimeout(self.write_timeout_seconds)


class _SingleHeaders(dict[bytes, bytes]):
    """Refuse a second copy of a header that frames or identifies."""

    # Two lengths, or a length and a chunked coding, let two readers disagree
    # about where a request ends: the rest is then read as another caller's.
    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Keep a header; raise ValueError for a second copy."""
        if name in SINGLE_HEADERS and name in self:
            raise ValueError('A header that may stand once is repeated.')
        if name == b'Content-Length' and not value.strip().isdigit():
            raise ValueError('Content-Length is not a whole number.')
        if name == b'Transfer-Encoding' and value.lower() != b'chunked':
            raise ValueError('Only the chunked transfer coding is known.')
        super().__setitem__(name, value)


class _HeaderReader(server.HeaderReader):
    """Refuse header names that two readers may take differently."""

    def _transform_key(self, key_name: bytes) -> bytes:
        if b'_' in key_name or key_name != key_name.strip():
            raise ValueError('A header name is malformed.')
        return bytes(key_name.strip().title())


class _Request(server.HTTPRequest):
    """Bound the time in which a request head arrives."""

    header_reader = _HeaderReader()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Keep the headers in a mapping that refuses copies."""
        super().__init__(*args, **kwargs)
        self.inheaders = _SingleHeaders()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer what the server itself refuses; the caller is at fault."""
        if status.startswith('505'):
            status, msg = '400 Bad Request', 'HTTP/1.1 is needed.'
        super().simple_response(status, msg)

    def parse_request(self) -> None:
        """Read the head until the listener's deadline."""
        self.conn.allow_seconds(self.server.head_timeout_seconds)
        super().parse_request()
        self.conn.allow_seconds(self.server.body_timeout_seconds)


class Connection(server.HTTPConnection):
    """Expose what a relay needs of a caller's connection."""

    RequestHandlerClass = _Request  # noqa: WPS115

    def __init__(self, owner: Any, sock: socket.socket, *args: Any) -> None:
        """Take over the accepted socket."""
        deadline_socket = _DeadlineSocket(
            sock.family,
            sock.type,
            sock.proto,
            fileno=sock.detach(),
        )
        deadline_socket.write_timeout_seconds = owner.timeout
        deadline_socket.settimeout(owner.timeout)
        super().__init__(owner, deadline_socket, *args)

    def allow_seconds(self, seconds: float) -> None:
        """Set the deadline for what is read from here on."""
        self.socket.deadline = time.monotonic() + seconds

    def is_closed_by_caller(self) -> bool:
        """Tell whether the other side has hung up."""
        # A socket with a timeout waits for it in recv, MSG_DONTWAIT or not;
        # only poll looks without waiting.
        poller = select.poll()
        try:
            poller.register(self.socket, select.POLLIN)
            if not poller.poll(0):
                return False
            return not self.socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True


class _Gateway(wsgi.Gateway_10):
    """Hand the connection to the application."""

    def get_environ(self) -> Environ:  # type: ignore[override]
        """Return the WSGI environment with the connection in it."""
        environ: Environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn
        return environ


class _Server(wsgi.Server):
    """Hold the bounds that connections and requests look up."""

    ConnectionClass = Connection  # noqa: WPS115
    head_timeout_seconds = 10.0
    body_timeout_seconds = 30.0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Use the gateway that hands the connection on."""
        super().__init__(*args, **kwargs)
        self.gateway = _Gateway

    def error_log(self, *args: Any, **kwargs: Any) -> None:
        """Log a request that raised, without a traceback."""
        kind, error = sys.exc_info()[:2]
        if kind is not None:
            logs.warning(
                'connection_closed', reason=f'{kind.__name__}: {error}'
            )


class Listener:
    """Run one WSGI application on its own threads."""

    def __init__(
        self, settings: ListenerSettings, application: Application
    ) -> None:
        """Bind the address; raise OSError when it is taken."""
        self._server = _Server(
            (settings.address, settings.port),
            application,
            numthreads=settings.thread_count,
            max=settings.thread_count,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=settings.write_timeout_seconds,
            shutdown_timeout=1,
        )
        self._server.head_timeout_seconds = settings.head_timeout_seconds
        self._server.body_timeout_seconds = settings.body_timeout_seconds
        self._server.max_request_header_size = settings.max_head_bytes
        self._server.keep_alive_conn_limit = IDLE_CONNECTION_LIMIT
        self._server.prepare()
        self._thread = Thread(target=self._server.serve, daemon=True)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Begin to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and its idle connections."""
        self._server.stop()
