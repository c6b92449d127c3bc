"""Measure, over several rounds, how soon the system notices things."""

import argparse
import itertools
import threading
import time
from statistics import quantiles
from typing import Any

from bench.output import save, table
from tests.helpers import chat, small_fleet
from tools.fleet import Fleet, wait_until


def summary(what: str, seconds: list[float]) -> dict[str, Any]:
    cuts = quantiles(seconds, n=100, method='inclusive')
    return {
        'what': what,
        'rounds': len(seconds),
        'p50_s': cuts[49],
        'p99_s': cuts[98],
        'max_s': max(seconds),
    }


def arrivals(fleet: Fleet, name: str) -> int:
    url = f'{fleet.targets[name]["url"]}/work'
    return fleet.client.call_json('GET', url).json().get('arrivals', 0)


def busiest(fleet: Fleet) -> str:
    """Return the engine that the load goes to; the other one may be idle."""
    names = ('review-1', 'review-2')
    before = {name: arrivals(fleet, name) for name in names}
    time.sleep(0.5)
    return max(names, key=lambda name: arrivals(fleet, name) - before[name])


def last_work(fleet: Fleet) -> float:
    """Let an engine leave under load; return when it last got a request."""
    name = busiest(fleet)
    url = fleet.targets[name]['url']
    fleet.client.call_json('PUT', f'{url}/state/leaving')
    began = time.monotonic()
    count, last = arrivals(fleet, name), 0.0
    while time.monotonic() - began < 3:
        now_count = arrivals(fleet, name)
        if now_count > count:
            count, last = now_count, time.monotonic() - began
        time.sleep(0.01)
    fleet.client.call_json('PUT', f'{url}/state/active')
    fleet.wait_targets_found('erie-a', 'erie-b')
    return last


def frozen_host(fleet: Fleet) -> float:
    """Freeze a host; return when the directory no longer names it."""
    fleet.processes['erie-b'].freeze()
    began = time.monotonic()

    def is_gone() -> bool:
        found = fleet.call('erie-a', 'GET', '/v1/directory', key='key-free')
        names = [one['name'] for one in found.json()['entry_hosts']]
        return 'erie-b' not in names

    wait_until(is_gone, 'erie-b is not listed')
    seconds = time.monotonic() - began
    fleet.processes['erie-b'].thaw()
    fleet.wait_members(len(fleet.hosts))
    return seconds


def dead_target(fleet: Fleet) -> float:
    """Kill an engine; return when both hosts of its region know."""
    fleet.processes['review-2'].kill()
    began = time.monotonic()

    def is_known(name: str) -> bool:
        found = fleet.status(name)['targets']
        return any(
            one['name'] == 'review-2' and one['found'] == 'unreachable'
            for one in found
        )

    for name in ('erie-a', 'erie-b'):
        wait_until(lambda name=name: is_known(name), 'review-2 is missed')
    seconds = time.monotonic() - began
    fleet.processes['review-2'].start()
    fleet.wait_targets_found('erie-a', 'erie-b')
    return seconds


def configuration(fleet: Fleet, numbers: 'itertools.count[int]') -> float:
    """Confirm a change; return when every host has it in force."""
    limit = 1000 + next(numbers)
    began = time.monotonic()
    revision = fleet.change(
        'erie-a',
        [
            {
                'kind': 'organisation',
                'name': 'free',
                'limit_requests_per_second': limit,
            }
        ],
    )
    while any(
        fleet.status(name)['revision'] < revision for name in fleet.hosts
    ):
        time.sleep(0.002)
    return time.monotonic() - began


def load(fleet: Fleet, stopped: threading.Event) -> None:
    for host in itertools.cycle(('erie-a', 'erie-b')):
        if stopped.is_set():
            return
        chat(fleet, host, 'bound', stream=True, max_tokens=3)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=10)
    rounds = parser.parse_args().rounds
    rows = []
    with small_fleet(None) as fleet:
        numbers = itertools.count()
        rows.append(
            summary(
                'plan, confirm and in force on 3 hosts',
                [configuration(fleet, numbers) for _ in range(rounds * 5)],
            )
        )
        fleet.set_faults('platform', stale_hosts=1)
        stopped = threading.Event()
        threads = [
            threading.Thread(target=load, args=(fleet, stopped))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        try:
            rows.append(
                summary(
                    'last request to a leaving target, host list stale',
                    [last_work(fleet) for _ in range(rounds)],
                )
            )
        finally:
            stopped.set()
            for thread in threads:
                thread.join()
        rows.append(
            summary(
                'frozen host leaves the directory',
                [frozen_host(fleet) for _ in range(rounds)],
            )
        )
        rows.append(
            summary(
                'dead target known on both hosts, no requests',
                [dead_target(fleet) for _ in range(rounds)],
            )
        )
    table(rows)
    save('times', rows)


if __name__ == '__main__':
    main()
