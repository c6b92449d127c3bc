"""Declare the settings: their parsers, allowed values and defaults."""

import ipaddress
from collections.abc import Callable
from functools import partial
from typing import Any

MIN_SECRET_LENGTH = 16
PORT_LIMIT = 65535


class Option:
    """Describe one setting: its parser, allowed values and default."""

    __slots__ = ('allowed', 'default', 'help_text', 'read')

    def __init__(
        self,
        read: Callable[[str], Any],
        allowed: str,
        help_text: str,
        default: str | None = None,
    ) -> None:
        """Set the parser, the allowed values, and the default if any."""
        self.read = read
        self.allowed = allowed
        self.help_text = help_text
        self.default = default


def printable_text(value: str) -> str:
    if not value or not value.isprintable():
        raise ValueError
    return value


def _secret(value: str) -> str:
    if len(value) < MIN_SECRET_LENGTH:
        raise ValueError
    return value


def _address(value: str) -> str:
    return str(ipaddress.ip_address(value))


def _url(value: str) -> str:
    if not value.startswith(('http://', 'https://')):
        raise ValueError
    return value.rstrip('/')


def _peer_list(value: str) -> tuple[tuple[str, int], ...]:
    seeds = []
    for entry in value.split():
        address, _, port = entry.rpartition(':')
        seeds.append(
            (_address(address.strip('[]')), integer(1, PORT_LIMIT)(port))
        )
    return tuple(seeds)


def _check_range(
    kind: Callable[[str], Any], low: float, high: float, value: str
) -> Any:
    converted = kind(value)
    if not low <= converted <= high:
        raise ValueError
    return converted


def integer(low: int, high: int) -> Callable[[str], int]:
    return partial(_check_range, int, low, high)


def decimal(low: float, high: float) -> Callable[[str], float]:
    return partial(_check_range, float, low, high)


def _check_choice(choices: tuple[str, ...], value: str) -> str:
    if value not in choices:
        raise ValueError
    return value


def one_of(*choices: str) -> Callable[[str], str]:
    return partial(_check_choice, choices)


def _port(help_text: str) -> Option:
    return Option(
        integer(1, PORT_LIMIT),
        f'a whole number from 1 to {PORT_LIMIT}',
        help_text,
    )


def _mapped_port(name: str) -> Option:
    allowed = f'a whole number from 0 to {PORT_LIMIT}'
    help_text = (
        f'port that reaches {name} from outside, if another; 0: the same'
    )
    return Option(integer(0, PORT_LIMIT), allowed, help_text, '0')


def _seconds(low: float, high: float, default: str, help_text: str) -> Option:
    allowed = f'seconds from {low:g} to {high:g}'
    return Option(decimal(low, high), allowed, help_text, default)


def _count(low: int, high: int, default: str, help_text: str) -> Option:
    allowed = f'a whole number from {low} to {high}'
    return Option(integer(low, high), allowed, help_text, default)


def _ratio(low: float, high: float, default: str, help_text: str) -> Option:
    allowed = f'a number from {low:g} to {high:g}'
    return Option(decimal(low, high), allowed, help_text, default)


# All settings, in the order of docs/SETTINGS.md.
OPTIONS: dict[str, dict[str, Option]] = {
    'host': {
        'name': Option(
            printable_text, 'a text', 'name of this entry host, unique'
        ),
        'region': Option(printable_text, 'a text', 'region it stands in'),
        'data_centre': Option(
            printable_text, 'a text', 'data centre it stands in'
        ),
        'address': Option(
            _address, 'an IP number', 'address for all of its listeners'
        ),
        'caller_port': _port('callers: completions, services, directory'),
        'control_port': _port('operators: intents, status, dump, metrics'),
        'peer_port': _port('peers: membership and configuration (gRPC)'),
        'relay_port': _port('peers: requests passed on by entry hosts'),
        'advertised_peer_port': _mapped_port('peer_port'),
        'advertised_relay_port': _mapped_port('relay_port'),
        'log_level': Option(
            one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'),
            'DEBUG, INFO, WARNING or ERROR',
            'least severity that is logged',
            'INFO',
        ),
        'stop_timeout_seconds': _seconds(
            1, 3600, '120', 'longest wait at a stop for requests in flight'
        ),
        'leave_notice_seconds': _seconds(
            0, 60, '3', 'wait after leaving the directory, before closing'
        ),
    },
    'platform': {
        'store_url': Option(
            _url, 'an http:// or https:// URL', 'key-value service'
        ),
        'host_list_url': Option(
            _url, 'an http:// or https:// URL', 'list of live and leaving hosts'
        ),
        'store_timeout_seconds': _seconds(
            0.1, 30, '2', 'longest wait for one call to the store'
        ),
        'watch_seconds': _seconds(
            1, 60, '10', 'length of one waiting watch on the store'
        ),
        'watchers_per_data_centre': _count(
            1, 1024, '2', 'entry hosts of a data centre that watch the store'
        ),
        'host_list_seconds': _seconds(
            0.5, 300, '5', 'pause between two readings of the host list'
        ),
    },
    'peers': {
        'secret': Option(
            _secret,
            f'a text of at least {MIN_SECRET_LENGTH} characters',
            'shared by all entry hosts of a deployment',
        ),
        'seeds': Option(
            _peer_list,
            'IP:port pairs, parted by spaces',
            'peer ports of some entry hosts to meet first',
            '',
        ),
        'sync_seconds': _seconds(
            0.05, 10, '0.5', 'pause between two exchanges with a peer'
        ),
        'member_timeout_seconds': _seconds(
            0.5, 60, '4', 'silence after which a peer counts as failed'
        ),
        'contacts_per_data_centre': _count(
            1, 16, '4', 'members known of each other data centre'
        ),
    },
    'operators': {
        'key': Option(
            _secret,
            f'a text of at least {MIN_SECRET_LENGTH} characters',
            'key that operators present',
        ),
    },
    'callers': {
        'max_requests': _count(
            1, 4096, '192', 'requests in service and in the queue together'
        ),
        'queue_length': _count(
            0, 4096, '96', 'requests that may wait for a target'
        ),
        'max_body_bytes': _count(
            1024, 1 << 28, '8388608', 'largest request body'
        ),
        'head_timeout_seconds': _seconds(
            0.2, 120, '10', 'longest time for a request head to arrive'
        ),
        'body_timeout_seconds': _seconds(
            0.2, 600, '30', 'longest time for a request body to arrive'
        ),
        'write_timeout_seconds': _seconds(
            0.2, 600, '30', 'longest wait for a caller that does not read'
        ),
        'deadline_seconds': _seconds(
            0.5, 3600, '60', 'time to the first token, if a caller sets none'
        ),
        'directory_lifetime_seconds': _seconds(
            1, 300, '5', 'how long a caller may keep a directory answer'
        ),
        'max_keys': _count(
            10, 10000000, '100000', 'idempotency keys remembered at most'
        ),
        'key_retention_seconds': _seconds(
            10, 604800, '86400', 'how long an idempotency key is remembered'
        ),
    },
    'targets': {
        'poll_seconds': _seconds(
            0.1, 60, '0.5', 'pause between two readings of a target'
        ),
        'pollers_per_target': _count(
            1, 8, '2', 'entry hosts of a data centre that read one target'
        ),
        'connect_timeout_seconds': _seconds(
            0.05, 30, '1', 'longest wait for a connection to a target'
        ),
        'first_byte_timeout_seconds': _seconds(
            0.2,
            600,
            '10',
            'longest wait for a first byte before another target is tried',
        ),
        'silence_timeout_seconds': _seconds(
            0.2, 600, '10', 'longest silence between two parts of an answer'
        ),
        'service_timeout_seconds': _seconds(
            0.2, 3600, '30', 'longest wait for the answer of a plain service'
        ),
        'order_key': Option(
            str, 'a text', 'key shown to targets that check who orders', ''
        ),
        'lease_seconds': _seconds(
            1, 300, '6', 'lifetime of the lease on giving orders'
        ),
    },
    'routing': {
        'latency_weight': _ratio(
            0, 100, '1', 'weight of the wait before the first token'
        ),
        'cost_weight': _ratio(
            0, 100, '0.5', 'weight of prefill that no cache spares'
        ),
        'prefill_bytes_per_second': _ratio(
            100, 1e9, '32000', 'prompt bytes that an engine reads in a second'
        ),
        'decode_seconds': _ratio(
            0, 60, '0.3', 'engine time of an answer decoded alone, in seconds'
        ),
        'affinity_load_bound': _ratio(
            1, 10, '1.5', 'load over the mean at which affinity yields'
        ),
        'slot_overcommit': _ratio(
            0.1, 4, '1', 'requests sent to an engine for each of its slots'
        ),
        'bulk_slot_share': _ratio(
            0.1, 1, '0.9', 'share of the slots that bulk requests may fill'
        ),
        'spill_wait_seconds': _seconds(
            0, 60, '0.4', 'expected wait at home that makes spilling pay'
        ),
        'ramp_seconds': _seconds(
            0, 600, '5', 'time for a returning target to reach full load'
        ),
        'retry_ratio': _ratio(0, 1, '0.1', 'retries allowed for each request'),
        'breaker_failures': _count(
            1, 100, '3', 'failures in a row that take a target out'
        ),
        'breaker_seconds': _seconds(
            0.1, 300, '2', 'time that a failing target stays out'
        ),
        'policy': Option(
            one_of('weighted', 'round_robin', 'least_requests', 'prefix_hash'),
            'weighted, round_robin, least_requests or prefix_hash',
            'how targets are chosen; all but the first are for comparison',
            'weighted',
        ),
    },
    'limits': {
        'hosts_per_organisation': _count(
            1, 64, '2', 'entry hosts of a region that serve one organisation'
        ),
        'away_share': _ratio(
            0, 0.5, '0.1', 'share of a limit usable in each region but home'
        ),
        'stray_share': _ratio(
            0, 0.5, '0.05', 'share kept for entry hosts not in the directory'
        ),
        'burst_seconds': _seconds(
            0.1, 60, '2', 'seconds of its limit that a caller may use at once'
        ),
    },
}
