"""Streams of services whose targets run several software versions."""

from tests.gateway import versioned_streams as streams

CUT_STREAMS = 24
TAKEN_UP_STREAMS = 12


def test_streams_never_go_on_at_another_version(deployment):
    """Guards against streams whose pieces two software versions made.

    Some break at their target and are resumed by the host, some are left by
    their callers and taken up at other hosts. At least half go on.
    """
    streams.add_targets(
        deployment,
        *('v1-north-1', 'v2-north-2', 'v1-north-3', 'v2-north-4'),
        *('v1-south-1', 'v2-south-2'),
    )
    streams.start(
        deployment,
        ('north-a', 'north-1'),
        ('north-b', 'north-1'),
        ('south-a', 'south-1'),
    )
    streams.earn_retries(deployment, 'north-a', 5 * CUT_STREAMS)
    streams.set_scripts(deployment, cut_at=3)
    answers = [streams.ask(deployment, 'north-a') for _ in range(CUT_STREAMS)]
    mixed = [
        one.body for one in answers if len(streams.versions_of(one.body)) > 1
    ]
    whole_count = sum(one.is_whole and one.status == 200 for one in answers)

    streams.set_scripts(deployment, pause_seconds=0.05)
    resumed_count = 0
    for number in range(TAKEN_UP_STREAMS):
        begun = streams.TakenUp(deployment, 'north-a')
        answer = begun.go_on(('north-b', 'south-a')[number % 2])
        if len(streams.versions_of(begun.first_body, answer.body)) > 1:
            mixed.append(answer.body)
        resumed_count += answer.is_whole and answer.status == 200

    assert not mixed, (
        f'{len(mixed)} of {CUT_STREAMS + TAKEN_UP_STREAMS} streams mixed'
    )
    assert whole_count >= CUT_STREAMS / 2
    assert resumed_count >= TAKEN_UP_STREAMS / 2
