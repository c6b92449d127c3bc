"""Measure what the relay costs, beside direct calls in the same run."""

import argparse
import json
import subprocess
import sys
import threading
import time
from typing import Any

import psutil

from bench.output import save, table
from tools.fleet import ADDRESS, Fleet, organisation

TARGET_COUNT = 3
CLIENT_COUNT = 2
INTERVAL_SECONDS = 0.027
SECONDS = 12


class Sampler:
    """Measure a process's processor time and the control listener's delay."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._url = f'{fleet.control_url(name)}/health'
        self._process = psutil.Process(fleet.processes[name].pid)
        self._stopped = threading.Event()
        self.delays: list[float] = []
        self.resident_bytes = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Sampler':
        self._cpu_before = sum(self._process.cpu_times()[:2])
        self._began = time.monotonic()
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()
        self.cpu_seconds = sum(self._process.cpu_times()[:2]) - self._cpu_before
        self.seconds = time.monotonic() - self._began

    def _run(self) -> None:
        while not self._stopped.wait(0.2):
            began = time.monotonic()
            self._fleet.answers(self._url)
            self.delays.append(time.monotonic() - began)
            self.resident_bytes = max(
                self.resident_bytes, self._process.memory_info().rss
            )


def start(fleet: Fleet) -> list[int]:
    fleet.start_platform()
    ports = []
    for number in range(TARGET_COUNT):
        port = fleet.ports.take()
        ports.append(port)
        fleet.targets[f't{number}'] = {
            'name': f't{number}', 'url': f'http://{ADDRESS}:{port}',
            'region': 'r', 'data_centre': 'd', 'interface': 'engine',
            'serves': ['m'],
        }  # fmt: skip
        subprocess.Popen(
            [sys.executable, '-m', 'bench.stream_target', str(port), 'r', 'd']
        )
    fleet.start_host(
        'h',
        'r',
        'd',
        {
            'callers': {'max_requests': 1200, 'queue_length': 100},
            'host': {'log_level': 'WARNING'},
        },
    )
    fleet.wait_listening(f'{fleet.platform_url}/counts')
    fleet.wait_ready()
    intents = [
        {'kind': 'region', 'name': 'r', 'data_centres': ['d']},
        {'kind': 'model', 'name': 'm'},
        *({'kind': 'target', **one} for one in fleet.targets.values()),
        organisation('bench', 'r', ['r'], models=['m']),
    ]
    fleet.change('h', intents)
    fleet.wait_targets_found()
    return ports


def drive(ports: list[int], streams: int) -> list[dict[str, Any]]:
    clients = min(CLIENT_COUNT, streams)
    tokens = int(SECONDS / INTERVAL_SECONDS)
    running = [
        subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.stream_client',
                ADDRESS,
                str(ports[number % len(ports)]),
                str(streams // clients),
                str(tokens),
                str(INTERVAL_SECONDS),
            ],
            stdout=subprocess.PIPE,
        )  # fmt: skip
        for number in range(clients)
    ]
    return [json.loads(one.communicate()[0]) for one in running]


def row(way: str, streams: int, outs: list[dict[str, Any]]) -> dict[str, Any]:
    def worst(name: str, point: str) -> float:
        return max(out[name][f'{point}_milliseconds'] for out in outs)

    return {
        'way': way,
        'streams': streams,
        'whole': sum(out['whole'] for out in outs),
        'chunks': sum(out['chunks'] for out in outs),
        'first_p50_ms': worst('first', 'p50'),
        'first_p99_ms': worst('first', 'p99'),
        'gap_p95_ms': worst('gap', 'p95'),
        'gap_p99_ms': worst('gap', 'p99'),
        'lag_p50_ms': worst('lag', 'p50'),
        'lag_p99_ms': worst('lag', 'p99'),
    }


def measure(
    fleet: Fleet, ports: list[int], streams: int
) -> list[dict[str, Any]]:
    direct = row('direct', streams, drive(ports, streams))
    with Sampler(fleet, 'h') as sampler:
        outs = drive([fleet.hosts['h']['caller_port']], streams)
    relayed = row('relayed', streams, outs)
    delays = sorted(sampler.delays)
    relayed |= {
        'cpu_us_a_chunk': sampler.cpu_seconds * 1e6 / max(1, relayed['chunks']),
        'cores': sampler.cpu_seconds / sampler.seconds,
        'resident_mb': sampler.resident_bytes / 1e6,
        'health_max_ms': delays[-1] * 1000,
    }
    return [direct, relayed]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('streams', nargs='*', type=int)
    counts = parser.parse_args().streams or [1, 100, 500]
    rows = []
    with Fleet() as fleet:
        ports = start(fleet)
        try:
            for streams in counts:
                rows += measure(fleet, ports, streams)
        finally:
            for child in psutil.Process().children():
                child.kill()
    table(rows)
    save('relay', rows)


if __name__ == '__main__':
    main()
