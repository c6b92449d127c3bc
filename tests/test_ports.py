"""Ports that tests give to the processes that they start."""

import socket

from tools.fleet import Ports


def test_port_is_free_on_every_address_of_the_machine():
    """A host of a killed test run still listens on another address.

    Its ports, free on the first address, would be given to a new host, which
    could not listen there and would end as it starts.
    """
    listeners = []
    for _ in range(200):
        listener = socket.socket()
        listener.bind(('127.0.1.1', 0))
        listener.listen()
        listeners.append(listener)
    taken = {one.getsockname()[1] for one in listeners}
    ports = Ports()
    given = [ports.take() for _ in range(2000)]
    assert not taken & set(given)
    assert len(set(given)) == len(given)
    free = socket.socket()
    free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    free.bind(('127.0.1.1', given[0]))
    free.listen()
    for one in (free, *listeners):
        one.close()
    ports.close()
