# flake8: noqa
"""Long prompts of many parts drive every host over its memory, each time."""

import os
import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import bed as kit  # noqa: E402

from tests.gateway import target_standin as standin  # noqa: E402

kit.ZONES = {
    'ashta-hall': 'erie-south',
    'bay-hall': 'huron-west',
    'duluth-hall': 'superior-port',
}
PATH = '/review/'
SERVICE = 'review-llm'
HOSTS = 3
# In the zone ashta-hall, as the bench plays the site.
REPLICAS = 9
MEMORY_MB = 300
# The usual prompt: 12,000 tokens in three parts.
USUAL = (3, 4000)
# A long one: 45,500 tokens in 1,300 parts; the head has 15.8 KB of the 16 KB that
# clients may send.
LONG = (int(os.environ.get('PARTS', '1300')), 35)
# 15.6 reviews a second for eight machines, two and a half times that in a burst.
USUAL_PER_SECOND_AND_HOST = 2.0
BURST_PER_SECOND_AND_HOST = 4.9
BURSTS_AT = (2.0, 17.0, 32.0, 47.0, 62.0, 77.0)
BURST_SECONDS = 10.0
SECONDS = 90
RESTART_SECONDS = 1.0
EVENTS = 4
# "three times in the day", "two at least".
KILLS, KILLED_HOSTS = 3, 2


class Platform:
    """Kill a process that exceeds its memory, and start it again."""

    def __init__(self, bed):
        self.bed = bed
        self.kills = dict.fromkeys((host.name for host in bed.hosts), 0)
        self.most_mb = dict.fromkeys(self.kills, 0)
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(host,))
            for host in bed.hosts
        ]
        for thread in self._threads:
            thread.start()

    def end(self):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, host):
        while not self._is_over.wait(0.1):
            used_mb = _private_mb(host.process.pid)
            self.most_mb[host.name] = max(self.most_mb[host.name], used_mb)
            if used_mb <= MEMORY_MB:
                continue
            self.kills[host.name] += 1
            self.bed.note(
                f'platform: {host.name} holds {used_mb} MB of {MEMORY_MB} MB'
            )
            host.signal(signal.SIGKILL)
            host.process.wait()
            if self._is_over.wait(RESTART_SECONDS):
                return
            host.start()


def _private_mb(pid):
    """Return a process's own memory, without what it maps from files."""
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return 0
    found = [one for one in lines if one.startswith('RssAnon:')]
    return int(found[0].split()[1]) // 1024 if found else 0


def events(bed):
    for number in range(1, HOSTS + 1):
        bed.add_host(f'front-ashta-hall-{number}', 'ashta-hall')
    bed.put_config(
        [
            kit.route(
                PATH,
                SERVICE,
                'stream',
                resumable=True,
                sticky=True,
                **{'timeout-ms': 15000},
            )
        ],
        [
            kit.service(
                SERVICE,
                engine={'slots': 64, 'kv-tokens': 528732},
                **{'warmup-s': 3.0, 'warmup-per-s': 3.3},
            )
        ],
    )
    for number in range(REPLICAS):
        replica = standin.TargetStandIn(
            ('127.0.0.1', bed.port()), f'i-{number:02}3a91c2'
        )
        replica.script = standin.stream(EVENTS, pause_seconds=0.03)
        bed.add_replica(replica)
        bed.put_replica(replica, SERVICE, 'ashta-hall', slots=64)
    bed.start_hosts()
    time.sleep(3)
    counts = {}
    lock = threading.Lock()

    def ask(name, host, shape):
        count, each = shape
        parts = [f'{random.getrandbits(32):08x}:{each}' for _ in range(count)]
        headers = [
            ('Attempt-Id', name),
            ('Request-Deadline', '15000'),
            ('Model', 'm'),
            ('Token-Usage', f'{each * count},40'),
            ('Prompt-Prefix', ','.join(parts)),
        ]
        channel = None
        try:
            channel = kit.Channel(host.front)
            channel.send('POST', f'{PATH}x', headers, b'prompt')
            status, _, _, ending = channel.receive(16)
            key = f'status {status}, {ending}'
        except OSError as error:
            key = f'no channel, {type(error).__name__}'
        if channel is not None:
            channel.close()
        with lock:
            counts[key] = counts.get(key, 0) + 1

    platform = Platform(bed)
    began_at = time.monotonic()
    sent = 0
    was_burst = False
    while time.monotonic() < began_at + SECONDS:
        elapsed = time.monotonic() - began_at
        is_burst = kit.TROUBLE and any(
            at <= elapsed < at + BURST_SECONDS for at in BURSTS_AT
        )
        if is_burst is not was_burst:
            was_burst = is_burst
            kind = 'long prompts, more of them' if is_burst else 'usual'
            bed.note(f'clients: the traffic is {kind} from now on')
        sent += 1
        host = random.choice(bed.hosts)
        shape = LONG if is_burst else USUAL
        thread = threading.Thread(target=ask, args=(f'a{sent}', host, shape))
        thread.start()
        if min(platform.kills.values()) >= KILLS:
            break
        per_host = USUAL_PER_SECOND_AND_HOST
        if is_burst:
            per_host = BURST_PER_SECOND_AND_HOST
        time.sleep(1 / (HOSTS * per_host))
    platform.end()
    time.sleep(2)
    bed.note(f'clients: {sent} requests')
    for key in sorted(counts):
        bed.note(f'clients: {key}: {counts[key]}')
    for name, most in platform.most_mb.items():
        bed.note(
            f'platform: {name} held at most {most} MB, killed'
            f' {platform.kills[name]} times'
        )
    ended = [one for one in platform.kills if platform.kills[one] >= KILLS]
    if len(ended) < KILLED_HOSTS:
        return []
    return [f'{name} ended {platform.kills[name]} times' for name in ended]


kit.play(os.path.dirname(os.path.abspath(__file__)), events)
