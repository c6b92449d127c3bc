"""Log each event as one line of key=value pairs."""

import json
import re
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from loguru import logger

from jacinthfold.log_writer import BoundedWriter

if TYPE_CHECKING:
    from loguru import Record

# Values of letters, digits and these characters are written without quotes.
_UNQUOTED = re.compile(r'[\w.:/,@-]+')
# A constant template is parsed by loguru once; a line is put in as it is.
_TEMPLATE = '{line}\n'
_SEVERITIES = {'info': 20, 'warning': 30, 'error': 40}
_writers: list[BoundedWriter] = []


def set_up(level: str, host_name: str) -> None:
    """Log to standard error, at a level and above."""
    logger.remove()
    logger.configure(extra={'host': host_name})
    _writers.clear()
    logger.add(sys.stderr, level=level, format=_format, enqueue=False)


def set_up_non_blocking(level: str, host_name: str) -> None:
    """Log to standard output without blocking on its reader."""
    logger.remove()
    logger.configure(extra={'host': host_name})
    writer = BoundedWriter(sys.stdout.fileno())
    _writers.append(writer)
    logger.add(
        lambda message: writer.put(str(message)),
        level=level,
        format=_format,
        enqueue=False,
    )


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
    # A line that is dropped is not built.
    if _writers and not _writers[-1].accepts(_SEVERITIES[level]):
        return
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
