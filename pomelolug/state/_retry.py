"""Delay between two tries on the log."""

import datetime
import random

__all__ = ["retry_delay"]

_INITIAL_DELAY = datetime.timedelta(milliseconds=50)
_MAX_DELAY = datetime.timedelta(seconds=2)
_MAX_DOUBLINGS = 10


def retry_delay(failures: int, random_state: random.Random) -> datetime.timedelta:
    """Return the wait after the given number of failures in a row.

    It doubles from 50 ms to 2 s; a random factor between 0.5 and 1 keeps the
    nodes from retrying together after an outage.

    Examples
    --------
    >>> delay = retry_delay(30, random.Random(1))
    >>> datetime.timedelta(seconds=1) <= delay <= datetime.timedelta(seconds=2)
    True
    """
    doublings = min(max(failures - 1, 0), _MAX_DOUBLINGS)
    return min(_INITIAL_DELAY * 2**doublings, _MAX_DELAY) * random_state.uniform(
        0.5, 1.0
    )
