"""Read and check the settings of an entry host."""

import configparser
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from jacinthfold.options import OPTIONS, Option


class SettingsError(Exception):
    """Report all faults of the settings together."""

    def __init__(self, faults: Iterable[str]) -> None:
        """Set one line for each fault: section, key, what is allowed."""
        self.faults = tuple(faults)
        super().__init__('; '.join(self.faults))


class Section:
    """Hold the values of one section as attributes."""

    def __init__(self, values: dict[str, Any]) -> None:
        """Set the checked values."""
        self.__dict__.update(values)

    def __getattr__(self, name: str) -> Any:
        """Raise AttributeError for a setting that does not exist."""
        raise AttributeError(f'no setting is called {name}')


class Settings:
    """Hold all settings of an entry host."""

    __slots__ = (
        'callers',
        'host',
        'limits',
        'operators',
        'peers',
        'platform',
        'routing',
        'targets',
    )

    def __init__(self, sections: dict[str, Section]) -> None:
        """Set the checked sections."""
        self.host = sections['host']
        self.platform = sections['platform']
        self.peers = sections['peers']
        self.operators = sections['operators']
        self.callers = sections['callers']
        self.targets = sections['targets']
        self.routing = sections['routing']
        self.limits = sections['limits']


def load(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsError."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: {error}']) from error
    return parse(text)


def parse(text: str) -> Settings:
    """Return the settings in a string; raise SettingsError."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        message = ' '.join(str(error).split())
        raise SettingsError([f'not an INI file: {message}']) from error
    faults = _unknown_key_faults(parser)
    sections = {}
    for name, options in OPTIONS.items():
        sections[name] = Section(read_section(parser, name, options, faults))
    if not faults:
        faults.extend(_cross_checks(sections))
    if faults:
        raise SettingsError(faults)
    return Settings(sections)


def to_document(settings: Settings) -> dict[str, dict[str, Any]]:
    """Return the settings in force, with secrets hidden."""
    document: dict[str, dict[str, Any]] = {}
    for name in OPTIONS:
        values = dict(getattr(settings, name).__dict__)
        for secret in ('secret', 'key', 'order_key'):
            if values.get(secret):
                values[secret] = '(hidden)'
        document[name] = values
    return document


def _unknown_key_faults(parser: configparser.ConfigParser) -> list[str]:
    faults = [
        f'[{section}]: unknown section; allowed are {", ".join(OPTIONS)}'
        for section in parser.sections()
        if section not in OPTIONS
    ]
    for section in OPTIONS.keys() & set(parser.sections()):
        faults.extend(
            f'[{section}] {key}: unknown key; '
            f'allowed are {", ".join(OPTIONS[section])}'
            for key in parser[section]
            if key not in OPTIONS[section]
        )
    return faults


def read_section(
    parser: configparser.ConfigParser,
    name: str,
    options: dict[str, Option],
    faults: list[str],
) -> dict[str, Any]:
    values = {}
    for key, option in options.items():
        text = parser.get(name, key, fallback=option.default)
        if text is None:
            faults.append(f'[{name}] {key}: needed: {option.allowed}')
            continue
        try:
            values[key] = option.read(text)
        except ValueError:
            shown = '' if key in {'secret', 'key'} else f' {text!r}'
            faults.append(f'[{name}] {key}:{shown} is not {option.allowed}')
    return values


def _cross_checks(sections: dict[str, Section]) -> list[str]:
    faults = []
    host = sections['host']
    ports = [
        host.caller_port,
        host.control_port,
        host.peer_port,
        host.relay_port,
    ]
    if len(set(ports)) < len(ports):
        faults.append('[host] caller_port: the four ports must differ')
    if sections['callers'].queue_length >= sections['callers'].max_requests:
        faults.append('[callers] queue_length: must be below max_requests')
    if sections['peers'].member_timeout_seconds < 4 * (
        sections['peers'].sync_seconds
    ):
        faults.append(
            '[peers] member_timeout_seconds: must be 4 times sync_seconds '
            'or more'
        )
    return faults
