"""Log each event as one line of key=value pairs."""

import json
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

from jacinthfold.log_writer import BoundedWriter

if TYPE_CHECKING:
    from loguru import Record

UNQUOTED_CHARACTERS = frozenset('-_.:/,@')
_writers: list[BoundedWriter] = []


def set_up(level: str, host_name: str) -> None:
    """Log to standard error, at a level and above."""
    logger.remove()
    logger.configure(extra={'host': host_name})
    logger.add(sys.stderr, level=level, format=_format, enqueue=False)


def set_up_non_blocking(level: str, host_name: str) -> None:
    """Log to standard output without blocking on its reader."""
    logger.remove()
    logger.configure(extra={'host': host_name})
    writer = BoundedWriter(sys.stdout.fileno())
    _writers.append(writer)
    logger.add(writer.queue_line, level=level, format=_format, enqueue=False)


def dropped_line_count() -> int:
    """Return the number of lines dropped since the start."""
    return sum(writer.dropped_count for writer in _writers)


def flush(timeout_seconds: float) -> None:
    """Wait until all lines are written or the timeout expires."""
    for writer in _writers:
        writer.flush(timeout_seconds)


def event(name: str, **fields: Any) -> None:
    """Log an event at level INFO."""
    logger.bind(**fields).info(name)


def warning(name: str, **fields: Any) -> None:
    """Log an event that may need an operator's attention."""
    logger.bind(**fields).warning(name)


def error(name: str, **fields: Any) -> None:
    """Log an event that needs an operator's attention."""
    logger.bind(**fields).error(name)


def _format(record: 'Record') -> str:
    pairs = [
        f'time={record["time"].isoformat()}',
        f'level={record["level"].name.lower()}',
        f'event={record["message"]}',
    ]
    pairs.extend(
        f'{name}={_quote_if_needed(value)}'
        for name, value in record['extra'].items()
    )
    line = ' '.join(pairs)
    # loguru formats the returned string again, so braces must be doubled.
    escaped = line.replace('{', '{{').replace('}', '}}').replace('<', r'\<')
    return f'{escaped}\n'


def _quote_if_needed(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    text = str(value)
    if text and all(
        char.isalnum() or char in UNQUOTED_CHARACTERS for char in text
    ):
        return text
    return json.dumps(text, ensure_ascii=False)
