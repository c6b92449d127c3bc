"""Exchange lowered limits of plain targets between hosts.

A host that keeps a higher limit fills a target's queue, and the others are
rejected because of it.
"""

from collections.abc import Mapping
from math import isfinite

from jacinthfold.placement.concurrency_limit import PlacesReport
from jacinthfold.placement.targets import TargetTable

# The newest reports that a message carries; older ones were sent before.
MAX_REPORTS = 16


def own_reports(targets: TargetTable, now: float) -> dict[str, PlacesReport]:
    """Return the limits that this host lowered lately, by incarnation."""
    reports = {}
    for target in targets.all():
        report = target.concurrency_limit.own_report(now)
        if report is not None:
            reports[target.record.incarnation_id] = report
    return newest(reports)


def newest(reports: Mapping[str, PlacesReport]) -> dict[str, PlacesReport]:
    """Return as many of the newest reports as a message may carry."""
    if len(reports) <= MAX_REPORTS:
        return dict(reports)
    ordered = sorted(reports.items(), key=lambda entry: entry[1][1])
    return dict(ordered[:MAX_REPORTS])


def merge(
    known: dict[str, PlacesReport],
    reports: Mapping[str, PlacesReport],
    held_ms: int,
) -> None:
    """Add a member's reports, received some time ago; the newest remains."""
    for incarnation_id, (places, age_ms) in reports.items():
        report = (places, age_ms + held_ms)
        other = known.get(incarnation_id)
        if other is None or report[1] < other[1]:
            known[incarnation_id] = report


def apply_reports(
    targets: TargetTable, reports: Mapping[str, PlacesReport], sent_at: float
) -> None:
    """Apply another host's valid reports, by incarnation."""
    for incarnation_id, (places, age_ms) in reports.items():
        target = targets.find_incarnation(incarnation_id)
        is_valid = isfinite(places) and places > 0 and age_ms >= 0
        if target is not None and is_valid:
            target.concurrency_limit.apply_report(
                places, sent_at - age_ms / 1000
            )
