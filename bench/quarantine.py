"""Measure how soon the hosts of a region refuse what ended three targets.

Three hosts each see one end; a crowd that ran beside at the first one is told
of as well. All hosts run in this process by a clock of its own.
"""

import random

from loguru import logger

from jacinthfold.quarantine.ends import BEGUN, End
from tests.gateway.beating import STEP_SECONDS, Fleet

CASES = ((8, 0.0), (8, 0.03), (65, 0.0), (65, 0.1), (90, 0.03))
CROWDS = (0, 30, 64)
SEEDS = range(1, 6)
SETTLED_SECONDS = 3.0
LIMIT_SECONDS = 6.0
TOLD_SECONDS = 2.0
CULPRIT = 'c' * 32


def started(hosts, lost, seed):
    """Return a fleet that has settled and loses a share of its datagrams."""
    fleet = Fleet(hosts, seed=seed)
    source = random.Random(seed)
    fleet.is_lost = lambda sender, receiver: source.random() < lost
    fleet.run(SETTLED_SECONDS)
    return fleet


def see_ends(fleet, crowd=0):
    """Have three hosts see an end each, and others what ran beside."""
    at_ms = round(fleet.clock.now().timestamp() * 1000)
    names = sorted(fleet.hosts)
    for number, name in enumerate(names[1:6:2]):
        end = End(
            f'i-{number}/1770000000000', BEGUN, is_fresh=True, at_ms=at_ms
        )
        suspects(fleet, name).note_end(CULPRIT, end)
    beside = End('i-0/1770000000000', BEGUN, is_fresh=False, at_ms=at_ms)
    for number in range(crowd):
        name = fleet.random.choice(names)
        suspects(fleet, name).note_end(f'{number:032x}', beside)


def suspects(fleet, name):
    return fleet.hosts[name].heartbeats.builder.suspects


def seconds_until_all_refuse(hosts, lost, seed):
    fleet = started(hosts, lost, seed)
    see_ends(fleet)
    for steps in range(1, round(LIMIT_SECONDS / STEP_SECONDS)):
        fleet.run(STEP_SECONDS)
        refusing = [
            suspects(fleet, name).refused_seconds(CULPRIT)
            for name in fleet.hosts
        ]
        if None not in refusing:
            return steps * STEP_SECONDS
    return LIMIT_SECONDS


def bytes_a_second(hosts, crowd, seed):
    """Return what a host sends in the time for which news are told."""
    fleet = started(hosts, 0.0, seed)
    sent = []
    carry = fleet.deliver

    def counted(sender, content, place):
        sent.append(len(content))
        carry(sender, content, place)

    fleet.deliver = counted
    fleet.run(TOLD_SECONDS)
    calm = sum(sent)
    sent.clear()
    see_ends(fleet, crowd)
    fleet.run(TOLD_SECONDS)
    per_host = TOLD_SECONDS * hosts
    return calm / per_host, sum(sent) / per_host


def main():
    """Print both tables."""
    logger.remove()
    print('hosts  lost  seconds until all refuse, five seeds')
    for hosts, lost in CASES:
        found = [seconds_until_all_refuse(hosts, lost, one) for one in SEEDS]
        print(f'{hosts:5} {lost:5.2f}', ' '.join(f'{one:.2f}' for one in found))
    print('crowd  bytes a second a host of 65: calm, with news')
    for crowd in CROWDS:
        calm, told = bytes_a_second(65, crowd, 1)
        print(f'{crowd:5}  {calm:.0f} {told:.0f}')


if __name__ == '__main__':
    main()
