"""Soak hosts while targets ask in their answers for less than comes.

    python -m tests.gateway.soak_pushback --first 1 --count 50 --seconds 16

All faults of the other soak come as well. What a target asks for binds each
host that it told, but not one that was stopped, killed or frozen since.
"""

import re
import sys
import time
from collections import defaultdict

from tests.gateway.limited_targets import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    allowed,
    most_in_a_window,
)
from tests.gateway.soak import TARGETS, Restart, Soak, Thaw, main

LIMITS = (0.5, 1.2, 3.0, 8.0)
UNREADABLE = ('0', '-3', 'nan', '9' * 400, 'soon')
UNREADABLE_SHARE = 0.1
# After the first answer that names a limit a host has passed one on.
TOLD_SECONDS = 1.0
# Bytes that a hurt link held back arrive later than they were sent.
LINK_SECONDS = 2.0
PLACED = re.compile(
    r'event=request_placed host=(\S+) request=(\S+) .*? target=(\S+)'
)
HEAD = b'HTTP/1.1 '


class Need:
    """Hold what a target asks for, from when to when."""

    def __init__(self, target, per_second):
        self.target = target
        self.per_second = per_second
        self.began_at = time.monotonic()
        self.ended_at = None

    def header(self, source):
        if source.random() < UNREADABLE_SHARE:
            return ('Server-Limit', source.choice(UNREADABLE))
        return ('Server-Limit', f'{self.per_second}')


class HeadWriter:
    """Add a header to each answer that passes."""

    def __init__(self, writer, header):
        self._writer = writer
        self._line = '{}: {}\r\n'.format(*header).encode()

    def write(self, content):
        if content.startswith(HEAD):
            status, _, rest = content.partition(b'\r\n')
            content = status + b'\r\n' + self._line + rest
        self._writer.write(content)

    async def drain(self):
        await self._writer.drain()


class PushbackSoak(Soak):
    """Run one seed with targets in need."""

    def __init__(self, seed, seconds, directory):
        super().__init__(seed, seconds, directory)
        self.needs = []
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
            if need is not None:
                writer = HeadWriter(writer, need.header(self.random))
            return await whole(target, request, writer)

        return script

    def _soak(self):
        for service in ('desk', 'model'):
            self._begin_need(service)
        super()._soak()

    def _begin_need(self, service):
        free = [
            name
            for name, (kind, _) in sorted(TARGETS.items())
            if kind == service and self._need_of(name) is None
        ]
        if free:
            name = self.random.choice(free)
            need = Need(name, self.random.choice(LIMITS))
            self.needs.append(need)
            self.faults['limit'] += 1

    def _need_of(self, name):
        for need in self.needs:
            if need.target == name and need.ended_at is None:
                return need
        return None

    def _later(self, seconds, heal):
        now = time.monotonic()
        if isinstance(heal, Thaw | Restart):
            self.hurt_hosts[heal.host.name].append(now)
        for name, proxy in self.proxies.items():
            if getattr(heal, '__self__', None) is proxy:
                self.hurt_links[name].append((now, now + seconds))
        super()._later(seconds, heal)

    def _recover(self):
        now = time.monotonic()
        for need in self.needs:
            need.ended_at = now
        super()._recover()

    def _check(self):
        super()._check()
        self._senders = self._read_senders()
        for need in self.needs:
            self._check_limit(need)

    def _read_senders(self):
        senders = {}
        for host in self.deployment.hosts.values():
            for line in host.log().splitlines():
                found = PLACED.search(line)
                if found:
                    senders[found[3], found[2]] = found[1]
        return senders

    def _check_limit(self, need):
        since = need.began_at + CONTACT_SECONDS
        counted = self._counted(need)
        late = [at for at in counted if at >= since]
        late = [at for at in late if not self._is_link_hurt(need.target, at)]
        found = most_in_a_window(late, since)
        if found > allowed(need.per_second):
            self.problems.append(
                f'{need.target} takes {need.per_second}/s and got {found} '
                f'in {WINDOW_SECONDS} s'
            )

    def _counted(self, need):
        """Return when requests of hosts came that the target had told."""
        told_at = {}
        counted = []
        for at, request_id in self.arrivals[need.target]:
            if not need.began_at <= at <= need.ended_at:
                continue
            sender = self._senders.get((need.target, request_id), '')
            first_at = told_at.setdefault(sender, at)
            hurt = self.hurt_hosts.get(sender, ())
            is_hurt = any(need.began_at <= one <= at for one in hurt)
            if at > first_at + TOLD_SECONDS and not is_hurt:
                counted.append(at)
        return counted

    def _is_link_hurt(self, name, at):
        return any(
            began_at <= at <= ended_at + LINK_SECONDS
            for began_at, ended_at in self.hurt_links.get(name, ())
        )


if __name__ == '__main__':
    sys.exit(main(PushbackSoak))
