"""Say from the logs of a day what was lost, when and why.

Reads what hosts write to standard output, one or more files: refusals by reason
and size, attempts that failed, prompts whose first event came late, and how far
the expected times to a first event were from those taken.
"""

import argparse
import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
# Simulated seconds, then the name of the host, before each line.
LINE = re.compile(r'\s*(-?[\d.]+) (\S+) .*event=(\w+)')
LARGE_TOKENS = 2000
WINDOW_SECONDS = 2
REASON_SHOWN = 28


class Event:
    """Hold one line of a log."""

    __slots__ = ('at_seconds', 'fields', 'name')

    def __init__(self, at_seconds: float, name: str, fields: dict[str, str]):
        """Take when it was written, what it tells and the rest."""
        self.at_seconds = at_seconds
        self.name = name
        self.fields = fields

    @property
    def window(self) -> int:
        """Return the second at which the line's window begins."""
        return int(self.at_seconds // WINDOW_SECONDS) * WINDOW_SECONDS


def events(paths: Iterable[Path]) -> Iterator[Event]:
    """Return the lines of logs that tell of an event."""
    for path in paths:
        with path.open(errors='replace') as lines:
            for line in lines:
                found = LINE.match(line)
                if found:
                    fields = {
                        name: content.strip('"')
                        for name, content in FIELD.findall(line)
                    }
                    yield Event(float(found[1]), found[3], fields)


def size_of(fields: dict[str, str]) -> str:
    """Return what kind of request a line speaks of."""
    tokens = int(fields.get('prompt_tokens') or 0)
    if tokens >= LARGE_TOKENS:
        return 'large prompt'
    return 'small prompt' if tokens else 'call'


class Losses:
    """Count what was lost by window and cause."""

    def __init__(self, aim_seconds: float):
        """Take the aim of large prompts."""
        self._aim_seconds = aim_seconds
        self._placed: dict[str, Event] = {}
        self.windows: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.errors: list[float] = []

    def take(self, event: Event) -> None:
        """Take a line."""
        fields = event.fields
        if event.name == 'request_placed':
            self._placed[fields['request']] = event
        elif event.name == 'request_refused':
            cause = f'refused {fields["reason"]}, {size_of(fields)}'
            self.windows[event.window][cause] += 1
        elif event.name == 'requests_refused':
            cause = f'refused {fields["reason"]}, any size'
            self.windows[event.window][cause] += int(fields['left_out'])
        elif event.name == 'attempt_failed':
            reason = fields['reason'][:REASON_SHOWN]
            self.windows[event.window][f'failed {reason}'] += 1
        elif event.name == 'request_served':
            self._take_served(event)

    def _take_served(self, event: Event) -> None:
        placed = self._placed.pop(event.fields['request'], None)
        taken = float(event.fields.get('first_seconds') or 0)
        if placed is None or not taken:
            return
        expected = float(placed.fields['expected_seconds'])
        if event.fields['sends'] == '1':
            self.errors.append(abs(expected - taken) / taken)
        is_large = size_of(placed.fields) == 'large prompt'
        if is_large and taken > self._aim_seconds:
            foreseen = 'was' if expected > self._aim_seconds else 'was not'
            self.windows[placed.window][f'late, which {foreseen} foreseen'] += 1


def main() -> None:
    """Print the table of losses of some logs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--aim-seconds', type=float, default=1.0)
    parser.add_argument('logs', nargs='+', type=Path)
    options = parser.parse_args()
    losses = Losses(options.aim_seconds)
    for event in events(options.logs):
        losses.take(event)
    for window in sorted(losses.windows):
        causes = losses.windows[window].most_common()
        told = '; '.join(f'{count} {cause}' for cause, count in causes)
        print(f'{window:5} s  {told}')
    if len(losses.errors) > 1:
        cuts = statistics.quantiles(losses.errors, n=20)
        middle = statistics.median(losses.errors)
        print(
            f'expected against taken, {len(losses.errors)} first events:'
            f' median {middle:.0%}, 95th {cuts[-1]:.0%}'
        )


if __name__ == '__main__':
    main()
