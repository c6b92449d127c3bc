"""Hold a share of a cap that is lent for a few seconds."""


class Share:
    """Hold what a pool may spend, and the question that it waits on.

    The issuer counts what a question says is held as held until an answer to a
    later question: so only the answer to the latest question changes the share.
    """

    __slots__ = ('_ask_number', '_asked_at', '_ends_at', '_held', 'answered_at')

    def __init__(self, first_number: int = 0) -> None:
        """Start with nothing; questions are numbered from a number on."""
        self._held = 0.0
        self._ends_at = float('-inf')
        self._ask_number = first_number
        self._asked_at = float('-inf')
        self.answered_at = float('-inf')

    def held(self, now: float) -> float:
        """Return the share that may be spent now."""
        return self._held if now < self._ends_at else 0.0

    @property
    def ends_at(self) -> float:
        """Return when the share ends."""
        return self._ends_at

    @property
    def asked_at(self) -> float:
        """Return when the latest question was sent."""
        return self._asked_at

    def ask(self, now: float) -> int:
        """Begin a question; return its number."""
        self._ask_number += 1
        self._asked_at = now
        return self._ask_number

    def take(
        self, number: int, share: float, seconds: float, now: float
    ) -> bool:
        """Take an answer; tell whether it changed what is held."""
        if number != self._ask_number or now < self._asked_at:
            return False
        # From the question on: the issuer counts from when it came.
        self._held = share
        self._ends_at = self._asked_at + seconds
        self.answered_at = now
        return True
