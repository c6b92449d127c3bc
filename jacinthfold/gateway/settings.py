"""Read and check the settings of a gateway entry host."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any

from jacinthfold.config import Section, SettingsError, read_section
from jacinthfold.options import Option, decimal, integer, one_of, printable_text
from jacinthfold.placement.leaving_limit import LeavingLimit
from jacinthfold.placement.overload_options import OverloadOptions

PORT_LIMIT = 65535
_MS = 1000


def _parse_endpoint(value: str) -> tuple[str, int]:
    address, _, port = value.rpartition(':')
    if not address:
        raise ValueError
    return address, integer(1, PORT_LIMIT)(port)


def _parse_endpoints(value: str) -> tuple[tuple[str, int], ...]:
    return tuple(
        _parse_endpoint(entry.strip()) for entry in value.split(',') if entry
    )


def _parse_first_port(value: str) -> int:
    return integer(1, PORT_LIMIT)(value.split(',')[0])


def _parse_switch(value: str) -> bool:
    return one_of('on', 'off')(value) == 'on'


def _required(
    read: Callable[[str], Any], allowed: str, help_text: str
) -> Option:
    return Option(read, allowed, help_text)


ENDPOINT_FORMAT = 'an IP number and a port, as 10.0.0.1:8000'

# All settings, in the order of docs/SETTINGS.md.
GATEWAY_OPTIONS: dict[str, dict[str, Option]] = {
    'host': {
        'name': _required(
            printable_text, 'a text', 'name of this entry host, unique'
        ),
        'region': _required(printable_text, 'a text', 'region it stands in'),
        'data_centre': _required(
            printable_text, 'a text', 'data centre it stands in'
        ),
        'address': _required(
            printable_text, 'an IP number', 'address of this host'
        ),
        'log_level': Option(
            one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'),
            'DEBUG, INFO, WARNING or ERROR',
            'least severity that is logged',
            'INFO',
        ),
    },
    'listen': {
        'callers': _required(
            _parse_endpoint, ENDPOINT_FORMAT, 'callers: requests'
        ),
        'ready': _required(
            _parse_endpoint, ENDPOINT_FORMAT, 'readiness checks'
        ),
        'directory': _required(
            _parse_endpoint, ENDPOINT_FORMAT, 'callers: where to connect'
        ),
        'control': _required(
            _parse_endpoint,
            ENDPOINT_FORMAT,
            'entry hosts: heartbeats and snapshots; state dump',
        ),
        'relay_port': _required(
            _parse_first_port,
            f'whole numbers from 1 to {PORT_LIMIT}; the first is used',
            'entry hosts: requests passed on',
        ),
        'metrics_port': Option(
            integer(1, PORT_LIMIT),
            f'a whole number from 1 to {PORT_LIMIT}',
            'counters and histograms, as text under /metrics',
            '9464',
        ),
    },
    'peers': {
        'seeds': Option(
            _parse_endpoints,
            f'{ENDPOINT_FORMAT}, with commas between',
            'control addresses of some entry hosts, for the first contact',
            '',
        ),
    },
    'store': {
        'address': _required(
            _parse_endpoint, ENDPOINT_FORMAT, 'the metadata store'
        ),
    },
    'targets': {
        'use_after_leaving_ms': Option(
            decimal(2500, 60000),
            'milliseconds from 2500 to 60000',
            'no request reaches a target this long after the store accepted '
            'that it leaves',
            '5000',
        ),
    },
    'retries': {
        'ratio': Option(
            decimal(0, 1),
            'a number from 0 to 1',
            'repeats for each request, over all hosts',
            '0.2',
        ),
        'slack': Option(
            decimal(0, 100000),
            'a number from 0 to 100000',
            'repeats in a window beyond the ratio, over all hosts',
            '50',
        ),
        'window_seconds': Option(
            decimal(1, 600),
            'seconds from 1 to 600',
            'length of the sliding window',
            '10',
        ),
    },
    'organisations': {
        'revocation_ms': Option(
            decimal(0, 600000),
            'milliseconds from 0 to 600000',
            'no key runs this long after it was taken away; 0: no such bound',
            '0',
        ),
        'window_seconds': Option(
            decimal(1, 600),
            'seconds from 1 to 600',
            'length of the sliding window in which caps are counted',
            '8',
        ),
        'excess_ratio': Option(
            decimal(0, 10),
            'a number from 0 to 10',
            'what may run in a window beyond a cap, as a share of it',
            '0',
        ),
        'slack': Option(
            decimal(0, 1000000000),
            'a number from 0 to 1000000000',
            'what may run in a window beyond that, in units of the cap',
            '0',
        ),
    },
    'overload': {
        'waiting_requests': Option(
            integer(0, 4096),
            'a whole number from 0 to 4096',
            'requests that may wait at a host; 0: none waits',
            '0',
        ),
        'target_places': Option(
            _parse_switch,
            'on or off',
            "on: a host keeps to its share of a plain target's places",
            'off',
        ),
        'region_shares': Option(
            _parse_switch,
            'on or off',
            'reserved: relayed load by the capacity of regions; not built yet',
            'off',
        ),
        'fair_shares': Option(
            _parse_switch,
            'on or off',
            'reserved: scarce capacity by organisation; not built yet',
            'off',
        ),
        'answer_lag': Option(
            _parse_switch,
            'on or off',
            'on: the measured lag of answers counts when requests are admitted',
            'off',
        ),
        'water_filling': Option(
            _parse_switch,
            'on or off',
            'on: targets are chosen by the work that other hosts probably sent',
            'off',
        ),
    },
    'memory': {
        'limit_mb': Option(
            integer(64, 1048576),
            'a whole number from 64 to 1048576',
            'MB of memory that the process may use; a share of it is for '
            'bodies of requests and for answers that wait for callers',
            '160',
        ),
    },
    'stop': {
        'grace_seconds': Option(
            decimal(1, 600),
            'seconds from 1 to 600',
            'time from SIGTERM to the end, whatever is in flight',
            '8',
        ),
    },
}


class GatewaySettings:
    """Hold all settings of a gateway entry host."""

    __slots__ = (
        'data_centres',
        'host',
        'leaving_limit',
        'listen',
        'memory',
        'organisations',
        'overload',
        'peers',
        'retries',
        'stop',
        'store',
    )

    def __init__(
        self, sections: dict[str, Section], data_centres: dict[str, str]
    ) -> None:
        """Set the checked sections and the region of each data centre."""
        self.host = sections['host']
        self.listen = sections['listen']
        self.peers = sections['peers']
        self.store = sections['store']
        self.retries = sections['retries']
        self.stop = sections['stop']
        self.memory = sections['memory']
        self.organisations = sections['organisations']
        overload = sections['overload']
        self.overload = OverloadOptions(
            waiting_requests=overload.waiting_requests,
            target_places=overload.target_places,
            region_shares=overload.region_shares,
            fair_shares=overload.fair_shares,
            answer_lag=overload.answer_lag,
            water_filling=overload.water_filling,
        )
        targets = sections['targets']
        self.leaving_limit = LeavingLimit(targets.use_after_leaving_ms / _MS)
        self.data_centres = data_centres


def load(path: Path) -> GatewaySettings:
    """Return the settings in a file; raise SettingsError."""
    try:
        content = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: {error}']) from error
    return parse(content)


def parse(content: str) -> GatewaySettings:
    """Return the settings in a string; raise SettingsError."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(content)
    except configparser.Error as error:
        message = ' '.join(str(error).split())
        raise SettingsError([f'not an INI file: {message}']) from error
    faults = [
        f'[{section}] {key}: unknown key'
        for section, options in GATEWAY_OPTIONS.items()
        if parser.has_section(section)
        for key in parser[section]
        if key not in options
    ]
    sections = {
        name: Section(read_section(parser, name, options, faults))
        for name, options in GATEWAY_OPTIONS.items()
    }
    data_centres = {}
    if parser.has_section('data_centres'):
        data_centres = dict(parser['data_centres'])
    if not faults and sections['host'].data_centre not in data_centres:
        faults.append("[data_centres]: must name the host's own")
    if faults:
        raise SettingsError(faults)
    return GatewaySettings(sections, data_centres)
