"""Operator commands that call the control interface of an entry host."""

import json
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Any

import click

from jacinthfold.serve.client import ClientError, HttpClient
from jacinthfold.serve.context import Environment
from jacinthfold.serve.status import ExitStatus

TIMEOUT_SECONDS = 30
STATUS_BY_CODE = {
    'stale_plan': ExitStatus.STALE_PLAN,
    'confirm_unknown': ExitStatus.OUTCOME_UNKNOWN,
}


class CommandError(Exception):
    """Report a failed command with its exit status."""

    def __init__(self, message: str, status: ExitStatus) -> None:
        """Set the message for the user and the exit status."""
        super().__init__(message)
        self.status = status


class ControlClient:
    """Call the control interface of an entry host."""

    def __init__(self, base_url: str, operator_key: str, operator: str) -> None:
        """Set the control URL, the operator key and the operator's name."""
        self._base_url = base_url.rstrip('/')
        self._headers = {
            'Authorization': f'Bearer {operator_key}',
            'X-Operator': operator,
        }
        self._client = HttpClient()

    def call(self, method: str, path: str, document: object = None) -> Any:
        """Send a request and return the decoded JSON; raise CommandError."""
        try:
            response = self._client.call_json(
                method,
                f'{self._base_url}{path}',
                document,
                headers=self._headers,
                timeout_seconds=TIMEOUT_SECONDS,
            )
            decoded = response.json()
        except ClientError as error:
            raise _unreachable(self._base_url, error, method) from error
        if response.status >= HTTPStatus.BAD_REQUEST:
            problem = decoded['error']
            status = STATUS_BY_CODE.get(problem['code'], ExitStatus.REFUSED)
            raise CommandError(problem['message'], status)
        return decoded


class Output:
    """Print either text or JSON."""

    def __init__(self, env: Environment, *, as_json: bool) -> None:
        """Set the streams and the output format."""
        self._env = env
        self._as_json = as_json

    def line(self, text: str = '') -> None:
        """Print a line, unless the output is JSON."""
        if not self._as_json:
            click.echo(text, file=self._env.stdout)

    def document(self, document: object) -> None:
        """Print a document as JSON, if the output is JSON."""
        if self._as_json:
            click.echo(
                json.dumps(document, ensure_ascii=False), file=self._env.stdout
            )

    def table(
        self, titles: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Print rows below titles, in aligned columns."""
        lines = [list(titles), *([str(cell) for cell in row] for row in rows)]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        for line in lines:
            padded = [
                cell.ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ]
            self.line('  '.join(padded).rstrip())


def show_plan(output: Output, plan: dict[str, Any]) -> None:
    """Print a plan and how to confirm it."""
    output.document(plan)
    output.line(f'plan {plan["plan_id"]} on revision {plan["base_revision"]}')
    for line in (*plan['differences'], *plan['effects']):
        output.line(f'  {line}')
    output.line(f'confirm with: jacinthfold confirm {plan["plan_id"]}')


def show_deployment(output: Output, deployment: dict[str, Any]) -> None:
    """Print the deployment in force."""
    output.document(deployment)
    output.line(f'revision {deployment["revision"]}')
    output.line()
    output.table(
        ('TARGET', 'STATE', 'SERVES', 'REGION', 'DATA CENTRE', 'URL'),
        [
            (
                target['name'],
                target['state'],
                ','.join(target['serves']),
                target['region'],
                target['data_centre'],
                target['url'],
            )
            for target in deployment['target']
        ],
    )
    output.line()
    output.table(
        ('ORGANISATION', 'HOME', 'REGIONS', 'MODELS', 'SERVICES', 'LIMIT/S'),
        [
            (
                organisation['name'],
                organisation['home'],
                ','.join(organisation['regions']),
                ','.join(organisation['models']),
                ','.join(organisation['services']),
                organisation['limit_requests_per_second'] or '-',
            )
            for organisation in deployment['organisation']
        ],
    )


def show_history(output: Output, changes: list[dict[str, Any]]) -> None:
    """Print the history of confirmed changes."""
    output.document(changes)
    output.table(
        ('REVISION', 'CONFIRMED', 'OPERATOR', 'CHANGED'),
        [
            (
                change['revision'],
                change['confirmed_at'],
                change['operator'],
                ','.join(
                    f'{intent["kind"]}/{intent["name"]}'
                    for intent in change['intents']
                ),
            )
            for change in changes
        ],
    )


def show_status(output: Output, status: dict[str, Any]) -> None:
    """Print an entry host's summary."""
    output.document(status)
    for name in (
        'name',
        'version',
        'region',
        'data_centre',
        'state',
        'ready',
        'revision',
        'revision_age_seconds',
        'store_reachable',
        'requests_in_flight',
        'requests_waiting',
    ):
        output.line(f'{name.replace("_", " ")}: {status[name]}')
    output.line(f'members: {", ".join(status["members"])}')
    output.line()
    output.table(
        ('TARGET', 'CONFIGURED', 'FOUND', 'LOAD', 'SLOTS', 'FAILURES'),
        [
            (
                target['name'],
                target['configured'],
                target['found'],
                target['load'],
                target['slots'],
                target['failures_in_a_row'],
            )
            for target in status['targets']
        ],
    )


def _unreachable(
    base_url: str, error: ClientError, method: str
) -> CommandError:
    if method == 'POST' and error.request_sent:
        return CommandError(
            f'{base_url} gave no answer; the command may have taken effect. '
            f'Asking again is safe. ({error})',
            ExitStatus.OUTCOME_UNKNOWN,
        )
    return CommandError(
        f'{base_url} does not answer: {error}', ExitStatus.UNREACHABLE
    )
