"""Define the exit statuses."""

import enum


class ExitStatus(enum.IntEnum):
    """Tell a calling program how a command ended."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    UNREACHABLE = 4
    REFUSED = 5
    STALE_PLAN = 6
    OUTCOME_UNKNOWN = 7
