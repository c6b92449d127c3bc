"""Log lines are flushed at exit and dropped if the reader stalls."""

import os

from jacinthfold.log_writer import QUEUE_CAPACITY_LINES, BoundedWriter
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
