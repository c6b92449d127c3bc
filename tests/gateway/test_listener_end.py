"""Connections that come while a host's event loop is being closed."""

import asyncio
import contextlib

from jacinthfold.catalogue.model import CallerLimits
from jacinthfold.proxy.listener import Listener
from tests.gateway.deployment import LOOPBACK
from tools.fleet import Ports


class Silent:
    """Answer nothing."""

    async def handle(self, request, response):
        await asyncio.Event().wait()


async def connect_late(address, opened):
    """Connect once the tasks of the loop are being cancelled."""
    try:
        await asyncio.Event().wait()
    finally:
        with contextlib.suppress(OSError):
            opened.append(await asyncio.open_connection(*address))
        await asyncio.sleep(0.05)


def test_connection_during_the_cancellation_leaves_no_task():
    """Guards against a task that is pending when the loop has closed."""
    ports = Ports()
    address = (LOOPBACK, ports.take())
    opened = []
    listener = Listener('callers', address, Silent(), CallerLimits)

    async def main():
        await listener.start()
        late = asyncio.create_task(connect_late(address, opened))
        await asyncio.sleep(0)
        listener.end()
        return late

    asyncio.run(main())
    ports.close()
    assert listener.connection_count == 0
    assert not opened
