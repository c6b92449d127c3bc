"""Run commands and turn what goes wrong into one clear line."""

import traceback

import click

from jacinthfold.cli import program
from jacinthfold.commands import CommandError
from jacinthfold.config import SettingsError
from jacinthfold.serve.context import Environment
from jacinthfold.serve.status import ExitStatus

TRACEBACK_VARIABLE = 'JACINTHFOLD_TRACEBACK'


def main(args: list[str], env: Environment) -> ExitStatus:
    """Run one command and return its exit status."""
    try:
        return _run(args, env)
    except SettingsError as error:
        for fault in error.faults:
            _complain(env, fault)
        return ExitStatus.BAD_SETTINGS
    except CommandError as error:
        _complain(env, str(error))
        return error.status
    except click.ClickException as error:
        _complain(env, error.format_message())
        return ExitStatus.USAGE
    except click.Abort:
        return ExitStatus.ERROR
    except Exception as error:
        if env.variables.get(TRACEBACK_VARIABLE):
            traceback.print_exc(file=env.stderr)
        _complain(env, f'{type(error).__name__}: {error}')
        return ExitStatus.ERROR


def _run(args: list[str], env: Environment) -> ExitStatus:
    status = program.main(
        args, prog_name='jacinthfold', standalone_mode=False, obj=env
    )
    return status if isinstance(status, ExitStatus) else ExitStatus.SUCCESS


def _complain(env: Environment, message: str) -> None:
    click.echo(f'error: {message}', file=env.stderr)
