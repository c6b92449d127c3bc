"""Parse numbers in headers that other processes wrote."""

import re

# RFC 9110, section 15.
MAX_STATUS = 599
# Characters of an unreadable value that are logged.
LOGGED_CHARACTERS = 20
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{1,30})?')


def parse_decimal(content: bytes) -> float | None:
    """Return a plain decimal number of at most 12 digits, None otherwise.

    Signs, exponents, infinities and NaN are not accepted.
    """
    text = content.decode('latin-1').strip()
    if not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def excerpt(content: bytes) -> str:
    """Return the start of an unreadable value for a log line."""
    return content[:LOGGED_CHARACTERS].decode('latin-1')
