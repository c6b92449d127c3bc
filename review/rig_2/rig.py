# flake8: noqa
"""Run entry hosts with the deploy file's command and settings template.

The stand-ins for the store and for servers are the project's own, from
tests/gateway. Addresses are loopback addresses, ports are free ones.
"""

import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / 'target/deps')]

from tests.gateway import deployment as project  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
WATCHDOG_SECONDS = 112
# As on the sheet of the small sites.
BOUNDS = {
    'drain-ms': 3000,
    'grace-s': 8,
    'budget-ratio': 0.2,
    'budget-window-s': 10,
    'retry-slack': 52,
}
ZONES = {'north-1': 'north', 'south-1': 'south', 'west-1': 'west'}


deployments = []


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began_at = time.monotonic()

    def __call__(self, *words):
        seconds = time.monotonic() - self._began_at
        line = ' '.join(str(word) for word in words)
        self._file.write(f'{seconds:8.3f} s  {line}\n')
        self._file.flush()
        print(f'{seconds:8.3f} s  {line}', flush=True)


def fill(template, fields):
    """Fill a settings template in as the platform does."""

    def section(match):
        found = lookup(fields, match[1])
        if found is None:
            return ''
        if isinstance(found, dict):
            return ''.join(
                match[2]
                .replace('{{@}}', str(key))
                .replace('{{.}}', str(one))
                .lstrip('\n')
                for key, one in found.items()
            )
        return match[2]

    def value(match):
        found = lookup(fields, match[1])
        if isinstance(found, list):
            return ','.join(str(one) for one in found)
        return '' if found is None else str(found)

    text = re.sub(
        r'\{\{#([^}]+)\}\}\n(.*?)\{\{/\1\}\}\n', section, template, flags=re.S
    )
    return re.sub(r'\{\{([^}#/^@.][^}]*)\}\}', value, text)


def lookup(fields, name):
    found = fields
    for part in name.split('.'):
        if not isinstance(found, dict) or part not in found:
            return None
        found = found[part]
    return found


class Host(project.Host):
    """Hold one entry host that runs the command of the deploy file."""

    def start(self, stdout=None):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        words[0] = sys.executable if words[0] == 'python3' else words[0]
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['JACINTHFOLD_BOOT'] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )


class Deployment(project.Deployment):
    """Hold the store, servers and entry hosts of a case."""

    def make_host(self, name, data_centre='north-1', **options):
        address = f'127.0.1.{len(self.hosts) + 1}'
        ports = self._host_ports
        path = self.directory / f'{name}.ini'
        store = ':'.join(str(part) for part in self.store_address)
        seeds = [
            f'{one.control[0]}:{one.control[1]}' for one in self.hosts.values()
        ]
        fields = {
            'node-name': name,
            'region': ZONES[data_centre],
            'zone': data_centre,
            'ip': address,
            'listen': {
                'front': f'{address}:{ports[0]}',
                'ready': f'{address}:{ports[1]}',
                'directory': f'{address}:{ports[2]}',
                'control': f'{address}:{ports[3]}',
            },
            'internal-ports': [ports[4], ports[4] + 1],
            'seeds': seeds[:3],
            'provider': {'address': store},
            'bounds': {**BOUNDS, **options.get('bounds', {})},
            'limits': {'memory-mb': 300},
            'zones': ZONES,
        }
        text = fill((ROOT / 'deploy/gateway.ini').read_text(), fields)
        # The metrics port of the deploy file is fixed; here it has to be free.
        text = text.replace(
            '[peers]', f'metrics_port = {ports[5]}\n\n[peers]', 1
        )
        path.write_text(text)
        host = Host(name, address, ports, path, self.directory / f'{name}.log')
        self.hosts[name] = host
        return host

    def close(self):
        for host in self.hosts.values():
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            if host.process:
                host.process.wait()
        self.loop.close()
        self._ports.close()


def give_up(record):
    """End what was started, as the case takes too long."""
    for deployment in deployments:
        for host in deployment.hosts.values():
            if host.process and host.process.poll() is None:
                host.process.kill()
    record('gave up after', WATCHDOG_SECONDS, 's')
    os._exit(NOT_RUN)


def run(folder, play):
    """Play a case and exit with its result."""
    record = Record(Path(folder) / 'record.txt')
    is_disturbed = os.environ.get('TROUBLE', '1') != '0'
    record('disturbed' if is_disturbed else 'TROUBLE=0: no disturbance')
    result = NOT_RUN
    threading.Timer(WATCHDOG_SECONDS, give_up, [record]).start()
    try:
        with tempfile.TemporaryDirectory() as directory:
            deployment = Deployment(Path(directory))
            deployments.append(deployment)
            try:
                result = play(deployment, record, is_disturbed)
            finally:
                deployment.close()
                if os.environ.get('KEEP_LOGS'):
                    for host in deployment.hosts.values():
                        print(host.log())
    except Exception as error:
        record('the case could not run:', repr(error))
        import traceback

        traceback.print_exc()
    words = {HELD: 'the rule held', BROKEN: 'the rule was broken'}
    record(words.get(result, 'could not run'))
    # Threads of clients that still wait must not hold up the end.
    sys.stdout.flush()
    os._exit(result)
