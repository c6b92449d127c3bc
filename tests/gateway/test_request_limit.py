"""Targets that name how many requests they take from all hosts together."""

from jacinthfold.placement.request_limit import RequestLimit


def test_only_an_answer_to_a_later_request_ends_a_limit():
    """Guards against a limit that an overtaken answer lifts too soon."""
    limit = RequestLimit('i-1')
    limit.note_answer(1.5, sent_at=1.0, now=2.0)
    limit.note_answer(None, sent_at=1.9, now=2.1)
    assert limit.per_second == 1.5
    limit.note_answer(None, sent_at=2.05, now=2.2)
    assert limit.per_second is None
