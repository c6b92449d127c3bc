"""Hold which parts of the overload handling are enabled."""


class OverloadOptions:
    """Hold the options of the settings' section [overload]."""

    __slots__ = (
        'answer_lag',
        'fair_shares',
        'region_shares',
        'target_places',
        'water_filling',
        'waiting_requests',
    )

    def __init__(
        self,
        *,
        waiting_requests: int = 0,
        target_places: bool = False,
        region_shares: bool = False,
        fair_shares: bool = False,
        answer_lag: bool = False,
        water_filling: bool = False,
    ) -> None:
        """Set the options; without arguments, everything is off."""
        self.waiting_requests = waiting_requests
        self.target_places = target_places
        self.region_shares = region_shares
        self.fair_shares = fair_shares
        self.answer_lag = answer_lag
        self.water_filling = water_filling
