"""Share the places of plain targets among the hosts of their region.

Load pattern: 21 to 30 hosts send 110% of what two or three targets with six
slots and a queue of 24 can take, and at times 2.8 times their mean load. Load
reports are as old as a whole queue is long, so hosts that follow the reports
fill a queue before any of them learns of it. A host knows its own requests in
flight exactly, so a share of the places needs no report.

Callers are spread unevenly over hosts, so that one host may have no free place
while those of others are unused. While the reported load is below a third of
the places, a host may have as many in flight as corresponds to its part of the
demand. Its own arrivals of the last seconds and the capacity of the target
tell that part, without a message. Together these parts are no more than all
places while the demand is below the capacity, and they grow slower than the
load reports arrive when the demand rises at all hosts at once.
"""

from collections.abc import Iterable
from math import ceil

from jacinthfold.clock import Clock
from jacinthfold.placement import limits
from jacinthfold.placement.jitter import DecayingRate
from jacinthfold.placement.ranks import RegionRanks
from jacinthfold.placement.target import Target
from jacinthfold.request.messages import Request

# Places of a host per target until it has heard from the other hosts.
STARTING_PLACES = 1
# Below this share of live hosts among the known ones, this host is more likely
# cut off or resumed from a freeze than the others are gone.
MIN_LIVE_SHARE = 0.5
# Share of its places below which a target's unused places are lent. At half of
# them, the calls of a step to 2.8 times the capacity fill the target before the
# next report.
LENDING_SHARE = 1 / 3
# After an answer that the target is full, nothing is lent to this host until
# reports of the load that filled the target have arrived.
LENDING_PAUSE_SECONDS = 1.0


class PlaceShares:
    """Grant requests from this host's shares of targets' places."""

    __slots__ = ('_demand', '_known', '_live', 'is_enabled')

    def __init__(
        self, known: RegionRanks, clock: Clock, *, is_enabled: bool
    ) -> None:
        """Use the ranks among all known hosts, and own ones of live hosts."""
        self.is_enabled = is_enabled
        self._known = known
        self._live = RegionRanks(known.own_name, clock)
        # Calls of this host's callers that are sent to targets of this region
        # or rejected, by plain service.
        self._demand: dict[str, DecayingRate] = {}

    def update_hosts(self, names: Iterable[str]) -> None:
        """Replace the names of the region's hosts that accept requests."""
        self._live.update_hosts(names)

    def record_call(self, request: Request, now: float) -> None:
        """Count a call in this host's demand for local places, once."""
        # Calls from another region come in bursts, for as long as this region's
        # report stands, and are spread over the hosts anyway. Calls that go to
        # another region are not counted either: with them, the shares by
        # demand would add up to more than all places.
        if request.is_demand_counted or request.is_relayed:
            return
        request.is_demand_counted = True
        service = request.service_name
        self._demand.setdefault(service, DecayingRate(now)).record(now)

    def select(
        self, targets: list[Target], objective_seconds: float, now: float
    ) -> list[Target]:
        """Return those targets of a service where this host has a place.

        Lent places are used only if all places of this host are taken.
        """
        counted = [
            (target, useful_places(target, objective_seconds))
            for target in targets
        ]
        owned = [
            target
            for target, places in counted
            if target.own.requests
            < self.share(target.record.instance, places, now)
        ]
        return owned or self.lent(counted, now)

    def lent(
        self, counted: list[tuple[Target, int]], now: float
    ) -> list[Target]:
        """Return those targets, given with their places, that lend one."""
        # A host that is cut off hears of no load, however high it is.
        if not counted or self._is_cut_off():
            return []
        if not self._live.is_settled(now):
            return []
        own = sum(target.own.requests for target, _ in counted)
        if own >= self._demand_share(counted, now):
            return []
        return [
            target
            for target, places in counted
            if target.load(now).requests < places * LENDING_SHARE
            and now >= target.concurrency_limit.full_at + LENDING_PAUSE_SECONDS
        ]

    def share(self, instance: str, places: int, now: float) -> int:
        """Return how many of a target's places belong to this host."""
        ranks = self._ranks()
        share = _whole_share(places, ranks.position(instance), ranks.host_count)
        if not self._live.is_settled(now):
            return min(STARTING_PLACES, share)
        return share

    def turnover_per_second(
        self, target: Target, objective_seconds: float, now: float
    ) -> float:
        """Return at which rate this host's places at a target become free."""
        places = useful_places(target, objective_seconds)
        mean_share = places / self._ranks().host_count
        rounds = max(1.0, target.load(now).requests / _slots(target))
        return max(mean_share, target.own.requests) / (
            rounds * target.seconds_per_call
        )

    def _demand_share(
        self, counted: list[tuple[Target, int]], now: float
    ) -> int:
        """Return a share of all places by this host's part of the capacity.

        Below the capacity of the targets, these shares add up to their places.
        """
        demand = self._demand.get(counted[0][0].record.service)
        if demand is None:
            return 0
        places = sum(count for _, count in counted)
        capacity_per_second = sum(
            _slots(target) / target.seconds_per_call for target, _ in counted
        )
        part = demand.per_second(now) / capacity_per_second
        return ceil(places * min(1.0, part))

    def _ranks(self) -> RegionRanks:
        return self._known if self._is_cut_off() else self._live

    def _is_cut_off(self) -> bool:
        """Tell whether this host hears from too few of the known hosts."""
        known_count = self._known.host_count
        return self._live.host_count < known_count * MIN_LIVE_SHARE


def useful_places(target: Target, objective_seconds: float) -> int:
    """Return how many requests in flight at a target can be in time."""
    # A request in a slot doesn't wait, so there is a place for each slot
    # however long the calls take.
    slots = _slots(target)
    in_time = slots * objective_seconds / target.seconds_per_call
    accepted = target.concurrency_limit.places(slots)
    return int(min(accepted, max(slots, in_time)))


def report_age_seconds(target: Target, now: float) -> float:
    """Return the age of the latest load report, at most its lifetime."""
    ages = [now - received_at for received_at, _ in target.reported.values()]
    return min(ages, default=limits.REPORT_LIFETIME_SECONDS)


def _slots(target: Target) -> int:
    return max(1, target.record.slots)


def _whole_share(places: int, position: int, hosts: int) -> int:
    """Return the places of one rank; those of all ranks add up to all."""
    return places // hosts + int(position < places % hosts)
