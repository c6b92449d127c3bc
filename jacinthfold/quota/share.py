"""Share of a cap that is leased to a pool for a short time."""


class Share:
    """Leased share of a pool and its latest request to the issuer.

    The issuer counts the share reported in a request as held until it responds
    to a later one, so only a response to the latest request changes the share.
    """

    __slots__ = (
        '_request_number',
        '_requested_at',
        '_expires_at',
        '_held',
        'responded_at',
    )

    def __init__(self, first_number: int = 0) -> None:
        """Start without a share; number requests from first_number + 1."""
        self._held = 0.0
        self._expires_at = float('-inf')
        self._request_number = first_number
        self._requested_at = float('-inf')
        self.responded_at = float('-inf')

    def held(self, now: float) -> float:
        """Return the share that may be spent now."""
        return self._held if now < self._expires_at else 0.0

    @property
    def expires_at(self) -> float:
        """Return when the share expires."""
        return self._expires_at

    @property
    def requested_at(self) -> float:
        """Return when the latest request was sent."""
        return self._requested_at

    def start_request(self, now: float) -> int:
        """Start a request to the issuer; return its number."""
        self._request_number += 1
        self._requested_at = now
        return self._request_number

    def apply_response(
        self, number: int, share: float, seconds: float, now: float
    ) -> bool:
        """Apply a response; return whether it changed the share."""
        if number != self._request_number or now < self._requested_at:
            return False
        # Counted from when the request was sent, so the share expires here
        # before it does at the issuer, which counts from the arrival.
        self._held = share
        self._expires_at = self._requested_at + seconds
        self.responded_at = now
        return True
