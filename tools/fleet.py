"""Start a deployment's processes on loopback, for demo, tests and bench."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from jacinthfold.hashing import hash_key
from jacinthfold.serve.client import Answer, Call, ClientError, HttpClient

OPERATOR_KEY = 'sample-operator-key-0001'
PEER_SECRET = 'sample-peer-secret-0001'
ORDER_KEY = 'sample-order-key-0001'
START_TIMEOUT_SECONDS = 30
STOP_TIMEOUT_SECONDS = 30
PORT_KINDS = ('caller_port', 'control_port', 'peer_port', 'relay_port')
ANY_ADDRESS = ''
ADDRESS = '127.0.0.1'


class FleetError(Exception):
    """Report a process or condition that did not come about."""


def wait_until(
    condition: Callable[[], Any], what: str, timeout_seconds: float = 30
) -> Any:
    """Return the condition's value once it is true."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > deadline:
            raise FleetError(f'not within {timeout_seconds} s: {what}')
        time.sleep(0.02)


class Ports:
    """Give out ports that are free on loopback."""

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def take(self) -> int:
        # The number stays reserved: another test run on this machine can't
        # get it between here and the process that will listen.
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # On every address: entry hosts of a test listen on several. Free on
        # one, a port may be taken on another by a host that outlived the test
        # run that was killed around it, and ours ends as it starts.
        held.bind((ANY_ADDRESS, 0))
        self._held.append(held)
        return held.getsockname()[1]

    def close(self) -> None:
        for held in self._held:
            held.close()


class Process:
    """Run one program and keep its log in a file."""

    def __init__(self, name: str, args: list[str], log_path: Path) -> None:
        self.name = name
        self.args = args
        self.log_path = log_path
        self._popen: subprocess.Popen[bytes] | None = None
        self._log_offset = 0

    @property
    def pid(self) -> int:
        assert self._popen is not None
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        command = [sys.executable, '-m', 'jacinthfold', *self.args]
        with self.log_path.open('ab') as log:
            self._log_offset = log.tell()
            self._popen = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number: int) -> None:
        assert self._popen is not None
        self._popen.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.signal(signal.SIGCONT)

    def wait(self, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        assert self._popen is not None
        return self._popen.wait(timeout_seconds)

    def log(self) -> str:
        return self.log_path.read_text(errors='replace')

    def log_since_start(self) -> str:
        content = self.log_path.read_bytes()[self._log_offset :]
        return content.decode(errors='replace')


class Fleet:
    """Run a platform, targets and entry hosts, and speak with them."""

    def __init__(self, directory: Path | None = None) -> None:
        self._owns_directory = directory is None
        self.directory = directory or Path(tempfile.mkdtemp(prefix='jf-'))
        self.ports = Ports()
        self.processes: dict[str, Process] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.targets: dict[str, dict[str, Any]] = {}
        self.client = HttpClient()
        self.platform_url = ''
        self.store_url = ''

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        for process in self.processes.values():
            if process.is_running:
                process.thaw()
                process.signal(signal.SIGKILL)
                process.wait()
        self.ports.close()
        if self._owns_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def launch(self, name: str, args: list[str]) -> Process:
        process = Process(name, args, self.directory / f'{name}.log')
        self.processes[name] = process
        process.start()
        return process

    def start_platform(self) -> None:
        port = self.ports.take()
        self.platform_url = self.store_url = f'http://{ADDRESS}:{port}'
        self.launch('platform', ['standin', 'platform', '--port', str(port)])

    def start_target(
        self,
        name: str,
        region: str,
        data_centre: str,
        serves: str,
        kind: str = 'engine',
        **options: Any,
    ) -> str:
        port = self.ports.take()
        url = f'http://{ADDRESS}:{port}'
        args = ['standin', kind, '--port', str(port), '--name', name]
        args += ['--region', region, '--data-centre', data_centre]
        if kind == 'engine':
            args += ['--model', serves]
        for option, value in options.items():
            args += [f'--{option.replace("_", "-")}', str(value)]
        self.launch(name, args)
        self.targets[name] = {
            'name': name,
            'url': url,
            'region': region,
            'data_centre': data_centre,
            'interface': kind,
            'serves': [serves],
        }
        return url

    def start_host(
        self,
        name: str,
        region: str,
        data_centre: str,
        overrides: dict[str, dict[str, Any]] | None = None,
        seeds: list[int] | None = None,
    ) -> None:
        ports = {kind: self.ports.take() for kind in PORT_KINDS}
        self.hosts[name] = {
            'name': name,
            'region': region,
            'data_centre': data_centre,
            **ports,
            'overrides': overrides or {},
        }
        if seeds is None:
            seeds = [host['peer_port'] for host in self.hosts.values()][:4]
        self.hosts[name]['seeds'] = seeds
        self.restart_host(name)

    def restart_host(self, name: str) -> Process:
        path = self.directory / f'{name}.ini'
        path.write_text(self.settings_text(name))
        return self.launch(name, ['serve', '--settings', str(path)])

    def settings_text(self, name: str) -> str:
        host = self.hosts[name]
        sections: dict[str, dict[str, Any]] = {
            'host': {
                'name': name,
                'region': host['region'],
                'data_centre': host['data_centre'],
                'address': ADDRESS,
                **{kind: host[kind] for kind in PORT_KINDS},
                'leave_notice_seconds': 1,
            },
            'platform': {
                'store_url': self.store_url,
                'host_list_url': self.platform_url,
                'store_timeout_seconds': 1,
                'host_list_seconds': 1,
            },
            'peers': {
                'secret': PEER_SECRET,
                'seeds': ' '.join(
                    f'{ADDRESS}:{port}' for port in host['seeds']
                ),
                'sync_seconds': 0.25,
                'member_timeout_seconds': 2.5,
            },
            'operators': {'key': OPERATOR_KEY},
            'targets': {'poll_seconds': 0.25, 'order_key': ORDER_KEY},
            'callers': {'max_requests': 64, 'queue_length': 32},
            'routing': {'ramp_seconds': 0},
        }
        for section, values in host['overrides'].items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f'[{section}]')
            lines += [f'{key} = {value}' for key, value in values.items()]
        return '\n'.join(lines) + '\n'

    def caller_url(self, name: str) -> str:
        return f'http://{ADDRESS}:{self.hosts[name]["caller_port"]}'

    def control_url(self, name: str) -> str:
        return f'http://{ADDRESS}:{self.hosts[name]["control_port"]}'

    def wait_ready(self, *names: str) -> None:
        for name in names or tuple(self.hosts):
            wait_until(
                lambda name=name: self.is_ready(name),
                f'{name} is ready',
                START_TIMEOUT_SECONDS,
            )

    def is_ready(self, name: str) -> bool:
        if not self.processes[name].is_running:
            raise FleetError(
                f'{name} ended: {self.processes[name].log()[-2000:]}'
            )
        return self.answers(f'{self.control_url(name)}/health')

    def wait_listening(self, *urls: str) -> None:
        for url in urls:
            wait_until(lambda url=url: self.answers(url), f'{url} answers')

    def answers(self, url: str) -> bool:
        try:
            return (
                self.client.call(Call('GET', url, timeout_seconds=2)).status
                == 200
            )
        except ClientError:
            return False

    def control(
        self, name: str, method: str, path: str, document: Any = None
    ) -> Answer:
        return self.client.call_json(
            method,
            f'{self.control_url(name)}{path}',
            document,
            headers={
                'Authorization': f'Bearer {OPERATOR_KEY}',
                'X-Operator': 'sample',
            },
            timeout_seconds=20,
        )

    def status(self, name: str) -> dict[str, Any]:
        return self.control(name, 'GET', '/status').json()

    def dump(self, name: str) -> dict[str, Any]:
        return self.control(name, 'GET', '/dump').json()

    def change(self, name: str, intents: list[dict[str, Any]]) -> int:
        """Declare and confirm; return the revision."""
        plan = self.control(name, 'POST', '/plans', {'intents': intents})
        if plan.status != 201:
            raise FleetError(f'no plan: {plan.body!r}')
        plan_id = plan.json()['plan_id']
        answer = self.control(name, 'POST', f'/plans/{plan_id}/confirm')
        if answer.status != 200:
            raise FleetError(f'not confirmed: {answer.body!r}')
        return answer.json()['revision']

    def wait_revision(self, revision: int, *names: str) -> None:
        for name in names or tuple(self.hosts):
            wait_until(
                lambda name=name: self.status(name)['revision'] >= revision,
                f'{name} has revision {revision}',
            )

    def wait_members(self, count: int, *names: str) -> None:
        for name in names or tuple(self.hosts):
            wait_until(
                lambda name=name: self._sees(name, count),
                f'{name} sees {count} active members',
            )

    def wait_targets_found(self, *names: str) -> None:
        for name in names or tuple(self.hosts):
            wait_until(
                lambda name=name: self._has_found_targets(name),
                f'{name} has found its targets',
            )

    def set_faults(self, target: str, **faults: Any) -> None:
        url = (
            self.platform_url
            if target == 'platform'
            else self.targets[target]['url']
        )
        self.client.call_json('PUT', f'{url}/faults', faults)

    def executions(self, target: str) -> list[Any]:
        url = self.targets[target]['url']
        return self.client.call_json('GET', f'{url}/executions').json()

    def call(
        self,
        host: str,
        method: str,
        path: str,
        document: Any = None,
        key: str = '',
        **options: Any,
    ) -> Answer:
        headers = {
            'Authorization': f'Bearer {key}',
            **options.pop('headers', {}),
        }
        return self.client.call_json(
            method,
            f'{self.caller_url(host)}{path}',
            document,
            headers=headers,
            timeout_seconds=options.pop('timeout_seconds', 30),
            **options,
        )

    def _sees(self, name: str, count: int) -> bool:
        records = self.dump(name)['member_records']
        states = [record['state'] for record in records]
        return states == ['active'] * count

    def _has_found_targets(self, name: str) -> bool:
        targets = self.status(name)['targets']
        return bool(targets) and all(
            one['found'] == 'active' for one in targets
        )


def organisation(
    name: str, home: str, regions: list[str], **fields: Any
) -> dict[str, Any]:
    """Return the intent for an organisation whose key is key-NAME."""
    return {
        'kind': 'organisation',
        'name': name,
        'home': home,
        'regions': regions,
        'key_hashes': [hash_key(f'key-{name}')],
        **fields,
    }


def stop_all(fleet: Fleet) -> dict[str, int]:
    """Stop entry hosts gracefully, then the rest; return exit statuses."""
    statuses = {}
    for names in (list(fleet.hosts), [*fleet.targets, 'platform']):
        running = [name for name in names if fleet.processes[name].is_running]
        for name in running:
            fleet.processes[name].signal(signal.SIGTERM)
        for name in running:
            statuses[name] = fleet.processes[name].wait()
    return statuses


def main_environment() -> dict[str, str]:
    """Return the variables for the operators' command line."""
    return {**os.environ, 'JACINTHFOLD_OPERATOR_KEY': OPERATOR_KEY}


def write_json(path: Path, document: Any) -> Path:
    """Write a document and return its path."""
    path.write_text(json.dumps(document, indent=2))
    return path
