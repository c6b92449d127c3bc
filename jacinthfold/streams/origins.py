"""Record where streams began, so that they go on nowhere else."""

from jacinthfold.catalogue.model import RetryPolicy
from jacinthfold.placement.software_versions import SoftwareVersions
from jacinthfold.request.messages import Request
from jacinthfold.request.stream_origin import StreamOrigin


class StreamOrigins:
    """Know at which software version the streams of callers began."""

    def __init__(self, versions: SoftwareVersions) -> None:
        """Use the versions of each service."""
        self._versions = versions

    def record_begin(self, request: Request, version: str | None) -> None:
        """Record that the caller gets an event from a software version."""
        if request.origin is not None:
            return
        if request.route.retry_policy is not RetryPolicy.RESUMED:
            return
        version = self._versions.origin_version(request.service_name, version)
        request.origin = StreamOrigin(request.facts.request_id, version)
