"""The fault-injecting proxy that tests put between processes."""

import socket
import threading
import time

from tools.proxy import Proxy

STEP_SECONDS = 0.1


def test_bytes_are_lost_to_the_end_of_a_link_and_never_from_its_middle():
    """The proxy must inject no impossible fault: TCP never skips bytes."""
    listener = socket.create_server(('127.0.0.1', 0))
    proxy = Proxy(*listener.getsockname())
    pieces = [b'one ', b'two ', b'three ']

    def serve():
        server, _ = listener.accept()
        for piece in pieces:
            server.sendall(piece)
            time.sleep(3 * STEP_SECONDS)
        server.close()

    threading.Thread(target=serve, daemon=True).start()
    client = socket.create_connection(('127.0.0.1', proxy.port), timeout=2)
    received = client.recv(100)
    proxy.dropped = {'down'}
    time.sleep(4 * STEP_SECONDS)
    proxy.heal()
    try:
        while more := client.recv(100):
            received += more
    except TimeoutError:
        pass
    finally:
        client.close()
        proxy.close()
        listener.close()
    assert b''.join(pieces).startswith(received)
