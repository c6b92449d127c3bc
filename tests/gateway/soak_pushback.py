"""Soak hosts while targets ask in their answers for less than comes.

    python -m tests.gateway.soak_pushback --first 1 --count 50 --seconds 16

All faults of the other soak come as well. What a target asks for binds each
host that it told, but not one that was stopped, killed or frozen since.
"""

import random
import re
import sys
import time
from collections import defaultdict

from tests.gateway.http_server import Reply
from tests.gateway.limited_targets import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    allowed,
    most_in_a_window,
)
from tests.gateway.soak import TARGETS, Restart, Soak, Thaw, main
from tests.gateway.target_standin import not_executed

LIMITS = (0.5, 1.2, 3.0, 8.0)
UNREADABLE = ('0', '-3', 'nan', '9' * 400, 'soon')
UNREADABLE_SHARE = 0.1
# Of the faults, those by which a target asks for something, and how long it
# does.
NEED_SHARE = 0.25
NEED_SECONDS = (1.0, 7.0)
REST_SECONDS = (0.8, 3.0)
# What the platform allows after a word.
LEFT_SECONDS = 3.0
NOTICE_SECONDS = 0.5
ALLOWED_IN_A_REST = 2
BORN_MS = 1_780_000_000_000
MS = 1000
# After the first answer that names a limit a host has passed one on.
TOLD_SECONDS = 1.0
# Bytes that a hurt link held back arrive later than they were sent.
LINK_SECONDS = 2.0
PLACED = re.compile(
    r'event=request_placed host=(\S+) request=(\S+) .*? target=(\S+)'
)
# Answers that reached the host: served ones, refusals and errors.
HEARD = re.compile(
    r'event=(?:request_served|attempt_failed) host=(\S+) .*?request=(\S+) '
    r'.*?(?:status=200|reason=target_refused|reason=status_)'
)
HEAD = b'HTTP/1.1 '


class Need:
    """Hold what a target asks for, from when to when."""

    def __init__(self, target):
        self.target = target
        self.began_at = time.monotonic()
        self.ended_at = None
        # Requests whose answers held the word, and not an unreadable one.
        self.said = set()

    async def serve(self, whole, target, request, writer, source):
        """Answer as the target does meanwhile."""
        header = self.header(source)
        writer = HeadWriter(writer, header)
        try:
            return await whole(target, request, writer)
        finally:
            # A target that loses its answer has told nothing.
            if writer.has_written and header[1] not in UNREADABLE:
                self.said.add(request.headers['attempt-id'])

    def counted(self, soak):
        """Return when requests of hosts came that the target had told.

        By host; a host that was hurt since is not counted.
        """
        told_at, counted = {}, defaultdict(list)
        for at, request_id in soak.arrivals[self.target]:
            if not self.began_at <= at <= self.ended_at:
                continue
            sender = soak.sender(self.target, request_id)
            if request_id in self.said and soak.has_heard(sender, request_id):
                told_at.setdefault(sender, at)
            first_at = told_at.get(sender, at)
            if at > first_at + TOLD_SECONDS and not (
                soak.is_hurt(sender, self.began_at, at)
                or soak.is_link_hurt(self.target, at)
            ):
                counted[sender].append((first_at + TOLD_SECONDS, at))
        return counted


class LimitNeed(Need):
    """Name a limit for all hosts together."""

    kind = 'limit'

    def __init__(self, target, source):
        super().__init__(target)
        self.per_second = source.choice(LIMITS)

    def header(self, source):
        if source.random() < UNREADABLE_SHARE:
            return ('Server-Limit', source.choice(UNREADABLE))
        return ('Server-Limit', f'{self.per_second}')

    def problems(self, soak):
        since = self.began_at + CONTACT_SECONDS
        arrivals = [
            at for told in self.counted(soak).values() for _, at in told
        ]
        found = most_in_a_window(arrivals, since)
        if found > allowed(self.per_second):
            yield (
                f'{self.target} takes {self.per_second}/s and got {found} '
                f'in {WINDOW_SECONDS} s'
            )


class LeavingNeed(Need):
    """Say that the target leaves."""

    kind = 'leaving'

    def __init__(self, target, _source):
        super().__init__(target)

    def header(self, source):
        if source.random() < UNREADABLE_SHARE:
            return ('Server-Leaving', source.choice(UNREADABLE))
        return ('Server-Leaving', '1')

    def problems(self, soak):
        for host, told in self.counted(soak).items():
            late = [at for told_at, at in told if at > told_at + LEFT_SECONDS]
            if late:
                yield (
                    f'{self.target} had told {host} that it leaves, and got '
                    f'{len(late)} requests later'
                )


class RestNeed(Need):
    """Turn all requests away and ask for rests."""

    kind = 'rest'

    def __init__(self, target, source):
        super().__init__(target)
        self.seconds = source.uniform(*REST_SECONDS)
        self.refusals = []

    async def serve(self, whole, target, request, writer, source):
        """Refuse."""
        self.refusals.append((time.monotonic(), request.headers['attempt-id']))
        headers = [
            *not_executed(request),
            ('Retry-After', f'{self.seconds}'),
        ]
        writer.write(Reply(503, headers).wire())
        await writer.drain()
        return True

    def problems(self, soak):
        for told_at, request_id in self.refusals:
            host = soak.sender(self.target, request_id)
            if not soak.has_heard(host, request_id):
                continue
            until = told_at + self.seconds
            if soak.is_hurt(host, told_at - self.seconds, until):
                continue
            found = [
                at
                for at, other in soak.arrivals[self.target]
                if told_at + NOTICE_SECONDS < at < until
                and soak.sender(self.target, other) == host
                and not soak.is_link_hurt(self.target, at)
            ]
            if len(found) > ALLOWED_IN_A_REST:
                yield (
                    f'{self.target} had asked {host} for {self.seconds} s of '
                    f'rest and got {len(found)} requests'
                )


class HeadWriter:
    """Add a header to each answer that passes."""

    def __init__(self, writer, header):
        self._writer = writer
        self._line = '{}: {}\r\n'.format(*header).encode()
        self.has_written = False

    def write(self, content):
        if content.startswith(HEAD):
            status, _, rest = content.partition(b'\r\n')
            content = status + b'\r\n' + self._line + rest
            self.has_written = True
        self._writer.write(content)

    async def drain(self):
        await self._writer.drain()


class PushbackSoak(Soak):
    """Run one seed with targets in need."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.needs = []
        self._births = {}
        # Apart from the seed's own, which the faults follow from.
        self._source = random.Random(seed)
        # When and by which request each target was reached.
        self.arrivals = defaultdict(list)
        # When hosts were hurt, and when links to targets were.
        self.hurt_hosts = defaultdict(list)
        self.hurt_links = defaultdict(list)

    def _start(self):
        super()._start()
        for name, target in self.deployment.targets.items():
            target.script = self._needy(name, target.script)

    def _needy(self, name, whole):
        async def script(target, request, writer):
            request_id = request.headers['attempt-id']
            self.arrivals[name].append((time.monotonic(), request_id))
            need = self._need_of(name)
            if need is None:
                return await whole(target, request, writer)
            return await need.serve(
                whole, target, request, writer, self._source
            )

        return script

    def _soak(self):
        # Limits bind after five seconds: these two last to the end.
        for service in ('desk', 'model'):
            self._begin_need(LimitNeed, service)
        super()._soak()

    def _begin_fault(self):
        if self.random.random() >= NEED_SHARE:
            super()._begin_fault()
            return
        kind = self.random.choice((LeavingNeed, RestNeed))
        need = self._begin_need(kind, self.random.choice(('desk', 'model')))
        if need is not None:
            seconds = self.random.uniform(*NEED_SECONDS)
            self._later(seconds, lambda: self._end_need(need))

    def _begin_need(self, kind, service):
        free = [
            name
            for name, (served, _) in sorted(TARGETS.items())
            if served == service and self._need_of(name) is None
        ]
        if not free:
            return None
        need = kind(self.random.choice(free), self.random)
        self.needs.append(need)
        self.faults[need.kind] += 1
        return need

    def _end_need(self, need):
        if need.ended_at is not None:
            return
        need.ended_at = time.monotonic()
        if need.kind == LeavingNeed.kind:
            # It ended, and starts again under its name.
            self._births[need.target] = int(time.time() * MS)
            self._register(need.target)

    def _register(self, name, **fields):
        born_ms = self._births.setdefault(name, BORN_MS)
        super()._register(name, born=born_ms, **fields)

    def _need_of(self, name):
        for need in self.needs:
            if need.target == name and need.ended_at is None:
                return need
        return None

    def _later(self, seconds, heal):
        now = time.monotonic()
        if isinstance(heal, Thaw | Restart):
            self.hurt_hosts[heal.host.name].append((now, heal))
        for name, proxy in self.proxies.items():
            if getattr(heal, '__self__', None) is proxy:
                self.hurt_links[name].append((now, now + seconds))
        super()._later(seconds, heal)

    def _recover(self):
        for need in self.needs:
            self._end_need(need)
        super()._recover()

    def _check(self):
        super()._check()
        self._read_logs()
        for need in self.needs:
            self.problems.extend(need.problems(self))

    def _read_logs(self):
        self._senders = {}
        self._heard = set()
        for host in self.deployment.hosts.values():
            for line in host.log().splitlines():
                found = PLACED.search(line)
                if found:
                    self._senders[found[3], found[2]] = found[1]
                found = HEARD.search(line)
                if found:
                    self._heard.add((found[1], found[2]))

    def has_heard(self, host, request_id):
        """Tell whether an answer reached a host; links lose some."""
        return (host, request_id) in self._heard

    def sender(self, target, request_id):
        """Return the host that sent a request to a target."""
        return self._senders.get((target, request_id), '')

    def is_hurt(self, host, since, until):
        """Tell whether a host was stopped, killed or frozen meanwhile."""
        return any(
            since <= began_at <= until
            or since <= (heal.healed_at or began_at) <= until
            for began_at, heal in self.hurt_hosts.get(host, ())
        )

    def is_link_hurt(self, name, at):
        """Tell whether bytes to a target may have been held back."""
        return any(
            began_at <= at <= ended_at + LINK_SECONDS
            for began_at, ended_at in self.hurt_links.get(name, ())
        )


if __name__ == '__main__':
    sys.exit(main(PushbackSoak))
