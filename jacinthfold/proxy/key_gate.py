"""Decide whose requests may run by what is known of keys, and how old it is."""

from enum import Enum

from jacinthfold.catalogue.records import Catalogue
from jacinthfold.organisations.model import Organisation
from jacinthfold.request.messages import Request

# Kept of the bound: from the look at the age to a request's last byte at a
# target, on a host that is short of processor time.
MARGIN_SECONDS = 0.4
# A key that isn't known may be new: denied only by hosts that hear of new keys
# by now, since callers don't come back after that.
DENY_AGE_SECONDS = 2.0


class Barrier(Enum):
    """Say why a request that was let in may not be sent any more."""

    STALE = 'keys_stale'
    REVOKED = 'key_revoked'


class KeyGate:
    """Let requests in by their key."""

    def __init__(
        self, catalogue: Catalogue, bound_seconds: float | None
    ) -> None:
        """Take what is known, and how old it may be; None for any age."""
        self._catalogue = catalogue
        self._bound_seconds = bound_seconds

    @property
    def age_seconds(self) -> float:
        """Return how old the knowledge of keys may be."""
        return self._catalogue.freshness.age_seconds

    @property
    def is_bounded(self) -> bool:
        """Tell whether keys that are taken away must end within a time."""
        return self._bound_seconds is not None

    @property
    def is_fresh(self) -> bool:
        """Tell whether a key that was taken away would be known here."""
        # A host that is cut off would go on serving a key that its holder had
        # taken away. Past the bound it serves no key at all: a good one is
        # served by other hosts, a bad one nowhere.
        if self._bound_seconds is None:
            return True
        return self.age_seconds <= self._bound_seconds - MARGIN_SECONDS

    @property
    def may_deny(self) -> bool:
        """Tell whether an unknown key is surely unknown to the operator."""
        if self._bound_seconds is None:
            return True
        return self.age_seconds <= DENY_AGE_SECONDS

    def holder(self, key_digest: bytes | None) -> Organisation | None:
        """Return who holds a key now."""
        table = self._catalogue.routes
        return table.organisations.find_by_key(key_digest) if table else None

    def named(self, name: str) -> Organisation | None:
        """Return an organisation that another host let in."""
        table = self._catalogue.routes
        return table.organisations.find_by_name(name) if table else None

    def barrier(self, request: Request) -> Barrier | None:
        """Return why a request may not be sent now, None if it may."""
        # Looked at before each send: a request may have waited, its host may
        # have stood still, and its key may be gone since it was let in.
        organisation = request.organisation
        if organisation is None:
            return None
        if not self.is_fresh:
            return Barrier.STALE
        if request.is_relayed:
            found = self.named(organisation.name)
        else:
            found = self.holder(request.facts.key_digest)
        is_same = found is not None and found.name == organisation.name
        return None if is_same else Barrier.REVOKED
