"""Move answers from targets to callers in one loop.

A thread for each stream pays for a change of thread at every token. Here
each request's thread sleeps on a future while one thread moves the bytes of
all of them through libcurl's multi interface.
"""

import os
import select
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol

import pycurl

SCAN_SECONDS = 0.1
CONNECTION_LIMIT = 1024
OPEN_EVENTS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}
ABORTED = pycurl.E_ABORTED_BY_CALLBACK


class Outlet(Protocol):
    """Take parts of an answer without ever waiting."""

    def send(self, payload: bytes) -> None:
        """Take a part; raise OSError when the caller is gone."""

    def flush(self) -> None:
        """Send on what is held; raise OSError when the caller is gone."""

    @property
    def held_bytes(self) -> int:
        """Return how much waits for the caller to read."""

    def fileno(self) -> int:
        """Return the caller's descriptor, -1 when there is none."""


class Flow(Protocol):
    """Follow one transfer; called in the pump's thread."""

    curl: pycurl.Curl
    outlet: Outlet | None
    done: 'Future[tuple[int, str]]'

    def check(self, now: float) -> bool:
        """Tell whether the transfer is to go on."""


class Pump:
    """Run transfers, all in one thread."""

    def __init__(self) -> None:
        """Start the thread."""
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, CONNECTION_LIMIT)
        self._epoll = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK)
        self._epoll.register(self._wake, select.EPOLLIN)
        self._orders: deque[Callable[[], None]] = deque()
        self._flows: dict[pycurl.Curl, Flow] = {}
        self._blocked: dict[int, Flow] = {}
        self._finished: list[Flow] = []
        self._due = 0.0
        self._thread = threading.Thread(
            target=self._run, name='pump', daemon=True
        )
        self._thread.start()

    def add(self, flow: Flow) -> None:
        """Begin a transfer; its future tells libcurl's code at the end."""
        self._ask(lambda: self._add(flow))

    def go_on(self, flow: Flow) -> None:
        """Let a paused transfer go on."""
        self._ask(lambda: self._unpause(flow))

    def hold(self, flow: Flow) -> None:
        """Stop reading for a caller that does not read; in this thread."""
        if flow.outlet is None:
            return
        descriptor = flow.outlet.fileno()
        if descriptor not in self._blocked:
            self._blocked[descriptor] = flow
            self._epoll.register(descriptor, select.EPOLLOUT)
            flow.curl.pause(pycurl.PAUSE_RECV)

    def _ask(self, order: Callable[[], None]) -> None:
        self._orders.append(order)
        os.eventfd_write(self._wake, 1)

    def _run(self) -> None:
        scan_at = 0.0
        while True:
            now = time.monotonic()
            if now >= scan_at:
                self._scan(now)
                scan_at = now + SCAN_SECONDS
            until = min(scan_at, self._due) if self._due else scan_at
            events = self._epoll.poll(max(0, until - time.monotonic()))
            for descriptor, mask in events:
                self._handle(descriptor, mask)
            if self._due and time.monotonic() >= self._due:
                self._due = 0
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            self._collect()

    def _handle(self, descriptor: int, mask: int) -> None:
        if descriptor == self._wake:
            os.eventfd_read(self._wake)
            while self._orders:
                self._orders.popleft()()
        elif descriptor in self._blocked:
            self._flush(descriptor)
        else:
            readable = mask & ~select.EPOLLOUT
            action = pycurl.CSELECT_IN if readable else 0
            if mask & select.EPOLLOUT:
                action |= pycurl.CSELECT_OUT
            self._multi.socket_action(descriptor, action)

    def _add(self, flow: Flow) -> None:
        self._flows[flow.curl] = flow
        self._multi.add_handle(flow.curl)

    def _unpause(self, flow: Flow) -> None:
        if flow.curl in self._flows:
            flow.curl.pause(pycurl.PAUSE_CONT)

    def _flush(self, descriptor: int) -> None:
        flow = self._blocked[descriptor]
        outlet = flow.outlet
        try:
            if outlet is not None:
                outlet.flush()
        except OSError as error:
            self._end(flow, pycurl.E_WRITE_ERROR, str(error))
            return
        if outlet is not None and outlet.held_bytes:
            return
        self._unblock(flow)
        if flow in self._finished:
            self._end(flow, pycurl.E_OK, '')
        else:
            self._unpause(flow)

    def _unblock(self, flow: Flow) -> None:
        if flow.outlet is None:
            return
        descriptor = flow.outlet.fileno()
        if self._blocked.pop(descriptor, None):
            self._epoll.unregister(descriptor)

    def _scan(self, now: float) -> None:
        for flow in list(self._flows.values()):
            if not flow.check(now):
                self._end(flow, ABORTED, 'given up')

    def _collect(self) -> None:
        queued = 1
        while queued:
            queued, whole, failed = self._multi.info_read()
            for curl in whole:
                self._complete(self._flows[curl])
            for curl, code, message in failed:
                self._end(self._flows[curl], code, message)

    def _complete(self, flow: Flow) -> None:
        # The target has ended; a slow caller may still be reading.
        if flow.outlet is not None and flow.outlet.held_bytes:
            self._multi.remove_handle(flow.curl)
            self._finished.append(flow)
            return
        self._end(flow, pycurl.E_OK, '')

    def _end(self, flow: Flow, code: int, message: str) -> None:
        if self._flows.pop(flow.curl, None) is None:
            return
        self._unblock(flow)
        # Taken off in the middle, its connection is closed by libcurl and
        # never given to another request.
        if flow in self._finished:
            self._finished.remove(flow)
        else:
            self._multi.remove_handle(flow.curl)
        flow.done.set_result((code, message))

    def _on_socket(self, what: int, descriptor: int, *_: object) -> None:
        if what == pycurl.POLL_REMOVE:
            try:
                self._epoll.unregister(descriptor)
            except OSError:
                return
            return
        try:
            self._epoll.modify(descriptor, OPEN_EVENTS[what])
        except FileNotFoundError:
            self._epoll.register(descriptor, OPEN_EVENTS[what])

    def _on_timer(self, milliseconds: int) -> None:
        if milliseconds < 0:
            self._due = 0
        else:
            self._due = time.monotonic() + milliseconds / 1000
