"""Find the regions in which a stream may go on."""

from jacinthfold.placement.targets import TargetTable
from jacinthfold.request.messages import Request


def stream_regions(request: Request, targets: TargetTable) -> frozenset[str]:
    """Return the regions with targets of the version that began a stream."""
    return frozenset(
        targets.region_of(target.record.data_centre)
        for target in targets.serving(request.service_name)
        if request.may_run_at(target.record.software_version)
        and target.last_resort_until is None
    )
