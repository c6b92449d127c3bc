"""Run the tests; tests listed in KNOWN-RED.txt may fail, and are printed.

Each line of that file reads: test identifier, cause, issue.
"""

import sys
from pathlib import Path

import pytest

KNOWN_RED_PATH = Path('KNOWN-RED.txt')
KNOWN_RED_LIMIT = 3


class KnownRed:
    """Let the listed tests fail without failing the run."""

    def __init__(self, listed: list[str]) -> None:
        self.listed = {line.split(',')[0].strip(): line for line in listed}

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item, call):  # noqa: ANN001, ANN201
        outcome = yield
        report = outcome.get_result()
        line = self.listed.get(item.nodeid)
        if line and report.failed:
            print(f'\nknown red: {line}')
            report.outcome = 'skipped'
            report.wasxfail = line


def main(args: list[str]) -> int:
    """Run pytest and return its exit status."""
    listed = [
        line
        for line in KNOWN_RED_PATH.read_text().splitlines()
        if line.strip() and not line.startswith('#')
    ]
    if len(listed) > KNOWN_RED_LIMIT:
        print(f'error: KNOWN-RED.txt holds more than {KNOWN_RED_LIMIT} tests')
        return 1
    return int(pytest.main(args or ['tests'], plugins=[KnownRed(listed)]))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
