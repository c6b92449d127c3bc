"""Read and check the settings of an entry host that follows a store."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any

from jacinthfold.config import Section, SettingsError, read_section
from jacinthfold.options import Option, choice, number, text, whole

PORT_LIMIT = 65535


def _place(written: str) -> tuple[str, int]:
    address, _, port = written.rpartition(':')
    if not address:
        raise ValueError
    return address, whole(1, PORT_LIMIT)(port)


def _places(written: str) -> tuple[tuple[str, int], ...]:
    return tuple(_place(entry.strip()) for entry in written.split(',') if entry)


def _first_port(written: str) -> int:
    return whole(1, PORT_LIMIT)(written.split(',')[0])


def _required(
    read: Callable[[str], Any], allowed: str, help_text: str
) -> Option:
    return Option(read, allowed, help_text)


PLACE = 'an IP number and a port, as 10.0.0.1:8000'

# Every setting, in the order of docs/SETTINGS.md.
GATEWAY_OPTIONS: dict[str, dict[str, Option]] = {
    'host': {
        'name': _required(text, 'a text', 'name of this entry host, unique'),
        'region': _required(text, 'a text', 'region it stands in'),
        'data_centre': _required(text, 'a text', 'data centre it stands in'),
        'address': _required(text, 'an IP number', 'address of this host'),
        'log_level': Option(
            choice('DEBUG', 'INFO', 'WARNING', 'ERROR'),
            'DEBUG, INFO, WARNING or ERROR',
            'least severity that is logged',
            'INFO',
        ),
    },
    'listen': {
        'callers': _required(_place, PLACE, 'callers: requests'),
        'ready': _required(_place, PLACE, 'readiness checks'),
        'directory': _required(_place, PLACE, 'callers: where to connect'),
        'control': _required(
            _place, PLACE, 'entry hosts: heartbeats and snapshots; state dump'
        ),
        'relay_port': _required(
            _first_port,
            f'whole numbers from 1 to {PORT_LIMIT}; the first is used',
            'entry hosts: requests passed on',
        ),
        'metrics_port': Option(
            whole(1, PORT_LIMIT),
            f'a whole number from 1 to {PORT_LIMIT}',
            'counters and histograms, as text under /metrics',
            '9464',
        ),
    },
    'peers': {
        'seeds': Option(
            _places,
            f'{PLACE}, with commas between',
            'control addresses of some entry hosts, for the first contact',
            '',
        ),
    },
    'store': {
        'address': _required(_place, PLACE, 'the metadata store'),
    },
    'retries': {
        'ratio': Option(
            number(0, 1),
            'a number from 0 to 1',
            'repeats for each request, over all hosts',
            '0.2',
        ),
        'slack': Option(
            number(0, 100000),
            'a number from 0 to 100000',
            'repeats in a window beyond the ratio, over all hosts',
            '50',
        ),
        'window_seconds': Option(
            number(1, 600),
            'seconds from 1 to 600',
            'length of the sliding window',
            '10',
        ),
    },
    'organisations': {
        'revocation_ms': Option(
            number(0, 600000),
            'milliseconds from 0 to 600000',
            'no key runs this long after it was taken away; 0: no such bound',
            '0',
        ),
        'window_seconds': Option(
            number(1, 600),
            'seconds from 1 to 600',
            'length of the sliding window in which caps are counted',
            '8',
        ),
        'excess_ratio': Option(
            number(0, 10),
            'a number from 0 to 10',
            'what may run in a window beyond a cap, as a share of it',
            '0',
        ),
        'slack': Option(
            number(0, 1000000000),
            'a number from 0 to 1000000000',
            'what may run in a window beyond that, in units of the cap',
            '0',
        ),
    },
    'stop': {
        'grace_seconds': Option(
            number(1, 600),
            'seconds from 1 to 600',
            'time from SIGTERM to the end, whatever is in flight',
            '8',
        ),
    },
}


class GatewaySettings:
    """Hold all settings of an entry host that follows a store."""

    __slots__ = (
        'data_centres',
        'host',
        'listen',
        'organisations',
        'peers',
        'retries',
        'stop',
        'store',
    )

    def __init__(
        self, sections: dict[str, Section], data_centres: dict[str, str]
    ) -> None:
        """Take the checked sections and the region of each data centre."""
        self.host = sections['host']
        self.listen = sections['listen']
        self.peers = sections['peers']
        self.store = sections['store']
        self.retries = sections['retries']
        self.stop = sections['stop']
        self.organisations = sections['organisations']
        self.data_centres = data_centres


def load(path: Path) -> GatewaySettings:
    """Return the settings of a file; raise SettingsError."""
    try:
        content = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: {error}']) from error
    return parse(content)


def parse(content: str) -> GatewaySettings:
    """Return the settings in a text; raise SettingsError."""
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
