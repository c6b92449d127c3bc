"""Soak hosts before targets that mislead about what has run.

    python -m tests.gateway.soak_promises --first 1 --count 50 --seconds 10

Targets reject and answer again later, answer 503 although they run the request,
reject without naming it, answer early, and send bytes without end. All faults
of the other soak come as well; hosts let requests wait, as in deploy/.
"""

import asyncio
import random
import sys
import weakref

from tests.gateway import target_standin as standin
from tests.gateway.deployment import OVERLOAD
from tests.gateway.soak import Soak, main, serve_echo, serve_events

ODD_SHARE = 0.3
# Targets have few places, so that many requests wait and are sent again.
PLACES = 3
CALL_SECONDS = (0.01, 0.15)
LATE_SECONDS = (0.0, 0.12)
ENDLESS_BLOCKS = 400


class PromisesSoak(Soak):
    """Run one seed with targets that mislead."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.host_options = {'overload': OVERLOAD}

    def _script(self, service):
        return MisleadingTarget(service, self.random.random()).serve


class MisleadingTarget:
    """Serve with few places, and mislead now and then."""

    def __init__(self, service, seed):
        self._random = random.Random(seed)
        self._whole = serve_events if service == 'model' else serve_echo
        self._in_flight = 0
        self._late = set()
        self._used_writers = weakref.WeakSet()

    def is_first(self, writer):
        """Tell whether a connection carries its first request."""
        return writer not in self._used_writers

    async def serve(self, target, request, writer):
        try:
            return await self._serve(target, request, writer)
        finally:
            self._used_writers.add(writer)

    async def _serve(self, target, request, writer):
        is_odd = self._random.random() < ODD_SHARE
        if self._in_flight >= PLACES:
            return await self._reject(request, writer, repeats=is_odd)
        self._in_flight += 1
        try:
            if is_odd:
                odd = self._random.choice(ODD)
                return await odd(self, target, request, writer)
            await asyncio.sleep(self._random.uniform(*CALL_SECONDS))
            return await self._whole(target, request, writer)
        finally:
            self._in_flight -= 1

    async def _reject(self, request, writer, *, repeats):
        reply = standin.Reply(503, standin.not_executed(request)).wire()
        writer.write(reply)
        await writer.drain()
        if repeats:
            self._write_late(writer, reply)
        return True

    def _write_late(self, writer, reply):
        """Write an answer once more, wherever the connection is then."""

        async def write():
            await asyncio.sleep(self._random.uniform(*LATE_SECONDS))
            if not writer.is_closing():
                writer.write(reply)

        task = asyncio.ensure_future(write())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


async def answer_as_if_refused(soaked, target, request, writer):
    """Run the request and answer with a status that promises otherwise."""
    target.executed.append(request)
    status = soaked._random.choice((408, 429, 503))
    reply = standin.Reply(status, standin.echoed(request), b'ran')
    writer.write(reply.wire())
    await writer.drain()
    return True


async def reject_without_id(soaked, target, request, writer):
    """Write the late rejection of another request, and run this one."""
    if not soaked.is_first(writer):
        writer.write(standin.Reply(503, [('Not-Executed', '1')]).wire())
        await writer.drain()
    return await soaked._whole(target, request, writer)


async def answer_twice(soaked, target, request, writer):
    """Answer, and answer once more later."""
    goes_on = await serve_echo(target, request, writer)
    reply = standin.Reply(200, standin.echoed(request), b'again')
    soaked._write_late(writer, reply.wire())
    return goes_on


async def never_end(_soaked, target, request, writer):
    """Run the request and send bytes until the host closes."""
    target.executed.append(request)
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n')
    for _ in range(ENDLESS_BLOCKS):
        if request.is_left:
            break
        writer.write(b'x' * 65536)
        await writer.drain()
        await asyncio.sleep(0)
    return False


async def fail(_soaked, target, request, writer):
    """Run the request and lose its answer."""
    return await standin.cut_after_run(target, request, writer)


ODD = (
    answer_as_if_refused,
    reject_without_id,
    answer_twice,
    never_end,
    fail,
)


if __name__ == '__main__':
    sys.exit(main(PromisesSoak))
