"""Decoding of the time for which a server says that it stays cold."""

import datetime
import math

__all__ = ["decode_cold_time"]

_MAX_COLD_MS = 86_400_000.0
"""Longest time that is decoded, in milliseconds; a longer one is shortened to it."""
_MISSING = frozenset({b"", b"null"})


def decode_cold_time(value: bytes | None) -> tuple[datetime.timedelta | None, bool]:
    """Return the time of a server's statement, and whether the statement is invalid.

    The time is None if there is no valid statement. Nothing else that the server says
    is invalid with it.

    Parameters
    ----------
    value : bytes or None
        Header field or encoded JSON value in milliseconds; None if missing.

    Examples
    --------
    >>> decode_cold_time(b"1500")
    (datetime.timedelta(seconds=1, microseconds=500000), False)
    >>> decode_cold_time(b"-1")
    (None, True)
    """
    if value is None or value in _MISSING:
        return None, False
    try:
        milliseconds = float(value)
    except ValueError:
        return None, True
    if not math.isfinite(milliseconds) or milliseconds < 0.0:
        return None, True
    return datetime.timedelta(milliseconds=min(milliseconds, _MAX_COLD_MS)), False
