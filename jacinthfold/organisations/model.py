"""Describe organisations in types that say what they hold."""

from collections.abc import Iterable


class OrganisationError(ValueError):
    """Say that organisations are declared in a way nobody can follow."""


class Cap:
    """Hold how much of an organisation's work may run, over all hosts."""

    __slots__ = (
        'burst',
        'counts_tokens',
        'per_second',
        'default_tokens',
    )

    def __init__(
        self,
        per_second: float,
        burst: float,
        *,
        counts_tokens: bool = False,
        default_tokens: int = 0,
    ) -> None:
        """Take rate and burst, in tokens or in requests."""
        self.per_second = per_second
        self.burst = burst
        self.counts_tokens = counts_tokens
        # What a request counts that names no tokens.
        self.default_tokens = default_tokens

    def cost(self, prompt_tokens: int, output_tokens: int) -> int:
        """Return what a request counts."""
        if not self.counts_tokens:
            return 1
        return (prompt_tokens + output_tokens) or self.default_tokens


class Organisation:
    """Hold what the operator declared for one organisation."""

    __slots__ = ('cap', 'home_regions', 'key_digests', 'name', 'priority')

    def __init__(self, name: str, key_digests: Iterable[bytes]) -> None:
        """Take the name and the digests of its keys."""
        self.name = name
        self.key_digests = frozenset(key_digests)
        # Goes before the route's; None leaves that one in force.
        self.priority: int | None = None
        self.home_regions: frozenset[str] = frozenset()
        # None: it may run as much as it asks for.
        self.cap: Cap | None = None


class OrganisationTable:
    """Find organisations by key and by name."""

    __slots__ = ('_by_digest', '_by_name')

    def __init__(self, organisations: Iterable[Organisation] = ()) -> None:
        """Take all; raise OrganisationError where two hold one key or name."""
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation in organisations:
            self._add(organisation)

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._by_name)

    @property
    def has_caps(self) -> bool:
        """Tell whether any organisation has a cap."""
        return any(one.cap is not None for one in self._by_name.values())

    def find_by_key(self, key_digest: bytes | None) -> Organisation | None:
        """Return who holds a key."""
        # By digest under a secret: how long the look-up takes tells nothing
        # of a key.
        return self._by_digest.get(key_digest) if key_digest else None

    def find_by_name(self, name: str) -> Organisation | None:
        """Return an organisation by its name."""
        return self._by_name.get(name)

    def _add(self, organisation: Organisation) -> None:
        if organisation.name in self._by_name:
            raise OrganisationError(
                f'two organisations named {organisation.name!r}'
            )
        self._by_name[organisation.name] = organisation
        for digest in organisation.key_digests:
            holder = self._by_digest.setdefault(digest, organisation)
            if holder is not organisation:
                raise OrganisationError(
                    f'{holder.name!r} and {organisation.name!r} hold one key'
                )
