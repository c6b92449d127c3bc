"""The `explain` command and the timeline of a request from logs."""

import io

from jacinthfold.explain import request_timeline
from jacinthfold.serve.context import Environment
from jacinthfold.serve.core import main
from jacinthfold.serve.status import ExitStatus

DAY = '2026-01-01T'


def line(time, event, host='a', **fields):
    """Return a log line in the format of a host."""
    pairs = ' '.join(f'{name}={held}' for name, held in fields.items())
    return (
        f'time={DAY}{time}+00:00 level=info event={event} host={host} {pairs}'
    )


LINES = [
    line('10:00:03', 'attempt_failed', request='r1', at='i-1'),
    line('10:00:01', 'request_placed', request='r1', target='i-1'),
    line('10:00:00.5', 'target_set_aside', target='i-1'),
    line('10:00:00.6', 'target_set_aside', target='i-2'),
    line('10:00:00.7', 'target_set_aside', host='b', target='i-1'),
    line('10:00:02', 'request_placed', request='r2', target='i-1'),
    line('09:50:00', 'target_known', target='i-1'),
    'noise that is no log line',
]


def test_timeline_has_the_request_and_its_hosts_events():
    selected = request_timeline(LINES, 'r1')
    assert [one.split()[2] for one in selected] == [
        'event=target_set_aside',
        'event=request_placed',
        'event=attempt_failed',
    ]
    assert all('host=a' in one and 'i-2' not in one for one in selected)


def test_command_reads_standard_input_and_files(tmp_path):
    out, text = io.StringIO(), '\n'.join(LINES)
    env = Environment(stdin=io.StringIO(text), stdout=out)
    assert main(['explain', 'r2'], env) is ExitStatus.SUCCESS
    assert 'request=r2' in out.getvalue()
    path = tmp_path / 'a.log'
    path.write_text(text)
    assert main(['explain', 'r1', str(path)], env) is ExitStatus.SUCCESS


def test_command_reports_an_unknown_request():
    err = io.StringIO()
    env = Environment(stdin=io.StringIO(''), stdout=io.StringIO(), stderr=err)
    assert main(['explain', 'r9'], env) is ExitStatus.ERROR
    assert err.getvalue().startswith('error: no line about r9')


def test_timeline_shows_how_long_a_request_waited():
    waited = [
        line('10:00:01', 'request_waits', request='r3', ahead=4),
        line('10:00:02', 'request_waited', request='r3', ending='placed'),
    ]
    selected = request_timeline([*LINES, *waited], 'r3')
    assert [one.split()[2] for one in selected] == [
        'event=request_waits',
        'event=request_waited',
    ]
