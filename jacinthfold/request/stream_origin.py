"""Describe where a stream began, which decides where it may go on."""


class StreamOrigin:
    """Hold the attempt and the software version that began a stream.

    What targets of two versions write doesn't fit together, and they don't
    check where a stream began.
    """

    __slots__ = ('attempt_id', 'software_version')

    def __init__(self, attempt_id: str, software_version: str | None) -> None:
        """Set the attempt that brought the first event, and the version.

        A version of None is unknown, so that the stream may go on nowhere.
        """
        self.attempt_id = attempt_id
        self.software_version = software_version

    def admits(self, software_version: str) -> bool:
        """Tell whether the stream may go on at a target of a version."""
        return self.software_version == software_version
