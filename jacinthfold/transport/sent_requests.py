"""Remember which requests a connection has carried."""

from jacinthfold.hashing import hash_key_bits

# Requests that a connection carries while one of them may be sent again. A
# connection that has carried more is not kept.
MAX_REMEMBERED = 1000


class SentRequests:
    """Hold the requests of a connection that may still be sent again.

    A target may answer a request twice, and the second answer bears the same
    identifier as that to another send of the request.
    """

    __slots__ = ('_until', 'count')

    def __init__(self) -> None:
        """Start with a connection that has carried nothing."""
        # The deadline of each request; none is sent again after it. Callers
        # choose how long an identifier is, so that its hash stands for it.
        self._until: dict[int, float] = {}
        self.count = 0

    def __contains__(self, request_id: str) -> bool:
        """Check whether a request may get an answer to an earlier send."""
        return hash_key_bits(request_id) in self._until

    @property
    def is_full(self) -> bool:
        """Check whether no more requests can be remembered."""
        return len(self._until) >= MAX_REMEMBERED

    def add(self, request_id: str, deadline: float, now: float) -> None:
        """Record that the connection carries a request until its deadline."""
        self.count += 1
        if self.is_full:
            self._until = {
                known: until
                for known, until in self._until.items()
                if until > now
            }
        if request_id:
            self._until[hash_key_bits(request_id)] = deadline
