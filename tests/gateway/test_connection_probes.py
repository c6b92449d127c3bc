"""Connections outlast a silence of two seconds, and no machine's end."""

import socket

import pytest

from jacinthfold.transport.channel import set_up_socket

STEP_SECONDS = 0.05
BORNE_SECONDS = 2.0
# A machine without power is noticed by then.
NOTICED_SECONDS = 5.0


def probe_times(options):
    """Yield when an idle connection is probed, and whether that ends it.

    These are the rules of Linux's keep-alive timer with a user timeout: the
    number of probes doesn't count, and the first probe is never the last.
    """
    elapsed, probes = options['idle'], 0
    while True:
        is_over = probes > 0 and elapsed >= options['user_timeout']
        yield elapsed, is_over
        probes += 1
        elapsed += options['interval']


def end_of(options, silent_from, silent_seconds):
    """Return when a silence ends a connection that is idle from 0, or None."""
    for at, is_over in probe_times(options):
        if is_over:
            return at
        if not silent_from <= at < silent_from + silent_seconds:
            # It is acknowledged, and all begins anew.
            return (
                None
                if at >= silent_from + silent_seconds
                else end_of(options, silent_from - at, silent_seconds)
            )


@pytest.fixture
def options():
    """Return what the kernel says of a socket that was set up, in seconds."""
    with socket.socket() as opened:
        set_up_socket(opened)

        def read(option):
            return opened.getsockopt(socket.IPPROTO_TCP, option)

        return {
            'idle': read(socket.TCP_KEEPIDLE),
            'interval': read(socket.TCP_KEEPINTVL),
            'user_timeout': read(socket.TCP_USER_TIMEOUT) / 1000,
        }


def test_silence_of_two_seconds_ends_no_connection(options):
    """Guards against connections that end by a probe in a late silence."""
    begins = [number * STEP_SECONDS for number in range(200)]
    ended = [one for one in begins if end_of(options, one, BORNE_SECONDS)]
    assert ended == []


def test_end_of_a_machine_is_noticed(options):
    """Guards against connections to machines without power that stay open."""
    assert end_of(options, 0.0, 1e9) <= NOTICED_SECONDS


def test_unacknowledged_request_outlasts_two_seconds(options):
    """Guards against connections that end while a request is on its way."""
    assert BORNE_SECONDS < options['user_timeout'] <= NOTICED_SECONDS
