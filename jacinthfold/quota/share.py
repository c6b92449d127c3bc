"""Hold a share of a cap that is lent for a few seconds."""


class Share:
    """Hold what a pool may spend, and the question that it waits on.

    The issuer counts what a question says is held as held until an answer to a
    later question: so only the answer to the latest question changes the share.
    """

    __slots__ = (
        '_request_number',
        '_requested_at',
        '_expires_at',
        '_held',
        'responded_at',
    )

    def __init__(self, first_number: int = 0) -> None:
        """Start with nothing; questions are numbered from a number on."""
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
        """Return when the share ends."""
        return self._expires_at

    @property
    def requested_at(self) -> float:
        """Return when the latest question was sent."""
        return self._requested_at

    def start_request(self, now: float) -> int:
        """Begin a question; return its number."""
        self._request_number += 1
        self._requested_at = now
        return self._request_number

    def apply_response(
        self, number: int, share: float, seconds: float, now: float
    ) -> bool:
        """Take an answer; tell whether it changed what is held."""
        if number != self._request_number or now < self._requested_at:
            return False
        # From the question on: the issuer counts from when it came.
        self._held = share
        self._expires_at = self._requested_at + seconds
        self.responded_at = now
        return True
