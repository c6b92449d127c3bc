"""Commands of the program, run in this process."""

import io
import json
from pathlib import Path

import pytest

from jacinthfold.serve.context import Environment
from jacinthfold.serve.core import main
from jacinthfold.serve.status import ExitStatus
from tests import fakes
from tools import write_settings
from tools.fleet import OPERATOR_KEY, wait_until


class Run:
    """Run a command and hold its exit status and output."""

    def __init__(self, *args):
        out, errors = io.StringIO(), io.StringIO()
        env = Environment(stdout=out, stderr=errors, variables={})
        self.status = main([str(arg) for arg in args], env)
        self.out, self.errors = out.getvalue(), errors.getvalue()


def operate(fleet, *args, host='erie-a'):
    return Run(
        *args, '--entry-host', fleet.control_url(host),
        '--operator-key', OPERATOR_KEY, '--operator', 'ada',
    )  # fmt: skip


def test_version_is_printed():
    assert Run('version').out.startswith('jacinthfold 0.')


def test_settings_page_and_sample_are_current():
    assert Path('docs/SETTINGS.md').read_text() == write_settings.page()
    assert Path('docs/sample.ini').read_text() == write_settings.sample()


def test_sample_settings_are_good():
    run = Run('check', '--settings', 'docs/sample.ini')
    assert (run.status, run.errors) == (ExitStatus.SUCCESS, '')


def test_all_setting_faults_are_reported_together(tmp_path):
    path = tmp_path / 'bad.ini'
    text = fakes.SETTINGS_TEXT.format(name='x').replace('caller_port = 1', '')
    text += '[callers]\nmax_requests = many\ncolour = red\n[planets]\nx = 1\n'
    path.write_text(text.replace('127.0.0.1\n', 'localhost\n', 1))
    run = Run('check', '--settings', path)
    lines = run.errors.splitlines()
    assert run.status == ExitStatus.BAD_SETTINGS
    assert len(lines) == 5
    assert all(line.startswith('error: [') for line in lines)
    assert any(
        "max_requests: 'many' is not a whole number" in one for one in lines
    )


@pytest.mark.parametrize(
    'args',
    [('serve',), ('nonsense',), ('declare',), ('check', '--settings', '/no')],
)
def test_wrong_usage_gets_one_error_line_and_no_traceback(args):
    run = Run(*args)
    assert run.status in {ExitStatus.USAGE, ExitStatus.BAD_SETTINGS}
    assert run.errors.startswith('error: ')
    assert 'Traceback' not in run.errors


def test_unreachable_entry_host_has_its_own_status():
    run = Run(
        'status', '--entry-host', 'http://127.0.0.1:9', '--operator-key', 'x'
    )
    assert run.status == ExitStatus.UNREACHABLE


def test_wrong_operator_key_is_refused(shared_fleet):
    url = shared_fleet.control_url('erie-a')
    run = Run('status', '--entry-host', url, '--operator-key', 'wrong')
    assert run.status == ExitStatus.REFUSED
    assert run.errors == 'error: The operator key is wrong.\n'


def test_operator_goes_from_intent_to_history(own_fleet, tmp_path):
    path = tmp_path / 'intents.json'
    intent = {'kind': 'target', 'name': 'review-2', 'state': 'leaving'}
    path.write_text(json.dumps({'intents': [intent]}))
    plan = operate(own_fleet, 'declare', path)
    assert 'capacity of review in erie: 2 -> 1 active targets' in plan.out
    plan_id = plan.out.split()[1]
    shown = operate(own_fleet, 'plan', plan_id, '--json', host='huron-a')
    assert json.loads(shown.out)['operator'] == 'ada'
    confirmed = operate(own_fleet, 'confirm', plan_id, host='erie-b')
    assert confirmed.out == 'in force as revision 2\n'
    again = operate(own_fleet, 'confirm', plan_id, '--json', host='huron-a')
    assert json.loads(again.out)['revision'] == 2
    own_fleet.wait_revision(2)
    listed = operate(own_fleet, 'list')
    assert 'review-2  leaving' in listed.out
    history = operate(own_fleet, 'history', '--above', '1')
    assert 'ada' in history.out
    assert 'target/review-2' in history.out


def test_stale_plan_has_its_own_status(own_fleet, tmp_path):
    path = tmp_path / 'intents.json'
    intent = {'kind': 'organisation', 'name': 'free', 'priority': 0}
    path.write_text(json.dumps([intent]))
    plans = [operate(own_fleet, 'declare', path).out.split()[1] for _ in '12']
    assert operate(own_fleet, 'confirm', plans[0]).status == ExitStatus.SUCCESS
    second = operate(own_fleet, 'confirm', plans[1])
    assert second.status == ExitStatus.STALE_PLAN
    assert 'has changed organisation/free' in second.errors


def test_status_and_dump_show_what_a_host_does(shared_fleet):
    status = operate(shared_fleet, 'status')
    assert 'members: erie-a, erie-b, huron-a' in status.out
    document = json.loads(operate(shared_fleet, 'dump', '--json').out)
    for name in (
        'settings', 'revision', 'member_records', 'targets', 'order_lease',
        'limits', 'keys', 'requests', 'peer_messages',
    ):  # fmt: skip
        assert name in document


def test_metrics_have_units_in_their_names(shared_fleet):
    url = f'{shared_fleet.control_url("erie-a")}/metrics'
    text = shared_fleet.client.call_json('GET', url).body.decode()
    assert 'jacinthfold_first_token_seconds_bucket' in text
    assert 'jacinthfold_configuration_revision' in text


def test_logs_are_lines_of_pairs_with_the_request_identifier(shared_fleet):
    answer = shared_fleet.call(
        'erie-a', 'GET', '/desk/quotes/1', key='key-free'
    )
    request_id = answer.headers['x-request-id']
    process = shared_fleet.processes['erie-a']

    def is_logged():
        return any(
            f'request_id={request_id}' in one and 'event=attempt_ended' in one
            for one in process.log().splitlines()
        )

    # The line is logged after the caller has received the response.
    wait_until(is_logged, 'the attempt is logged')
    assert all(one.startswith('time=') for one in process.log().splitlines())
