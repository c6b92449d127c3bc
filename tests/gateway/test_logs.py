"""Log lines: written at last, left out when nobody reads."""

import os

from jacinthfold.log_writer import QUEUE_CAPACITY_LINES, BoundedWriter
from tools.fleet import wait_until


class Message(str):
    """Stand for a line of the logging library."""

    record = None


def message(text, severity=20):
    """Return a line of a severity."""
    made = Message(f'{text}\n')
    level = type('Level', (), {'no': severity})()
    made.record = {'level': level}
    return made


def test_last_lines_are_written_before_the_end():
    reader, descriptor = os.pipe()
    writer = BoundedWriter(descriptor)
    for number in range(500):
        writer.queue_line(message(f'line {number}'))
    writer.flush(10)
    assert os.read(reader, 65536).endswith(b'line 499\n')


def test_reader_that_stands_still_costs_lines_and_no_time():
    """The pipe is full and nobody reads it.

    Lines are left out above the limits, ordinary ones first; once somebody
    reads, a line says how many were.
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

    wait_until(has_reported, 'the lines that were left out are told')
