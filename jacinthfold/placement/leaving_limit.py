"""Bound the use of targets that have left or may have left."""

from jacinthfold.placement import limits

DEFAULT_USE_AFTER_LEAVING_SECONDS = 5.0
# A change of the store usually arrives within 1.5 s. A host that stood still
# for longer than the rest of the bound may have missed one.
MAX_NEWS_SECONDS = 2.0
# A host that is short of processor time stands still for less than this.
LEAST_PAUSE_SECONDS = 1.5


class LeavingLimit:
    """Derive what is allowed from the time after which nothing may arrive."""

    __slots__ = ('max_send_age_seconds', 'min_pause_seconds')

    def __init__(
        self,
        use_after_leaving_seconds: float = DEFAULT_USE_AFTER_LEAVING_SECONDS,
    ) -> None:
        """Set how late a request may reach a target that leaves."""
        # How old a target's leaving may be when a request is sent to it.
        self.max_send_age_seconds = (
            use_after_leaving_seconds - limits.SEND_MARGIN_SECONDS
        )
        self.min_pause_seconds = max(
            LEAST_PAUSE_SECONDS, use_after_leaving_seconds - MAX_NEWS_SECONDS
        )

    def last_resort_seconds(self, age_seconds: float) -> float:
        """Return for how long a target may be used that left so long ago.

        Negative if it may not be used any more.
        """
        bound_seconds = self.max_send_age_seconds - limits.LAST_SEND_SECONDS
        return min(limits.LAST_RESORT_SECONDS, bound_seconds - age_seconds)
