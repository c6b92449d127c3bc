"""Write log lines without blocking the program."""

import os
import queue
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loguru import Message

# Lines queued for the reader of the output, about 1 MB of memory.
QUEUE_CAPACITY_LINES = 4096
# Ordinary lines are dropped once this many lines are queued, so that a stalled
# reader loses ordinary lines before warnings.
ORDINARY_CAPACITY_LINES = 3072
# Maximum of ordinary lines a second; a busy host logs a few for each request.
ORDINARY_LINES_PER_SECOND = 1500
FLUSH_POLL_SECONDS = 0.005
# Lines are written together: one wake-up of the writer thread per line costs as
# much as building the line.
COLLECT_SECONDS = 0.005
_WARNING_SEVERITY = 30


class BoundedWriter:
    """Queue lines for a writer thread and count the dropped ones."""

    def __init__(self, descriptor: int) -> None:
        """Start the thread that writes to a file descriptor."""
        self._descriptor = descriptor
        self._lines: queue.Queue[bytes] = queue.Queue(QUEUE_CAPACITY_LINES)
        self._window_started_at = 0.0
        self._window_count = 0
        self.dropped_count = 0
        self._reported_count = 0
        threading.Thread(
            target=self._write_forever, name='logs', daemon=True
        ).start()

    def queue_line(self, message: 'Message') -> None:
        """Queue a line, or drop it if a limit is exceeded."""
        if self.accepts(message.record['level'].no):
            self.put(str(message))

    def accepts(self, severity: int) -> bool:
        """Count a line and tell whether the limits allow it."""
        if severity >= _WARNING_SEVERITY or self._accepts_ordinary():
            return True
        self.dropped_count += 1
        return False

    def put(self, line: str) -> None:
        """Queue an accepted line, or drop it if the queue is full."""
        try:
            self._lines.put_nowait(line.encode())
        except queue.Full:
            self.dropped_count += 1

    def flush(self, timeout_seconds: float) -> None:
        """Wait until all lines are written or the timeout expires."""
        # The daemon thread ends with the process. Without a flush the last
        # lines, which show how the process ended, would be lost.
        deadline = time.monotonic() + timeout_seconds
        while self._lines.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(FLUSH_POLL_SECONDS)

    def _accepts_ordinary(self) -> bool:
        now = time.monotonic()
        if now - self._window_started_at >= 1:
            self._window_started_at = now
            self._window_count = 0
        self._window_count += 1
        return (
            self._window_count <= ORDINARY_LINES_PER_SECOND
            and self._lines.qsize() < ORDINARY_CAPACITY_LINES
        )

    def _write_forever(self) -> None:
        while True:
            lines = [self._lines.get()]
            time.sleep(COLLECT_SECONDS)
            while not self._lines.empty() and len(lines) < QUEUE_CAPACITY_LINES:
                lines.append(self._lines.get_nowait())
            count = len(lines)
            lines.extend(self._dropped_notice())
            self._write(b''.join(lines))
            for _ in range(count):
                self._lines.task_done()

    def _dropped_notice(self) -> list[bytes]:
        count = self.dropped_count - self._reported_count
        if not count:
            return []
        self._reported_count += count
        return [f'level=warning event=lines_left_out count={count}\n'.encode()]

    def _write(self, content: bytes) -> None:
        remaining = memoryview(content)
        while remaining:
            try:
                remaining = remaining[os.write(self._descriptor, remaining) :]
            except BlockingIOError:
                time.sleep(0.05)
            except OSError:
                # The reader is gone, so the error can't be logged either.
                return
