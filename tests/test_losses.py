"""The table of what a day lost, made from its logs."""

from tools.losses import Losses, events

PLACED = 'request=r1 prompt_tokens=9000 expected_seconds=0.5'
SERVED = 'request=r1 sends=1 first_seconds=1.5'
REFUSED = 'request=r2 reason=late prompt_tokens=300'
SUMMED = 'reason=late count=25 left_out=5 seconds=1.0'
FAILED = 'request=r3 reason="Cut: closed"'
LOG = f"""
   0.1 a-1 level=info event=request_placed {PLACED}
   1.9 a-1 level=info event=request_served {SERVED}
   2.1 a-2 level=info event=request_refused {REFUSED}
   2.1 a-2 level=info event=requests_refused {SUMMED}
   2.2 a-2 level=warning event=attempt_failed {FAILED}
   3.0 a-2 a line that tells of nothing
"""


def test_losses_are_counted_by_window_and_cause(tmp_path):
    path = tmp_path / 'day.log'
    path.write_text(LOG)
    losses = Losses(1.0)
    for event in events([path]):
        losses.take(event)
    assert dict(losses.windows[0]) == {'late, which was not foreseen': 1}
    assert dict(losses.windows[2]) == {
        'refused late, small prompt': 1,
        'refused late, any size': 5,
        'failed Cut: closed': 1,
    }
    assert losses.errors == [1.0 / 1.5]
