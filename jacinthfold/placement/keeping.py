"""Keep a subject's prompts together over all regions that may serve them.

Load pattern: 36 subjects of 13,000 tokens, asked for everywhere by a route that
any region may serve. Read in each region they cost three times the reading and
memory; an engine that is reading slows every answer that it is making. Worth of
three loaded days, three seeds each: 0.631 with a keeper in each region, 0.642
with one over all of them.
"""

from jacinthfold.placement.affinity import in_order
from jacinthfold.placement.target import Target
from jacinthfold.placement.targets import TargetTable
from jacinthfold.request.messages import Request


class KeeperRegions:
    """Order regions for a prompt, the same on every host."""

    __slots__ = ('_targets',)

    def __init__(self, targets: TargetTable) -> None:
        """Take the targets of all regions."""
        self._targets = targets

    def regions(self, request: Request, now: float) -> list[str]:
        """Return allowed regions, the one that is to keep the parts first."""
        shared = request.facts.prefix_segments[:-1]
        by_instance = {
            target.record.instance: self._targets.region_of(
                target.record.data_centre
            )
            for target in self._targets.serving(request.service_name)
            if self._may_keep(request, target, now)
        }
        if not shared or not by_instance:
            return []
        ordered = in_order(shared, by_instance)
        return list(dict.fromkeys(by_instance[name] for name in ordered))

    def _may_keep(self, request: Request, target: Target, now: float) -> bool:
        record = target.record
        return (
            request.allows(self._targets.region_of(record.data_centre))
            and target.last_resort_until is None
            and target.cold_until <= now
            and record.data_centre not in self._targets.evacuated
        )
