"""Forward TCP connections and inject faults at chosen steps."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Literal

CHUNK_BYTES = 65536
RESET_NOW = struct.pack('ii', 1, 0)
Direction = Literal['up', 'down']
StepHook = Callable[['Link', str], None]


class Link:
    """Hold one forwarded connection: the client's and the server's end."""

    def __init__(self, proxy: 'Proxy', client: socket.socket) -> None:
        self.proxy = proxy
        self.client = client
        self.server: socket.socket | None = None
        self.is_silent = False
        self.is_halving = False
        self.dropped: set[Direction] = set()
        self.delay_seconds = 0.0
        self.drip_seconds = 0.0
        self.steps: set[str] = set()
        self.is_watched = False
        self.client_port = 0
        self.up_tail = b''

    def close(self, *, reset: bool = False) -> None:
        for end in (self.client, self.server):
            if end is None:
                continue
            with contextlib.suppress(OSError):
                if reset:
                    end.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_NOW
                    )
                    end.close()
                else:
                    end.shutdown(socket.SHUT_RDWR)

    def reach(self, step: str) -> None:
        """Tell the hook, once, that a watched request got this far."""
        if self.is_watched and step not in self.steps:
            self.steps.add(step)
            self.proxy.on_step(self, step)


class Proxy:
    """Listen on a port of its own and forward to another."""

    def __init__(self, address: str, port: int) -> None:
        self.origin = (address, port)
        self.is_refusing = False
        self.is_silent = False
        self.delay_seconds = 0.0
        self.drip_seconds = 0.0
        self.dropped: set[Direction] = set()
        self.marker = b''
        self.is_allowed: Callable[[int], bool] = lambda client_port: True
        self.on_step: StepHook = lambda link, step: None
        self.links: list[Link] = []
        self._listener = socket.create_server((address, 0), backlog=512)
        self.port = self._listener.getsockname()[1]
        self.url = f'http://{address}:{self.port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def heal(self) -> None:
        """Forget all faults; links hurt before stay hurt."""
        self.is_refusing = False
        self.is_silent = False
        self.delay_seconds = 0.0
        self.drip_seconds = 0.0
        self.dropped = set()
        self.marker = b''
        self.on_step = lambda link, step: None

    def cut(self, *, reset: bool = False) -> None:
        """Close all links and refuse new ones."""
        self.is_refusing = True
        self.close_links(reset=reset)

    def close_links(self, *, reset: bool = False) -> None:
        """Close all links; new ones work."""
        for link in list(self.links):
            link.close(reset=reset)
        self.links.clear()

    def silence_links(self) -> None:
        """Swallow all that open links carry; new ones work."""
        for link in list(self.links):
            link.is_silent = True

    def close(self) -> None:
        self.close_links()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, source = self._listener.accept()
            except OSError:
                return
            link = Link(self, client)
            if self.is_refusing or not self.is_allowed(source[1]):
                link.close(reset=True)
                continue
            link.client_port = source[1]
            self.links.append(link)
            threading.Thread(
                target=self._open, args=(link,), daemon=True
            ).start()

    def _open(self, link: Link) -> None:
        try:
            link.server = socket.create_connection(self.origin, timeout=5)
            link.server.settimeout(None)
            for end in (link.client, link.server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # A test may have closed the link meanwhile.
            link.close(reset=True)
            return
        threading.Thread(
            target=self._pump,
            args=(link, link.server, link.client, 'down'),
            daemon=True,
        ).start()
        self._pump(link, link.client, link.server, 'up')

    def _pump(
        self,
        link: Link,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
    ) -> None:
        try:
            while payload := source.recv(CHUNK_BYTES):
                self._look(link, direction, payload)
                self._pass(link, sink, direction, payload)
                link.reach(
                    'body sent' if direction == 'up' else 'first byte passed'
                )
        except OSError:
            pass
        if not self._loses(link, direction):
            link.close()
        with contextlib.suppress(ValueError):
            self.links.remove(link)

    def _look(self, link: Link, direction: Direction, payload: bytes) -> None:
        if direction == 'up':
            link.up_tail = (link.up_tail + payload)[-4096:]
            if self.marker and self.marker in link.up_tail:
                link.up_tail = b''
                link.is_watched = True
                link.reach('head sent')
            return
        link.reach('first byte')
        if b'-5 ' in payload:
            link.reach('middle')
        if b'[DONE]' in payload or b'"order"' in payload:
            link.reach('last chunk')

    def _loses(self, link: Link, direction: Direction) -> bool:
        return (
            link.is_silent
            or self.is_silent
            or direction in link.dropped
            or direction in self.dropped
        )

    def _pass(
        self,
        link: Link,
        sink: socket.socket,
        direction: Direction,
        payload: bytes,
    ) -> None:
        if self._loses(link, direction):
            # Bytes after lost ones don't come either, whatever heals.
            link.dropped.add(direction)
            return
        time.sleep(link.delay_seconds or self.delay_seconds)
        drip_seconds = link.drip_seconds or self.drip_seconds
        if link.is_halving:
            sink.sendall(payload[: len(payload) // 2])
            link.close()
            return
        if not drip_seconds:
            sink.sendall(payload)
            return
        for start in range(0, len(payload), 64):
            sink.sendall(payload[start : start + 64])
            time.sleep(drip_seconds)
