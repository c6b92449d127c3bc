"""Show whether this host is in touch with the others."""

from prometheus_client import CollectorRegistry, Gauge

from jacinthfold.fleet.heartbeats import Heartbeats
from jacinthfold.fleet.revision_lag import RevisionLag
from jacinthfold.fleet.table import HostTable


def register(
    registry: CollectorRegistry, heartbeats: Heartbeats, hosts: HostTable
) -> None:
    """Register gauges of the socket between hosts and of who is heard."""
    Gauge(
        'jacinthfold_gateway_peer_socket_open',
        'Whether the socket to other hosts is open',
        registry=registry,
    ).set_function(lambda: float(heartbeats.socket.is_open))
    Gauge(
        'jacinthfold_gateway_peer_socket_openings',
        'How often the socket to other hosts was opened since the start',
        registry=registry,
    ).set_function(lambda: heartbeats.socket.opened_count)
    Gauge(
        'jacinthfold_gateway_hosts_heard',
        'Other hosts that this one hears, directly or by reports',
        registry=registry,
    ).set_function(hosts.live_count)


def register_lag(registry: CollectorRegistry, lag: RevisionLag) -> None:
    """Register the gauge of how long this host has been behind others."""
    Gauge(
        'jacinthfold_gateway_behind_seconds',
        'For how long a revision that other hosts told of has been missing',
        registry=registry,
    ).set_function(lambda: lag.seconds)
