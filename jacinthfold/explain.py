"""Extract the timeline of one request from the logs of many hosts."""

import re
from collections.abc import Iterable
from datetime import datetime

# The request identifier is logged under the key `request`, or under `answers`
# for a response that arrived on the wrong connection.
_REQUEST = re.compile(r'\b(?:request|answers)=(?P<id>"[^"]*"|\S+)')
_TIME = re.compile(r'\btime=(?P<time>\S+)')
_HOST = re.compile(r'\bhost=(?P<host>\S+)')
_EVENT = re.compile(r'\bevent=(?P<event>\S+)')
_TARGET = re.compile(r'\b(?:target|at)=(?P<target>\S+)')
# State changes of a host or target are included from this long before the
# request until its end, such as an ejected target or a lost store.
CONTEXT_SECONDS = 5.0


class LogLine:
    """Hold the fields of one log line."""

    __slots__ = ('event', 'host', 'request_id', 'target', 'text', 'time')

    def __init__(self, text: str) -> None:
        """Parse a line of a log."""
        self.text = text.strip()
        self.time = _first_match(_TIME, text, 'time')
        self.host = _first_match(_HOST, text, 'host')
        self.event = _first_match(_EVENT, text, 'event')
        self.target = _first_match(_TARGET, text, 'target')
        self.request_id = _first_match(_REQUEST, text, 'id').strip('"')


def request_timeline(lines: Iterable[str], request_id: str) -> list[str]:
    """Return the log lines about a request, sorted by time.

    State changes of its hosts and targets shortly before and during the request
    are included.
    """
    parsed = [LogLine(text) for text in lines if 'event=' in text]
    own = [line for line in parsed if line.request_id == request_id]
    if not own:
        return []
    hosts = {line.host for line in own}
    targets = {line.target for line in own if line.target}
    context = [
        line
        for line in parsed
        if not line.request_id
        and line.host in hosts
        and (line.target in targets or line.event in _HOST_EVENTS)
    ]
    selected = sorted([*own, *context], key=_line_time)
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    return [line.text for line in selected if _is_in_window(line, first, last)]


_HOST_EVENTS = frozenset(
    (
        'host_started',
        'host_leaving',
        'host_stopped',
        'routes_in_force',
        'evacuation',
        'store_lost',
        'store_reached',
        'settings_reloaded',
    )
)


def _is_in_window(line: LogLine, first: str, last: str) -> bool:
    if line.request_id:
        return True
    return line.time <= last and _seconds(first) - _seconds(line.time) < (
        CONTEXT_SECONDS
    )


def _seconds(time: str) -> float:
    try:
        return datetime.fromisoformat(time).timestamp()
    except ValueError:
        return 0.0


def _line_time(line: LogLine) -> str:
    return line.time


def _first_match(pattern: re.Pattern[str], text: str, name: str) -> str:
    found = pattern.search(text)
    return found.group(name) if found else ''
