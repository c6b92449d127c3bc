"""Answers to uploads that aren't over, and statuses that are none."""

import socket
import struct
import threading
import time

import pytest

from jacinthfold.serve.client import Call
from jacinthfold.serve.relay import Attempt, Ending, Relay
from tests.test_stream_end import EventSink

# More than the kernel's buffers of a connection take.
UPLOAD = b'u' * 12000000
RECEIVE_BYTES = 4096
HEAD_BYTES = 1000
PART_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


def early_target(content, end_by):
    """Answer a request once its head has come; return the listener."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listener.bind(('127.0.0.1', 0))
    listener.listen()

    def serve():
        connection, _ = listener.accept()
        connection.recv(HEAD_BYTES)
        connection.sendall(content)
        # Bytes on their way would be lost by a reset.
        time.sleep(0.05)
        if end_by == 'reset':
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif end_by == 'shutdown':
            connection.shutdown(socket.SHUT_WR)
            time.sleep(0.5)
        connection.close()

    threading.Thread(target=serve, daemon=True).start()
    return listener


def send(content, body=b'', end_by='close'):
    """Send a request to such a target; return the result."""
    with early_target(content, end_by) as listener:
        host, port = listener.getsockname()
        attempt = Attempt(
            Call('POST', f'http://{host}:{port}/', body=body),
            'request-1',
            is_repeatable=False,
            first_byte_deadline=time.monotonic() + 5,
            silence_timeout_seconds=3,
            write_timeout_seconds=5,
            is_given_up=lambda: False,
        )
        return Relay().send(attempt, EventSink())


@pytest.mark.parametrize('end_by', ['reset', 'close', 'shutdown'])
def test_part_that_ends_an_upload_is_cut(end_by):
    """Guards against a part that looks whole as its upload wasn't over."""
    assert send(PART_HEAD + b'part', UPLOAD, end_by).ending is Ending.CUT


def test_answer_without_length_to_a_whole_request_is_whole():
    """Guards against whole answers that are taken for cut ones."""
    assert send(PART_HEAD + b'all', b'prompt').ending is Ending.WHOLE


@pytest.mark.parametrize('status', ['000', '099', '600', '999', '1000', 'abc'])
def test_status_that_is_none_is_no_answer(status):
    """Guards against a number that callers take for a status."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 3\r\n\r\n'.encode()
    assert send(head + b'odd').ending is Ending.UNKNOWN
