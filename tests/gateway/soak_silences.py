"""Soak hosts while sound targets fall silent, beside planned work only.

    python -m tests.gateway.soak_silences --first 1 --count 50 --seconds 12

Targets stand still for up to two seconds, one, some or all of a service at
once, and go on. Beside that come changes of the configuration, reloads, stops
and restarts of hosts, and targets that leave. Each request that was read has a
whole answer, unless its deadline comes first.
"""

import asyncio
import sys
import time

from tests.gateway import target_standin as standin
from tests.gateway.soak import (
    CALLER_SECONDS,
    EVENTS,
    TARGETS,
    Soak,
    main,
    serve_echo,
)

SILENCE_SECONDS = (0.3, 2.0)
EVENT_SECONDS = 0.04
# Just short of what callers wait for.
LATE_SECONDS = CALLER_SECONDS - 0.3


class SilencesSoak(Soak):
    """Run one seed."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        # Until when targets are silent, by name.
        self._silent_until = {}

    def _script(self, service):
        whole = self._serve_events if service == 'model' else self._serve_echo
        return whole

    async def _serve_echo(self, target, request, writer):
        await self._wait(target)
        return await serve_echo(target, request, writer)

    async def _serve_events(self, target, request, writer):
        await self._wait(target)
        target.executed.append(request)
        first = int(request.headers.get('last-event-id') or 0) + 1
        writer.write(standin.stream_head(request))
        for number in range(first, EVENTS + 1):
            content = standin.event(number)
            middle = len(content) // 2
            for piece in (content[:middle], content[middle:]):
                await self._wait(target)
                if request.is_left:
                    return False
                writer.write(f'{len(piece):x}\r\n'.encode() + piece + b'\r\n')
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS / 2)
        await self._wait(target)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def _wait(self, target):
        while time.monotonic() < self._silent_until.get(target.instance, 0):
            await asyncio.sleep(0.01)

    def _begin_fault(self):
        kinds = (
            self._silence,
            self._silence,
            self._silence,
            self._plan_host,
            self._change_routes,
            self._drain_target,
        )
        self.random.choice(kinds)(self.random.uniform(*SILENCE_SECONDS))

    def _silence(self, seconds):
        service = self.random.choice(self.services)
        names = [one for one in sorted(TARGETS) if TARGETS[one][0] == service]
        count = self.random.choice((1, 2, len(names), len(names)))
        self.faults[f'silent_{count}'] += 1
        until = time.monotonic() + seconds
        for name in self.random.sample(names, count):
            self._silent_until[name] = until

    def _plan_host(self, seconds):
        self.signal_host(seconds, ('term', 'reload', 'reload'))

    def _check(self):
        super()._check()
        for seen in self.seen:
            answer = seen.answer
            # Silences in series may last as long as the caller waits.
            is_late = seen.ended_at - seen.sent_at > LATE_SECONDS
            if answer.status and not answer.is_whole and not is_late:
                self.problems.append(
                    f'{seen.prefix}{seen.request_id} ended with status '
                    f'{answer.status} and {len(answer.body)} bytes'
                )


if __name__ == '__main__':
    sys.exit(main(SilencesSoak))
