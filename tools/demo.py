"""Show the whole path: start everything, configure, serve, stop."""

import argparse
import json
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

from tools import fleet as fleets
from tools import samples
from tools.fleet import Fleet


def main() -> int:
    """Run the demo; return 0 when all of it worked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--keep', action='store_true')
    keep = parser.parse_args().keep
    with Fleet() as fleet:
        say('starting platform, 12 targets and 6 entry hosts in 3 regions')
        samples.start(fleet, 'exchange')
        fleet.wait_listening(f'{fleet.platform_url}/counts')
        fleet.wait_ready()
        configure(fleet)
        if keep:
            return stay(fleet)
        show_processes(fleet)
        ask(fleet)
        order(fleet)
        return stop(fleet)


def say(text: str) -> None:
    """Tell a person what happens; programs read standard output."""
    print(f'demo: {text}', file=sys.stderr, flush=True)


def operator(fleet: Fleet, *args: str) -> str:
    """Run an operators' command as a person would."""
    first = next(iter(fleet.hosts))
    command = [sys.executable, '-m', 'jacinthfold', *args]
    command += ['--entry-host', fleet.control_url(first)]
    say(f'$ jacinthfold {" ".join(args)}')
    done = subprocess.run(
        command,
        env=fleets.main_environment(),
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        raise fleets.FleetError(done.stderr.strip())
    return done.stdout


def configure(fleet: Fleet) -> None:
    """Declare the Exchange's deployment and confirm the plan."""
    path = fleets.write_json(
        Path(fleet.directory) / 'exchange.json',
        {'intents': samples.intents(fleet, 'exchange')},
    )
    plan = json.loads(operator(fleet, 'declare', str(path), '--json'))
    for line in plan['effects']:
        say(f'  {line}')
    say(operator(fleet, 'confirm', plan['plan_id']).strip())
    fleet.wait_revision(1)
    fleet.wait_targets_found()
    fleet.wait_members(len(fleet.hosts))


def show_processes(fleet: Fleet) -> None:
    """Print what runs, and that nothing of it starts a process."""
    for name, process in fleet.processes.items():
        children = Path(
            f'/proc/{process.pid}/task/{process.pid}/children'
        ).read_text()
        say(f'process {process.pid} {name}, children: {children or "none"}')


def ask(fleet: Fleet) -> None:
    """Ask the directory, then the entry host that it names."""
    first = list(fleet.hosts)[-1]
    directory = fleet.call(first, 'GET', '/v1/directory', key='key-counter')
    chosen = directory.json()['entry_hosts'][0]
    say(f'the directory sends organisation counter to {chosen["name"]}')
    question = {
        'model': 'review',
        'stream': True,
        'max_tokens': 12,
        'messages': [{'role': 'user', 'content': 'Is 3605812-17 airworthy?'}],
    }
    answer = fleet.call(
        chosen['name'],
        'POST',
        '/v1/chat/completions',
        question,
        key='key-counter',
    )
    text = ''.join(read_stream(answer.body.decode()))
    print(f'streamed answer: {text}')
    if '[DONE]' not in answer.body.decode():
        raise fleets.FleetError('the stream has no end')


def read_stream(body: str) -> list[str]:
    """Return the tokens of a streamed answer."""
    events = [
        json.loads(line.removeprefix('data: '))
        for line in body.splitlines()
        if line.startswith('data: {')
    ]
    return [event['choices'][0]['delta'].get('content', '') for event in events]


def order(fleet: Fleet) -> None:
    """Place one order twice under one key; it runs once."""
    first, second = list(fleet.hosts)[:2]
    issued = fleet.call(first, 'POST', '/v1/keys', key='key-counter').json()
    headers = {'Idempotency-Key': issued['key']}
    for host in (first, second):
        answer = fleet.call(
            host,
            'POST',
            '/desk/orders',
            {'part': '3605812-17'},
            key='key-counter',
            headers=headers,
        )
        replayed = answer.headers.get('x-idempotent-replay', 'false')
        print(f'order at {host}: {answer.json()}, replayed: {replayed}')
    orders = [
        one
        for target in fleet.targets.values()
        if target['interface'] == 'service'
        for one in fleet.executions(target['name'])
    ]
    print(f'orders that ran: {len(orders)}')
    if len(orders) != 1:
        raise fleets.FleetError('the order did not run once')


def stop(fleet: Fleet) -> int:
    """Stop everything gracefully."""
    say('stopping')
    statuses = fleets.stop_all(fleet)
    say(f'exit statuses: {statuses}')
    return 0 if not any(statuses.values()) else 1


def stay(fleet: Fleet) -> int:
    """Print where everything is and wait for a signal."""
    print(json.dumps(whereabouts(fleet)), flush=True)
    stopped = threading.Event()
    import signal

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()
    fleets.stop_all(fleet)
    return 0


def whereabouts(fleet: Fleet) -> dict[str, Any]:
    """Return the addresses and sample keys."""
    hosts = [
        {
            'name': name,
            'region': host['region'],
            'data_centre': host['data_centre'],
            'url': fleet.caller_url(name),
            'control_url': fleet.control_url(name),
        }
        for name, host in fleet.hosts.items()
    ]
    return {
        'entry_hosts': hosts,
        'targets': list(fleet.targets.values()),
        'platform': {
            'url': fleet.platform_url,
            'region': None,
            'data_centre': None,
        },
        'caller_keys': {
            name: f'key-{name}'
            for name in ('counter', 'brokers', 'bulk', 'bound')
        },
        'operator_key': fleets.OPERATOR_KEY,
    }


if __name__ == '__main__':
    sys.exit(main())
