"""Write docs/SETTINGS.md and docs/sample.ini from the options themselves."""

import sys
from pathlib import Path

from jacinthfold.gateway.settings import GATEWAY_OPTIONS
from jacinthfold.options import OPTIONS, Option

PAGE = Path('docs/SETTINGS.md')
SAMPLE = Path('docs/sample.ini')
NEEDED = {
    ('host', 'name'): 'erie-south-1',
    ('host', 'region'): 'erie-south',
    ('host', 'data_centre'): 'erie-south-1',
    ('host', 'address'): '10.0.0.11',
    ('host', 'caller_port'): '8080',
    ('host', 'control_port'): '8081',
    ('host', 'peer_port'): '8082',
    ('host', 'relay_port'): '8083',
    ('platform', 'store_url'): 'http://10.0.9.1:8500',
    ('platform', 'host_list_url'): 'http://10.0.9.1:8500',
    ('peers', 'secret'): 'change-this-secret',
    ('operators', 'key'): 'change-this-operator-key',
}
INTRODUCTION = """# Settings

An entry host reads one INI file. `jacinthfold check --settings FILE` reports
every fault at once with its section, its key and what is allowed. A setting
with no default is needed. Names carry their unit. `docs/sample.ini` is a file
with every setting. This page and the sample are written from the program's own
options by `python -m tools.write_settings`; a test compares them.
"""
GATEWAY_INTRODUCTION = """# Settings of hosts that follow a metadata store

`jacinthfold gateway --settings FILE`. `deploy/gateway.ini` is the template that
the platform fills in. SIGHUP, or a change of the file, reads it again; `seeds`
are taken over at once, addresses, ports and `[overload]` at the next start.
Beside these sections, `[data_centres]` gives the region of each data centre, a
line each.

Limits, weights and times of decisions are constants with their source beside
them: `jacinthfold/placement/limits.py`, and at the head of each module.
"""


def page() -> str:
    """Return the text of docs/SETTINGS.md."""
    parts = [INTRODUCTION]
    for section, options in OPTIONS.items():
        parts.append(f'## [{section}]\n')
        parts.append('| key | allowed | default | what it is |')
        parts.append('|---|---|---|---|')
        parts.extend(row(key, option) for key, option in options.items())
        parts.append('')
    parts.append(GATEWAY_INTRODUCTION)
    for section, options in GATEWAY_OPTIONS.items():
        parts.append(f'### [{section}]\n')
        parts.append('| key | allowed | default | what it is |')
        parts.append('|---|---|---|---|')
        parts.extend(row(key, option) for key, option in options.items())
        parts.append('')
    return '\n'.join(parts)


def row(key: str, option: Option) -> str:
    """Return one line of a table."""
    default = 'needed' if option.default is None else f'`{option.default}`'
    default = 'empty' if option.default == '' else default
    return f'| `{key}` | {option.allowed} | {default} | {option.help_text} |'


def sample() -> str:
    """Return the text of docs/sample.ini."""
    lines = ['; Settings of one entry host. Lines that start with ; are']
    lines += ['; defaults; take the sign away to change one.', '']
    for section, options in OPTIONS.items():
        lines.append(f'[{section}]')
        for key, option in options.items():
            lines.append(f'; {option.help_text}: {option.allowed}')
            given = NEEDED.get((section, key))
            default = f'; {key} = {option.default}'
            lines.append(default if given is None else f'{key} = {given}')
        lines.append('')
    return '\n'.join(lines)


def main() -> int:
    """Write both files."""
    PAGE.write_text(page(), encoding='utf-8')
    SAMPLE.write_text(sample(), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
