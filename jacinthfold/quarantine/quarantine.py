"""Hold what this host knows of requests under which targets end."""

from jacinthfold.catalogue.metadata import MetadataStore
from jacinthfold.clock import Clock
from jacinthfold.placement.targets import TargetTable
from jacinthfold.quarantine.fingerprints import Fingerprints
from jacinthfold.quarantine.key import KEY_NAME, KeyMaker
from jacinthfold.quarantine.witness import Witness


class Quarantine:
    """Put together who sees targets end, and what is known of it."""

    def __init__(
        self, targets: TargetTable, store: MetadataStore, clock: Clock
    ) -> None:
        """Take the targets and where the deployment's key is kept."""
        self._fingerprints = Fingerprints()
        self.witness = Witness(targets, self._fingerprints, clock)
        self.key_maker = KeyMaker(store, self._fingerprints)

    def take_record(self, name: str, content: bytes | None) -> None:
        """Take a record of the store, without content if it is gone."""
        if name == KEY_NAME and content:
            self._fingerprints.use_key(content)
