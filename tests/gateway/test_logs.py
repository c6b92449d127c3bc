"""Log lines are flushed at exit and dropped if the reader stalls."""

import os
import subprocess
import sys
from datetime import datetime

from jacinthfold.log_writer import (
    ORDINARY_LINES_PER_SECOND,
    QUEUE_CAPACITY_LINES,
    BoundedWriter,
)
from tools.fleet import wait_until


class Message(str):
    """Stand in for a message of the logging library."""

    record = None


def message(text, severity=20):
    """Return a message of a severity."""
    line = Message(f'{text}\n')
    level = type('Level', (), {'no': severity})()
    line.record = {'level': level}
    return line


def test_last_lines_are_written_before_the_end():
    reader, descriptor = os.pipe()
    writer = BoundedWriter(descriptor)
    for number in range(500):
        writer.queue_line(message(f'line {number}'))
    writer.flush(10)
    assert os.read(reader, 65536).endswith(b'line 499\n')


def test_stalled_reader_drops_lines_without_blocking():
    """Drop lines while the pipe is full and nobody reads it.

    Lines above the limits are dropped, ordinary ones first. Once the pipe is
    read again, a line reports the number of dropped lines.
    """
    reader, descriptor = os.pipe()
    os.set_blocking(descriptor, False)
    writer = BoundedWriter(descriptor)
    for number in range(QUEUE_CAPACITY_LINES * 2):
        writer.queue_line(message('x' * 200, severity=30))
    writer.queue_line(message('ordinary'))
    assert writer.dropped_count > 0
    writer.flush(0.01)
    os.set_blocking(reader, False)
    seen = bytearray()

    def has_reported():
        try:
            seen.extend(os.read(reader, 1 << 20))
        except BlockingIOError:
            return False
        writer.queue_line(message('more'))
        return b'event=lines_left_out' in seen

    wait_until(has_reported, 'the dropped lines are reported')


def test_lines_are_the_same_on_both_outputs(tmp_path):
    """Guards against two formats: hosts write to a writer of their own.

    Operators and `explain` read both. Braces, markup and quotes in a value must
    come out as they are.
    """
    fields = {
        'request': 'r-1',
        'reason': 'a {b} <red>"c"</red>',
        'empty': '',
        'place': 'Zürich_1',
        'seconds': 1 / 3,
        'count': 12,
        'whole': True,
        'region': None,
    }
    path = tmp_path / 'out'
    code = (
        'import sys\n'
        'from jacinthfold import logs\n'
        f'fields = {fields!r}\n'
        "logs.set_up('INFO', 'h')\n"
        "logs.warning('it_failed', **fields)\n"
        "logs.set_up_non_blocking('INFO', 'h')\n"
        "logs.warning('it_failed', **fields)\n"
        'logs.flush(10)\n'
    )
    with path.open('wb') as out:
        subprocess.run(
            [sys.executable, '-c', code], stdout=out, stderr=out, check=True
        )
    lines = path.read_text().splitlines()
    times = [line.split(' ', 1)[0].removeprefix('time=') for line in lines]
    assert len(lines) == 2
    assert lines[0].split(' ', 1)[1] == lines[1].split(' ', 1)[1]
    read = [datetime.fromisoformat(one) for one in times]
    assert read[0].utcoffset() == read[1].utcoffset()
    assert 0 <= (read[1] - read[0]).total_seconds() < 30


def test_line_above_the_rate_is_counted_and_not_built():
    """Guards against the cost of lines that nobody gets to see."""
    _, descriptor = os.pipe()
    writer = BoundedWriter(descriptor)
    accepted = [writer.accepts(20) for _ in range(ORDINARY_LINES_PER_SECOND)]
    assert all(accepted)
    assert not writer.accepts(20)
    assert writer.accepts(30)
    assert writer.dropped_count == 1
