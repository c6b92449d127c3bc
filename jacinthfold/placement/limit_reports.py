"""Exchange reports of targets' rate limits between hosts."""

from collections.abc import Mapping

from jacinthfold.placement.request_limit import LimitReport
from jacinthfold.placement.targets import TargetTable

# No limit is rotated this often: reports of more rotations are invalid.
MAX_ROTATIONS = 1_000_000


def own_reports(targets: TargetTable, now: float) -> dict[str, LimitReport]:
    """Return this host's first-hand limit reports by incarnation."""
    reports = {}
    for target in targets.all():
        report = target.pushback.limit.own_report(now)
        if report is not None:
            reports[target.record.incarnation_id] = report
    return reports


def apply_reports(
    targets: TargetTable,
    source: str,
    reports: Mapping[str, LimitReport],
    sent_at: float,
) -> None:
    """Apply another host's valid limit reports, by incarnation."""
    for incarnation_id, report in reports.items():
        target = targets.find_incarnation(incarnation_id)
        if target is not None and _is_valid(report):
            per_second, age_ms, rotation = report
            reported_at = sent_at - age_ms / 1000
            target.pushback.limit.apply_report(
                per_second or None, reported_at, rotation, source
            )


def _is_valid(report: LimitReport) -> bool:
    per_second, age_ms, rotation = report
    is_limit = 0 <= per_second < float('inf')
    return is_limit and age_ms >= 0 and 0 <= rotation <= MAX_ROTATIONS
