"""Streams whose engine fails between their end marker and the last chunk."""

import socket
import threading
import time

import pytest

from jacinthfold.serve.client import Call
from jacinthfold.serve.relay import Attempt, Ending, Relay

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
LAST_EVENT = b'data: {"choices": [{"finish_reason": "stop"}]}\n\n'
MARKER = b'data: [DONE]\n\n'
SILENCE_SECONDS = 0.3


class EventSink:
    """Take an answer as the caller's connection does."""

    held_bytes = 0

    def __init__(self):
        self.events = b''

    def start(self, status, headers):
        """Ignore the head."""

    def outlet(self):
        return self

    def send(self, payload):
        self.events += payload

    def flush(self):
        """Hold nothing back."""

    def fileno(self):
        return -1


def chunk(payload):
    return f'{len(payload):x}\r\n'.encode() + payload + b'\r\n'


def engine(body, *, closes):
    """Answer one request with an unfinished body; return the listener."""
    listener = socket.create_server(('127.0.0.1', 0))

    def serve():
        connection, _ = listener.accept()
        connection.recv(65536)
        connection.sendall(HEAD + body)
        if not closes:
            # Ends when the host gives the answer up.
            connection.recv(65536)
        connection.close()

    threading.Thread(target=serve, daemon=True).start()
    return listener


def relay_once(body, *, closes):
    listener = engine(body, closes=closes)
    host, port = listener.getsockname()
    sink = EventSink()
    attempt = Attempt(
        Call('GET', f'http://{host}:{port}/'),
        'request-1',
        is_repeatable=True,
        first_byte_deadline=time.monotonic() + 5,
        silence_timeout_seconds=SILENCE_SECONDS,
        write_timeout_seconds=5,
        is_given_up=lambda: False,
    )
    result = Relay().send(attempt, sink)
    listener.close()
    return result, sink


@pytest.mark.parametrize('closes', [True, False], ids=['killed', 'frozen'])
def test_stream_with_its_end_marker_is_whole_when_its_engine_fails(closes):
    """A stream that is complete is resumed, so that its end comes twice."""
    result, sink = relay_once(chunk(LAST_EVENT) + chunk(MARKER), closes=closes)
    assert sink.events == LAST_EVENT + MARKER
    assert result.ending is Ending.WHOLE


@pytest.mark.parametrize('closes', [True, False], ids=['killed', 'frozen'])
def test_stream_without_its_end_marker_is_cut_when_its_engine_fails(closes):
    result, sink = relay_once(chunk(LAST_EVENT), closes=closes)
    assert sink.events == LAST_EVENT
    assert result.ending is Ending.CUT
