"""Log each event as one line of key=value pairs."""

import json
import re
import sys
import time
from collections.abc import Mapping
from datetime import datetime
from typing import TYPE_CHECKING, Any

from loguru import logger

from jacinthfold.log_writer import BoundedWriter

if TYPE_CHECKING:
    from loguru import Record

# Values of letters, digits and these characters are written without quotes.
_UNQUOTED = re.compile(r'[\w.:/,@-]+')
# A constant template is parsed by loguru once; a line is put in as it is.
_TEMPLATE = '{line}\n'
NANOSECONDS_PER_SECOND = 1_000_000_000
# A date and a time of day as in 2026-01-31T23:59:59.
TIME_CHARACTERS = 19
_SEVERITIES = {'info': 20, 'warning': 30, 'error': 40}
_writers: list[BoundedWriter] = []


class _DirectLog:
    """Write lines without loguru, which costs more than all of their text."""

    __slots__ = (
        '_host_name',
        '_second',
        '_severity',
        '_time_parts',
        '_writer',
    )

    def __init__(
        self, writer: BoundedWriter, severity: int, host_name: str
    ) -> None:
        self._writer = writer
        self._severity = severity
        self._host_name = host_name
        # The text of the current second, before and after its fraction.
        self._second = 0
        self._time_parts = ('', '')

    def write(self, level: str, name: str, fields: Mapping[str, Any]) -> None:
        severity = _SEVERITIES[level]
        # A line that is dropped is not built.
        if severity < self._severity or not self._writer.accepts(severity):
            return
        extra = {'host': self._host_name, **fields}
        line = _line(self._time_text(), level, name, extra)
        self._writer.put(f'{line}\n')

    def _time_text(self) -> str:
        second, nanoseconds = divmod(time.time_ns(), NANOSECONDS_PER_SECOND)
        if second != self._second:
            self._second = second
            text = datetime.fromtimestamp(second).astimezone().isoformat()
            self._time_parts = (text[:TIME_CHARACTERS], text[TIME_CHARACTERS:])
        before, offset = self._time_parts
        return f'{before}.{nanoseconds // 1000:06}{offset}'


_direct: list[_DirectLog] = []


def set_up(level: str, host_name: str) -> None:
    """Log to standard error, at a level and above."""
    logger.remove()
    logger.configure(extra={'host': host_name})
    _direct.clear()
    logger.add(sys.stderr, level=level, format=_format, enqueue=False)


def set_up_non_blocking(level: str, host_name: str) -> None:
    """Log to standard output without blocking on its reader."""
    logger.remove()
    logger.configure(extra={'host': host_name})
    writer = BoundedWriter(sys.stdout.fileno())
    _writers.append(writer)
    logger.add(writer.queue_line, level=level, format=_format, enqueue=False)
    _direct.clear()
    _direct.append(_DirectLog(writer, logger.level(level).no, host_name))


def dropped_line_count() -> int:
    """Return the number of lines dropped since the start."""
    return sum(writer.dropped_count for writer in _writers)


def flush(timeout_seconds: float) -> None:
    """Wait until all lines are written or the timeout expires."""
    for writer in _writers:
        writer.flush(timeout_seconds)


def event(name: str, **fields: Any) -> None:
    """Log an event at level INFO."""
    _log('info', name, fields)


def warning(name: str, **fields: Any) -> None:
    """Log an event that may need an operator's attention."""
    _log('warning', name, fields)


def error(name: str, **fields: Any) -> None:
    """Log an event that needs an operator's attention."""
    _log('error', name, fields)


def _log(level: str, name: str, fields: Mapping[str, Any]) -> None:
    if _direct:
        _direct[0].write(level, name, fields)
    else:
        logger.bind(**fields).log(level.upper(), name)


def _format(record: 'Record') -> str:
    line = _line(
        record['time'].isoformat(),
        record['level'].name.lower(),
        record['message'],
        record['extra'],
    )
    record['line'] = line  # type: ignore[typeddict-item]
    return _TEMPLATE


def _line(
    time_text: str, level: str, name: str, extra: Mapping[str, Any]
) -> str:
    pairs = [f'time={time_text}', f'level={level}', f'event={name}']
    pairs.extend(
        f'{key}={_quote_if_needed(value)}' for key, value in extra.items()
    )
    return ' '.join(pairs)


def _quote_if_needed(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    text = str(value)
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)
