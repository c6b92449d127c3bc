"""Answers that only the end of the connection ends, when a host is killed."""

import json
import socket
from urllib.parse import urlsplit

import pytest

from tests.helpers import CHAT, small_fleet

TOKENS = 20
STEP_SECONDS = 0.1


@pytest.fixture
def slow_fleet(tmp_path):
    """Run a deployment whose streams take two seconds."""
    with small_fleet(tmp_path, step_seconds=STEP_SECONDS) as fleet:
        yield fleet


class OldCaller:
    """Ask for a stream by HTTP/1.0."""

    def __init__(self, fleet, host):
        address = urlsplit(fleet.caller_url(host))
        document = {
            'model': 'review',
            'max_tokens': TOKENS,
            'stream': True,
            'messages': [{'role': 'user', 'content': 'hello'}],
        }
        body = json.dumps(document).encode()
        lines = [f'POST {CHAT} HTTP/1.0', 'Host: x']
        lines += ['Authorization: Bearer key-free']
        lines += ['Content-Type: application/json']
        lines += [f'Content-Length: {len(body)}', '', '']
        self.content = b''
        self.is_reset = False
        self._socket = socket.create_connection(
            (address.hostname, address.port), timeout=20
        )
        self._socket.sendall('\r\n'.join(lines).encode() + body)

    def read(self, until=None):
        """Read to the end, or to some bytes."""
        try:
            while until is None or until not in self.content:
                content = self._socket.recv(65536)
                if not content:
                    return
                self.content += content
        except ConnectionResetError:
            self.is_reset = True


def test_stream_looks_broken_when_its_host_is_killed(slow_fleet):
    """Guards against an orderly end that the kernel makes for a dead host."""
    caller = OldCaller(slow_fleet, 'erie-a')
    caller.read(until=b'data: ')
    slow_fleet.processes['erie-a'].kill()
    caller.read()
    assert b'transfer-encoding' not in caller.content.lower()
    assert b'[DONE]' not in caller.content
    assert caller.is_reset


def test_whole_stream_ends_in_an_orderly_way(slow_fleet):
    """Guards against a reset behind an answer that is whole."""
    caller = OldCaller(slow_fleet, 'erie-a')
    caller.read()
    assert b'[DONE]' in caller.content
    assert not caller.is_reset
