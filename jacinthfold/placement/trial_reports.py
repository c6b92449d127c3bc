"""Exchange reports of ejections, trials and returns between hosts."""

from collections.abc import Mapping

from jacinthfold.placement.failure_rate import (
    MAX_ROUND,
    TrialEvent,
    TrialReport,
)
from jacinthfold.placement.targets import TargetTable

# The newest reports that a message carries; older events are less useful.
MAX_REPORTS = 16


def own_reports(targets: TargetTable, now: float) -> dict[str, TrialReport]:
    """Return this host's latest events by incarnation."""
    reports = {}
    for target in targets.all():
        report = target.failure_rate.own_report(now)
        if report is not None:
            reports[target.record.incarnation_id] = report
    return newest(reports)


def newest(reports: Mapping[str, TrialReport]) -> dict[str, TrialReport]:
    """Return as many of the newest reports as a message may carry."""
    if len(reports) <= MAX_REPORTS:
        return dict(reports)
    ordered = sorted(reports.items(), key=lambda entry: entry[1][0])
    return dict(ordered[:MAX_REPORTS])


def merge(
    known: dict[str, TrialReport],
    reports: Mapping[str, TrialReport],
    held_ms: int,
) -> None:
    """Add a member's reports, received some time ago; the newest remains."""
    for incarnation_id, (age_ms, trial_round, event) in reports.items():
        report = (age_ms + held_ms, trial_round, event)
        other = known.get(incarnation_id)
        if other is None or report[0] < other[0]:
            known[incarnation_id] = report


def apply_reports(
    targets: TargetTable, reports: Mapping[str, TrialReport], sent_at: float
) -> None:
    """Apply another host's valid reports, by incarnation."""
    for incarnation_id, report in reports.items():
        target = targets.find_incarnation(incarnation_id)
        if target is not None and _is_valid(report):
            age_ms, trial_round, event = report
            target.apply_trial_report(
                event, sent_at - age_ms / 1000, trial_round, sent_at
            )


def _is_valid(report: TrialReport) -> bool:
    age_ms, trial_round, event = report
    is_event = event in set(TrialEvent)
    return is_event and age_ms >= 0 and 0 <= trial_round <= MAX_ROUND
