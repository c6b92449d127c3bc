"""Decide whose requests may run, by the known keys and their age."""

from enum import Enum

from jacinthfold.catalogue.records import Catalogue
from jacinthfold.organisations.model import Organisation
from jacinthfold.request.messages import Request

# Reserved from the bound for the time between the check of the age and a
# request's last byte at a target, on a host that is short of processor time.
AGE_MARGIN_SECONDS = 0.4


class KeyRejection(Enum):
    """Name why an admitted request may no longer be sent."""

    STALE = 'keys_stale'
    REVOKED = 'key_revoked'


class KeyGate:
    """Admit requests by their API key."""

    def __init__(
        self, catalogue: Catalogue, bound_seconds: float | None
    ) -> None:
        """Store the catalogue and the maximum age of its keys, None for any."""
        self._catalogue = catalogue
        self._bound_seconds = bound_seconds

    @property
    def age_seconds(self) -> float:
        """Return the maximum age of the known keys, in seconds."""
        return self._catalogue.freshness.age_seconds

    @property
    def is_bounded(self) -> bool:
        """Check whether revoked keys must stop working within a bound."""
        return self._bound_seconds is not None

    @property
    def is_fresh(self) -> bool:
        """Check whether the known keys are recent enough to serve by."""
        # A partitioned host would continue to serve a revoked key. Past the
        # bound it serves no key at all: valid ones are served by other hosts,
        # revoked ones by none.
        if self._bound_seconds is None:
            return True
        return self.age_seconds <= self._bound_seconds - AGE_MARGIN_SECONDS

    @property
    def has_keys(self) -> bool:
        """Check whether callers need keys."""
        table = self._catalogue.routes
        return table is not None and len(table.organisations) > 0

    def holder(self, key_digest: bytes | None) -> Organisation | None:
        """Return the organisation that holds a key now."""
        table = self._catalogue.routes
        return table.organisations.find_by_key(key_digest) if table else None

    def named(self, name: str) -> Organisation | None:
        """Return an organisation by its name, for relayed requests."""
        table = self._catalogue.routes
        return table.organisations.find_by_name(name) if table else None

    def rejection(self, request: Request) -> KeyRejection | None:
        """Return why a request may not be sent now, None if it may."""
        # Checked before each send: the request may have waited or its host may
        # have been paused, and its key may have been revoked since admission.
        organisation = request.organisation
        if organisation is None:
            return None
        if not self.is_fresh:
            return KeyRejection.STALE
        if request.is_relayed:
            found = self.named(organisation.name)
        else:
            found = self.holder(request.facts.key_digest)
        is_same = found is not None and found.name == organisation.name
        return None if is_same else KeyRejection.REVOKED
