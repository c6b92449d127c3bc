"""Measure the decisions under load and faults, beside simple policies."""

import argparse
import asyncio
import itertools
import random
import threading
import time
from collections.abc import Callable
from statistics import mean
from typing import Any

from bench import load
from bench.output import OUT, save, table
from tools import samples
from tools.fleet import Fleet

POLICIES = ('weighted', 'round_robin', 'least_requests', 'prefix_hash')
SECONDS = 12.0
QUIET_RATE = 10
SYSTEM_CHARACTERS = 2400
QUESTION_CHARACTERS = 200
REPORT_CHARACTERS = 24000
REPORT_COUNT = 10
ENGINE = {'slots': 8, 'prefill_rate': 8000, 'cache_tokens': 40000}
OVERRIDES: dict[str, dict[str, Any]] = {
    'host': {'log_level': 'WARNING'},
    'callers': {
        'max_requests': 256,
        'queue_length': 128,
        'deadline_seconds': 8,
    },
    'targets': {'first_byte_timeout_seconds': 6, 'silence_timeout_seconds': 3},
}
WEIGHTS = {
    'exchange': {'latency_weight': 1, 'cost_weight': 0.5},
    'tonwerk': {'latency_weight': 1, 'cost_weight': 2},
}
Action = Callable[[Fleet, float], None]


class Workload:
    """Make the requests of one run from a seed."""

    def __init__(self, deployment: str, seed: int) -> None:
        self.deployment = deployment
        self.model, _, regions = samples.ENGINE_SERVICE[deployment]
        self.regions = list(regions)
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        # Regions' peaks are offset: one is busy while others are quiet.
        self.shares = dict(zip(self.regions, (1.0, 0.7, 0.5), strict=True))
        self.prefixes = {
            name: self._text(SYSTEM_CHARACTERS)
            for name in ('counter', 'brokers')
        }
        self.reports = [
            self._text(REPORT_CHARACTERS) for _ in range(REPORT_COUNT)
        ]

    def requests(
        self, interactive_rate: float, bulk_rate: float, seconds: float
    ) -> list[load.Request]:
        found = []
        organisations = ('counter', 'brokers', 'bulk')
        for name, region in zip(organisations, self.regions, strict=True):
            share = self.shares[region]
            if name != 'bulk':
                for due in load.poisson(
                    self._random, interactive_rate * share, seconds
                ):
                    found.append(self._interactive(due, name))
            for due in load.poisson(self._random, bulk_rate, seconds):
                found.append(self._bulk(due, name))
        return sorted(found, key=lambda one: one.due)

    def _interactive(self, due: float, name: str) -> load.Request:
        content = self.prefixes[name] + self._text(QUESTION_CHARACTERS)
        return self._request(due, name, 'interactive', content, 24, 0)

    def _bulk(self, due: float, name: str) -> load.Request:
        content = self._random.choice(self.reports)
        content += self._text(QUESTION_CHARACTERS)
        return self._request(due, name, 'bulk', content, 40, 2)

    def _request(
        self,
        due: float,
        name: str,
        kind: str,
        text: str,
        tokens: int,
        level: int,
    ) -> load.Request:
        document = {
            'model': self.model,
            'stream': True,
            'max_tokens': tokens,
            'priority': level,
            'user': name,
            'messages': [{'role': 'user', 'content': text}],
        }
        return load.Request(due, name, kind, document)

    def _text(self, length: int) -> str:
        stem = f'{next(self._numbers)} {self._random.random()} '
        return (stem * (length // len(stem) + 1))[:length]


def engines(fleet: Fleet, region: str = '') -> list[str]:
    return [
        name
        for name, target in fleet.targets.items()
        if target['interface'] == 'engine'
        and (not region or target['region'] == region)
    ]


def at(began: float, seconds: float) -> None:
    time.sleep(max(0, began + seconds - time.monotonic()))


def nothing(fleet: Fleet, began: float) -> None:
    """Leave everything as it is."""


def half_capacity(fleet: Fleet, began: float) -> None:
    first = fleet.hosts[next(iter(fleet.hosts))]['region']
    lost = engines(fleet, first)[:2]
    at(began, 3)
    for name in lost:
        fleet.processes[name].kill()
    at(began, 8)
    for name in lost:
        fleet.processes[name].start()


def slow_target(fleet: Fleet, began: float) -> None:
    at(began, 2)
    fleet.set_faults(engines(fleet)[0], slow_factor=8)
    at(began, SECONDS)
    fleet.set_faults(engines(fleet)[0])


def flapping(fleet: Fleet, began: float) -> None:
    process = fleet.processes[engines(fleet)[0]]
    for number in range(4):
        at(began, 2 + number * 2.5)
        process.freeze()
        at(began, 3.2 + number * 2.5)
        process.thaw()


def outage_and_replacement(fleet: Fleet, began: float) -> None:
    name = next(iter(fleet.hosts))
    at(began, 2)
    fleet.set_faults('platform', out=1)
    at(began, 4)
    fleet.processes[name].kill()
    fleet.restart_host(name)
    at(began, SECONDS)
    fleet.set_faults('platform')


def rolling_restart(fleet: Fleet, began: float) -> None:
    import signal

    at(began, 1)
    for name in fleet.hosts:
        fleet.processes[name].signal(signal.SIGTERM)
        fleet.processes[name].wait()
        fleet.restart_host(name)
        fleet.wait_ready(name)


class Scenario:
    """Name a load and what happens under it."""

    def __init__(
        self,
        deployment: str,
        interactive_rate: float,
        bulk_rate: float,
        action: Action = nothing,
        policies: tuple[str, ...] = POLICIES,
        seconds: float = SECONDS,
        quiet_seconds: float = 0,
    ) -> None:
        self.quiet_seconds = quiet_seconds
        self.deployment = deployment
        self.interactive_rate = interactive_rate
        self.bulk_rate = bulk_rate
        self.action = action
        self.policies = policies
        self.seconds = seconds


OURS = ('weighted',)
SCENARIOS = {
    'normal': Scenario('exchange', 10, 0.5),
    'half capacity': Scenario('exchange', 10, 0.5, half_capacity),
    'slow target': Scenario('exchange', 10, 0.5, slow_target),
    'flapping target': Scenario('exchange', 10, 0.5, flapping),
    'quarter close': Scenario('tonwerk', 3, 1.6, seconds=24),
    'outage, host replaced': Scenario(
        'exchange', 10, 0.5, outage_and_replacement, OURS
    ),
    'rolling restart': Scenario(
        'exchange', 10, 0.5, rolling_restart, OURS, seconds=36
    ),
    'saturation': Scenario('exchange', 60, 0.5, policies=OURS),
    'overload 2x, then quiet': Scenario(
        'exchange', 120, 1, policies=OURS, quiet_seconds=15
    ),
}


def work_counts(fleet: Fleet) -> dict[str, dict[str, int]]:
    found = {}
    for name in engines(fleet):
        url = f'{fleet.targets[name]["url"]}/work'
        found[name] = fleet.client.call_json('GET', url).json()
    return found


def executed(fleet: Fleet) -> list[tuple[str, str, str]]:
    return [
        (fleet.targets[name]['region'], request_id, user)
        for name in engines(fleet)
        for request_id, user in fleet.executions(name)
    ]


def cost(before: dict, after: dict) -> dict[str, float]:
    def grown(field: str) -> int:
        total = 0
        for name, counts in after.items():
            old = before[name].get(field, 0)
            new = counts.get(field, 0)
            total += new - old if new >= old else new
        return total

    tokens = max(1, grown('tokens'))
    prefill = grown('prefill_tokens')
    return {
        'engine_ms_a_token': grown('busy_microseconds') / tokens / 1000,
        'prefill_not_cached': prefill
        / max(1, prefill + grown('cached_tokens')),
    }


def away_share(fleet: Fleet, homes: dict[str, str], before: int) -> float:
    ran = executed(fleet)[before:]
    return mean([region != homes[user] for region, _, user in ran] or [0])


def directory(fleet: Fleet, organisation: str) -> list[str]:
    host = next(iter(fleet.hosts))
    answer = fleet.call(host, 'GET', '/v1/directory', key=f'key-{organisation}')
    return [one['url'] for one in answer.json()['entry_hosts']]


def run_once(
    fleet: Fleet, scenario: Scenario, policy: str, seed: int
) -> dict[str, Any]:
    workload = Workload(scenario.deployment, seed)
    requests = workload.requests(
        scenario.interactive_rate, scenario.bulk_rate, scenario.seconds
    )
    after = workload.requests(QUIET_RATE, 0.5, scenario.quiet_seconds)
    for one in after:
        one.due += scenario.seconds
    names = ('counter', 'brokers', 'bulk')
    homes = dict(zip(names, workload.regions, strict=True))
    urls = {name: directory(fleet, name) for name in names}
    before = work_counts(fleet)
    ran_before = {name: len(fleet.executions(name)) for name in engines(fleet)}
    began = time.monotonic() + 0.2
    actor = threading.Thread(target=scenario.action, args=(fleet, began))
    actor.start()
    every = asyncio.run(load.run_all([*requests, *after], urls, began))
    outcomes = every[: len(requests)]
    actor.join()
    fleet.wait_listening(
        *(f'{fleet.targets[name]["url"]}/work' for name in engines(fleet))
    )
    away = []
    for name in engines(fleet):
        ran = fleet.executions(name)
        start = ran_before[name] if len(ran) >= ran_before[name] else 0
        region = fleet.targets[name]['region']
        away += [region != homes[user] for _, user in ran[start:]]
    return {
        'policy': policy,
        'seed': seed,
        **load.summary(outcomes, scenario.seconds, load.FIRST_LIMITS),
        **cost(before, work_counts(fleet)),
        'away_share': mean(away or [0]),
        'recovery_s': recovery_seconds(every, scenario.seconds),
        '_timeline': [
            [
                round(one.due, 3),
                one.kind,
                one.ending,
                round(one.first_seconds, 4),
            ]
            for one in outcomes
        ],
    }


def recovery_seconds(outcomes: list[load.Outcome], load_ended: float) -> float:
    """Return how long after the load some request still went wrong."""
    late = [
        one.due - load_ended
        for one in outcomes
        if one.due > load_ended
        and (
            one.ending != 'whole'
            or one.first_seconds > load.FIRST_LIMITS[one.kind]
        )
    ]
    return max(late, default=0.0)


def run_policy(
    scenario: Scenario, policy: str, seeds: list[int]
) -> list[dict[str, Any]]:
    overrides = {name: dict(values) for name, values in OVERRIDES.items()}
    overrides['routing'] = {
        'policy': policy,
        'ramp_seconds': 2,
        **WEIGHTS[scenario.deployment],
    }
    rows = []
    for seed in seeds:
        with Fleet() as fleet:
            samples.start(
                fleet, scenario.deployment, overrides=overrides, **ENGINE
            )
            fleet.wait_listening(f'{fleet.platform_url}/counts')
            fleet.wait_ready()
            revision = fleet.change(
                next(iter(fleet.hosts)),
                samples.intents(fleet, scenario.deployment),
            )
            fleet.wait_revision(revision)
            fleet.wait_targets_found()
            fleet.wait_members(len(fleet.hosts))
            rows.append(run_once(fleet, scenario, policy, seed))
    return rows


def averaged(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return means, with the spread of what is compared."""
    found: dict[str, Any] = {'policy': rows[0]['policy'], 'runs': len(rows)}
    for name in dict.fromkeys(key for row in rows for key in row):
        if name in {'policy', 'seed', '_timeline'}:
            continue
        values = [row.get(name, 0) for row in rows]
        found[name] = mean(values)
        found[f'{name}_spread'] = max(values) - min(values)
    return found


SHOWN = (
    'policy', 'requests', 'goodput_per_second', 'interactive_good_share',
    'interactive_first_p50_s', 'interactive_first_p95_s',
    'interactive_first_p99_s', 'interactive_first_p99_s_spread',
    'bulk_good_share', 'bulk_first_p95_s', 'gap_p95_ms', 'engine_ms_a_token',
    'engine_ms_a_token_spread', 'prefill_not_cached', 'away_share',
    'ended_wrong', 'ended_cut', 'ended_not_run', 'ended_timeout',
    'recovery_s',
)  # fmt: skip


def plot(results: dict[str, list[dict[str, Any]]]) -> None:
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 1, figsize=(11, 8))
    width = 0.8 / len(POLICIES)
    compared = {name: rows for name, rows in results.items() if len(rows) > 1}
    for axis, field in zip(
        axes, ('interactive_first_p99_s', 'engine_ms_a_token'), strict=True
    ):
        for place, policy in enumerate(POLICIES):
            heights = [
                next((row[field] for row in rows if row['policy'] == policy), 0)
                for rows in compared.values()
            ]
            positions = [
                number + place * width for number in range(len(heights))
            ]
            axis.bar(positions, heights, width, label=policy)
        axis.set_xticks(range(len(compared)), list(compared))
        axis.set_ylabel(field)
        axis.legend()
    figure.tight_layout()
    path = OUT / 'policies.png'
    figure.savefig(path)
    print(f'written: {path}')


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenarios', nargs='*', help='part of their names')
    parser.add_argument('--runs', type=int, default=3)
    parser.add_argument('--policies', default='')
    options = parser.parse_args()
    results: dict[str, list[dict[str, Any]]] = {}
    raw: dict[str, list[dict[str, Any]]] = {}
    for name, scenario in SCENARIOS.items():
        wanted = options.scenarios or [name]
        if not any(part in name for part in wanted):
            continue
        print(f'\n{name} ({scenario.deployment})', flush=True)
        results[name] = []
        for policy in scenario.policies:
            if options.policies and policy not in options.policies.split(','):
                continue
            seeds = list(range(1, options.runs + 1))
            rows = run_policy(scenario, policy, seeds)
            raw.setdefault(name, []).extend(rows)
            results[name].append(averaged(rows))
        table(
            [
                {field: row.get(field, 0) for field in SHOWN}
                for row in results[name]
            ]
        )
    save('policies', results)
    save('policies-runs', raw)
    plot(results)


if __name__ == '__main__':
    main()
