"""Run a gateway entry host on the platform."""

import asyncio
from pathlib import Path

from jacinthfold import logs
from jacinthfold.clock import SystemClock
from jacinthfold.gateway import settings as gateway_settings
from jacinthfold.gateway.adapter import Adapter
from jacinthfold.gateway.node import GatewayNode
from jacinthfold.platform.api import PlatformApi
from jacinthfold.platform.dialect import PlatformDialect
from jacinthfold.platform.documents import PlatformReader
from jacinthfold.platform.store import PlatformStore
from jacinthfold.transport.http_call import PooledHttpClient

# A log reader that has stalled must not delay the exit of the process.
LOG_FLUSH_TIMEOUT_SECONDS = 0.2


def run(path: Path) -> None:
    """Serve until SIGTERM or SIGINT; raise SettingsError."""
    settings = gateway_settings.load(path)
    logs.set_up_non_blocking(settings.host.log_level, settings.host.name)
    try:
        asyncio.run(_serve(settings, path))
    finally:
        logs.flush(LOG_FLUSH_TIMEOUT_SECONDS)


async def _serve(
    settings: gateway_settings.GatewaySettings, path: Path
) -> None:
    clock = SystemClock()
    http_client = PooledHttpClient(clock)
    adapter = Adapter(
        PlatformStore(settings.store.address, http_client),
        PlatformReader(),
        PlatformDialect(),
        PlatformApi(),
    )
    await GatewayNode(settings, path, adapter, http_client, clock).run()
