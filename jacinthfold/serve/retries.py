"""Bound retries, so that failures don't multiply the load."""

import threading

# A full engine that dies cuts all its streams at once; each wants one retry.
STARTING_TOKENS = 16.0
TOKEN_LIMIT = 64.0
KEY_LIMIT = 10000


class RetryBudget:
    """Earn a part of a retry with each request, by organisation."""

    def __init__(self, ratio: float) -> None:
        """Take the retries allowed for each request."""
        self._ratio = ratio
        self._guard = threading.Lock()
        self._tokens: dict[str, float] = {}
        self.spent_count = 0
        self.refused_count = 0

    def earn(self, key: str) -> None:
        """Count a first attempt."""
        with self._guard:
            if len(self._tokens) > KEY_LIMIT:
                self._tokens.clear()
            held = self._tokens.get(key, STARTING_TOKENS)
            self._tokens[key] = min(TOKEN_LIMIT, held + self._ratio)

    def spend(self, key: str) -> bool:
        """Take one retry; tell whether it is allowed."""
        with self._guard:
            held = self._tokens.get(key, STARTING_TOKENS)
            if held < 1:
                self.refused_count += 1
                return False
            self._tokens[key] = held - 1
            self.spent_count += 1
            return True
