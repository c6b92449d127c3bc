"""Describe where a change of a record came from, and how old it may be."""

STORE_SOURCE = 'store'
# Nobody repeated it since the store came back from a copy.
RESTORATION_SOURCE = 'restoration'


class ChangeOrigin:
    """Hold a change's revision, its source, and its maximum age on arrival."""

    __slots__ = ('age_seconds', 'revision', 'source')

    def __init__(
        self,
        revision: int = 0,
        source: str = STORE_SOURCE,
        age_seconds: float = 0.0,
    ) -> None:
        """Initialize the origin of a change that has just arrived.

        The source is the store, its restoration or the address of another host.
        The age counts from the last proof that the change had not been made
        yet, and is infinite without one.
        """
        self.revision = revision
        self.source = source
        self.age_seconds = age_seconds
