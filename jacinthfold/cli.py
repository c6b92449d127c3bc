"""Command-line interface: the commands and their options."""

import functools
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

import click

from jacinthfold import commands, config, logs
from jacinthfold.commands import CommandError, ControlClient, Output
from jacinthfold.hashing import hash_key
from jacinthfold.serve.context import Environment
from jacinthfold.serve.status import ExitStatus
from jacinthfold.version import VERSION

PATH_TYPE = click.Path(path_type=Path)
CONTEXT_SETTINGS = {'help_option_names': ['-h', '--help']}


@click.group(context_settings=CONTEXT_SETTINGS)
def program() -> None:
    """Route inference requests across regions through many entry hosts.

    Operators DECLARE intents in a JSON file, look at the plan that comes
    back, and CONFIRM it; nothing changes before that. Any entry host will
    do for any command.

    Exit statuses: 0 done, 1 error, 2 usage, 3 bad settings, 4 no entry host
    answers, 5 refused, 6 the plan is stale, 7 outcome unknown (asking again
    is safe).
    """


def _control_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options common to all operator commands."""

    @click.option(
        '--entry-host',
        'url',
        envvar='JACINTHFOLD_ENTRY_HOST',
        required=True,
        help='Control URL of any entry host, as http://IP:PORT.',
    )
    @click.option(
        '--operator-key',
        envvar='JACINTHFOLD_OPERATOR_KEY',
        required=True,
        help='Key of the operators; better given by its variable.',
    )
    @click.option(
        '--operator',
        envvar='JACINTHFOLD_OPERATOR',
        default='unnamed',
        help='Your name, for the history.',
    )
    @click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
    @click.pass_obj
    @functools.wraps(function)
    def wrapper(env: Environment, **options: Any) -> Any:
        client = ControlClient(
            options.pop('url'),
            options.pop('operator_key'),
            options.pop('operator'),
        )
        output = Output(env, as_json=options.pop('as_json'))
        return function(client, output, **options)

    return wrapper


@program.command()
@click.option('--settings', 'path', required=True, type=PATH_TYPE)
@click.pass_obj
def serve(env: Environment, path: Path) -> ExitStatus:
    """Run an entry host in the foreground.

    SIGTERM or SIGINT stops it gracefully: it leaves the directory, ends
    what is in flight and exits 0, or exits 1 when `stop_timeout_seconds`
    passed first and requests were cut off.
    """
    from jacinthfold.serve.node import Node

    settings = config.load(path)
    logs.set_up(settings.host.log_level, settings.host.name)
    has_drained = Node(settings, env.clock).run()
    return ExitStatus.SUCCESS if has_drained else ExitStatus.ERROR


@program.command()
@click.option('--settings', 'path', required=True, type=PATH_TYPE)
@click.pass_obj
def check(env: Environment, path: Path) -> None:
    """Check a settings file and report every fault at once."""
    settings = config.load(path)
    click.echo(f'{path}: settings of {settings.host.name} are good', env.stdout)


@program.command()
@click.argument('path', type=PATH_TYPE)
@_control_options
def declare(client: ControlClient, output: Output, path: Path) -> None:
    """Declare the intents in a JSON file and show the plan.

    The file holds {"intents": [...]}. An intent puts a thing, changing just
    the fields it names, or removes it:

    \b
      {"kind": "target", "name": "review-1", "state": "leaving"}
      {"kind": "organisation", "name": "acme", "action": "remove"}
    """
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise CommandError(f'{path}: {error}', ExitStatus.USAGE) from error
    commands.show_plan(output, client.call('POST', '/plans', document))


@program.command()
@click.argument('plan_id')
@_control_options
def plan(client: ControlClient, output: Output, plan_id: str) -> None:
    """Show a plan again."""
    commands.show_plan(output, client.call('GET', f'/plans/{plan_id}'))


@program.command()
@click.argument('plan_id')
@_control_options
def confirm(client: ControlClient, output: Output, plan_id: str) -> None:
    """Put a plan in force.

    Asking again is safe: a plan takes effect once, and the answer to each
    later call is the revision that it became.
    """
    response = client.call('POST', f'/plans/{plan_id}/confirm')
    output.document(response)
    output.line(f'in force as revision {response["revision"]}')


@program.command('list')
@_control_options
def list_deployment(client: ControlClient, output: Output) -> None:
    """List what is in force: targets, organisations, rules."""
    commands.show_deployment(output, client.call('GET', '/deployment'))


@program.command()
@click.option('--above', default=0, help='Only revisions above this one.')
@_control_options
def history(client: ControlClient, output: Output, above: int) -> None:
    """Show who changed what, when."""
    changes = client.call('GET', f'/history?above={above}')
    commands.show_history(output, changes)


@program.command()
@_control_options
def status(client: ControlClient, output: Output) -> None:
    """Show an entry host's state in short."""
    commands.show_status(output, client.call('GET', '/status'))


@program.command()
@_control_options
def dump(client: ControlClient, output: Output) -> None:
    """Show an entry host's whole state, always as JSON."""
    document = client.call('GET', '/dump')
    output.document(document)
    output.line(json.dumps(document, indent=2, ensure_ascii=False))


@program.command('hash-key')
@click.argument('key')
@click.pass_obj
def print_key_hash(env: Environment, key: str) -> None:
    """Print the hash of a caller's key, for `key_hashes` in intents."""
    click.echo(hash_key(key), env.stdout)


@program.command()
@click.pass_obj
def version(env: Environment) -> None:
    """Print the version."""
    click.echo(f'jacinthfold {VERSION}', env.stdout)


@program.group()
def standin() -> None:
    """Run a stand-in for the platform or a target, for trials and tests."""


def _standin_options(function: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option('--address', default='127.0.0.1', help='IP number.'),
        click.option('--port', required=True, type=int, help='Port.'),
    ):
        function = option(function)
    return function


def _location_options(function: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option('--name', required=True, help='Name of the target.'),
        click.option('--region', required=True, help='Its region.'),
        click.option('--data-centre', required=True, help='Its data centre.'),
    ):
        function = option(function)
    return function


@program.command('gateway')
@click.option(
    '--settings',
    'path',
    type=PATH_TYPE,
    envvar='JACINTHFOLD_BOOT',
    required=True,
    help='INI file; see docs/SETTINGS.md.',
)
def gateway(path: Path) -> None:
    """Run an entry host that follows a metadata store."""
    from jacinthfold.platform import program as platform_program

    platform_program.run(path)


@program.command('explain')
@click.argument('request_id')
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.pass_obj
def explain(
    env: Environment, request_id: str, files: tuple[TextIO, ...]
) -> None:
    """Show a request's timeline from host logs (FILES or standard input)."""
    from jacinthfold.explain import request_timeline

    lines = [line for log in files or (env.stdin,) for line in log]
    timeline = request_timeline(lines, request_id)
    if not timeline:
        raise CommandError(
            f'no line about {request_id} in {len(lines)} lines',
            ExitStatus.ERROR,
        )
    for line in timeline:
        click.echo(line, file=env.stdout)


@standin.command('platform')
@_standin_options
@click.option('--writes-per-second', default=300, help='Rate of writes.')
@click.option('--reads-per-second', default=2000, help='Rate of reads.')
def standin_platform(
    address: str, port: int, writes_per_second: int, reads_per_second: int
) -> None:
    """Run the key-value service, host list and weight store."""
    from jacinthfold.standins import web
    from jacinthfold.standins.platform import Platform

    platform = Platform(writes_per_second, reads_per_second)
    web.run(address, port, platform.app())


@standin.command('engine')
@_standin_options
@_location_options
@click.option('--model', 'models', multiple=True, help='A loaded model.')
@click.option('--slots', default=16, help='Requests in one batch.')
@click.option('--step-seconds', default=0.012, help='One decode step, alone.')
@click.option('--step-slope', default=1.0, help='Growth with a full batch.')
@click.option('--prefill-rate', default=8000, help='Prompt tokens a second.')
@click.option('--cache-tokens', default=60000, help='Prefix cache size.')
@click.option('--status-lag-seconds', default=0.5, help='Age of load figures.')
@click.option('--order-key', default='', help='Key that orders must show.')
def standin_engine(
    address: str,
    port: int,
    name: str,
    region: str,
    data_centre: str,
    **speed: Any,
) -> None:
    """Run a model engine."""
    from jacinthfold.standins import web
    from jacinthfold.standins.engine import Engine, EngineSettings

    settings = EngineSettings(name, region, data_centre, **speed)
    web.run(address, port, Engine(settings).app())


@standin.command('service')
@_standin_options
@_location_options
@click.option('--journal', type=PATH_TYPE, help='File that keeps executions.')
def standin_service(
    address: str,
    port: int,
    name: str,
    region: str,
    data_centre: str,
    journal: Path | None,
) -> None:
    """Run a plain service."""
    from jacinthfold.standins import web
    from jacinthfold.standins.service import Service

    service = Service(name, region, data_centre, journal)
    web.run(address, port, service.app())
