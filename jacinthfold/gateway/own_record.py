"""Describe this host to the others."""

import time

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.gateway.settings import GatewaySettings


def own_record(settings: GatewaySettings) -> HostRecord:
    """Return the record of this host."""
    host, listen = settings.host, settings.listen
    # The incarnation is the wall-clock time in nanoseconds, so that a later
    # start has a larger number. If the clock was set back, the earlier record
    # stands until its lease expires.
    record = HostRecord(
        host.name,
        time.time_ns(),
        (host.region, host.data_centre),
        host.address,
        (listen.callers[1], listen.relay_port, listen.control[1]),
    )
    record.keeps_origins = True
    return record
