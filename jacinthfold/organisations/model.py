"""Data model of organisations, their keys and their caps."""

from collections.abc import Iterable


class OrganisationError(ValueError):
    """Raised for contradictory configurations of organisations."""


class Cap:
    """Limit on an organisation's requests over all hosts."""

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
        """Set rate and burst, in tokens or in requests."""
        self.per_second = per_second
        self.burst = burst
        self.counts_tokens = counts_tokens
        # Cost of a request with no token counts.
        self.default_tokens = default_tokens

    def cost(self, prompt_tokens: int, output_tokens: int) -> int:
        """Return the cost of a request, in the unit of the cap."""
        if not self.counts_tokens:
            return 1
        return (prompt_tokens + output_tokens) or self.default_tokens


class Organisation:
    """Configuration of one organisation."""

    __slots__ = ('cap', 'home_regions', 'key_digests', 'name', 'priority')

    def __init__(self, name: str, key_digests: Iterable[bytes]) -> None:
        """Set the name and the digests of its keys."""
        self.name = name
        self.key_digests = frozenset(key_digests)
        # Overrides the priority of the route, unless None.
        self.priority: int | None = None
        self.home_regions: frozenset[str] = frozenset()
        # None for no limit.
        self.cap: Cap | None = None


class OrganisationTable:
    """Index of organisations by key and by name."""

    __slots__ = ('_by_digest', '_by_name')

    def __init__(self, organisations: Iterable[Organisation] = ()) -> None:
        """Add all; raise OrganisationError for a duplicate key or name."""
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation in organisations:
            self._add(organisation)

    def __len__(self) -> int:
        """Return the number of organisations."""
        return len(self._by_name)

    @property
    def has_caps(self) -> bool:
        """Return whether any organisation has a cap."""
        return any(one.cap is not None for one in self._by_name.values())

    def find_by_key(self, key_digest: bytes | None) -> Organisation | None:
        """Return the organisation with a key, by the key's digest."""
        # The digest is keyed with a secret, so the duration of the look-up
        # reveals nothing about a key.
        return self._by_digest.get(key_digest) if key_digest else None

    def find_by_name(self, name: str) -> Organisation | None:
        """Return the organisation with a name."""
        return self._by_name.get(name)

    def _add(self, organisation: Organisation) -> None:
        if organisation.name in self._by_name:
            raise OrganisationError(
                f'duplicate organisation name {organisation.name!r}'
            )
        self._by_name[organisation.name] = organisation
        for digest in organisation.key_digests:
            holder = self._by_digest.setdefault(digest, organisation)
            if holder is not organisation:
                raise OrganisationError(
                    f'{holder.name!r} and {organisation.name!r} share a key'
                )
