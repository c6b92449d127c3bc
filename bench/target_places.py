"""Compare ways to keep the places of plain targets, in a replay.

python -m bench.target_places [seed ...]

The second table has two regions that relay to each other, with the option off
and on; a load is a multiple of the region's own capacity.
"""

import sys

from loguru import logger

from jacinthfold.placement import place_shares
from jacinthfold.placement.decision import Reject, SendTo
from jacinthfold.placement.estimates import Estimate, Wait
from jacinthfold.placement.place_shares import useful_places
from tests.gateway.place_regions_replay import RegionsReplay
from tests.gateway.place_replay import OBJECTIVE_SECONDS, PlaceReplay


def with_shares(replay, scene, kind):
    shares = kind(scene.pace.ranks, replay.clock, is_enabled=True)
    shares.update_hosts(replay.names)
    scene.placer.place_shares = scene.placer._usable.place_shares = shares
    return scene


class NoLending(PlaceReplay):
    """Fixed shares by rank only."""

    def new_host(self, name, is_enabled=True):
        return with_shares(self, super().new_host(name), _NoLending)


class _NoLending(place_shares.PlaceShares):
    def lent(self, counted, now):
        return []


class UnboundedLending(PlaceReplay):
    """Shares by rank; no bound below half of the places."""

    def new_host(self, name, is_enabled=True):
        return with_shares(self, super().new_host(name), _UnboundedLending)


class _UnboundedLending(place_shares.PlaceShares):
    def lent(self, counted, now):
        return [
            target
            for target, places in counted
            if target.load(now).requests < places / 2
        ]


class LendingByRank(PlaceReplay):
    """Shares by rank; the unused places are shared by rank too."""

    def new_host(self, name, is_enabled=True):
        return with_shares(self, super().new_host(name), _LendingByRank)


class _LendingByRank(place_shares.PlaceShares):
    def lent(self, counted, now):
        return [
            target
            for target, places in counted
            if target.own.requests < self._limit(target, places, now)
        ]

    def _limit(self, target, places, now):
        share = self.share(target.record.instance, places, now)
        in_flight = target.load(now).requests
        if in_flight >= places / 2:
            return share
        ranks = self._live
        position = ranks.host_count - 1 - ranks.position(target.record.instance)
        unused, hosts = places - in_flight, ranks.host_count
        return share + unused // hosts + (position < unused % hosts)


class TwoChoices(PlaceReplay):
    """Two random targets by reported load; full answers are learned."""

    def choose(self, scene, request):
        now = self.clock.monotonic()
        found = scene.targets.of('desk', 'north')
        drawn = self.random.sample(found, min(2, len(found)))
        target = min(drawn, key=lambda one: one.load(now).requests)
        load = target.load(now).requests
        if load >= useful_places(target, OBJECTIVE_SECONDS):
            return Reject('no_place', 0.1)
        wait = max(0, load + 1 - 6) * target.seconds_per_call / 6
        return SendTo(Estimate(target, Wait(wait), target.seconds_per_call))


class Today(PlaceReplay):
    """The option off."""

    def new_host(self, name, is_enabled=True):
        return super().new_host(name, is_enabled=False)


WAYS = {
    'off': Today,
    'two choices': TwoChoices,
    'shares only': NoLending,
    'shares, lending unbounded': UnboundedLending,
    'shares, lending by rank': LendingByRank,
    'shares, lending by demand': PlaceReplay,
}


def measure(way, seed, hosts, targets, phases, weights=None):
    """Run (seconds, load) phases; return the shares of calls and of time."""
    replay = WAYS[way](seed, hosts, targets, weights=weights)
    replay.settle()
    for seconds, load in phases:
        replay.run(seconds, load)
    replay.drain()
    counts = replay.counts
    return (
        replay.full / max(1, replay.arrivals),
        counts.in_time / counts.calls,
        counts.no_place_with_room / counts.calls,
        replay.busy_share(sum(seconds for seconds, _ in phases)),
    )


LOADS = {
    '1.1': ((20.0, 1.1),),
    '0.39 then 1.1': ((12.0, 0.39), (12.0, 1.1)),
    '0.5 then 2.8': ((12.0, 0.5), (6.0, 2.8)),
    '0.9 uneven': ((20.0, 0.9),),
}


SIZES = (
    {'north': (21, 3), 'south': (21, 2)},
    {'north': (30, 2), 'south': (30, 1)},
    {'north': (21, 1), 'south': (21, 3)},
)
REGION_LOADS = (
    {'north': 1.1, 'south': 0.3},
    {'north': 1.1, 'south': 0.8},
    {'north': 2.0, 'south': 0.2},
)


def show_regions(sizes, loads, seeds):
    for is_enabled in (False, True):
        replays = [RegionsReplay(seed, sizes, is_enabled) for seed in seeds]
        for replay in replays:
            replay.run(12.0, loads)
        calls = sum(replay.calls for replay in replays)
        relayed = sum(replay.relayed for replay in replays)
        capacities = {
            name: side.capacity_per_second
            for name, side in replays[0].sides.items()
        }
        sent = sum(loads[name] * capacities[name] for name in sizes)
        full = sum(replay.full for replay in replays)
        arrivals = sum(replay.arrivals for replay in replays)
        in_time = sum(replay.in_time for replay in replays)
        refused = sum(replay.relayed_rejected for replay in replays)
        print(
            f'{sizes} {loads} of_all={sent / sum(capacities.values()):.2f}'
            f' {"on" if is_enabled else "off":3} full={full / arrivals:.4f}'
            f' in_time={in_time / calls:.3f} relayed={relayed / calls:.3f}'
            f' relayed_rejected={refused / max(1, relayed):.3f}',
            flush=True,
        )


def main(seeds):
    logger.remove()
    for hosts, targets in ((21, 3), (21, 1), (30, 2), (30, 1)):
        uneven = [4 if number % 4 == 0 else 1 for number in range(hosts)]
        for load, phases in LOADS.items():
            weights = uneven if 'uneven' in load else None
            for way in WAYS:
                found = [
                    measure(way, seed, hosts, targets, phases, weights)
                    for seed in seeds
                ]
                full, in_time, lost, busy = (
                    sum(column) / len(seeds) for column in zip(*found)
                )
                print(
                    f'hosts={hosts} targets={targets} load={load:14}'
                    f' {way:26} full={full:.4f} in_time={in_time:.3f}'
                    f' lost_with_room={lost:.3f} busy={busy:.3f}',
                    flush=True,
                )
    for sizes in SIZES:
        for loads in REGION_LOADS:
            show_regions(sizes, loads, seeds)
    return 0


if __name__ == '__main__':
    sys.exit(main([int(one) for one in sys.argv[1:]] or [1, 2, 3, 4]))
