"""Order changes of the store, also across its returns from a copy.

The store counts its changes. When it comes back from a copy, the counter goes
back too, and its era rises by one. A revision is one integer with the era in
its high bits, so that each revision of an era is above all of earlier eras.
"""

COUNTER_BITS = 48
MAX_COUNTER = (1 << COUNTER_BITS) - 1
# Revisions stay within the 64 bits that a signed integer has in messages.
MAX_ERA = (1 << 15) - 1


def make_revision(era: int, counter: int) -> int:
    """Return the revision of an era and a counter; raise ValueError."""
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f'era {era} is not between 0 and {MAX_ERA}')
    if not 0 <= counter <= MAX_COUNTER:
        raise ValueError(
            f'counter {counter} is not between 0 and {MAX_COUNTER}'
        )
    return era << COUNTER_BITS | counter


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 if the store doesn't tell it."""
    return revision >> COUNTER_BITS


def counter_of(revision: int) -> int:
    """Return the store's counter at a revision."""
    return revision & MAX_COUNTER


def log_fields(revision: int) -> dict[str, int]:
    """Return the parts of a revision as fields of a log line."""
    return {'revision': counter_of(revision), 'era': era_of(revision)}
